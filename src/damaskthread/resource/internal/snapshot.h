#ifndef DAMASKTHREAD_RESOURCE_INTERNAL_SNAPSHOT_H_
#define DAMASKTHREAD_RESOURCE_INTERNAL_SNAPSHOT_H_

/// @file
/// @brief Splits snapshots into log records and reassembles them; base64 for binary data in JSON.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "damaskthread/resource/log_record.h"

namespace damaskthread::resource::internal {

[[nodiscard]] std::string encode_base64(std::string_view bytes);
[[nodiscard]] std::optional<std::string> decode_base64(std::string_view text);
[[nodiscard]] std::uint64_t hash_bytes(std::string_view bytes) noexcept;

/// Complete snapshot.
struct Snapshot {
  std::uint64_t offset = 0;  ///< The state includes all records below this offset.
  std::size_t parts = 0;
  std::string state;
};

/// @brief Splits a state into records.
/// @param state Serialized state.
/// @param offset Offset below which the state includes all records.
[[nodiscard]] std::vector<std::string> split_snapshot(std::string_view state, std::uint64_t offset,
                                                      std::string_view author, std::string_view snapshot_id);

/// Reassembles snapshots from parts, which may be interleaved with other records.
class SnapshotAssembler {
 public:
  /// @brief Adds a part.
  /// @param record Record of operation `snapshot`.
  /// @param position Offset of the record.
  /// @param valid Set to whether the part is well-formed and consistent with the earlier parts.
  /// @return The snapshot if this part completes it.
  std::optional<Snapshot> add(const LogRecord& record, std::uint64_t record_offset, bool& valid);
  void clear() { pending_.clear(); }

 private:
  struct PendingSnapshot {
    std::uint64_t offset = 0;
    std::string digest;
    std::uint64_t first_record_offset = 0;
    std::size_t received = 0;
    std::vector<std::optional<std::string>> parts;
  };

  std::map<std::string, PendingSnapshot> pending_;
};

}  // namespace damaskthread::resource::internal

#endif  // DAMASKTHREAD_RESOURCE_INTERNAL_SNAPSHOT_H_
