#include "damaskthread/engine/outbound_call.h"

#include <algorithm>
#include <array>
#include <functional>
#include <utility>

#include "damaskthread/engine/identifier_text.h"

namespace damaskthread::engine {
namespace {

using core::Cause;
using core::Execution;

// Wait that a refusal at the entrance asks for; the level heard is older than this on average.
constexpr core::Duration kThrottleRetryAfter = std::chrono::milliseconds(500);
// Least time in which an attempt at another server can succeed.
constexpr core::Duration kLeastAttempt = std::chrono::milliseconds(2);
// Attempts per call that reached no server and are sent to another one without being charged as retries.
constexpr int kMaxReroutes = 2;
// Tokens that may be asked for in vain before the call is refused.
constexpr int kMaxTokenTries = 3;

const resource::ServiceDeclaration& undeclared() {
  static const resource::ServiceDeclaration defaults{};
  return defaults;
}

constexpr std::array<Cause, 8> kCauseOfFailure = {Cause::kNone,       Cause::kServerGone, Cause::kConnection,
                                                  Cause::kConnection, Cause::kIncomplete, Cause::kDeadline,
                                                  Cause::kCancelled,  Cause::kCrashed};

}  // namespace

OutboundCall::OutboundCall(Node& node, CallRequest request)
    : node_(node), request_(std::move(request)), services_(node.services()), state_(node.service(request_.service)) {
  tried_.reserve(context::kMaxRetries + kMaxReroutes + 1);
}

OutboundCall::~OutboundCall() { close(); }

Step OutboundCall::begin(core::Random& random, core::TimePoint now) {
  latest_ = now;
  if (std::optional<Step> step = classify(now)) return std::move(*step);
  if (request_.context.parent.empty()) {
    if (std::optional<Step> step = open_root(now)) return std::move(*step);
  } else if (std::optional<Step> step = join_parent(now)) {
    return std::move(*step);
  }
  return enter(random, now);
}

// Finds the declaration, and with it importance, deadline and the at-most-once mark.
std::optional<Step> OutboundCall::classify(core::TimePoint now) {
  declaration_ = services_->find(request_.service);
  const bool declared = declaration_ != nullptr;
  if (!declared) declaration_ = &undeclared();
  operation_ = &declaration_->classify(request_.method, request_.target);
  at_most_once_ = operation_->at_most_once || request_.context.at_most_once || !request_.context.token.empty();
  // Without a declaration nothing confirms how an at-most-once call is to be treated.
  if (at_most_once_ && !declared) return refuse(core::not_run(Cause::kNoServer, std::chrono::seconds(1)));
  arrival_.importance = operation_->importance;
  core::Duration left = operation_->deadline;
  if (request_.context.time_left) left = std::min(left, *request_.context.time_left);
  arrival_.deadline = now + left;
  return std::nullopt;
}

// A call of the local server inherits what its parent has: the chain is as important as its root.
std::optional<Step> OutboundCall::join_parent(core::TimePoint now) {
  const std::optional<core::RequestKey> key = context::parse_key(request_.context.parent);
  if (key) parent_ = node_.running_.find(*key);
  if (!parent_) {
    // The parent has ended or is unknown: the call is answered as a new root without an allowance.
    const retry::MintedId id = node_.minter_.mint();
    root_ = retry::key_of(id);
    request_id_ = retry::to_string(id);
    arrival_.request_hash = std::hash<core::RequestKey>{}(root_);
    return std::nullopt;
  }
  if (parent_->cancelled()) return refuse(core::not_run(Cause::kCancelled));
  root_ = parent_->root;
  allowance_key_ = parent_->key;
  arrival_.importance = parent_->importance;
  arrival_.request_hash = std::hash<core::RequestKey>{}(root_);
  arrival_.depth = parent_->depth + 1;
  arrival_.continued = true;
  arrival_.deadline = std::min(arrival_.deadline, parent_->deadline);
  if (arrival_.depth > context::kMaxDepth) return refuse(core::not_run(Cause::kBadRequest));
  parent_->child_started(now);
  counted_at_parent_ = true;
  return std::nullopt;
}

// A call from outside. A known id is a repeat and is counted at its home; any other text is only a label.
std::optional<Step> OutboundCall::open_root(core::TimePoint now) {
  if (request_.context.importance) arrival_.importance = std::min(arrival_.importance, *request_.context.importance);
  const std::optional<retry::MintedId> repeat =
      internal::read_minted_id(request_.context.request_id, node_.options_.key);
  const retry::MintedId id = repeat ? *repeat : node_.minter_.mint();
  root_ = retry::key_of(id);
  allowance_key_ = root_;
  request_id_ = retry::to_string(id);
  arrival_.request_hash = std::hash<core::RequestKey>{}(root_);
  if (!repeat) {
    const core::Duration window = (arrival_.deadline - now) + node_.options_.repeat_window;
    node_.ledger_.open(root_, declaration_->retries, now + window, now);
    return std::nullopt;
  }
  switch (node_.repeats_.place(id)) {
    case retry::RepeatPlace::kHere: {
      const retry::RepeatGrant grant = node_.repeats_.count_repeat(id, now);
      if (!grant.granted) return refuse(grant.verdict);
      node_.ledger_.give_back(root_, grant.share.id, grant.share.amount, now);
      return std::nullopt;
    }
    case retry::RepeatPlace::kHome: {
      Step step;
      step.kind = StepKind::kConfirmRepeat;
      step.server = id.home;
      step.request_id = request_id_;
      step.timeout = arrival_.deadline - now;
      return step;
    }
    case retry::RepeatPlace::kHomeGone:
      break;
  }
  return refuse(retry::RepeatGuard::unconfirmed());
}

Step OutboundCall::repeat_confirmed(std::optional<int> allowance, core::Random& random, core::TimePoint now) {
  latest_ = now;
  if (!allowance) return refuse(retry::RepeatGuard::unconfirmed());
  // The share granted by the home is held under a key of its own, since the id's key belongs to the home.
  allowance_key_ = {random(), random()};
  node_.ledger_.open(allowance_key_, *allowance, arrival_.deadline, now);
  return enter(random, now);
}

// The checks at the entrance: nothing has been sent yet, so every refusal is cheap and truly "not run".
Step OutboundCall::enter(core::Random& random, core::TimePoint now) {
  if (now >= arrival_.deadline) return refuse(core::not_run(Cause::kDeadline));
  if (!state_) return refuse(core::not_run(Cause::kNoServer, std::chrono::seconds(1)));
  if (node_.treatment(request_.fingerprint, now) == quarantine::Treatment::kHeld) {
    return refuse(core::not_run(Cause::kQuarantined));
  }
  if (std::optional<Step> step = read_token()) return std::move(*step);
  // Only at the entrance: a call that continues a request has cost work already, and its server holds it against an
  // earlier, lower threshold. Refusing it here would also hide the server's level from the request's other callers.
  if (!parent_ && !node_.caller_throttle_.admits(throttle_key(), arrival_, now)) {
    return refuse(core::not_run(Cause::kFullEverywhere, kThrottleRetryAfter));
  }
  state_->ratio.on_call();
  if (at_most_once_ && !token_) return find_token(random, now);
  return send(random, now);
}

std::optional<Step> OutboundCall::read_token() {
  if (request_.context.token.empty()) return std::nullopt;
  token_ = internal::read_token(request_.context.token, node_.options_.key);
  if (token_) return std::nullopt;
  return refuse(core::not_run(Cause::kBadRequest));
}

// An at-most-once call without a token. Inside an at-most-once chain the token is kept here, so that a repeat by the
// local server meets it; any other caller has to keep it itself.
Step OutboundCall::find_token(core::Random& random, core::TimePoint now) {
  if (!parent_ || !parent_->at_most_once) {
    token_for_caller_ = true;
    return obtain_token(random, now);
  }
  const std::string& key = request_.context.call_key;
  // The parent's fingerprint tells calls with one key apart that different calls of the chain make; it stays the same
  // when the parent runs again after "not run".
  const std::string within = std::to_string(parent_->fingerprint);
  onward_key_ = key.empty() ? execution::fingerprint(within, "call", std::to_string(request_.fingerprint), "")
                            : execution::fingerprint(within, "key", request_.service, key);
  const execution::OnwardResult found =
      node_.onward_.find_or_reserve(root_, onward_key_, parent_->deadline + node_.options_.repeat_window, now);
  switch (found.onward) {
    case execution::Onward::kFound:
      token_ = found.token;
      return send(random, now);
    case execution::Onward::kReserved:
      reservation_ = found.reservation;
      return obtain_token(random, now);
    case execution::Onward::kPending:
      return refuse(core::may_have_run(Cause::kDuplicate));
    case execution::Onward::kFull:
      break;
  }
  return refuse(core::not_run(Cause::kOverload, kThrottleRetryAfter));
}

Step OutboundCall::obtain_token(core::Random& random, core::TimePoint now) {
  const std::optional<core::ServerId> server = state_->router.choose(random, tried_, now, routing::Probe::kNotAllowed);
  if (!server || now >= arrival_.deadline) return refuse(core::not_run(Cause::kNoServer, kThrottleRetryAfter));
  target_ = *server;
  Step step;
  step.kind = StepKind::kObtainToken;
  step.server = target_;
  step.timeout = arrival_.deadline - now;
  return step;
}

Step OutboundCall::token_obtained(const std::optional<std::string>& token, const core::Verdict& verdict,
                                  core::Random& random, core::TimePoint now) {
  latest_ = now;
  std::optional<execution::ExecutionToken> parsed;
  if (token) parsed = internal::read_token(*token, node_.options_.key);
  if (!parsed) {
    // Asking for a token runs nothing, so another server may be asked whatever happened.
    tried_.push_back(target_);
    if (static_cast<int>(tried_.size()) < kMaxTokenTries) return obtain_token(random, now);
    return refuse(core::not_run(verdict.cause == Cause::kNone ? Cause::kNoServer : verdict.cause, kThrottleRetryAfter));
  }
  tried_.clear();
  if (token_for_caller_) {
    Step step = refuse(core::not_run(Cause::kTokenRequired));
    step.token = *token;
    return step;
  }
  node_.onward_.store(root_, onward_key_, *reservation_, *parsed);
  reservation_.reset();
  token_ = parsed;
  return send(random, now);
}

Step OutboundCall::send(core::Random& random, core::TimePoint now) {
  if (now + kLeastAttempt >= arrival_.deadline) {
    return refuse(core::raise_execution(core::not_run(Cause::kDeadline), executed_));
  }
  // Only the incarnation that a token names may run its call.
  if (token_) return send_to(token_->server, now);
  const routing::Probe probe =
      operation_->idempotent && !at_most_once_ ? routing::Probe::kAllowed : routing::Probe::kNotAllowed;
  const std::optional<core::ServerId> server = state_->router.choose(random, tried_, now, probe);
  if (!server) return refuse(core::raise_execution(core::not_run(Cause::kNoServer, kThrottleRetryAfter), executed_));
  return send_to(*server, now);
}

Step OutboundCall::send_to(core::ServerId server, core::TimePoint now) {
  target_ = server;
  share_ = node_.ledger_.split(allowance_key_, now);
  state_->router.started(server, now);
  in_flight_ = true;
  Step step;
  step.kind = StepKind::kSend;
  step.server = server;
  step.timeout = arrival_.deadline - now;
  step.fresh_connection = at_most_once_;
  step.request_id = request_id_;
  context::CallContext& sent = step.context;
  sent.service = request_.service;
  sent.request_id = request_id_;
  sent.importance = arrival_.importance;
  sent.time_left = step.timeout;
  sent.retries = share_.amount;
  sent.at_most_once = at_most_once_;
  sent.attempt = attempts_;
  sent.depth = arrival_.depth;
  sent.root = root_;
  if (token_) sent.token = execution::to_string(*token_);
  ++attempts_;
  return step;
}

core::Verdict OutboundCall::verdict_of(const AttemptResult& result) const noexcept {
  const Cause cause = kCauseOfFailure[static_cast<std::size_t>(result.failure)];
  switch (result.failure) {
    case Failure::kNone:
      return result.verdict;
    case Failure::kNoAddress:
    case Failure::kConnect:
      // An earlier attempt with the same token may have run, here or through another daemon.
      return token_ ? core::may_have_run(cause) : core::not_run(Cause::kConnection);
    default:
      return core::may_have_run(cause);
  }
}

void OutboundCall::end_attempt(const AttemptResult& result, const core::Verdict& verdict, core::TimePoint now) {
  routing::AttemptOutcome outcome = routing::outcome_of(verdict);
  if (result.failure == Failure::kConnect) outcome = routing::AttemptOutcome::kUnreachable;
  if (result.failure == Failure::kTimeout) outcome = routing::AttemptOutcome::kTimeout;
  if (verdict.execution == Execution::kRan) outcome = routing::AttemptOutcome::kAnswered;
  state_->router.finished(target_, outcome, result.latency, now);
  in_flight_ = false;
  if (result.failure == Failure::kNone) {
    node_.ledger_.give_back(allowance_key_, share_.id, result.unspent, now);
    node_.caller_throttle_.observe(throttle_key(), result.level, now);
    if (parent_) parent_->raise_level(node_.caller_throttle_.level(throttle_key(), now));
  }
  executed_ = std::max(executed_, verdict.execution);
  if (parent_) parent_->child_ran(verdict.execution);
}

Step OutboundCall::attempt_finished(const AttemptResult& result, core::Random& random, core::TimePoint now) {
  latest_ = now;
  const core::Verdict verdict = verdict_of(result);
  end_attempt(result, verdict, now);
  if (verdict.execution == Execution::kRan) {
    Step step;
    step.kind = StepKind::kPassAnswer;
    step.verdict = verdict;
    step.request_id = request_id_;
    close();
    return step;
  }
  return retry_or_refuse(verdict, random, now);
}

// No backend server has seen an attempt that ended so; sending it to another one multiplies no work.
bool OutboundCall::may_reroute(const core::Verdict& verdict) const noexcept {
  if (verdict.execution != Execution::kNotRun || token_ || reroutes_ >= kMaxReroutes) return false;
  return verdict.cause == Cause::kConnection || verdict.cause == Cause::kLeaving;
}

Step OutboundCall::retry_or_refuse(const core::Verdict& verdict, core::Random& random, core::TimePoint now) {
  if (may_reroute(verdict)) {
    ++reroutes_;
    tried_.push_back(target_);
    return send(random, now);
  }
  core::Verdict judged = verdict;
  // When the service as a whole refuses this level, another of its servers would refuse as well.
  if (judged.cause == Cause::kOverload && !node_.caller_throttle_.admits(throttle_key(), arrival_, now)) {
    judged.cause = Cause::kFullEverywhere;
  }
  const retry::RetryContext context{.idempotent = operation_->idempotent && !at_most_once_,
                                    .attempt = waits_,
                                    .deadline = arrival_.deadline,
                                    .least_attempt = kLeastAttempt};
  const retry::RetryDecision decision = retry::decide(judged, context, now, random);
  const bool cancelled = parent_ && parent_->cancelled();
  // A token is bound to its server: once that is leaving, the caller needs a token of another server.
  const bool bound_to_leaving = token_ && judged.cause == Cause::kLeaving;
  if (!decision.retry || cancelled || bound_to_leaving || !state_->ratio.allow() ||
      !node_.ledger_.spend(allowance_key_, now)) {
    return refuse(core::raise_execution(judged, executed_));
  }
  ++waits_;
  if (!token_) tried_.push_back(target_);
  Step step;
  step.kind = StepKind::kWait;
  step.delay = decision.delay;
  return step;
}

Step OutboundCall::resume(core::Random& random, core::TimePoint now) {
  latest_ = now;
  if (parent_ && parent_->cancelled())
    return refuse(core::raise_execution(core::not_run(Cause::kCancelled), executed_));
  return send(random, now);
}

Step OutboundCall::refuse(core::Verdict verdict) {
  close();
  Step step;
  step.kind = StepKind::kRefuse;
  step.verdict = verdict;
  step.request_id = request_id_;
  return step;
}

void OutboundCall::close() noexcept {
  if (in_flight_) state_->router.finished(target_, routing::AttemptOutcome::kNeutral, core::Duration{0}, latest_);
  in_flight_ = false;
  if (counted_at_parent_) parent_->child_finished(latest_);
  counted_at_parent_ = false;
  if (!reservation_) return;
  node_.onward_.abandon(root_, onward_key_, *reservation_);
  reservation_.reset();
}

core::ServiceId OutboundCall::throttle_key() const noexcept {
  // One level per service and operation: operations of one service differ in what they call.
  const std::size_t hash = std::hash<std::string_view>{}(request_.service) ^
                           (std::hash<std::string_view>{}(operation_->path_prefix) * 3) ^
                           (std::hash<std::string_view>{}(operation_->method) * 5);
  return core::ServiceId{static_cast<std::uint32_t>(hash % node_.options_.caller_throttle.services)};
}

}  // namespace damaskthread::engine
