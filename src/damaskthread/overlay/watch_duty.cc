#include "damaskthread/overlay/watch_duty.h"

#include <algorithm>

namespace damaskthread::overlay {

bool WatchDuty::update(std::span<const WatcherState> others, core::TimePoint now) noexcept {
  const bool any_reachable =
      std::any_of(others.begin(), others.end(), [](const WatcherState& other) { return other.reachable; });
  if (any_reachable && !reached_others_) {
    reached_others_ = true;
    decide_after_ = std::min(decide_after_, now + kDiscoveryTime);
  }
  if (now < decide_after_) return false;
  std::size_t rank = 0;
  std::size_t watching = 0;
  for (const WatcherState& other : others) {
    if (!other.reachable || other.position >= position_) continue;
    ++rank;
    if (other.watching) ++watching;
  }
  if (watching >= kTargetWatchers) {
    shortage_since_.reset();
    if (now - on_duty_since_ >= kMinDutyTime) on_duty_ = false;
    return on_duty_;
  }
  if (!shortage_since_) shortage_since_ = now;
  const auto rank_delays = static_cast<int>(std::min(rank / kTargetWatchers, kMaxRankDelays));
  if (!on_duty_ && now - *shortage_since_ >= rank_delays * kRankDelay) {
    on_duty_ = true;
    on_duty_since_ = now;
  }
  return on_duty_;
}

}  // namespace damaskthread::overlay
