#ifndef DAMASKTHREAD_GATE_DEMAND_METER_H_
#define DAMASKTHREAD_GATE_DEMAND_METER_H_

/// @file
/// @brief Estimates the offered load of a server in slots.

#include "damaskthread/core/types.h"

namespace damaskthread::gate {

/// @brief Exponentially weighted moving average of the offered load. Unlike the number of running or queued requests,
/// it does not saturate when all slots are busy and does not keep growing while a queue builds up.
class DemandMeter {
 public:
  /// @brief Records an arrival.
  /// @param run_time Expected run time of the request.
  void add(core::Duration run_time, core::TimePoint now) noexcept;
  /// @brief Takes back a recent arrival that occupied no slot.
  void remove(core::Duration run_time, core::TimePoint now) noexcept;
  /// @return Number of slots that the arrivals would occupy on average.
  [[nodiscard]] double slots(core::TimePoint now) const noexcept;

  /// Time constant of the moving average.
  static constexpr core::Duration kTimeConstant = std::chrono::milliseconds{500};

 private:
  double slots_ = 0;
  core::TimePoint updated_;
};

}  // namespace damaskthread::gate

#endif  // DAMASKTHREAD_GATE_DEMAND_METER_H_
