#include <algorithm>
#include <cmath>
#include <utility>

#include "support/policy_fixture.h"

namespace damaskthread::test {

void Policy::set_up(const Deployment& deployment, const Scenario& scenario, PolicyHost& host) {
  deployment_ = &deployment;
  scenario_ = &scenario;
  host_ = &host;
  first_server_.assign(1, 0);
  for (const ServiceSpec& service : deployment.services) {
    first_server_.push_back(first_server_.back() + service.servers);
  }
}

HopStep Policy::choose(const PolicyCall& hop) {
  const auto servers = static_cast<std::uint64_t>(spec_of(hop.service).servers);
  return {HopStep::Kind::kSend, first_server(hop.service) + static_cast<int>(host_->random()() % servers), {}};
}

HopStep Policy::answered(const PolicyCall& hop, const HopAnswer& answer) {
  if (answer.ok || !retry(hop)) return {};
  return {HopStep::Kind::kWait, 0, std::chrono::microseconds{2000 + host_->random()() % 4000}};
}

namespace {

/// A fixed limit per server without a queue, and up to 3 retries per hop.
class FixedPolicy : public Policy {
 public:
  void set_up(const Deployment& deployment, const Scenario& scenario, PolicyHost& host) override {
    Policy::set_up(deployment, scenario, host);
    running_.assign(static_cast<std::size_t>(server_count()), 0);
    limit_.clear();
    for (const ServiceSpec& service : deployment.services) {
      limit_.insert(limit_.end(), static_cast<std::size_t>(service.servers), service.slots);
    }
  }
  void arrive(const PolicyCall& call) override {
    const auto server = static_cast<std::size_t>(call.server);
    if (running_[server] >= static_cast<int>(limit_[server])) {
      return host_->refuse_call(call.id, {.verdict = core::not_run(core::Cause::kOverload)});
    }
    ++running_[server];
    host_->start_call(call.id);
  }
  HopAnswer finish(const PolicyCall& call, const ServerOutcome& outcome) override {
    --running_[static_cast<std::size_t>(call.server)];
    return {.ok = outcome.ok};
  }

 protected:
  bool retry(const PolicyCall& call) override { return call.retries < 3; }

  std::vector<int> running_;
  std::vector<double> limit_;
};

/// A limit per server that follows the gradient of the latency, and retries up to a fifth of the calls.
class AdaptivePolicy final : public FixedPolicy {
 public:
  void set_up(const Deployment& deployment, const Scenario& scenario, PolicyHost& host) override {
    FixedPolicy::set_up(deployment, scenario, host);
    mean_.assign(limit_.size(), {0, 0});
    budget_.assign(limit_.size() * deployment.services.size(), 10);
  }
  HopAnswer finish(const PolicyCall& call, const ServerOutcome& outcome) override {
    const auto server = static_cast<std::size_t>(call.server);
    if (outcome.ok) {
      const double latency = std::chrono::duration<double>(outcome.latency).count();
      auto& [slow, fast] = mean_[server];
      if (slow == 0) slow = fast = latency;
      slow += (latency - slow) * 0.002;
      fast += (latency - fast) * 0.02;
      const double gradient = std::clamp(1.5 * slow / fast, 0.5, 1.0);
      double& limit = limit_[server];
      if (gradient < 1 || running_[server] * 2 > limit) {
        limit += (limit * gradient + std::sqrt(limit) - limit) * 0.01;
      }
      limit = std::clamp<double>(limit, 4, spec_of(call.service).connections);
    }
    return FixedPolicy::finish(call, outcome);
  }
  void sent(const PolicyCall& hop, std::uint64_t /*attempt*/) override {
    double& budget = budget_of(hop);
    budget = std::min(10.0, budget + 0.2);
  }

 protected:
  bool retry(const PolicyCall& call) override {
    double& budget = budget_of(call);
    if (call.retries >= 3 || budget < 1) return false;
    budget -= 1;
    return true;
  }

 private:
  double& budget_of(const PolicyCall& call) {
    return budget_[static_cast<std::size_t>(call.daemon) * deployment_->services.size() +
                   static_cast<std::size_t>(call.service)];
  }
  std::vector<std::pair<double, double>> mean_;
  std::vector<double> budget_;
};

}  // namespace

std::unique_ptr<Policy> make_policy(PolicyKind kind) {
  switch (kind) {
    case PolicyKind::kNone:
      return std::make_unique<Policy>();
    case PolicyKind::kFixed:
      return std::make_unique<FixedPolicy>();
    case PolicyKind::kAdaptive:
      return std::make_unique<AdaptivePolicy>();
    case PolicyKind::kDamaskthread:
      break;
  }
  return make_damaskthread_policy();
}

}  // namespace damaskthread::test
