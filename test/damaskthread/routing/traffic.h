#ifndef DAMASKTHREAD_TEST_ROUTING_TRAFFIC_H_
#define DAMASKTHREAD_TEST_ROUTING_TRAFFIC_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "damaskthread/routing/router.h"

namespace damaskthread::routing {

/// Result of one attempt at a simulated server.
struct SimulatedResult {
  AttemptOutcome outcome = AttemptOutcome::kAnswered;
  core::Duration latency = std::chrono::milliseconds(10);
};

/// Sends attempts through a router at a constant rate and reports their results in time order.
class TrafficSimulation {
 public:
  using ServerModel = std::function<SimulatedResult(core::ServerId, core::TimePoint)>;

  TrafficSimulation(ServiceRouter& router, core::TimePoint start, std::uint64_t seed)
      : router_(&router), now_(start), random_(seed) {}

  /// Runs for the given time and returns the number of attempts per server; key 0 counts attempts without a server.
  std::map<std::uint64_t, int> run(core::Duration time, int per_second, const ServerModel& server_model) {
    std::map<std::uint64_t, int> counts;
    const core::TimePoint end = now_ + time;
    const core::Duration step = core::Duration(std::chrono::seconds(1)) / per_second;
    for (; now_ < end; now_ += step) {
      finish_attempts_until(now_);
      const std::optional<core::ServerId> server = router_->choose(random_, {}, now_);
      if (!server) {
        ++counts[0];
        continue;
      }
      ++counts[server->value];
      router_->started(*server, now_);
      const SimulatedResult result = server_model(*server, now_);
      pending_.emplace(now_ + result.latency, std::pair(*server, result));
    }
    return counts;
  }

  [[nodiscard]] core::TimePoint now() const { return now_; }

 private:
  void finish_attempts_until(core::TimePoint time) {
    while (!pending_.empty() && pending_.begin()->first <= time) {
      const auto [server, result] = pending_.begin()->second;
      router_->finished(server, result.outcome, result.latency, pending_.begin()->first);
      pending_.erase(pending_.begin());
    }
  }

  ServiceRouter* router_;
  core::TimePoint now_;
  core::Random random_;
  std::multimap<core::TimePoint, std::pair<core::ServerId, SimulatedResult>> pending_;
};

/// Returns servers with ids from 1, all in zone 0.
inline std::vector<ServerInfo> make_servers(int count) {
  std::vector<ServerInfo> servers;
  for (int i = 1; i <= count; ++i) {
    servers.push_back({.id = {static_cast<std::uint64_t>(i)}, .incarnation = {1000}, .slots = 70, .connections = 530});
  }
  return servers;
}

}  // namespace damaskthread::routing

#endif  // DAMASKTHREAD_TEST_ROUTING_TRAFFIC_H_
