#ifndef DAMASKTHREAD_RETRY_REPEAT_BUDGET_H_
#define DAMASKTHREAD_RETRY_REPEAT_BUDGET_H_

/// @file
/// @brief Limits the repeats that reach one server, so that those of the whole service stay within a fixed ratio.

#include <array>
#include <cstddef>

#include "damaskthread/core/types.h"

namespace damaskthread::retry {

struct RepeatBudgetOptions {
  /// Repeats per first attempt that operators allow for the whole service.
  double ratio = 0.2;
  /// Length of the sliding window in which repeats are counted.
  core::Duration window = std::chrono::seconds{10};
  /// Repeats allowed for the whole service in a window in addition to the ratio.
  double slack = 0;
  /// Fraction of the limit that is used. The rest covers daemons that restarted and lost their counts, and traffic that
  /// moves between servers, whose limits rest on the window that suits each best.
  double limit_fraction = 0.9;
  /// Maximum fraction of the window limit for repeats of requests that do not have the highest priority.
  double ordinary_fraction = 0.85;
  /// The same for one step, as a fraction of the window limit, so that the start of an overload, before the threshold
  /// follows the demand, leaves the budget to the highest priority.
  double ordinary_step_fraction = 0.02;
  /// Fraction of the remaining budget that one interval may spend when demand exceeds the budget, so that a long
  /// overload does not exhaust the budget at its start.
  double interval_fraction = 0.15;
  /// Number of levels by which repeats are ordered by the calls that their call tree still has to make; with 1, all are
  /// equal. The last level holds all larger numbers of calls.
  int progress_levels = 4;
  /// Weight of the last step in the moving average of the demand.
  double smoothing = 0.3;
  /// Maximum rise of the threshold in a step. A repeat that is allowed leads to further ones, which show up in the
  /// demand of later steps only.
  double max_threshold_rise = 0.07;
};

/// Precedence of a repeat, derived from the request it belongs to.
struct RepeatPriority {
  /// Priority of the root request; 0 is the most important.
  int priority = 0;
  /// Hash of the root request, scaled to 0 to 1; the same for all calls of its call tree.
  double sample = 0;
  /// Expected number of calls that its call tree still has to make, this one included.
  int calls_left = 1;
};

/// @brief Limits the repeats at one server. Each daemon keeps one for its local server, all of whose requests pass
/// through it. If every server of a service stays within its part of the limit, so does the service, without
/// coordination between daemons.
///
/// Load pattern: all servers of a service fail or refuse part of their requests for a while. A request makes several
/// calls to the service, each of which needs repeats, so repeats spread evenly over all requests would complete hardly
/// any. The repeats that the limit allows go to the most important requests, among these to the ones whose call trees
/// have the fewest calls left, since they need the fewest repeats to complete, and then to the ones with the lowest
/// samples, so that all daemons select the same requests without coordination.
class RepeatBudget {
 public:
  RepeatBudget(const RepeatBudgetOptions& options, core::TimePoint now) noexcept;

  /// @brief Counts the first attempt of a request.
  void on_first_attempt(core::TimePoint now) noexcept;
  /// @brief Takes a repeat from the budget.
  /// @param servers Number of servers of the service, among which its slack is divided.
  /// @return Whether the budget allows the repeat.
  [[nodiscard]] bool allow(core::TimePoint now, int servers, const RepeatPriority& priority) noexcept;

 private:
  static constexpr std::size_t kIntervals = 10;
  static constexpr std::size_t kStepsPerInterval = 5;
  static constexpr std::size_t kRankBuckets = 96;
  /// Repeats by rank.
  using Demand = std::array<double, kRankBuckets>;
  struct Interval {
    double first_attempts = 0;
    double repeats = 0;
  };

  void advance(core::TimePoint now) noexcept;
  /// Sets the threshold, at the end of a step, so that the expected demand below it fits into the allowance.
  void adjust_threshold() noexcept;
  /// Order in which repeats are allowed, from 0 to 1: by priority, then by calls left, then by sample.
  [[nodiscard]] double rank_of(const RepeatPriority& priority) const noexcept;
  /// Budget for repeats.
  struct Room {
    /// Repeats that may reach the server in a window that ends now.
    double limit = 0;
    /// Repeats that may still reach it now.
    double left = 0;
  };
  /// Evaluates the limit for every window that contains the current interval, since each of them must stay within it.
  /// The limit of a window is based on the largest number of first attempts in the window, half a window earlier or a
  /// window earlier, since first attempts decrease during a failure.
  [[nodiscard]] Room room() const noexcept;
  /// Interval that began `ago` intervals ago; 0 is the current one.
  [[nodiscard]] const Interval& interval(std::size_t ago) const noexcept;

  RepeatBudgetOptions options_;
  core::TimePoint started_at_;
  core::TimePoint interval_start_;
  core::TimePoint step_start_;
  /// This server's fraction of the slack.
  double slack_ = 0;
  // Two windows, since the limit may depend on the previous one, and the current interval.
  std::array<Interval, 2 * kIntervals + 1> intervals_{};
  std::size_t current_ = 0;
  /// Repeats requested in the current step, whether allowed or not.
  Demand step_demand_{};
  /// Moving average of the repeats requested in a step.
  Demand mean_demand_{};
  /// Repeats allowed in the current step that do not have the highest priority.
  double ordinary_in_step_ = 0;
  /// Rank below which repeats are allowed.
  double threshold_ = 1;
};

}  // namespace damaskthread::retry

#endif  // DAMASKTHREAD_RETRY_REPEAT_BUDGET_H_
