#include "damaskthread/admission/internal/threshold_control.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <numeric>

namespace damaskthread::admission::internal {
namespace {

// Weight of the newest window in the running means.
constexpr double kWeight = 0.4;
// Weight, in buckets, of the earlier estimate when only a few buckets of a class can be seen.
constexpr double kPriorBuckets = 16;
// Share of its estimate that a class keeps per window while none of it can be seen.
constexpr double kUnseenDecay = 0.9;
// A server less busy than this and without a queue refuses nothing; its capacity may not be known yet.
constexpr double kBusy = 0.5;
// Queue aimed at, as a share of what is completed in a window: 15 ms of work bridges the gaps between arrivals.
constexpr double kQueueTarget = 0.15;
// Share of the queue's error that is corrected per window. The callers follow with about one window's delay: with 1.0
// the queue swung between empty and full and a quarter of what the server queued expired, with 0.5 a tenth.
constexpr double kQueueGain = 0.5;
// Share of capacity given away. The rest takes up the error of the estimates; at 1.0 the work lost deep in the chain in
// the combined fault was 0.024, at 0.95 it is 0.019.
constexpr double kAdmitShare = 0.95;
// The budget is never below this share of capacity, however long the queue is.
constexpr double kMinBudget = 0.1;
// First step below the lowest level seen. Levels below it are filtered upstream, so a threshold far below it would
// only drift; the step doubles each window so that a released overload clears in a few windows.
constexpr int kFirstStep = 64;
// Buckets by which the thresholds of equally loaded servers differ. The entrance holds a request against their mean, so
// a continued call just below the threshold of one server was rightly admitted.
constexpr int kContinuedSlack = 32;
constexpr int kCriticalFloor = static_cast<int>(core::Importance::kCritical) * kBucketCount;
// Windows for which lost critical calls allow the threshold to enter the critical class; an estimate alone does not.
constexpr int kCriticalMemory = 3;

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
      density *= std::pow(kUnseenDecay, windows);
      continue;
    }
    const auto begin = arrivals_.begin() + static_cast<std::ptrdiff_t>(k) * kBucketCount;
    const double seen = std::accumulate(begin + first, begin + kBucketCount, 0.0) / (range * windows);
    density += (seen - density) * std::max(weight, 0.0) * range / (range + kPriorBuckets);
  }
}

int ThresholdControl::choose(double budget) const noexcept {
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

int ThresholdControl::lowest_seen() const noexcept {
  const double total = std::accumulate(arrivals_.begin(), arrivals_.end(), 0.0);
  // Two in 100 arrivals come from callers with an older level and do not count.
  const double strays = std::max(1.0, 0.02 * total);
  double sum = 0;
  for (int level = 0; level < kLevelCount; ++level) {
    sum += arrivals_[static_cast<std::size_t>(level)];
    if (sum > strays) return level;
  }
  return kLevelCount;
}

void ThresholdControl::close_window(const WindowSample& sample) noexcept {
  const double weight = 1 - std::pow(1 - kWeight, sample.windows);
  completions_ += (sample.completions / sample.windows - completions_) * weight;
  utilization_ += (sample.utilization - utilization_) * weight;
  update_density(sample.windows, weight);
  critical_lost_windows_ = sample.critical_lost ? kCriticalMemory : std::max(0, critical_lost_windows_ - 1);
  // The ratio of both means is the capacity at any load; below 2 % of use it is too noisy and the last one is kept.
  if (utilization_ > 0.02 && completions_ > 0) capacity_ = completions_ / utilization_;

  const double correction = kQueueGain * (kQueueTarget * capacity_ - sample.queued);
  const bool busy = sample.utilization >= kBusy || sample.queued > 0;
  int next = busy ? choose(std::max(kMinBudget * capacity_, kAdmitShare * capacity_ + correction)) : 0;
  const int lowest = lowest_seen();
  const int current = threshold().value;
  if (next < std::min(current, lowest)) {
    step_ = step_ == 0 ? kFirstStep : 2 * step_;
    next = std::max(next, std::min(current, lowest) - step_);
  } else {
    step_ = 0;
  }
  if (critical_lost_windows_ == 0 && current <= kCriticalFloor) next = std::min(next, kCriticalFloor);
  next = std::clamp(next, 0, kLevelCount - 1);
  std::rotate(history_.rbegin(), history_.rbegin() + 1, history_.rend());
  history_[0] = Level{static_cast<std::uint16_t>(next)};
  arrivals_.fill(0);
}

}  // namespace damaskthread::admission::internal
