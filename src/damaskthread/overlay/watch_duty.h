#ifndef DAMASKTHREAD_OVERLAY_WATCH_DUTY_H_
#define DAMASKTHREAD_OVERLAY_WATCH_DUTY_H_

/// @file
/// @brief Decides which daemons watch the store for a new configuration.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "damaskthread/core/types.h"

namespace damaskthread::overlay {

/// Watch state of a connected daemon.
struct WatcherState {
  /// Position on the ring.
  std::uint64_t position = 0;
  /// It was heard from recently.
  bool reachable = false;
  /// It reports that it watches the store and that the store answers.
  bool watching = false;
};

/// @brief Every call to the store has a cost, and each change answers all pending watches. So only a few daemons watch
/// the store, and the others learn of a change from them. A daemon becomes a watcher unless enough reachable daemons
/// before it on the ring report that they watch. A daemon that is partitioned from the others, or whose watchers lost
/// the store, thus becomes a watcher itself. To avoid many new watchers at once, a daemon waits in proportion to its
/// rank on the ring, so that it sees the watchers before it first. Positions are hashes of endpoints, which spreads the
/// watchers over failure domains.
///
/// Load patterns: hundreds of daemons at one store (the number of calls stays constant while the fleet grows), a store
/// that rejects some daemons (others take over), a partitioned part of the fleet (it has watchers of its own).
class WatchDuty {
 public:
  /// @param position Position of this daemon on the ring.
  WatchDuty(std::uint64_t position, core::TimePoint now) noexcept
      : position_(position), decide_after_(now + kIsolationTimeout) {}

  /// @brief Re-evaluates the duty; to be called several times a second.
  /// @return Whether this daemon watches.
  [[nodiscard]] bool update(std::span<const WatcherState> others, core::TimePoint now) noexcept;

  /// Number of reachable watchers at which a daemon does not watch itself.
  static constexpr std::size_t kTargetWatchers = 4;
  /// Time after the first contact in which a started daemon discovers the current watchers.
  static constexpr core::Duration kDiscoveryTime = std::chrono::milliseconds{1000};
  /// Time after which a daemon without contact to others becomes a watcher.
  static constexpr core::Duration kIsolationTimeout = std::chrono::milliseconds{3000};
  /// Delay for each `kTargetWatchers` daemons before this one on the ring, at most `kMaxRankDelays` times.
  static constexpr core::Duration kRankDelay = std::chrono::milliseconds{400};
  static constexpr std::size_t kMaxRankDelays = 3;
  /// Minimum time that a daemon stays a watcher, since starting a watch costs a call.
  static constexpr core::Duration kMinDutyTime = std::chrono::seconds{10};

 private:
  std::uint64_t position_;
  core::TimePoint decide_after_;
  bool reached_others_ = false;
  bool on_duty_ = false;
  core::TimePoint on_duty_since_;
  /// Since when too few reachable daemons watch.
  std::optional<core::TimePoint> shortage_since_;
};

}  // namespace damaskthread::overlay

#endif  // DAMASKTHREAD_OVERLAY_WATCH_DUTY_H_
