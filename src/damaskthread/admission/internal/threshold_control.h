#ifndef DAMASKTHREAD_ADMISSION_INTERNAL_THRESHOLD_CONTROL_H_
#define DAMASKTHREAD_ADMISSION_INTERNAL_THRESHOLD_CONTROL_H_

/// @file
/// @brief Chooses the threshold level of a server from a histogram of arrivals by level.

#include <array>
#include <cstdint>

#include "damaskthread/admission/level.h"

namespace damaskthread::admission::internal {

/// What one server measured in one or more windows.
struct WindowSample {
  /// Length in windows; 1 unless the server was idle.
  double windows = 1;
  double completions = 0;
  /// Mean share of the concurrency limit that was in use, 0 to 1.
  double utilization = 0;
  /// Calls queued at the end.
  int queued = 0;
  /// Critical calls were refused or dropped for lack of room.
  bool critical_lost = false;
};

/// @brief Threshold of one server.
///
/// Each window the threshold is set where the arrivals expected above it equal what the server can complete, corrected
/// by the difference between the queue and a short queue that keeps the server busy. Arrivals below the threshold are
/// filtered by callers and cannot be counted; hashes are uniform, so the density seen in the upper buckets of a class
/// stands for the whole class.
class ThresholdControl {
 public:
  void on_arrival(Level level) noexcept { ++arrivals_[level.value]; }

  void close_window(const WindowSample& sample) noexcept;

  [[nodiscard]] Level threshold() const noexcept { return history_[0]; }
  /// Lowest threshold of the last windows, with some slack. Calls that continue a request are held against it: their
  /// requests were admitted upstream under an earlier threshold and that of other servers.
  [[nodiscard]] Level continued_threshold() const noexcept;
  /// Calls that the server completes in one window when all of its limit is in use.
  [[nodiscard]] double capacity() const noexcept { return capacity_; }

 private:
  static constexpr int kHistory = 3;

  void update_density(double windows, double weight) noexcept;
  [[nodiscard]] int choose(double budget) const noexcept;
  [[nodiscard]] int lowest_seen() const noexcept;

  std::array<std::uint32_t, kLevelCount> arrivals_{};
  /// Arrivals per bucket and window, by class.
  std::array<double, core::kImportanceCount> density_{};
  std::array<Level, kHistory> history_{};
  double completions_ = 0;
  double utilization_ = 0;
  double capacity_ = 0;
  int step_ = 0;
  int critical_lost_windows_ = 0;
};

}  // namespace damaskthread::admission::internal

#endif  // DAMASKTHREAD_ADMISSION_INTERNAL_THRESHOLD_CONTROL_H_
