#include "damaskthread/retry/repeat_budget.h"

#include <algorithm>
#include <numeric>

namespace damaskthread::retry {
namespace {

// Priorities that are told apart; the last class holds all less important ones.
constexpr int kPriorityClasses = 3;
// Repeats that a request may need in total for each one seen, since a request stops at its first refused repeat. If
// the budget covers even this demand, the overload is over and all repeats are allowed at once.
constexpr double kRepeatsPerRequest = 6;

template <typename Demand>
double sum(const Demand& demand) noexcept {
  return std::accumulate(demand.begin(), demand.end(), 0.0);
}

// Highest rank, from 0 to 1, up to which the demand fits into an allowance.
template <typename Demand>
double rank_within(const Demand& demand, double allowance) noexcept {
  double rank = 0;
  for (const double repeats : demand) {
    if (repeats > allowance) return (rank + allowance / repeats) / static_cast<double>(demand.size());
    allowance -= repeats;
    rank += 1;
  }
  return 1;
}

}  // namespace

RepeatBudget::RepeatBudget(const RepeatBudgetOptions& options, core::TimePoint now) noexcept
    : options_(options), started_at_(now), interval_start_(now), step_start_(now) {}

void RepeatBudget::advance(core::TimePoint now) noexcept {
  const core::Duration length = options_.window / kIntervals;
  if (now - interval_start_ > 3 * options_.window) {
    intervals_.fill({});
    step_demand_.fill(0);
    mean_demand_.fill(0);
    threshold_ = 1;
    interval_start_ = step_start_ = now;
    return;
  }
  while (now - interval_start_ >= length) {
    interval_start_ += length;
    current_ = (current_ + 1) % intervals_.size();
    intervals_[current_] = {};
  }
  const core::Duration step = length / kStepsPerInterval;
  while (now - step_start_ >= step) {
    step_start_ += step;
    adjust_threshold(now);
  }
}

double RepeatBudget::step_allowance(core::TimePoint now) const noexcept {
  const double limit = window_limit(now);
  const double remaining = std::max(0.0, limit - repeats_in_window());
  return std::max(options_.interval_fraction * remaining, limit / kIntervals) / kStepsPerInterval;
}

void RepeatBudget::adjust_threshold(core::TimePoint now) noexcept {
  const double last_demand = sum(step_demand_);
  for (std::size_t i = 0; i < kRankBuckets; ++i) {
    mean_demand_[i] += options_.smoothing * (step_demand_[i] - mean_demand_[i]);
  }
  step_demand_.fill(0);
  ordinary_in_step_ = 0;
  const double allowance = step_allowance(now);
  const bool overload_over = kRepeatsPerRequest * std::max(last_demand, sum(mean_demand_)) <= allowance;
  threshold_ =
      overload_over ? 1 : std::min(rank_within(mean_demand_, allowance), threshold_ + options_.max_threshold_rise);
}

void RepeatBudget::on_first_attempt(core::TimePoint now) noexcept {
  advance(now);
  intervals_[current_].first_attempts += 1;
}

const RepeatBudget::Interval& RepeatBudget::interval(std::size_t ago) const noexcept {
  return intervals_[(current_ + intervals_.size() - ago) % intervals_.size()];
}

double RepeatBudget::first_attempts(std::size_t ago, core::TimePoint now) const noexcept {
  // The window ends within one interval and begins within another; both count by the part that lies in the window.
  const double elapsed = std::chrono::duration<double>(now - interval_start_) /
                         std::chrono::duration<double>(options_.window / kIntervals);
  double total = (ago == 0 ? 1 : elapsed) * interval(ago).first_attempts;
  for (std::size_t i = 1; i < kIntervals; ++i) total += interval(ago + i).first_attempts;
  return total + (1 - elapsed) * interval(ago + kIntervals).first_attempts;
}

double RepeatBudget::window_limit(core::TimePoint now) const noexcept {
  const double max_first_attempts =
      std::max({first_attempts(0, now), first_attempts(kIntervals / 2, now), first_attempts(kIntervals, now)});
  return options_.limit_fraction * (options_.ratio * max_first_attempts + slack_);
}

double RepeatBudget::repeats_in_window() const noexcept {
  double total = 0;
  for (std::size_t i = 0; i <= kIntervals; ++i) total += interval(i).repeats;
  return total;
}

double RepeatBudget::rank_of(const RepeatPriority& priority) const noexcept {
  const int levels = std::max(1, options_.progress_levels);
  const int level = std::clamp(priority.calls_left, 1, levels) - 1;
  const int priority_class = std::clamp(priority.priority, 0, kPriorityClasses - 1);
  return (priority_class + (level + priority.sample) / levels) / kPriorityClasses;
}

bool RepeatBudget::allow(core::TimePoint now, int servers, const RepeatPriority& priority) noexcept {
  // Before a restart, this daemon may have used the slack of the current window.
  slack_ = now - started_at_ < options_.window ? 0 : options_.slack / std::max(1, servers);
  advance(now);
  const double rank = rank_of(priority);
  step_demand_[std::min(kRankBuckets - 1, static_cast<std::size_t>(rank * kRankBuckets))] += 1;
  if (rank >= threshold_) return false;
  const double limit = window_limit(now);
  const double repeats = repeats_in_window() + 1;
  if (repeats > limit) return false;
  if (priority.priority > 0) {
    if (repeats > options_.ordinary_fraction * limit) return false;
    // One repeat in a step is always possible: the share of a small server may be less than one.
    if (ordinary_in_step_ > options_.ordinary_step_fraction * limit) return false;
    ordinary_in_step_ += 1;
  }
  intervals_[current_].repeats += 1;
  return true;
}

}  // namespace damaskthread::retry
