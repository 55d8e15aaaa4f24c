#include "damaskthread/retry/repeat_budget.h"

#include <algorithm>
#include <limits>
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
    adjust_threshold();
  }
}

RepeatBudget::Room RepeatBudget::room() const noexcept {
  // Number of first attempts in the intervals from `newest` to `oldest`, counted back from the current one.
  const auto first_attempts = [this](std::size_t newest, std::size_t oldest) {
    double total = 0;
    for (std::size_t ago = newest; ago <= oldest; ++ago) total += interval(ago).first_attempts;
    return total;
  };
  constexpr std::size_t kHalf = kIntervals / 2;
  Room room{0, std::numeric_limits<double>::max()};
  double repeats = 0;
  for (std::size_t begin = 0; begin <= kIntervals; ++begin) {
    repeats += interval(begin).repeats;
    const std::size_t half_end = begin < kHalf ? 0 : begin - kHalf + 1;
    const double first = std::max({first_attempts(0, begin), first_attempts(half_end, begin + kHalf),
                                   first_attempts(begin + 1, begin + kIntervals)});
    room.limit = options_.limit_fraction * (options_.ratio * first + slack_);
    room.left = std::min(room.left, room.limit - repeats);
  }
  room.left = std::max(0.0, room.left);
  return room;
}

void RepeatBudget::adjust_threshold() noexcept {
  const double last_demand = sum(step_demand_);
  for (std::size_t i = 0; i < kRankBuckets; ++i) {
    mean_demand_[i] += options_.smoothing * (step_demand_[i] - mean_demand_[i]);
  }
  step_demand_.fill(0);
  ordinary_in_step_ = 0;
  const Room available = room();
  const double allowance =
      std::max(options_.interval_fraction * available.left, available.limit / kIntervals) / kStepsPerInterval;
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
  const Room available = room();
  if (available.left < 1) return false;
  if (priority.priority > 0) {
    if (available.left - 1 < (1 - options_.ordinary_fraction) * available.limit) return false;
    // One repeat in a step is always possible: the share of a small server may be less than one.
    if (ordinary_in_step_ > options_.ordinary_step_fraction * available.limit) return false;
    ordinary_in_step_ += 1;
  }
  intervals_[current_].repeats += 1;
  return true;
}

}  // namespace damaskthread::retry
