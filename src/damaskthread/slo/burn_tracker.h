#ifndef DAMASKTHREAD_SLO_BURN_TRACKER_H_
#define DAMASKTHREAD_SLO_BURN_TRACKER_H_

/// @file
/// @brief Counts the calls that one daemon took against the objectives of their services.

#include <array>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "damaskthread/config/config.h"
#include "damaskthread/core/types.h"
#include "damaskthread/slo/burn.h"

namespace damaskthread::slo {

/// Thread-safe; split into shards by service, with a lock per shard. Memory: about 30 KB per objective that has calls,
/// and nothing for the others.
class BurnTracker {
 public:
  /// @param max_objectives Objectives that are counted; those over the bound are reported as untracked.
  explicit BurnTracker(std::size_t max_objectives = 1024);
  ~BurnTracker();
  BurnTracker(const BurnTracker&) = delete;
  BurnTracker& operator=(const BurnTracker&) = delete;

  /// @brief Replaces the objectives. Counts of an objective that stays, apart from its target, are kept.
  void set_objectives(std::span<const Objective> objectives, core::TimePoint now);

  /// @brief Counts one call; allocates only with the first call of an objective.
  /// @param service The service called.
  /// @param importance Its importance in force.
  /// @param result How it ended.
  /// @param latency From its arrival to the end of its answer.
  /// @param now When it ended.
  void record(std::string_view service, core::Importance importance, Result result, core::Duration latency,
              core::TimePoint now);

  /// @brief The counts as of `now`. The newest bucket of each window is still filling, so that a window covers up to
  /// one
  ///   bucket less than its name says.
  /// @param source Name and life of this daemon, and the wall-clock time for display.
  [[nodiscard]] BurnSnapshot snapshot(Source source, core::TimePoint now) const;

 private:
  struct Shard;

  Shard& shard_of(std::string_view service) const noexcept;

  std::size_t max_objectives_;
  std::unique_ptr<std::array<Shard, DAMASKTHREAD_SHARD_COUNT>> shards_;
};

}  // namespace damaskthread::slo

#endif  // DAMASKTHREAD_SLO_BURN_TRACKER_H_
