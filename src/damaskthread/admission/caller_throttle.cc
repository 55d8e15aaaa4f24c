#include "damaskthread/admission/caller_throttle.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace damaskthread::admission {
namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

// Entry layout: the upper 32 bits hold the time in milliseconds modulo 2^32, the lower 32 bits the level with 16
// fractional bits. Zero means that no level has been reported.
constexpr double kLevelScale = 65536.0;

std::uint32_t milliseconds_mod_2_32(core::TimePoint now) noexcept {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count());
}

std::uint32_t elapsed_ms(std::uint64_t entry, core::TimePoint now) noexcept {
  const std::uint32_t elapsed = milliseconds_mod_2_32(now) - static_cast<std::uint32_t>(entry >> 32U);
  // Another thread may have stored a slightly later time.
  return elapsed > 0x80000000U ? 0 : elapsed;
}

}  // namespace

CallerThrottle::CallerThrottle(const CallerThrottleOptions& options) : options_(options), entries_(options.services) {}

double CallerThrottle::decayed_level(std::uint64_t entry, core::TimePoint now) const noexcept {
  const double level = static_cast<double>(entry & 0xFFFFFFFFU) / kLevelScale;
  const double silence = elapsed_ms(entry, now) - Milliseconds(options_.decay_delay).count();
  if (silence <= 0) return level;
  return std::max(0.0, level - kLevelCount * silence / Milliseconds(options_.decay_time).count());
}

bool CallerThrottle::admits(core::ServiceId service, const Arrival& arrival, core::TimePoint now) const noexcept {
  return level_of(arrival.importance, arrival.request_hash) >= level(service, now);
}

Level CallerThrottle::level(core::ServiceId service, core::TimePoint now) const noexcept {
  if (service.value >= entries_.size()) return {};
  const std::uint64_t entry = entries_[service.value].load(std::memory_order_relaxed);
  if ((entry & 0xFFFFFFFFU) == 0) return {};
  return Level{static_cast<std::uint16_t>(std::lround(decayed_level(entry, now)))};
}

void CallerThrottle::observe(core::ServiceId service, Level level, core::TimePoint now) noexcept {
  if (service.value >= entries_.size()) return;
  std::atomic<std::uint64_t>& entry_slot = entries_[service.value];
  std::uint64_t entry = entry_slot.load(std::memory_order_relaxed);
  if (entry != 0 && elapsed_ms(entry, now) == 0) return;
  double updated = level.value;
  if (entry != 0) {
    const double elapsed = elapsed_ms(entry, now);
    const double before = decayed_level(entry, now);
    updated = before + (level.value - before) * elapsed / (elapsed + Milliseconds(options_.smoothing_time).count());
  }
  const std::uint64_t packed = (static_cast<std::uint64_t>(milliseconds_mod_2_32(now)) << 32U) |
                               static_cast<std::uint32_t>(std::clamp(updated, 0.0, 1.0 * kLevelCount) * kLevelScale);
  // If the exchange fails, another thread has recorded a report concurrently; this one is discarded.
  entry_slot.compare_exchange_strong(entry, packed, std::memory_order_relaxed);
}

}  // namespace damaskthread::admission
