#include "damaskthread/pace/ramp_up.h"

#include <algorithm>
#include <chrono>

namespace damaskthread::pace {

void RampUp::start(int slots, core::TimePoint now) noexcept {
  ramping_ = true;
  slots_ = std::max(1, slots);
  window_ = std::max(1.0, options_.initial_share * slots_);
  ends_at_ = now + options_.max_duration;
}

bool RampUp::active(core::TimePoint now) const noexcept { return ramping_ && now < ends_at_; }

void RampUp::decrease() noexcept { window_ = std::max(1.0, window_ * options_.decrease); }

void RampUp::on_response(const std::string& kind, core::Duration run_time, core::TimePoint now) {
  const double seconds = std::chrono::duration<double>(run_time).count();
  if (seconds <= 0) return;
  double& usual = usual_seconds_[kind];
  if (!active(now)) {
    usual = usual == 0 ? seconds : usual + options_.smoothing * (seconds - usual);
    return;
  }
  // Of a kind that was never seen before there is nothing to compare with.
  const double ratio = usual == 0 ? 1 : seconds / usual;
  if (ratio <= options_.good_run_time) window_ += 1;
  if (ratio > options_.bad_run_time) decrease();
  if (window_ >= slots_) ramping_ = false;
}

void RampUp::on_rejection(core::TimePoint now) noexcept {
  if (active(now)) decrease();
}

double RampUp::share(core::TimePoint now) const noexcept {
  return active(now) ? std::clamp(window_ / slots_, 1.0 / slots_, 1.0) : 1.0;
}

}  // namespace damaskthread::pace
