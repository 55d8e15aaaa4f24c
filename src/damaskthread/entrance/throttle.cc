#include "damaskthread/entrance/throttle.h"

#include <algorithm>
#include <chrono>

namespace damaskthread::entrance {

void Throttle::observe(const std::string& service, const gate::Load& total, core::Duration elapsed) {
  double& pressure = pressure_[service];
  if (total.limit <= 0) return;
  const double load = static_cast<double>(total.running + total.queued) / total.limit;
  const double excess = std::clamp(load - options_.target_load, -options_.max_excess, options_.max_excess);
  const double seconds = std::chrono::duration<double>(elapsed).count();
  pressure += (excess > 0 ? options_.rise : options_.fall) * excess * seconds;
  pressure = std::clamp(pressure, 0.0, 1.0);
}

double Throttle::pressure(const std::string& service) const {
  const auto found = pressure_.find(service);
  return found == pressure_.end() ? 0 : found->second;
}

double Throttle::admitted_share(std::span<const std::string> needed, int priority, std::span<const int> ranks) const {
  double highest = 0;
  for (const std::string& service : needed) highest = std::max(highest, pressure(service));
  if (highest <= 0) return 1;
  // The pressure range is divided evenly among the ranks; the least important one gives way in the first part.
  const auto more_important = std::count_if(ranks.begin(), ranks.end(), [priority](int rank) { return rank < priority; });
  const double parts = static_cast<double>(std::max<std::size_t>(1, ranks.size()));
  const double before = parts - 1 - static_cast<double>(more_important);
  const double progress = std::clamp(highest * parts - before, 0.0, 1.0);
  return 1 - (1 - options_.floor) * progress;
}

}  // namespace damaskthread::entrance
