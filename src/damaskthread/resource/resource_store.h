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

/// Outcome of an operation as seen by this replica.
enum class OperationState : std::uint8_t { kNotSeen, kAccepted, kConflict };

/// Outcome of one operation id. Retained for the last `StoreOptions::max_operations` operations.
struct OperationOutcome {
  OperationState state = OperationState::kNotSeen;
  std::string kind;
  std::string name;
  std::uint64_t version = 0;  ///< Version created, or the current version that it conflicts with.

  bool operator==(const OperationOutcome&) const = default;
};

/// Resource as shown to operators.
struct ResourceView {
  std::string kind;
  std::string name;
  std::uint64_t version = 0;
  bool deleted = false;
  bool understood = true;  ///< False if this version cannot read the body; the last readable declaration stays.
  std::string author;
  std::string body;
};

/// Announcement that a daemon published on the log.
struct Announcement {
  std::string name;
  std::string body;
  std::uint64_t offset = 0;
};

struct StoreOptions {
  /// Operations whose outcome is retained. Part of the replicated state: must be equal on all daemons.
  std::size_t max_operations = 2'048;
  /// Resources and tombstones; the oldest tombstone is evicted when full. Must be equal on all daemons.
  std::size_t max_resources = 1'024;
  /// Bytes of raw records retained for peers that lag.
  std::size_t max_recent_bytes = std::size_t{4} << 20U;
  /// A new snapshot is due after this many records or this time, whichever comes first, or once the last one is in
  /// the older half of the retained log.
  std::uint64_t snapshot_record_interval = 2'000;
  core::Duration max_snapshot_age = std::chrono::minutes{30};
  /// Daemons wait a random part of this time, so that usually only one of them writes the snapshot.
  core::Duration snapshot_jitter = std::chrono::seconds{10};
};

/// Replay counters.
struct StoreCounters {
  std::uint64_t accepted = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t duplicate_records = 0;  ///< Records whose operation id was already applied.
  std::uint64_t skipped = 0;  ///< Records that are invalid, oversized, truncated, foreign or of an unknown format.
  std::uint64_t snapshots_seen = 0;  ///< Complete snapshots read from the log.
  std::uint64_t states_loaded = 0;
  std::uint64_t states_rejected = 0;          ///< States that are malformed or not ahead.
  std::uint64_t gaps = 0;                     ///< Times that the log was truncated above the applied offset.
  std::uint64_t regressions = 0;              ///< Times that the log ended below the applied offset.
  std::uint64_t unreadable_declarations = 0;  ///< Accepted declarations whose body this version could not read.
};

/// Whether the log continues the applied state.
enum class LogCondition : std::uint8_t {
  kContiguous,
  kGap,        ///< Records after the applied offset were dropped: a snapshot or a peer's state is needed.
  kRegressed,  ///< The log ends below the applied offset, so it is a different log.
};

/// @brief Replays the log into the current configuration. Deterministic: two stores that applied the same prefix of
/// the log are in the same state, whether they read records, snapshots or a peer's state.
///
/// Thread-safe.
class ResourceStore {
 public:
  explicit ResourceStore(StoreOptions options = {});
  ~ResourceStore();
  ResourceStore(const ResourceStore&) = delete;
  ResourceStore& operator=(const ResourceStore&) = delete;

  /// @brief Applies entries read from the log. Entries below the applied offset are ignored.
  /// @param slice Entries in ascending order, with the bounds of the log.
  /// @param now Current time, for the age of the snapshot.
  /// @return Whether the log continues the applied state. In a gap the state is kept and only
  /// snapshots are read.
  LogCondition apply(const LogSlice& slice, core::TimePoint now);

  /// @brief Offset to read next; in a gap, where to continue scanning for a snapshot.
  [[nodiscard]] std::uint64_t next_read_offset() const;
  /// @brief Number of accepted changes.
  [[nodiscard]] std::uint64_t revision() const noexcept;
  /// @brief Offset below which all records are applied.
  [[nodiscard]] std::uint64_t offset() const noexcept;
  /// @brief Whether the state continues the log without a gap; false for a new store before its first read.
  [[nodiscard]] bool is_synchronized() const;
  [[nodiscard]] LogCondition condition() const;

  /// @brief Current declarations. Cheap enough for the data path; the returned table is immutable.
  [[nodiscard]] std::shared_ptr<const ServiceTable> table() const;

  [[nodiscard]] OperationOutcome outcome(std::string_view operation_id) const;
  /// @brief Finds a resource or its tombstone.
  [[nodiscard]] std::optional<ResourceView> find(std::string_view kind, std::string_view name) const;
  /// @brief All resources without tombstones, ordered by kind and name.
  [[nodiscard]] std::vector<ResourceView> list() const;
  /// @brief Resources and tombstones that changed after a revision, ordered by kind and name.
  [[nodiscard]] std::vector<ResourceView> changed_since(std::uint64_t revision) const;
  /// @brief Latest announcement of each daemon on the log, at most 1,024.
  [[nodiscard]] std::vector<Announcement> announcements() const;
  [[nodiscard]] StoreCounters counters() const;

  /// @brief Whether this daemon should write a snapshot now.
  /// @param now Current time.
  /// @param random Source of the jitter.
  [[nodiscard]] bool snapshot_due(core::TimePoint now, core::Random& random);
  /// @brief Encodes a snapshot of the state as records, to be appended in this order.
  /// @param author Name of this daemon.
  /// @param snapshot_id Unique operation id.
  [[nodiscard]] std::vector<std::string> snapshot_records(std::string_view author, std::string_view snapshot_id) const;

  /// @brief Records from `offset` on, for a peer.
  /// @return Bytes for `apply_records`; empty if the records were dropped or `offset` is ahead, and the peer must
  /// fetch the state instead.
  [[nodiscard]] std::optional<std::string> records_since(std::uint64_t offset, std::size_t max_bytes) const;
  /// @brief Applies records from a peer.
  /// @return False if the bytes are malformed or do not continue the state, which then stays unchanged.
  bool apply_records(std::string_view bytes, core::TimePoint now);
  /// @brief Serializes the state for a peer or a snapshot.
  [[nodiscard]] std::string state() const;
  /// @brief Applies a peer's state if it is ahead.
  /// @return False if the bytes are malformed or not ahead of this state, which then stays unchanged.
  bool apply_state(std::string_view bytes);
  /// @brief Skips the records of a gap that neither a snapshot nor a peer can fill, and continues at the oldest
  /// retained record. Only for a daemon without peers: replicas that do this independently may differ until they
  /// exchange their states.
  void accept_gap();

  /// @brief Hash of the replicated state; equal offsets imply equal digests.
  [[nodiscard]] std::uint64_t digest() const;

 private:
  class Replica;
  std::unique_ptr<Replica> replica_;
};

}  // namespace damaskthread::resource

#endif  // DAMASKTHREAD_RESOURCE_RESOURCE_STORE_H_
