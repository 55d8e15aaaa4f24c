#ifndef DAMASKTHREAD_RESOURCE_RESOURCE_STORE_H_
#define DAMASKTHREAD_RESOURCE_RESOURCE_STORE_H_

/// @file
/// @brief Replica of the configuration, built by replaying the log.

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/resource/log_record.h"
#include "damaskthread/resource/service_table.h"

namespace damaskthread::resource {

/// What became of an operation.
enum class OperationState : std::uint8_t { kNotSeen, kAccepted, kConflict };

/// Outcome of one operation id. Remembered for the last `StoreOptions::operations_kept` operations decided.
struct OperationOutcome {
  OperationState state = OperationState::kNotSeen;
  std::string kind;
  std::string name;
  std::uint64_t version = 0;  ///< The version that it created, or that of the winner it conflicts with.

  bool operator==(const OperationOutcome&) const = default;
};

/// One resource as the operators see it.
struct ResourceView {
  std::string kind;
  std::string name;
  std::uint64_t version = 0;
  bool deleted = false;
  bool understood = true;  ///< False if this version cannot read the body; the last declaration it could read stays.
  std::string author;
  std::string body;
};

/// A daemon that announced itself on the log.
struct Announcement {
  std::string name;
  std::string body;
  std::uint64_t offset = 0;
};

struct StoreOptions {
  /// Operations whose outcome is remembered. Part of the replicated state: the same for the whole fleet.
  std::size_t operations_kept = 2'048;
  /// Resources and tombstones kept; beyond it the oldest tombstone goes. The same for the whole fleet.
  std::size_t resources_kept = 1'024;
  /// Raw records kept for peers that lag.
  std::size_t recent_bytes = std::size_t{4} << 20U;
  /// A snapshot is rewritten after this many records or this time, whichever comes first, or once it lies in the
  /// older half of what the log keeps.
  std::uint64_t snapshot_records = 2'000;
  core::Duration snapshot_age = std::chrono::minutes{30};
  /// Writers wait a random part of this time, so that usually only one of them writes.
  core::Duration snapshot_jitter = std::chrono::seconds{10};
};

/// Counters of what replay met.
struct StoreCounters {
  std::uint64_t accepted = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t repeats = 0;         ///< Records of an operation that was already decided.
  std::uint64_t skipped = 0;         ///< Invalid, oversized, truncated, foreign or unknown-format records.
  std::uint64_t snapshots_seen = 0;  ///< Complete snapshots met on the log.
  std::uint64_t states_loaded = 0;
  std::uint64_t states_refused = 0;  ///< Malformed states, and states that do not move forward.
  std::uint64_t gaps = 0;            ///< Times the log was found cut above the applied offset.
  std::uint64_t regressions = 0;     ///< Times the log was found to end below the applied offset.
  std::uint64_t not_understood = 0;  ///< Accepted declarations whose body this version could not read.
};

/// Whether the log continues the applied state.
enum class LogCondition : std::uint8_t {
  kContiguous,
  kGap,        ///< Records after the applied offset are no longer kept: a snapshot or a peer's state is needed.
  kRegressed,  ///< The log ends below the applied offset, so it is not the log that was replayed.
};

/// @brief Replays the log into the configuration in force. Deterministic: two stores that applied the same prefix of
/// the log are in the same state, however they got there.
///
/// All members may be called from any thread.
class ResourceStore {
 public:
  explicit ResourceStore(StoreOptions options = {});
  ~ResourceStore();
  ResourceStore(const ResourceStore&) = delete;
  ResourceStore& operator=(const ResourceStore&) = delete;

  /// @brief Applies what was read from the log. Entries below the applied offset are ignored.
  /// @param slice Entries in ascending order, with the bounds of the log.
  /// @param now Current time, to tell the age of the snapshot.
  /// @return Whether the log continues the applied state. In a gap the state is kept and only snapshots are looked for.
  LogCondition apply(const LogSlice& slice, core::TimePoint now);

  /// @brief Offset to read from next: after a gap the position of the search for a snapshot.
  [[nodiscard]] std::uint64_t read_from() const;
  /// @brief Accepted changes so far.
  [[nodiscard]] std::uint64_t revision() const noexcept;
  /// @brief Offset below which every record is applied.
  [[nodiscard]] std::uint64_t offset() const noexcept;
  /// @brief Whether the state is complete up to what is known of the log; false for a new store before its first read.
  [[nodiscard]] bool anchored() const;
  [[nodiscard]] LogCondition condition() const;

  /// @brief Declarations in force. Cheap enough for each call; the table never changes once handed out.
  [[nodiscard]] std::shared_ptr<const ServiceTable> table() const;

  [[nodiscard]] OperationOutcome outcome(std::string_view operation_id) const;
  /// @brief A resource, also as a tombstone.
  [[nodiscard]] std::optional<ResourceView> find(std::string_view kind, std::string_view name) const;
  /// @brief All resources without tombstones, ordered by kind and name.
  [[nodiscard]] std::vector<ResourceView> list() const;
  /// @brief Resources and tombstones that changed after a revision, ordered by kind and name.
  [[nodiscard]] std::vector<ResourceView> changed_since(std::uint64_t revision) const;
  /// @brief Latest announcement of each daemon met on the log, at most 1,024.
  [[nodiscard]] std::vector<Announcement> announcements() const;
  [[nodiscard]] StoreCounters counters() const;

  /// @brief Whether this daemon should write a snapshot now.
  /// @param now Current time.
  /// @param random Chooses the wait.
  [[nodiscard]] bool snapshot_due(core::TimePoint now, core::Random& random);
  /// @brief The records of a snapshot of the state, to be appended in this order.
  /// @param author Name of this daemon.
  /// @param snapshot_id Unique operation id.
  [[nodiscard]] std::vector<std::string> snapshot_records(std::string_view author, std::string_view snapshot_id) const;

  /// @brief Records from `offset` on, for a peer.
  /// @return Bytes for `apply_records`; nothing if they are no longer kept or `offset` is ahead: fetch the state.
  [[nodiscard]] std::optional<std::string> records_since(std::uint64_t offset, std::size_t max_bytes) const;
  /// @brief Applies records of a peer.
  /// @return False if the bytes are malformed or do not continue the state; nothing is changed then.
  bool apply_records(std::string_view bytes, core::TimePoint now);
  /// @brief The whole state, for a peer or a snapshot.
  [[nodiscard]] std::string state() const;
  /// @brief Applies a peer's state if it is ahead.
  /// @return False if the bytes are malformed or not ahead of this state; nothing is changed then.
  bool apply_state(std::string_view bytes);
  /// @brief Gives up the records of a gap that neither a snapshot nor a peer can fill, and goes on from the oldest
  /// record kept. Only for a daemon that has no peer: replicas that do this separately may differ until they exchange
  /// their states.
  void accept_gap();

  /// @brief Hash of the replicated state; equal offsets imply equal digests.
  [[nodiscard]] std::uint64_t digest() const;

 private:
  class Replica;
  std::unique_ptr<Replica> replica_;
};

}  // namespace damaskthread::resource

#endif  // DAMASKTHREAD_RESOURCE_RESOURCE_STORE_H_
