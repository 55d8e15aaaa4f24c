#include "damaskthread/engine/inbound_call.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "damaskthread/engine/identifier_text.h"

namespace damaskthread::engine {
namespace {

using core::Cause;
using core::Execution;

// Retry delay for a suspect that is refused because another suspect is running at this server.
constexpr core::Duration kSuspectRetryAfter = std::chrono::milliseconds(100);

// A connection that fails during a call may mean that the call crashed the server. The answer is delayed by this time,
// so that the crash report reaches the other daemons before the caller retries.
constexpr core::Duration kCrashAnswerDelay = std::chrono::milliseconds(100);

}  // namespace

InboundCall::InboundCall(Node& node, PeerRequest request) : node_(node), request_(std::move(request)) {}

InboundCall::~InboundCall() {
  if (running_) node_.running_.remove(running_->key);
}

InboundStep InboundCall::begin(core::TimePoint now, std::vector<admission::QueueEvent>& events) {
  const context::CallContext& context = request_.context;
  arrival_.importance = context.importance.value_or(core::Importance::kNormal);
  const core::RequestKey root = context.root.value_or(request_.attempt);
  arrival_.request_hash = std::hash<core::RequestKey>{}(root);
  arrival_.depth = context.depth;
  arrival_.continued = context.depth > 0;
  arrival_.deadline = now + context.time_left.value_or(resource::kDefaultDeadline);
  if (std::optional<InboundStep> step = check_service()) return std::move(*step);
  // The ledger records each attempt, so that a duplicate delivery is not processed again.
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
      step.kind = InboundAction::kQueued;
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
  // The address may now belong to a server of another service.
  if (request_.context.service != node_.options_.service) return refusal(Cause::kNoServer);
  if (arrival_.depth > context::kMaxDepth) return refusal(Cause::kBadRequest);
  const std::shared_ptr<const resource::ServiceTable> services = node_.services();
  const resource::ServiceDeclaration* declaration = services->find(request_.context.service);
  const bool declared_once =
      declaration != nullptr && declaration->classify(request_.method, request_.target).at_most_once;
  at_most_once_ = declared_once || request_.context.at_most_once;
  // The calling daemon may have an older declaration that does not require a token.
  if (at_most_once_ && request_.context.token.empty()) return refusal(Cause::kTokenRequired);
  return std::nullopt;
}

std::optional<InboundStep> InboundCall::begin_execution(core::TimePoint now) {
  if (request_.context.token.empty()) return std::nullopt;
  token_ = internal::try_parse_token(request_.context.token, node_.options_.key);
  if (!token_) return refuse(core::not_run(Cause::kBadRequest), now);
  const execution::BeginResult begin_result = node_.executions_.begin(*token_, request_.fingerprint, now);
  if (begin_result.status == execution::BeginStatus::kRun) {
    execution_ = begin_result.run;
    return std::nullopt;
  }
  InboundStep step = refuse(begin_result.verdict, now);
  step.stored = begin_result.answer;
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
  auto running = std::make_shared<RunningCall>(request_.attempt, root);
  running->importance = arrival_.importance;
  running->deadline = arrival_.deadline;
  running->depth = arrival_.depth;
  running->at_most_once = at_most_once_;
  running->fingerprint = request_.fingerprint;
  node_.running_.add(running);
  running_ = std::move(running);
  state_ = State::kRunning;
  InboundStep step;
  step.kind = InboundAction::kRun;
  step.timeout = arrival_.deadline - now;
  context::CallContext& forwarded = step.context;
  forwarded.service = request_.context.service;
  forwarded.request_id = request_.context.request_id;
  forwarded.importance = arrival_.importance;
  forwarded.time_left = step.timeout;
  step.at_most_once = at_most_once_;
  forwarded.attempt = request_.context.attempt;
  forwarded.depth = arrival_.depth;
  forwarded.parent = context::to_hex(request_.attempt);
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

// Refuses a call that has not run. Its token, if any, remains usable.
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
      // A call whose child calls may have run cannot be reported as "not run", even if its server claims so.
      if (result.reported_not_run)
        return core::raise_execution(core::not_run(Cause::kOverload), running_->child_execution());
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
  const bool server_shed = result.failure == Failure::kNone && (result.reported_not_run || result.status == 503);
  release_slot({.latency = result.latency,
                .downstream_time = running_->downstream_time(now),
                .ok = result.failure == Failure::kNone && !server_shed,
                .refused = server_shed && running_->child_execution() == Execution::kNotRun},
               now, events);
  end_quarantine(result, now);
  if (execution_) {
    node_.executions_.finish(*token_, *execution_, result.answer, verdict, now);
    execution_.reset();
  }
  state_ = State::kEnded;
  node_.running_.remove(running_->key);
  InboundOutcome reply = outcome(verdict);
  reply.unspent = node_.ledger_.close(request_.attempt, now);
  if (result.failure == Failure::kExchange || result.failure == Failure::kCrashed) {
    reply.answer_delay = std::clamp(arrival_.deadline - now, core::Duration{0}, core::Duration{kCrashAnswerDelay});
  }
  return reply;
}

InboundOutcome InboundCall::outcome(const core::Verdict& verdict) const {
  InboundOutcome reply;
  reply.verdict = verdict;
  {
    const std::lock_guard lock(node_.admission_mutex_);
    reply.level = node_.admission_.level();
  }
  if (running_) reply.level = std::max(reply.level, running_->level());
  // A call that was refused here has not used any of its retries.
  reply.unspent = request_.context.retries;
  return reply;
}

}  // namespace damaskthread::engine
