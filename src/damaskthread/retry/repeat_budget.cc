#include "damaskthread/retry/repeat_budget.h"

#include <algorithm>
#include <numeric>

namespace damaskthread::retry {
namespace {

// Maximum growth of the selection per interval, in buckets. Selected requests make more calls than the others, which
// shows up only in the demand of the next interval.
constexpr std::size_t kMaxBucketGrowth = 1;
// Repeats that a request may need in total for each one seen, since a request stops at its first refused repeat. If
// the budget covers even this demand, the overload is over and all buckets are selected at once.
constexpr double kRepeatsPerRequest = 6;

template <typename Demand>
double sum(const Demand& demand) noexcept {
  return std::accumulate(demand.begin(), demand.end(), 0.0);
}

// Number of sample buckets, from the lowest up, whose demand fits into an allowance.
template <typename Demand>
std::size_t buckets_within(const Demand& demand, double allowance, std::size_t selected) noexcept {
  if (kRepeatsPerRequest * sum(demand) <= allowance) return demand.size();
  std::size_t buckets = 0;
  for (double total = 0; buckets < demand.size(); ++buckets) {
    total += demand[buckets];
    if (total > allowance) break;
  }
  return std::min({buckets, selected + kMaxBucketGrowth, demand.size()});
}

}  // namespace

RepeatBudget::RepeatBudget(const RepeatBudgetOptions& options, core::TimePoint now) noexcept
    : options_(options), started_at_(now), interval_start_(now) {}

void RepeatBudget::advance(core::TimePoint now) noexcept {
  const core::Duration length = options_.window / kIntervals;
  if (now - interval_start_ > 3 * options_.window) {
    intervals_.fill({});
    selected_ = {};
    interval_start_ = now;
    return;
  }
  while (now - interval_start_ >= length) {
    interval_start_ += length;
    select_buckets(intervals_[current_]);
    current_ = (current_ + 1) % intervals_.size();
    intervals_[current_] = {};
  }
}

void RepeatBudget::select_buckets(const Interval& previous) noexcept {
  const double remaining = std::max(0.0, window_limit() - repeats_in_window());
  const double allowance = std::max(options_.interval_fraction * remaining, window_limit() / kIntervals);
  selected_.important = std::max<std::size_t>(1, buckets_within(previous.important, allowance, selected_.important));
  const double rest = allowance - std::min(allowance, sum(previous.important));
  selected_.ordinary =
      buckets_within(previous.ordinary, std::min(rest, options_.ordinary_fraction * allowance), selected_.ordinary);
}

void RepeatBudget::on_first_attempt(core::TimePoint now) noexcept {
  advance(now);
  intervals_[current_].first_attempts += 1;
}

void RepeatBudget::on_mandatory_repeat(core::TimePoint now) noexcept {
  advance(now);
  intervals_[current_].repeats += 1;
}

const RepeatBudget::Interval& RepeatBudget::interval(std::size_t ago) const noexcept {
  return intervals_[(current_ + intervals_.size() - ago) % intervals_.size()];
}

double RepeatBudget::first_attempts(std::size_t ago) const noexcept {
  double total = 0;
  for (std::size_t i = 0; i <= kIntervals && ago + i < intervals_.size(); ++i)
    total += interval(ago + i).first_attempts;
  return total;
}

double RepeatBudget::projected_important_demand() const noexcept {
  return static_cast<double>(kIntervals) * std::max(sum(interval(1).important), sum(interval(0).important));
}

double RepeatBudget::window_limit() const noexcept {
  const double max_first_attempts =
      std::max({first_attempts(0), first_attempts(kIntervals / 2), first_attempts(kIntervals)});
  return options_.limit_fraction * (options_.ratio * max_first_attempts + slack_);
}

double RepeatBudget::repeats_in_window() const noexcept {
  double total = 0;
  for (std::size_t i = 0; i <= kIntervals; ++i) total += interval(i).repeats;
  return total;
}

bool RepeatBudget::allow(core::TimePoint now, int servers, const RepeatPriority& priority) noexcept {
  // Before a restart, this daemon may have used the slack of the current window.
  slack_ = now - started_at_ < options_.window ? 0 : options_.slack / std::max(1, servers);
  advance(now);
  const auto sample = std::min(kSampleBuckets - 1, static_cast<std::size_t>(priority.sample * kSampleBuckets));
  Interval& current = intervals_[current_];
  (priority.important ? current.important : current.ordinary)[sample] += 1;
  if (sample >= (priority.important ? selected_.important : selected_.ordinary)) return false;
  const double limit = window_limit();
  const double ordinary_limit = std::min(options_.ordinary_fraction * limit, limit - projected_important_demand());
  if (repeats_in_window() + 1 > (priority.important ? limit : ordinary_limit)) return false;
  current.repeats += 1;
  return true;
}

}  // namespace damaskthread::retry
