#include "support/call_chain.h"

#include <algorithm>
#include <array>
#include <utility>

#include "damaskthread/execution/token.h"

namespace damaskthread::support {
namespace {

using core::Execution;
using engine::Failure;

constexpr std::array<const char*, 3> kServices = {"front", "middle", "deep"};
constexpr std::size_t kServersPerService = 3;

std::shared_ptr<const resource::ServiceTable> declare() {
  resource::ServiceTable::Map entries;
  for (const char* name : kServices) {
    auto declaration = std::make_shared<resource::ServiceDeclaration>();
    declaration->name = name;
    declaration->retries = 3;
    declaration->operations = {
        {.method = "*", .path_prefix = "/read", .importance = core::Importance::kNormal, .idempotent = true},
        {.method = "*", .path_prefix = "/write", .importance = core::Importance::kHigh},
        {.method = "*", .path_prefix = "/pay", .importance = core::Importance::kCritical, .at_most_once = true}};
    entries[name] = {declaration, 1};
  }
  return std::make_shared<const resource::ServiceTable>(std::move(entries), 1);
}

}  // namespace

CallChain::CallChain(std::uint64_t seed, const Faults& faults) : faults_(faults), random_(seed), services_(declare()) {
  for (std::size_t i = 0; i < kServices.size() * kServersPerService; ++i) {
    daemons_.push_back({kServices[i / kServersPerService], {100 + i}, 0, nullptr});
    start(daemons_.back());
  }
  for (Daemon& daemon : daemons_) share_view(daemon, 0);
}

void CallChain::start(Daemon& daemon) {
  ++daemon.life;
  engine::NodeOptions options;
  options.self = daemon.id;
  options.incarnation = {daemon.life * 1000 + daemon.id.value};
  options.service = daemon.service;
  options.admission.limit = {.slots = 8, .warm_up = core::Duration{0}};
  daemon.node = std::make_shared<engine::Node>(options);
  daemon.node->set_services(services_);
}

void CallChain::share_view(Daemon& daemon, int missing) {
  for (const char* service : kServices) {
    std::vector<routing::ServerInfo> servers;
    for (const Daemon& other : daemons_) {
      if (other.service != service || draw(missing)) continue;
      servers.push_back(
          {.id = other.id, .incarnation = other.node->options().incarnation, .slots = 8, .connections = 64});
    }
    daemon.node->set_servers(service, servers, {}, now_);
  }
}

void CallChain::scramble_views() {
  now_ += std::chrono::seconds(10);
  for (Daemon& daemon : daemons_) share_view(daemon, 300);
}

void CallChain::restart(std::size_t index) {
  start(daemons_[index]);
  share_view(daemons_[index], 0);
}

bool CallChain::draw(int chance) { return chance > 0 && static_cast<int>(random_() % 1000) < chance; }

CallChain::Daemon* CallChain::find(core::ServerId id) {
  for (Daemon& daemon : daemons_) {
    if (daemon.id == id) return &daemon;
  }
  return nullptr;
}

Answer CallChain::call(std::size_t ingress, std::uint64_t number, const std::string& target,
                       const std::string& request_id, const std::string& token) {
  engine::CallRequest request;
  request.service = kServices[0];
  request.method = "POST";
  request.target = target;
  request.fingerprint = execution::fingerprint(request.service, request.method, target, std::to_string(number));
  request.context.request_id = request_id;
  request.context.token = token;
  // The node stays alive for the length of the call, as the process that holds the caller's connection would.
  const std::shared_ptr<engine::Node> node = daemons_[ingress].node;
  return outbound(*node, request, number);
}

Answer CallChain::outbound(engine::Node& node, const engine::CallRequest& request, std::uint64_t number) {
  engine::OutboundCall call(node, request);
  engine::OutboundStep step = call.begin(random_, now_);
  std::uint64_t body = 0;
  int sent = 0;
  int reached = 0;
  for (;;) {
    now_ += std::chrono::microseconds(100);
    switch (step.kind) {
      case engine::OutboundAction::kSend: {
        const Exchange done = exchange(step, request, number);
        Ledger& ledger = ledgers_[number];
        ledger.most_sends = std::max(ledger.most_sends, ++sent);
        if (done.reached_server && reached++ > 0) ++ledger.retries;
        body = done.body;
        step = call.attempt_finished(done.result, random_, now_);
        break;
      }
      case engine::OutboundAction::kObtainToken: {
        Daemon* daemon = find(step.server);
        std::optional<std::string> token;
        if (!draw(faults_.connect)) token = daemon->node->issue_token(request.fingerprint, now_);
        step = call.token_obtained(token, core::not_run(core::Cause::kConnection), random_, now_);
        break;
      }
      case engine::OutboundAction::kConfirmRepeat: {
        Daemon* daemon = find(step.server);
        std::optional<int> allowance;
        if (!draw(faults_.connect)) allowance = daemon->node->confirm_repeat(step.request_id, now_);
        if (draw(faults_.lost_answer)) allowance.reset();
        step = call.repeat_confirmed(allowance, random_, now_);
        break;
      }
      case engine::OutboundAction::kWait:
        now_ += step.delay;
        step = call.resume(random_, now_);
        break;
      case engine::OutboundAction::kForwardAnswer:
        return {step.verdict, "", step.request_id, body};
      case engine::OutboundAction::kRefuse:
        return {step.verdict, step.token, step.request_id, 0};
    }
  }
}

CallChain::Exchange CallChain::exchange(const engine::OutboundStep& step, const engine::CallRequest& request,
                                        std::uint64_t number) {
  Exchange failed;
  failed.result.latency = std::chrono::microseconds(200);
  Daemon* daemon = find(step.server);
  if (daemon == nullptr) {
    failed.result.failure = Failure::kNoAddress;
    return failed;
  }
  if (draw(faults_.connect)) {
    failed.result.failure = Failure::kConnect;
    return failed;
  }
  if (draw(faults_.server_down)) {
    failed.result = {Failure::kNone, core::not_run(core::Cause::kConnection), {}, step.context.retries, {}};
    return failed;
  }
  failed.result.failure = Failure::kExchange;
  if (draw(faults_.cut_before)) return failed;
  engine::PeerRequest peer{request.method, request.target, request.fingerprint, step.context, {7, next_attempt_++}};
  const std::shared_ptr<engine::Node> node = daemon->node;
  Exchange done = deliver(*daemon, peer, number);
  failed.reached_server = done.reached_server;
  if (draw(faults_.duplicate)) deliver(*daemon, peer, number);
  if (draw(faults_.pause)) now_ += std::chrono::minutes(6);
  if (draw(faults_.restart)) {
    start(*daemon);
    share_view(*daemon, 0);
    return failed;
  }
  if (draw(faults_.lost_answer)) return failed;
  return done;
}

CallChain::Exchange CallChain::deliver(Daemon& daemon, const engine::PeerRequest& request, std::uint64_t number) {
  const std::shared_ptr<engine::Node> node = daemon.node;
  std::vector<admission::QueueEvent> events;
  engine::InboundCall call(*node, request);
  const engine::InboundStep step = call.begin(now_, events);
  Exchange done;
  done.result.latency = std::chrono::microseconds(500);
  if (step.kind != engine::InboundAction::kRun) {
    const engine::InboundOutcome refused = call.outcome(step.verdict);
    done.result = {Failure::kNone, refused.verdict, refused.level, refused.unspent, std::chrono::microseconds(500)};
    if (step.stored) done.body = std::stoull(step.stored->body);
    return done;
  }
  done.reached_server = true;
  const engine::LocalResult local = run(daemon, step, request, number, done.body);
  const engine::InboundOutcome outcome = call.finish(local, now_, events);
  done.result = {Failure::kNone, outcome.verdict, outcome.level, outcome.unspent, std::chrono::microseconds(500)};
  return done;
}

engine::LocalResult CallChain::run(Daemon& daemon, const engine::InboundStep& step, const engine::PeerRequest& request,
                                   std::uint64_t number, std::uint64_t& body) {
  engine::LocalResult result;
  result.latency = std::chrono::milliseconds(2);
  now_ += result.latency;
  Ledger& ledger = ledgers_[number];
  if (draw(faults_.server_refuses)) {
    result.status = 503;
    result.reported_not_run = true;
    return result;
  }
  const std::shared_ptr<engine::Node> node = daemon.node;
  bool child_failed = false;
  if (daemon.service != "deep") {
    // Two calls onward, each of which may itself be tried again by the node.
    for (int i = 0; i < 2; ++i) {
      engine::CallRequest child;
      child.service = daemon.service == "front" ? "middle" : "deep";
      child.method = "POST";
      child.target = request.target;
      child.fingerprint = execution::fingerprint(child.service, "POST", child.target,
                                                 std::to_string(request.fingerprint) + "/" + std::to_string(i));
      child.context.parent = step.context.parent;
      child.context.call_key = "step" + std::to_string(i);
      const Answer answer = outbound(*node, child, number);
      child_failed = child_failed || answer.verdict.execution != Execution::kRan;
      // An impatient server repeats its own call once.
      if (answer.verdict.execution != Execution::kRan && draw(500)) {
        ++ledger.attempts;
        const Answer again = outbound(*node, child, number);
        if (again.verdict.execution == Execution::kRan) child_failed = false;
      }
    }
  }
  // A server that finds that nothing below it ran may say so itself.
  if (child_failed && draw(500)) {
    result.status = 503;
    result.reported_not_run = true;
    return result;
  }
  ++ledger.runs_anywhere;
  if (daemon.service == "front") ++ledger.runs;
  if (step.at_most_once) ++ledger.once[daemon.service + request.target + std::to_string(request.fingerprint)];
  if (draw(faults_.server_fails)) {
    result.failure = Failure::kExchange;
    return result;
  }
  body = number;
  result.answer = execution::StoredAnswer{200, {}, std::to_string(number)};
  return result;
}

}  // namespace damaskthread::support
