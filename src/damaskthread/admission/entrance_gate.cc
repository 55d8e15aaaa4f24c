#include "damaskthread/admission/entrance_gate.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace damaskthread::admission {
namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

// An entry holds the time in milliseconds, modulo 2^32, in the high half and the level with 16 fractional bits in the
// low half. Zero means that nothing has been heard.
constexpr double kFraction = 65536.0;

std::uint32_t millisecond(core::TimePoint now) noexcept {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count());
}

std::uint32_t age(std::uint64_t entry, core::TimePoint now) noexcept {
  const std::uint32_t elapsed = millisecond(now) - static_cast<std::uint32_t>(entry >> 32U);
  // Another thread may have written a slightly later time.
  return elapsed > 0x80000000U ? 0 : elapsed;
}

}  // namespace

EntranceGate::EntranceGate(const GateOptions& options) : options_(options), entries_(options.services) {}

double EntranceGate::decayed(std::uint64_t entry, core::TimePoint now) const noexcept {
  const double level = static_cast<double>(entry & 0xFFFFFFFFU) / kFraction;
  const double silence = age(entry, now) - Milliseconds(options_.hold).count();
  if (silence <= 0) return level;
  return std::max(0.0, level - kLevelCount * silence / Milliseconds(options_.decay).count());
}

bool EntranceGate::admits(core::ServiceId service, const Arrival& arrival, core::TimePoint now) const noexcept {
  return level_of(arrival.importance, arrival.request_hash) >= level(service, now);
}

Level EntranceGate::level(core::ServiceId service, core::TimePoint now) const noexcept {
  if (service.value >= entries_.size()) return {};
  const std::uint64_t entry = entries_[service.value].load(std::memory_order_relaxed);
  if ((entry & 0xFFFFFFFFU) == 0) return {};
  return Level{static_cast<std::uint16_t>(std::lround(decayed(entry, now)))};
}

void EntranceGate::heard(core::ServiceId service, Level level, core::TimePoint now) noexcept {
  if (service.value >= entries_.size()) return;
  std::atomic<std::uint64_t>& slot = entries_[service.value];
  std::uint64_t entry = slot.load(std::memory_order_relaxed);
  if (entry != 0 && age(entry, now) == 0) return;
  double updated = level.value;
  if (entry != 0) {
    const double elapsed = age(entry, now);
    const double before = decayed(entry, now);
    updated = before + (level.value - before) * elapsed / (elapsed + Milliseconds(options_.smoothing).count());
  }
  const std::uint64_t packed = (static_cast<std::uint64_t>(millisecond(now)) << 32U) |
                               static_cast<std::uint32_t>(std::clamp(updated, 0.0, 1.0 * kLevelCount) * kFraction);
  // A failed exchange means that another answer was taken in at the same moment.
  slot.compare_exchange_strong(entry, packed, std::memory_order_relaxed);
}

}  // namespace damaskthread::admission
