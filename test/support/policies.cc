#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <utility>

#include "damaskthread/admission/entrance_gate.h"
#include "damaskthread/admission/server_admission.h"
#include "damaskthread/quarantine/crash_quarantine.h"
#include "damaskthread/retry/policy.h"
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

int Policy::choose(const PolicyCall& call, std::span<const int> /*tried*/) {
  return first_server(call.service) +
         static_cast<int>(host_->random()() % static_cast<std::uint64_t>(spec_of(call.service).servers));
}

namespace {

using admission::Level;
using std::chrono::milliseconds;

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
  void arrive(PolicyCall& call) override {
    const auto server = static_cast<std::size_t>(call.server);
    if (running_[server] >= static_cast<int>(limit_[server])) {
      return host_->refuse_call(call.id, core::not_run(core::Cause::kOverload));
    }
    ++running_[server];
    host_->start_call(call.id);
  }
  void finish(const PolicyCall& call, const admission::CallResult& /*result*/) override {
    --running_[static_cast<std::size_t>(call.server)];
  }
  bool retry(const PolicyCall& call, core::Verdict /*verdict*/) override { return call.retries < 3; }

 protected:
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
  void finish(const PolicyCall& call, const admission::CallResult& result) override {
    const auto server = static_cast<std::size_t>(call.server);
    if (result.ok) {
      const double latency = std::chrono::duration<double>(result.latency).count();
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
    FixedPolicy::finish(call, result);
  }
  void sent(const PolicyCall& call) override {
    double& budget = budget_of(call);
    budget = std::min(10.0, budget + 0.2);
  }
  bool retry(const PolicyCall& call, core::Verdict /*verdict*/) override {
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

/// The decisions of the core modules.
class DamaskthreadPolicy final : public Policy {
 public:
  void set_up(const Deployment& deployment, const Scenario& scenario, PolicyHost& host) override {
    Policy::set_up(deployment, scenario, host);
    const auto servers = static_cast<std::size_t>(server_count());
    daemons_.clear();
    for (const ServiceSpec& service : deployment.services) {
      for (int i = 0; i < service.servers; ++i) {
        daemons_.push_back(std::make_unique<Daemon>(service.slots, servers, deployment.services.size()));
      }
    }
    tick();
  }
  bool carries_deadline() const override { return true; }

  bool admits(const PolicyCall& call) override {
    const Daemon& daemon = daemon_at(call.daemon);
    if (daemon.quarantine.held(call.fingerprint, host_->now())) return false;
    return daemon.gate.admits({static_cast<std::uint32_t>(call.service)}, arrival_of(call), host_->now());
  }

  int choose(const PolicyCall& call, std::span<const int> tried) override {
    const Daemon& daemon = daemon_at(call.daemon);
    std::vector<int> candidates;
    const int first = first_server(call.service);
    for (int server = first; server < first + spec_of(call.service).servers; ++server) {
      if (std::find(tried.begin(), tried.end(), server) == tried.end()) candidates.push_back(server);
    }
    if (candidates.empty()) return -1;
    std::shuffle(candidates.begin(), candidates.end(), host_->random());
    if (candidates.size() == 1) return candidates[0];
    const auto cost = [&](int server) {
      const auto index = static_cast<std::size_t>(server);
      return daemon.outstanding[index] + (host_->now() < daemon.avoid_until[index] ? 1000 : 0);
    };
    return cost(candidates[1]) < cost(candidates[0]) ? candidates[1] : candidates[0];
  }

  void sent(const PolicyCall& call) override {
    Daemon& daemon = daemon_at(call.daemon);
    ++daemon.outstanding[static_cast<std::size_t>(call.server)];
    if (call.retries == 0) daemon.ratios[static_cast<std::size_t>(call.service)].on_call();
  }

  void arrive(PolicyCall& call) override {
    Daemon& daemon = daemon_at(call.server);
    const TimePoint now = host_->now();
    const quarantine::StartResult start = daemon.quarantine.start(call.fingerprint, now);
    if (start != quarantine::StartResult::kStarted) {
      return host_->refuse_call(call.id, core::not_run(core::Cause::kQuarantined));
    }
    const admission::Decision decision = daemon.admission.arrive(arrival_of(call), now, daemon.events);
    call.ticket = decision.ticket;
    if (decision.admission == admission::Admission::kQueued) daemon.queued[decision.ticket.value] = call;
    handle_events(daemon);
    if (decision.admission == admission::Admission::kStart) host_->start_call(call.id);
    if (decision.admission == admission::Admission::kRefused) {
      daemon.quarantine.end(call.fingerprint);
      host_->refuse_call(call.id, decision.verdict);
    }
  }

  void finish(const PolicyCall& call, const admission::CallResult& result) override {
    Daemon& daemon = daemon_at(call.server);
    if (result.ok) {
      daemon.quarantine.on_success(call.fingerprint, host_->now());
    } else {
      daemon.quarantine.end(call.fingerprint);
    }
    daemon.admission.finish(call.ticket, result, host_->now(), daemon.events);
    handle_events(daemon);
  }

  void crash(int server, std::span<const PolicyCall> running) override {
    std::vector<std::uint64_t> fingerprints;
    for (const PolicyCall& call : running) fingerprints.push_back(call.fingerprint);
    daemon_at(server).quarantine.on_crash({++crashes_}, fingerprints, host_->now());
    spread(daemon_at(server));
  }

  Level level(int server) override { return daemon_at(server).admission.level(); }

  void answered(const PolicyCall& call, Level level, core::Verdict verdict, bool ok) override {
    Daemon& daemon = daemon_at(call.daemon);
    const auto server = static_cast<std::size_t>(call.server);
    --daemon.outstanding[server];
    daemon.gate.heard({static_cast<std::uint32_t>(call.service)}, level, host_->now());
    if (ok) return;
    const bool gone = verdict.cause == core::Cause::kConnection || verdict.cause == core::Cause::kCrashed;
    daemon.avoid_until[server] = host_->now() + milliseconds{gone ? 1000 : 30};
  }

  bool retry(const PolicyCall& call, core::Verdict verdict) override {
    if (call.retries >= 3 || host_->now() >= call.deadline) return false;
    if (verdict.execution == core::Execution::kMayHaveRun && call.importance == core::Importance::kCritical) {
      return false;
    }
    return daemon_at(call.daemon).ratios[static_cast<std::size_t>(call.service)].allow();
  }

 private:
  struct Daemon {
    Daemon(int slots, std::size_t servers, std::size_t services)
        : admission({.limit = {.slots = slots, .warm_up = Duration{0}}}),
          outstanding(servers),
          avoid_until(servers),
          ratios(services) {}
    admission::ServerAdmission admission;
    admission::EntranceGate gate;
    quarantine::CrashQuarantine quarantine;
    std::vector<admission::QueueEvent> events;
    std::unordered_map<std::uint64_t, PolicyCall> queued;
    std::vector<int> outstanding;
    std::vector<TimePoint> avoid_until;
    std::vector<retry::RetryRatio> ratios;
  };

  Daemon& daemon_at(int index) { return *daemons_[static_cast<std::size_t>(index)]; }

  static admission::Arrival arrival_of(const PolicyCall& call) {
    return {call.importance, call.request_hash, call.depth, call.deadline, call.depth > 0};
  }

  void handle_events(Daemon& daemon) {
    const std::vector<admission::QueueEvent> events = std::exchange(daemon.events, {});
    for (const admission::QueueEvent& event : events) {
      const auto found = daemon.queued.find(event.ticket.value);
      PolicyCall call = found->second;
      daemon.queued.erase(found);
      if (event.kind == admission::QueueEventKind::kStarted) {
        host_->start_call(call.id);
      } else {
        daemon.quarantine.end(call.fingerprint);
        host_->refuse_call(call.id, event.verdict);
      }
    }
  }

  void tick() {
    for (const auto& daemon : daemons_) {
      daemon->admission.tick(host_->now(), daemon->events);
      handle_events(*daemon);
    }
    host_->after(milliseconds{10}, [this] { tick(); });
  }

  void spread(Daemon& from) {
    const std::vector<quarantine::CrashMark> marks = from.quarantine.news(host_->now());
    if (marks.empty()) return;
    for (const auto& daemon : daemons_) {
      if (daemon.get() == &from) continue;
      host_->after(scenario_->news_delay,
                   [this, to = daemon.get(), marks] { to->quarantine.merge(marks, host_->now()); });
    }
  }

  std::vector<std::unique_ptr<Daemon>> daemons_;
  std::uint64_t crashes_ = 0;
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
  return std::make_unique<DamaskthreadPolicy>();
}

}  // namespace damaskthread::test
