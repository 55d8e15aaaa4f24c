#include <algorithm>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

#include "damaskthread/engine/inbound_call.h"
#include "damaskthread/engine/node.h"
#include "damaskthread/engine/outbound_call.h"
#include "support/policy_fixture.h"

namespace damaskthread::test {
namespace {

using engine::Failure;
using std::chrono::milliseconds;

constexpr Duration kTick = milliseconds{10};
constexpr Duration kMembershipPeriod = std::chrono::seconds{1};

/// Runs the engine of the daemons, one node beside each server.
class DamaskthreadPolicy final : public Policy {
 public:
  void set_up(const Deployment& deployment, const Scenario& scenario, PolicyHost& host) override {
    Policy::set_up(deployment, scenario, host);
    const std::shared_ptr<const resource::ServiceTable> table = declarations();
    for (std::size_t i = 0; i < deployment.services.size(); ++i) {
      const ServiceSpec& service = deployment.services[i];
      for (int k = 0; k < service.servers; ++k) {
        engine::NodeOptions options;
        options.self = {nodes_.size() + 1};
        options.incarnation = {nodes_.size() + 1};
        options.service = service.name;
        options.zone = static_cast<std::uint32_t>(k % 3);
        options.admission.limit.slots = service.slots;
        // The servers have run for a while when the scenario begins.
        options.admission.limit.warm_up = Duration{0};
        nodes_.push_back(std::make_unique<engine::Node>(options));
        nodes_.back()->set_services(table);
      }
    }
    queued_.resize(nodes_.size());
    update_members();
    tick();
  }
  bool carries_deadline() const override { return true; }

  HopStep begin(const PolicyCall& hop) override {
    engine::CallRequest request;
    request.service = spec_of(hop.service).name;
    const OperationSpec& operation = deployment_->operations[static_cast<std::size_t>(hop.operation)];
    request.method = operation.importance == core::Importance::kCritical && hop.parent == 0 ? "POST" : "GET";
    request.target = "/" + operation.name;
    request.fingerprint = hop.fingerprint;
    request.context.time_left = hop.deadline - host_->now();
    if (hop.parent != 0) {
      const auto parent = inbound_.find(hop.parent);
      if (parent == inbound_.end()) return {};
      request.context.parent = context::to_hex(parent->second->running()->key);
    }
    auto call = std::make_unique<engine::OutboundCall>(node(hop.daemon), std::move(request));
    engine::OutboundCall& started = *call;
    outbound_[hop.id].call = std::move(call);
    return step_of(hop, started.begin(host_->random(), host_->now()));
  }

  void sent(const PolicyCall& hop, std::uint64_t attempt) override {
    engine::PeerRequest request;
    request.method = "GET";
    request.target = "/" + deployment_->operations[static_cast<std::size_t>(hop.operation)].name;
    request.fingerprint = hop.fingerprint;
    request.context = outbound_[hop.id].context;
    request.attempt = {attempt, 1};
    inbound_[attempt] = std::make_unique<engine::InboundCall>(node(hop.server), std::move(request));
  }

  HopStep answered(const PolicyCall& hop, const HopAnswer& answer) override {
    engine::AttemptResult result;
    result.failure = answer.timed_out ? Failure::kTimeout : Failure::kNone;
    result.verdict = answer.verdict;
    if (answer.ok) result.verdict = {core::Execution::kRan, core::Cause::kNone, Duration{0}};
    result.level = answer.level;
    result.unspent = answer.unspent;
    result.latency = answer.latency;
    return step_of(hop, outbound_[hop.id].call->attempt_finished(result, host_->random(), host_->now()));
  }

  HopStep resume(const PolicyCall& hop) override {
    return step_of(hop, outbound_[hop.id].call->resume(host_->random(), host_->now()));
  }

  void end_hop(const PolicyCall& hop) override { outbound_.erase(hop.id); }

  void arrive(const PolicyCall& call) override {
    engine::InboundCall& inbound = *inbound_[call.id];
    const engine::InboundStep step = inbound.begin(host_->now(), events_);
    if (step.kind == engine::InboundAction::kQueued) queued(call.server)[step.ticket.value] = call;
    handle_events(call.server);
    if (step.kind != engine::InboundAction::kQueued) handle_step(call, step);
  }

  HopAnswer finish(const PolicyCall& call, const ServerOutcome& outcome) override {
    engine::LocalResult result;
    result.latency = outcome.latency;
    if (outcome.crashed) result.failure = Failure::kExchange;
    if (outcome.refused) result.failure = Failure::kConnect;
    // A server answers 500 when one of its own calls failed.
    if (!outcome.ok) result.status = 500;
    const engine::InboundOutcome answer = inbound_[call.id]->finish(result, host_->now(), events_);
    inbound_.erase(call.id);
    handle_events(call.server);
    return {.ok = outcome.ok,
            .verdict = answer.verdict,
            .level = answer.level,
            .unspent = answer.unspent,
            .hold = answer.answer_delay};
  }

  void crash(int server) override {
    node(server).server_crashed(host_->now());
    spread(server);
  }

 private:
  struct Outbound {
    std::unique_ptr<engine::OutboundCall> call;
    /// Context of the try that is on its way.
    context::CallContext context;
  };
  using Queued = std::unordered_map<std::uint64_t, PolicyCall>;

  engine::Node& node(int index) { return *nodes_[static_cast<std::size_t>(index)]; }
  Queued& queued(int index) { return queued_[static_cast<std::size_t>(index)]; }

  std::shared_ptr<const resource::ServiceTable> declarations() const {
    resource::ServiceTable::Map entries;
    for (std::size_t i = 0; i < deployment_->services.size(); ++i) {
      auto declaration = std::make_shared<resource::ServiceDeclaration>();
      declaration->name = deployment_->services[i].name;
      for (const OperationSpec& operation : deployment_->operations) {
        if (operation.root.service != static_cast<int>(i)) continue;
        resource::Operation declared;
        declared.path_prefix = "/" + operation.name;
        declared.importance = operation.importance;
        declared.idempotent = operation.importance != core::Importance::kCritical;
        declared.deadline = std::chrono::duration_cast<milliseconds>(operation.deadline);
        declaration->operations.push_back(declared);
      }
      entries[deployment_->services[i].name] = {std::move(declaration), 1};
    }
    return std::make_shared<resource::ServiceTable>(std::move(entries), 1);
  }

  HopStep step_of(const PolicyCall& hop, engine::OutboundStep step) {
    switch (step.kind) {
      case engine::OutboundAction::kSend:
        outbound_[hop.id].context = std::move(step.context);
        return {HopStep::Kind::kSend, static_cast<int>(step.server.value) - 1, {}};
      case engine::OutboundAction::kWait:
        return {HopStep::Kind::kWait, 0, step.delay};
      default:
        return {};
    }
  }

  void handle_step(const PolicyCall& call, const engine::InboundStep& step) {
    if (step.kind == engine::InboundAction::kRun) return host_->start_call(call.id);
    const engine::InboundOutcome answer = inbound_[call.id]->outcome(step.verdict);
    inbound_.erase(call.id);
    host_->refuse_call(call.id, {.verdict = answer.verdict, .level = answer.level, .unspent = answer.unspent});
  }

  void handle_events(int server) {
    // Handling an event may bring forth more.
    while (!events_.empty()) {
      const std::vector<admission::QueueEvent> events = std::exchange(events_, {});
      for (const admission::QueueEvent& event : events) {
        const auto found = queued(server).find(event.ticket.value);
        if (found == queued(server).end()) continue;
        const PolicyCall call = found->second;
        queued(server).erase(found);
        engine::InboundCall& inbound = *inbound_[call.id];
        handle_step(call, event.kind == admission::QueueEventKind::kStarted
                              ? inbound.started(host_->now(), events_)
                              : inbound.dropped(event.verdict, host_->now()));
      }
    }
  }

  void tick() {
    for (int i = 0; i < server_count(); ++i) {
      node(i).tick(host_->now(), events_);
      handle_events(i);
    }
    host_->after(kTick, [this] { tick(); });
  }

  static bool calls(const CallSpec& call, int caller, int callee) {
    return std::any_of(call.children.begin(), call.children.end(), [&](const CallSpec& child) {
      return (call.service == caller && child.service == callee) || calls(child, caller, callee);
    });
  }

  /// Daemons that call a service: all of them if callers from outside do, else those beside the calling servers.
  int callers_of(int service) const {
    int sum = 0;
    for (const OperationSpec& operation : deployment_->operations) {
      if (operation.root.service == service) return server_count();
    }
    for (std::size_t caller = 0; caller < deployment_->services.size(); ++caller) {
      const bool any = std::any_of(
          deployment_->operations.begin(), deployment_->operations.end(),
          [&](const OperationSpec& operation) { return calls(operation.root, static_cast<int>(caller), service); });
      if (any) sum += deployment_->services[caller].servers;
    }
    return sum;
  }

  void update_members() {
    for (int service = 0; service < static_cast<int>(deployment_->services.size()); ++service) {
      const ServiceSpec& spec = spec_of(service);
      const int callers = callers_of(service);
      std::vector<routing::ServerInfo> servers;
      for (int k = 0; k < spec.servers; ++k) {
        const auto id = static_cast<std::uint64_t>(first_server(service)) + static_cast<std::uint64_t>(k) + 1;
        servers.push_back({.id = {id},
                           .incarnation = {id},
                           .zone = static_cast<std::uint32_t>(k % 3),
                           .slots = spec.slots,
                           .connections = spec.connections});
      }
      for (const auto& node : nodes_) {
        node->set_servers(spec.name, servers, {.zone = (callers + 2) / 3, .region = callers, .all = callers},
                          host_->now());
      }
    }
    host_->after(kMembershipPeriod, [this] { update_members(); });
  }

  void spread(int from) {
    const std::vector<quarantine::CrashMark> marks = node(from).crash_marks_to_send(host_->now());
    for (int i = 0; i < server_count(); ++i) {
      if (i == from) continue;
      host_->after(scenario_->news_delay, [this, i, marks] { node(i).merge_crash_marks(marks, host_->now()); });
    }
  }

  std::vector<std::unique_ptr<engine::Node>> nodes_;
  std::vector<Queued> queued_;
  std::unordered_map<std::uint64_t, Outbound> outbound_;
  std::unordered_map<std::uint64_t, std::unique_ptr<engine::InboundCall>> inbound_;
  std::vector<admission::QueueEvent> events_;
};

}  // namespace

std::unique_ptr<Policy> make_damaskthread_policy() { return std::make_unique<DamaskthreadPolicy>(); }

}  // namespace damaskthread::test
