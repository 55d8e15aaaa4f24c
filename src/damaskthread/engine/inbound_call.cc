#include "damaskthread/engine/inbound_call.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "damaskthread/engine/identifier_text.h"

namespace damaskthread::engine {
namespace {

using core::Cause;
using core::Execution;

// A suspect waits while another one runs at this server; its caller is asked to try again after this time.
constexpr core::Duration kSuspectRetryAfter = std::chrono::milliseconds(100);

// A connection that breaks during a call may mean that the call crashed the server. Its answer is held back for this
// time, so that news of the crash reaches the other daemons before the caller's next try does.
constexpr core::Duration kCrashHold = std::chrono::milliseconds(100);

}  // namespace

InboundCall::InboundCall(Node& node, PeerRequest request) : node_(node), request_(std::move(request)) {}

InboundCall::~InboundCall() {
  if (running_) node_.running_.remove(running_->key);
}

InboundStep InboundCall::arrive(core::TimePoint now, std::vector<admission::QueueEvent>& events) {
  const context::CallContext& context = request_.context;
  arrival_.importance = context.importance.value_or(core::Importance::kNormal);
  const core::RequestKey root = context.root.value_or(request_.attempt);
  arrival_.request_hash = std::hash<core::RequestKey>{}(root);
  arrival_.depth = context.depth;
  arrival_.continued = context.depth > 0;
  arrival_.deadline = now + context.time_left.value_or(resource::kDefaultDeadline);
  if (std::optional<InboundStep> step = check_service()) return std::move(*step);
  // The ledger remembers each attempt, so that one which is delivered twice is handled once.
  if (!node_.ledger_.open(request_.attempt, context.retries, arrival_.deadline, now)) {
    return refuse(core::may_have_run(Cause::kDuplicate), now);
  }
  if (node_.draining() && !at_most_once_) return refuse(core::not_run(Cause::kLeaving), now);
  if (node_.treatment(request_.fingerprint, now) == quarantine::Treatment::kHeld) {
    return refuse(core::not_run(Cause::kQuarantined), now);
  }
  if (std::optional<InboundStep> step = begin_execution(now)) return std::move(*step);

  admission::AdmissionDecision decision;
  {
    const std::lock_guard lock(node_.admission_mutex_);
    decision = node_.admission_.admit(arrival_, now, events);
  }
  ticket_ = decision.ticket;
  switch (decision.admission) {
    case admission::AdmissionResult::kStarted:
      return run(now, events);
    case admission::AdmissionResult::kQueued: {
      state_ = State::kQueued;
      InboundStep step;
      step.kind = InboundKind::kQueued;
      step.ticket = ticket_;
      step.timeout = arrival_.deadline - now;
      return step;
    }
    case admission::AdmissionResult::kRefused:
      break;
  }
  return refuse(decision.verdict, now);
}

std::optional<InboundStep> InboundCall::check_service() {
  const auto refusal = [this](Cause cause) {
    InboundStep step;
    step.verdict = core::not_run(cause);
    state_ = State::kEnded;
    return step;
  };
  // An address may have been taken over by a server of another service.
  if (request_.context.service != node_.options_.service) return refusal(Cause::kNoServer);
  if (arrival_.depth > context::kMaxDepth) return refusal(Cause::kBadRequest);
  const std::shared_ptr<const resource::ServiceTable> services = node_.services();
  const resource::ServiceDeclaration* declaration = services->find(request_.context.service);
  const bool declared_once =
      declaration != nullptr && declaration->classify(request_.method, request_.target).at_most_once;
  at_most_once_ = declared_once || request_.context.at_most_once;
  // The calling daemon may have an older declaration that does not ask for a token yet.
  if (at_most_once_ && request_.context.token.empty()) return refusal(Cause::kTokenRequired);
  return std::nullopt;
}

std::optional<InboundStep> InboundCall::begin_execution(core::TimePoint now) {
  if (request_.context.token.empty()) return std::nullopt;
  token_ = internal::read_token(request_.context.token, node_.options_.key);
  if (!token_) return refuse(core::not_run(Cause::kBadRequest), now);
  const execution::BeginResult begun = node_.executions_.begin(*token_, request_.fingerprint, now);
  if (begun.begin == execution::Begin::kRun) {
    execution_ = begun.run;
    return std::nullopt;
  }
  InboundStep step = refuse(begun.verdict, now);
  step.stored = begun.answer;
  return step;
}

InboundStep InboundCall::started(core::TimePoint now, std::vector<admission::QueueEvent>& events) {
  return run(now, events);
}

InboundStep InboundCall::dropped(const core::Verdict& verdict, core::TimePoint now) { return refuse(verdict, now); }

InboundStep InboundCall::run(core::TimePoint now, std::vector<admission::QueueEvent>& events) {
  if (node_.quarantine_.has_marks()) {
    const std::lock_guard lock(node_.quarantine_mutex_);
    const quarantine::StartResult start = node_.quarantine_.start(request_.fingerprint, now);
    if (start != quarantine::StartResult::kStarted) {
      release_slot({.ok = false}, now, events);
      const bool held = start == quarantine::StartResult::kHeld;
      return refuse(held ? core::not_run(Cause::kQuarantined) : core::not_run(Cause::kOverload, kSuspectRetryAfter),
                    now);
    }
  }
  const core::RequestKey root = request_.context.root.value_or(request_.attempt);
  auto running = std::make_shared<Running>(request_.attempt, root);
  running->importance = arrival_.importance;
  running->deadline = arrival_.deadline;
  running->depth = arrival_.depth;
  running->at_most_once = at_most_once_;
  running->fingerprint = request_.fingerprint;
  node_.running_.add(running);
  running_ = std::move(running);
  state_ = State::kRunning;
  InboundStep step;
  step.kind = InboundKind::kRun;
  step.timeout = arrival_.deadline - now;
  context::CallContext& passed = step.context;
  passed.service = request_.context.service;
  passed.request_id = request_.context.request_id;
  passed.importance = arrival_.importance;
  passed.time_left = step.timeout;
  step.at_most_once = at_most_once_;
  passed.attempt = request_.context.attempt;
  passed.depth = arrival_.depth;
  passed.parent = context::to_hex(request_.attempt);
  return step;
}

bool InboundCall::cancel(core::TimePoint now, std::vector<admission::QueueEvent>& events) {
  if (running_) running_->cancel();
  if (state_ != State::kQueued) return false;
  {
    const std::lock_guard lock(node_.admission_mutex_);
    if (!node_.admission_.cancel(ticket_, now, events)) return false;
  }
  [[maybe_unused]] const InboundStep step = refuse(core::not_run(Cause::kCancelled), now);
  return true;
}

// Refuses a call that has not run; a token it came with can be used again.
InboundStep InboundCall::refuse(const core::Verdict& verdict, core::TimePoint now) {
  if (execution_) {
    node_.executions_.finish(*token_, *execution_, std::nullopt, verdict, now);
    execution_.reset();
  }
  state_ = State::kEnded;
  InboundStep step;
  step.verdict = verdict;
  return step;
}

void InboundCall::release_slot(const admission::CallResult& result, core::TimePoint now,
                               std::vector<admission::QueueEvent>& events) {
  const std::lock_guard lock(node_.admission_mutex_);
  node_.admission_.finish(ticket_, result, now, events);
}

core::Verdict InboundCall::verdict_of(const LocalResult& result) const noexcept {
  switch (result.failure) {
    case Failure::kNone:
      // A call that has started calls of its own cannot be "not run", whatever its server says.
      if (result.states_not_run) return core::raise_execution(core::not_run(Cause::kOverload), running_->children());
      return {Execution::kRan, Cause::kNone, core::Duration{0}};
    case Failure::kNoAddress:
    case Failure::kConnect:
      return core::not_run(Cause::kConnection);
    case Failure::kExchange:
      return core::may_have_run(Cause::kConnection);
    case Failure::kIncomplete:
      return core::may_have_run(Cause::kIncomplete);
    case Failure::kTimeout:
      return core::may_have_run(Cause::kDeadline);
    case Failure::kCrashed:
      return core::may_have_run(Cause::kCrashed);
    case Failure::kCancelled:
      break;
  }
  return core::may_have_run(Cause::kCancelled);
}

void InboundCall::end_quarantine(const LocalResult& result, core::TimePoint now) {
  if (!node_.quarantine_.has_marks()) return;
  const std::lock_guard lock(node_.quarantine_mutex_);
  if (result.failure == Failure::kNone) {
    node_.quarantine_.on_success(request_.fingerprint, now);
  } else {
    node_.quarantine_.end(request_.fingerprint);
  }
}

InboundOutcome InboundCall::finish(const LocalResult& result, core::TimePoint now,
                                   std::vector<admission::QueueEvent>& events) {
  const core::Verdict verdict = verdict_of(result);
  const bool server_shed = result.failure == Failure::kNone && (result.states_not_run || result.status == 503);
  release_slot({.latency = result.latency,
                .downstream = running_->downstream(now),
                .ok = result.failure == Failure::kNone && !server_shed,
                .refused = server_shed && running_->children() == Execution::kNotRun},
               now, events);
  end_quarantine(result, now);
  if (execution_) {
    node_.executions_.finish(*token_, *execution_, result.answer, verdict, now);
    execution_.reset();
  }
  state_ = State::kEnded;
  node_.running_.remove(running_->key);
  InboundOutcome answered = outcome(verdict);
  answered.unspent = node_.ledger_.close(request_.attempt, now);
  if (result.failure == Failure::kExchange || result.failure == Failure::kCrashed) {
    answered.hold = std::clamp(arrival_.deadline - now, core::Duration{0}, core::Duration{kCrashHold});
  }
  return answered;
}

InboundOutcome InboundCall::outcome(const core::Verdict& verdict) const {
  InboundOutcome answered;
  answered.verdict = verdict;
  {
    const std::lock_guard lock(node_.admission_mutex_);
    answered.level = node_.admission_.level();
  }
  if (running_) answered.level = std::max(answered.level, running_->level());
  // A call that was refused here has spent nothing.
  answered.unspent = request_.context.retries;
  return answered;
}

}  // namespace damaskthread::engine
