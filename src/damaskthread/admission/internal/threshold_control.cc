#include "damaskthread/admission/internal/threshold_control.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <numeric>

namespace damaskthread::admission::internal {
namespace {

// Weight of the newest window in the exponential moving averages.
constexpr double kSmoothingWeight = 0.4;
// Weight of the previous density estimate, in buckets. Dominates when few buckets of a class are observed.
constexpr double kPriorBuckets = 16;
// Decay factor per window of the density estimate of a class while none of its buckets is observed.
constexpr double kUnobservedDecay = 0.9;
// Below this utilization and without a queue nothing is refused, since the capacity may not be known yet.
constexpr double kBusyUtilization = 0.5;
// Target queue length as a share of the completions per window: 15 ms of work bridges gaps between arrivals.
constexpr double kTargetQueueShare = 0.15;
// Share of the queue length error that is corrected per window. Callers react about one window late: at 1.0 the queue
// oscillates between empty and full and a quarter of the queued calls expire, at 0.5 a tenth.
constexpr double kQueueGain = 0.5;
// Share of capacity that is admitted. The rest absorbs estimation errors: in the combined fault scenario the share of
// work wasted deep in the call chain is 0.024 at 1.0 and 0.019 at 0.95.
constexpr double kAdmittedShare = 0.95;
// Lower bound of the admission budget as a share of capacity, for any queue length.
constexpr double kMinBudgetShare = 0.1;
// First step of the threshold below the lowest arrival level. Callers filter lower levels, so their rate is unknown;
// the step doubles each window so that the threshold falls within a few windows after an overload.
constexpr int kInitialStep = 64;
// Buckets by which the thresholds of equally loaded servers differ. Callers compare a request with the mean threshold,
// so a continued call slightly below the threshold of one server was admitted correctly.
constexpr int kContinuedSlack = 32;
constexpr int kCriticalFloor = static_cast<int>(core::Importance::kCritical) * kBucketCount;
// Number of windows after a refused critical call in which the threshold may enter the critical class. An estimate
// alone does not allow this.
constexpr int kCriticalRefusalWindows = 3;

}  // namespace

Level ThresholdControl::continued_threshold() const noexcept {
  const int lowest = std::min_element(history_.begin(), history_.end())->value;
  return Level{static_cast<std::uint16_t>(std::max(0, lowest - kContinuedSlack))};
}

void ThresholdControl::update_density(double windows, double weight) noexcept {
  const int highest = std::max_element(history_.begin(), history_.end())->value;
  for (int k = 0; k < core::kImportanceCount; ++k) {
    const int first = std::clamp(highest - k * kBucketCount, 0, kBucketCount);
    const int range = kBucketCount - first;
    double& density = density_[static_cast<std::size_t>(k)];
    if (range == 0) {
      density *= std::pow(kUnobservedDecay, windows);
      continue;
    }
    const auto begin = arrivals_.begin() + static_cast<std::ptrdiff_t>(k) * kBucketCount;
    const double observed = std::accumulate(begin + first, begin + kBucketCount, 0.0) / (range * windows);
    density += (observed - density) * std::max(weight, 0.0) * range / (range + kPriorBuckets);
  }
}

int ThresholdControl::threshold_for(double budget) const noexcept {
  for (int k = core::kImportanceCount - 1; k >= 0; --k) {
    const double density = density_[static_cast<std::size_t>(k)];
    if (density * kBucketCount <= budget) {
      budget -= density * kBucketCount;
      continue;
    }
    return k * kBucketCount + kBucketCount - std::clamp(static_cast<int>(budget / density), 0, kBucketCount);
  }
  return 0;
}

int ThresholdControl::lowest_arrival_level() const noexcept {
  const double total = std::accumulate(arrivals_.begin(), arrivals_.end(), 0.0);
  // Up to 2 % of the arrivals come from callers with an outdated level and are ignored.
  const double stale_arrivals = std::max(1.0, 0.02 * total);
  double sum = 0;
  for (int level = 0; level < kLevelCount; ++level) {
    sum += arrivals_[static_cast<std::size_t>(level)];
    if (sum > stale_arrivals) return level;
  }
  return kLevelCount;
}

void ThresholdControl::close_window(const WindowSample& sample) noexcept {
  const double weight = 1 - std::pow(1 - kSmoothingWeight, sample.windows);
  completions_ += (sample.completions / sample.windows - completions_) * weight;
  utilization_ += (sample.utilization - utilization_) * weight;
  update_density(sample.windows, weight);
  critical_refused_windows_ =
      sample.critical_refused ? kCriticalRefusalWindows : std::max(0, critical_refused_windows_ - 1);
  // The ratio of the two means estimates the capacity at any load. Below 2 % utilization it is too noisy, and the last
  // estimate is kept.
  if (utilization_ > 0.02 && completions_ > 0) capacity_ = completions_ / utilization_;

  const double correction = kQueueGain * (kTargetQueueShare * capacity_ - sample.queued);
  const bool busy = sample.utilization >= kBusyUtilization || sample.queued > 0;
  int next = busy ? threshold_for(std::max(kMinBudgetShare * capacity_, kAdmittedShare * capacity_ + correction)) : 0;
  const int lowest = lowest_arrival_level();
  const int current = threshold().value;
  if (next < std::min(current, lowest)) {
    step_ = step_ == 0 ? kInitialStep : 2 * step_;
    next = std::max(next, std::min(current, lowest) - step_);
  } else {
    step_ = 0;
  }
  if (critical_refused_windows_ == 0 && current <= kCriticalFloor) next = std::min(next, kCriticalFloor);
  next = std::clamp(next, 0, kLevelCount - 1);
  std::rotate(history_.rbegin(), history_.rbegin() + 1, history_.rend());
  history_[0] = Level{static_cast<std::uint16_t>(next)};
  arrivals_.fill(0);
}

}  // namespace damaskthread::admission::internal
