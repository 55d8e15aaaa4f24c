#include "damaskthread/entrance/throttle.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace damaskthread::entrance {
namespace {

// Weight of the newest sample in an exponentially weighted moving average.
double ewma_weight(core::Duration elapsed, core::Duration time_constant) {
  return 1 - std::exp(-std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(time_constant));
}

// Offered requests are averaged over a multiple of the time constant of the share, since a priority may be rare.
constexpr int kOfferedTimeConstants = 4;

}  // namespace

void Throttle::observe(const std::string& service, const gate::Load& total, core::Duration elapsed) {
  State& state = services_[service];
  Count sum;
  for (const auto& [priority, count] : state.counts) {
    sum.offered += count.offered;
    sum.admitted += count.admitted;
  }
  const double offered_weight = ewma_weight(elapsed, kOfferedTimeConstants * options_.share_time_constant);
  for (auto& [priority, mean] : state.offered) mean -= offered_weight * mean;
  for (const auto& [priority, count] : state.counts) state.offered[priority] += offered_weight * count.offered;
  state.counts.clear();
  const double admitted_share = sum.offered > 0 ? sum.admitted / sum.offered : state.share;
  state.recent_share += ewma_weight(elapsed, options_.share_time_constant) * (admitted_share - state.recent_share);
  if (total.limit <= 0) return;

  const double limit = total.limit;
  state.demand += ewma_weight(elapsed, options_.demand_time_constant) * (total.demand / limit - state.demand);
  const double queue_penalty =
      std::min(options_.max_queue_penalty, options_.queue_penalty_factor * total.queued / limit);
  const double target = options_.target_demand - queue_penalty;
  const double offered = state.demand / std::max(options_.min_share, state.recent_share);
  const double sustainable_share = offered <= target ? 1 : target / offered;
  const double max_share =
      state.share + options_.max_share_rise_per_second * std::chrono::duration<double>(elapsed).count();
  state.share = std::clamp(std::min(sustainable_share, max_share), options_.min_share, 1.0);
  state.steady_share += ewma_weight(elapsed, options_.steady_share_time_constant) * (state.share - state.steady_share);
}

void Throttle::record_offered(std::span<const std::string> needed, int priority, double share) {
  for (const std::string& service : needed) {
    Count& count = services_[service].counts[priority];
    count.offered += 1;
    count.admitted += share;
  }
}

double Throttle::pressure(const std::string& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? 0 : 1 - found->second.share;
}

double Throttle::share_of_priority(const State& state, int priority) const {
  double total = 0;
  for (const auto& [current_priority, mean] : state.offered) total += mean;
  if (state.share >= 1 || total <= 0) return state.share;
  const double min_priority_share = options_.min_priority_share * state.share;
  const double steady = std::max(state.share, state.steady_share);
  const int lowest = state.offered.rbegin()->first;
  // Requests admitted of the priorities so far, and offered of the less important ones.
  double admitted = 0;
  double offered_below = total;
  for (const auto& [current_priority, mean] : state.offered) {
    offered_below -= mean;
    const double remaining = (current_priority == lowest ? state.share : steady) * total - admitted;
    const double share =
        mean <= 0 ? 1 : std::clamp((remaining - min_priority_share * offered_below) / mean, min_priority_share, 1.0);
    if (current_priority == priority) return share;
    admitted += share * mean;
  }
  return state.share;
}

Throttle::Limit Throttle::limit(std::span<const std::string> needed, int priority) const {
  Limit limit;
  for (const std::string& service : needed) {
    const auto found = services_.find(service);
    if (found == services_.end()) continue;
    const double share = share_of_priority(found->second, priority);
    if (share < limit.share) limit = {share, service};
  }
  return limit;
}

}  // namespace damaskthread::entrance
