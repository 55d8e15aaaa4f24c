#ifndef DAMASKTHREAD_RESOURCE_INTERNAL_REPLICA_STATE_H_
#define DAMASKTHREAD_RESOURCE_INTERNAL_REPLICA_STATE_H_

/// @file
/// @brief The replicated state and the rule that decides a record. Nothing here depends on time or on this process.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "damaskthread/resource/log_record.h"
#include "damaskthread/resource/resource_store.h"

namespace damaskthread::resource::internal {

struct StoredResource {
  std::uint64_t version = 0;
  bool deleted = false;
  std::string author;
  std::string body;
};

/// Kind and name.
using ResourceKey = std::pair<std::string, std::string>;

enum class Decision : std::uint8_t { kAccepted, kConflict, kRepeat };

class ReplicaState {
 public:
  using Resources = std::map<ResourceKey, StoredResource>;

  ReplicaState(std::size_t operations_kept, std::size_t resources_kept)
      : operations_kept_(operations_kept), resources_kept_(resources_kept) {}

  /// @brief Decides a put or a delete.
  Decision apply(const LogRecord& record);

  [[nodiscard]] const Resources& resources() const noexcept { return resources_; }
  [[nodiscard]] const OperationOutcome* outcome(std::string_view operation_id) const;

  /// @brief Serializes the state.
  [[nodiscard]] std::string encode() const;
  /// @brief Reads a state with the same limits as this one.
  /// @return Nothing if the bytes are malformed.
  [[nodiscard]] std::optional<ReplicaState> decode(std::string_view bytes) const;

  std::uint64_t offset = 0;
  std::uint64_t revision = 0;

 private:
  [[nodiscard]] bool make_room();
  void remember(const std::string& operation_id, OperationOutcome outcome);

  std::size_t operations_kept_;
  std::size_t resources_kept_;
  Resources resources_;
  std::deque<std::string> operation_order_;
  std::unordered_map<std::string, OperationOutcome> operations_;
};

}  // namespace damaskthread::resource::internal

#endif  // DAMASKTHREAD_RESOURCE_INTERNAL_REPLICA_STATE_H_
