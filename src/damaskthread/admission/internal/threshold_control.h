#ifndef DAMASKTHREAD_ADMISSION_INTERNAL_THRESHOLD_CONTROL_H_
#define DAMASKTHREAD_ADMISSION_INTERNAL_THRESHOLD_CONTROL_H_

/// @file
/// @brief Controls the admission threshold of a server from a histogram of arrivals by level.

#include <array>
#include <cstdint>

#include "damaskthread/admission/level.h"

namespace damaskthread::admission::internal {

/// Measurements of one server over one or more windows.
struct WindowSample {
  /// Length of the sample in windows; above 1 only after an idle period.
  double windows = 1;
  double completions = 0;
  /// Mean utilization of the concurrency limit, 0 to 1.
  double utilization = 0;
  /// Queue length at the end of the sample.
  int queued = 0;
  /// Critical calls were refused or dropped for lack of capacity.
  bool critical_refused = false;
};

/// @brief Threshold controller of one server.
///
/// In each window the threshold is set so that the expected arrivals above it equal the capacity of the server,
/// corrected by the difference between the queue length and a short target queue. Callers filter arrivals below the
/// threshold, so these cannot be counted. Hashes are uniformly distributed, so the arrival density in the upper buckets
/// of a class is used for the whole class.
class ThresholdControl {
 public:
  void on_arrival(Level level) noexcept { ++arrivals_[level.value]; }

  void close_window(const WindowSample& sample) noexcept;

  [[nodiscard]] Level threshold() const noexcept { return history_[0]; }
  /// Lowest threshold of the last windows minus a margin. Applies to continued calls, whose requests were admitted
  /// upstream under an earlier threshold and the thresholds of other servers.
  [[nodiscard]] Level continued_threshold() const noexcept;
  /// Calls that the server completes per window at full utilization of its concurrency limit.
  [[nodiscard]] double capacity() const noexcept { return capacity_; }

 private:
  static constexpr int kHistoryWindows = 3;

  void update_density(double windows, double weight) noexcept;
  [[nodiscard]] int threshold_for(double budget) const noexcept;
  [[nodiscard]] int lowest_arrival_level() const noexcept;

  std::array<std::uint32_t, kLevelCount> arrivals_{};
  /// Estimated arrivals per bucket and window, by class.
  std::array<double, core::kImportanceCount> density_{};
  std::array<Level, kHistoryWindows> history_{};
  double completions_ = 0;
  double utilization_ = 0;
  double capacity_ = 0;
  int step_ = 0;
  int critical_refused_windows_ = 0;
};

}  // namespace damaskthread::admission::internal

#endif  // DAMASKTHREAD_ADMISSION_INTERNAL_THRESHOLD_CONTROL_H_
