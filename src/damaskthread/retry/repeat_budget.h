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
  /// Fraction of the limit that is used. The rest covers daemons that restarted and lost their counts.
  double limit_fraction = 0.85;
  /// Maximum fraction of the window limit for repeats of less important requests. They get less if important requests
  /// need more.
  double ordinary_fraction = 0.5;
  /// Fraction of the remaining budget that one interval may spend when demand exceeds the budget, so that a long
  /// overload does not exhaust the budget at its start.
  double interval_fraction = 0.18;
};

/// Priority of a repeat, derived from the request it belongs to.
struct RepeatPriority {
  /// Whether the request has the highest priority. Part of the budget is reserved for such requests.
  bool important = false;
  /// Hash of the root request, scaled to 0 to 1; the same for all calls of its call tree.
  double sample = 0;
};

/// @brief Limits the repeats at one server. Each daemon keeps one for its local server, all of whose requests pass
/// through it. If every server of a service stays within its part of the limit, so does the service, without
/// coordination between daemons.
///
/// Load pattern: all servers of a service fail or refuse part of their requests for a while. A request makes several
/// calls to the service, each of which needs repeats, so repeats spread evenly over all requests would complete hardly
/// any. The repeats that the limit allows go to the most important requests, and among these to the ones with the
/// lowest samples, so that all daemons select the same requests without coordination.
class RepeatBudget {
 public:
  RepeatBudget(const RepeatBudgetOptions& options, core::TimePoint now) noexcept;

  /// @brief Counts the first attempt of a request.
  void on_first_attempt(core::TimePoint now) noexcept;
  /// @brief Counts a repeat that is accepted regardless of the budget.
  void on_mandatory_repeat(core::TimePoint now) noexcept;
  /// @brief Takes a repeat from the budget.
  /// @param servers Number of servers of the service, among which its slack is divided.
  /// @return Whether the budget allows the repeat.
  [[nodiscard]] bool allow(core::TimePoint now, int servers, const RepeatPriority& priority) noexcept;

 private:
  static constexpr std::size_t kIntervals = 10;
  static constexpr std::size_t kSampleBuckets = 16;
  /// Requested repeats by sample bucket, whether allowed or not.
  using Demand = std::array<double, kSampleBuckets>;
  struct Interval {
    double first_attempts = 0;
    double repeats = 0;
    Demand important{};
    Demand ordinary{};
  };
  /// Number of sample buckets whose repeats are allowed.
  struct SelectedBuckets {
    std::size_t important = kSampleBuckets;
    std::size_t ordinary = kSampleBuckets;
  };

  void advance(core::TimePoint now) noexcept;
  /// Selects, at the end of an interval, the sample buckets whose repeats are allowed in the next one.
  void select_buckets(const Interval& previous) noexcept;
  /// Repeats that may reach the server in a window. The limit is based on the largest number of first attempts in the
  /// window that ends now, half a window ago or a window ago, since first attempts decrease during a failure.
  [[nodiscard]] double window_limit() const noexcept;
  /// Repeats accepted in the current window.
  [[nodiscard]] double repeats_in_window() const noexcept;
  /// Interval that began `ago` intervals ago; 0 is the current one.
  [[nodiscard]] const Interval& interval(std::size_t ago) const noexcept;
  /// First attempts in the window that ended `ago` intervals ago.
  [[nodiscard]] double first_attempts(std::size_t ago) const noexcept;
  /// Repeats that important requests would request in a window, extrapolated from the current and the last interval.
  [[nodiscard]] double projected_important_demand() const noexcept;

  RepeatBudgetOptions options_;
  core::TimePoint started_at_;
  core::TimePoint interval_start_;
  /// This server's fraction of the slack.
  double slack_ = 0;
  // Two windows plus one interval, since the current interval is incomplete.
  std::array<Interval, 2 * kIntervals + 1> intervals_{};
  std::size_t current_ = 0;
  SelectedBuckets selected_;
};

}  // namespace damaskthread::retry

#endif  // DAMASKTHREAD_RETRY_REPEAT_BUDGET_H_
