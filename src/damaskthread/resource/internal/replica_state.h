#ifndef DAMASKTHREAD_RESOURCE_INTERNAL_REPLICA_STATE_H_
#define DAMASKTHREAD_RESOURCE_INTERNAL_REPLICA_STATE_H_

/// @file
/// @brief Replicated state machine. Independent of time and of the process, so that all replicas agree.

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

/// Kind and name of a resource.
using ResourceKey = std::pair<std::string, std::string>;

enum class Decision : std::uint8_t { kAccepted, kConflict, kRepeat };

class ReplicaState {
 public:
  using Resources = std::map<ResourceKey, StoredResource>;

  ReplicaState(std::size_t max_operations, std::size_t max_resources)
      : max_operations_(max_operations), max_resources_(max_resources) {}

  /// @brief Accepts or rejects a put or delete record, and updates the state accordingly.
  Decision apply(const LogRecord& record);

  [[nodiscard]] const Resources& resources() const noexcept { return resources_; }
  [[nodiscard]] const OperationOutcome* outcome(std::string_view operation_id) const;

  /// @brief Serializes the state.
  [[nodiscard]] std::string encode() const;
  /// @brief Deserializes a state, with the limits of this one.
  /// @return The state; empty if the bytes are malformed.
  [[nodiscard]] std::optional<ReplicaState> decode(std::string_view bytes) const;

  std::uint64_t offset = 0;
  std::uint64_t revision = 0;

 private:
  [[nodiscard]] bool evict_tombstone_if_full();
  void record_outcome(const std::string& operation_id, OperationOutcome outcome);

  std::size_t max_operations_;
  std::size_t max_resources_;
  Resources resources_;
  std::deque<std::string> operation_order_;
  std::unordered_map<std::string, OperationOutcome> operations_;
};

}  // namespace damaskthread::resource::internal

#endif  // DAMASKTHREAD_RESOURCE_INTERNAL_REPLICA_STATE_H_
