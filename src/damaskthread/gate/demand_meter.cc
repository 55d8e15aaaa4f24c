#include "damaskthread/gate/demand_meter.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace damaskthread::gate {
namespace {

double in_time_constants(core::Duration time) {
  return std::chrono::duration<double>(time) / std::chrono::duration<double>(DemandMeter::kTimeConstant);
}

}  // namespace

double DemandMeter::slots(core::TimePoint now) const noexcept {
  return slots_ * std::exp(-in_time_constants(now - updated_));
}

void DemandMeter::add(core::Duration run_time, core::TimePoint now) noexcept {
  slots_ = slots(now) + in_time_constants(run_time);
  updated_ = now;
}

void DemandMeter::remove(core::Duration run_time, core::TimePoint now) noexcept {
  slots_ = std::max(0.0, slots(now) - in_time_constants(run_time));
  updated_ = now;
}

}  // namespace damaskthread::gate
