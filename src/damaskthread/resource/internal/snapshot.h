#ifndef DAMASKTHREAD_RESOURCE_INTERNAL_SNAPSHOT_H_
#define DAMASKTHREAD_RESOURCE_INTERNAL_SNAPSHOT_H_

/// @file
/// @brief Snapshots on the log: a state in parts that fit into records, and base64 for bytes inside JSON.

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

/// A snapshot whose parts are all there.
struct Snapshot {
  std::uint64_t offset = 0;  ///< The state stands for all records below this.
  std::size_t parts = 0;
  std::string state;
};

/// @brief Splits a state into records.
/// @param state Encoded state.
/// @param offset Offset that the state stands for.
[[nodiscard]] std::vector<std::string> split_snapshot(std::string_view state, std::uint64_t offset,
                                                      std::string_view author, std::string_view snapshot_id);

/// Collects the parts of snapshots, which may be interleaved with other records.
class SnapshotAssembler {
 public:
  /// @brief Adds a part.
  /// @param record Record of operation `snapshot`.
  /// @param position Offset of the record.
  /// @param valid Set to false if the part is malformed.
  /// @return The snapshot, if this was its last part.
  std::optional<Snapshot> add(const LogRecord& record, std::uint64_t position, bool& valid);
  void clear() { pending_.clear(); }

 private:
  struct Pending {
    std::uint64_t offset = 0;
    std::string digest;
    std::uint64_t started = 0;
    std::size_t received = 0;
    std::vector<std::optional<std::string>> parts;
  };

  std::map<std::string, Pending> pending_;
};

}  // namespace damaskthread::resource::internal

#endif  // DAMASKTHREAD_RESOURCE_INTERNAL_SNAPSHOT_H_
