#ifndef DAMASKTHREAD_RESOURCE_LOG_RECORD_H_
#define DAMASKTHREAD_RESOURCE_LOG_RECORD_H_

/// @file
/// @brief Configuration records on the log, and slices of log entries.
///
/// Compatibility between versions: a record whose `format` is not 1 is skipped by every version, and fields that
/// this version does not know are ignored. Whether a record is accepted therefore depends only on the fields of
/// format 1, which do not change; the body is never interpreted for that decision. A change to these
/// rules requires another log stream.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "damaskthread/resource/fwd.h"

namespace damaskthread::resource {

inline constexpr int kRecordFormat = 1;

enum class RecordOperation : std::uint8_t { kPut, kDelete, kSnapshot, kAnnounce };

[[nodiscard]] std::string_view to_string(RecordOperation operation) noexcept;

/// One record on the log.
struct LogRecord {
  RecordOperation operation = RecordOperation::kPut;
  std::string kind;
  std::string name;
  std::uint64_t base_version = 0;  ///< Version that a put or delete replaces; 0 creates.
  std::string operation_id;        ///< Identifies the operator's request; a retry carries the same id.
  std::string author;
  std::string body;  ///< Text; JSON for put and announce.

  bool operator==(const LogRecord&) const = default;
};

/// Raw entry of the log.
struct LogEntry {
  std::uint64_t offset = 0;
  std::string bytes;

  bool operator==(const LogEntry&) const = default;
};

/// Consecutive entries and the bounds of the log when they were read.
struct LogSlice {
  std::uint64_t first = 0;  ///< Offset of the oldest retained entry.
  std::uint64_t next = 0;   ///< Offset of the next append.
  std::vector<LogEntry> entries;

  bool operator==(const LogSlice&) const = default;
};

/// @brief Encodes a record as JSON text.
/// @return The bytes, or empty if they exceed 64 KB or a field is not valid UTF-8.
[[nodiscard]] std::optional<std::string> encode(const LogRecord& record);

/// @brief Decodes a record.
/// @return The record, or empty if it is truncated, oversized, of another application or of an unknown format.
[[nodiscard]] std::optional<LogRecord> decode(std::string_view bytes);

/// @brief Whether an operation id is valid: 1 to 64 of letters, digits, `-`, `_`, `.`.
[[nodiscard]] bool is_valid_operation_id(std::string_view id) noexcept;

}  // namespace damaskthread::resource

#endif  // DAMASKTHREAD_RESOURCE_LOG_RECORD_H_
