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

// Retry delay of a refusal by the caller throttle. The reported level is older than this on average.
constexpr core::Duration kThrottleRetryAfter = std::chrono::milliseconds(500);
// Minimum time in which an attempt can succeed.
constexpr core::Duration kMinAttemptTime = std::chrono::milliseconds(2);
// Maximum number of attempts per call that reached no server and are rerouted without being charged as retries.
constexpr int kMaxReroutes = 2;
// Number of failed token requests after which the call is refused.
constexpr int kMaxTokenRequests = 3;

const resource::ServiceDeclaration& default_declaration() {
  static const resource::ServiceDeclaration defaults{};
  return defaults;
}

constexpr std::array<Cause, 8> kFailureCauses = {Cause::kNone,       Cause::kServerGone, Cause::kConnection,
                                                 Cause::kConnection, Cause::kIncomplete, Cause::kDeadline,
                                                 Cause::kCancelled,  Cause::kCrashed};

}  // namespace

OutboundCall::OutboundCall(Node& node, CallRequest request)
    : node_(node), request_(std::move(request)), services_(node.services()), state_(node.service(request_.service)) {
  tried_servers_.reserve(context::kMaxRetries + kMaxReroutes + 1);
}

OutboundCall::~OutboundCall() { close(); }

OutboundStep OutboundCall::begin(core::Random& random, core::TimePoint now) {
  last_event_time_ = now;
  if (std::optional<OutboundStep> step = classify(now)) return std::move(*step);
  if (request_.context.parent.empty()) {
    if (std::optional<OutboundStep> step = begin_root(now)) return std::move(*step);
  } else if (std::optional<OutboundStep> step = join_parent(now)) {
    return std::move(*step);
  }
  return check_and_send(random, now);
}

// Looks up the declaration and determines importance, deadline and at-most-once semantics.
std::optional<OutboundStep> OutboundCall::classify(core::TimePoint now) {
  declaration_ = services_->find(request_.service);
  const bool declared = declaration_ != nullptr;
  if (!declared) declaration_ = &default_declaration();
  operation_ = &declaration_->classify(request_.method, request_.target);
  at_most_once_ = operation_->at_most_once || request_.context.at_most_once || !request_.context.token.empty();
  // Without a declaration the at-most-once semantics of the call cannot be confirmed.
  if (at_most_once_ && !declared) return refuse(core::not_run(Cause::kNoServer, std::chrono::seconds(1)));
  arrival_.importance = operation_->importance;
  core::Duration time_left = operation_->deadline;
  if (request_.context.time_left) time_left = std::min(time_left, *request_.context.time_left);
  arrival_.deadline = now + time_left;
  return std::nullopt;
}

// Child call of the local server: inherits importance, deadline and allowance from its parent.
std::optional<OutboundStep> OutboundCall::join_parent(core::TimePoint now) {
  const std::optional<core::RequestKey> key = context::parse_key(request_.context.parent);
  if (key) parent_ = node_.running_.find(*key);
  if (!parent_) {
    // The parent has ended or is unknown: the call becomes a new root request without retry allowance.
    const retry::RequestId id = node_.minter_.generate();
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

// Root call. An id issued by a daemon marks a repeat, which its home daemon counts; any other id is ignored.
std::optional<OutboundStep> OutboundCall::begin_root(core::TimePoint now) {
  if (request_.context.importance) arrival_.importance = std::min(arrival_.importance, *request_.context.importance);
  const std::optional<retry::RequestId> repeat =
      internal::try_parse_request_id(request_.context.request_id, node_.options_.key);
  const retry::RequestId id = repeat ? *repeat : node_.minter_.generate();
  root_ = retry::key_of(id);
  allowance_key_ = root_;
  request_id_ = retry::to_string(id);
  arrival_.request_hash = std::hash<core::RequestKey>{}(root_);
  if (!repeat) {
    const core::Duration window = (arrival_.deadline - now) + node_.options_.repeat_window;
    node_.ledger_.open(root_, declaration_->retries, now + window, now);
    return std::nullopt;
  }
  switch (node_.repeats_.origin_of(id)) {
    case retry::RequestIdOrigin::kThisIncarnation: {
      const retry::RepeatGrant grant = node_.repeats_.authorize_repeat(id, now);
      if (!grant.granted) return refuse(grant.verdict);
      node_.ledger_.return_share(root_, grant.share.id, grant.share.amount, now);
      return std::nullopt;
    }
    case retry::RequestIdOrigin::kOtherDaemon: {
      OutboundStep step;
      step.kind = OutboundAction::kConfirmRepeat;
      step.server = id.home;
      step.request_id = request_id_;
      step.timeout = arrival_.deadline - now;
      return step;
    }
    case retry::RequestIdOrigin::kEarlierIncarnation:
      break;
  }
  return refuse(retry::RepeatAuthorizer::unconfirmed());
}

OutboundStep OutboundCall::repeat_confirmed(std::optional<int> allowance, core::Random& random, core::TimePoint now) {
  last_event_time_ = now;
  if (!allowance) return refuse(retry::RepeatAuthorizer::unconfirmed());
  // The share granted by the home daemon has a separate key, since the key of the id belongs to the home daemon.
  allowance_key_ = {random(), random()};
  node_.ledger_.open(allowance_key_, *allowance, arrival_.deadline, now);
  return check_and_send(random, now);
}

// Checks before the first attempt. Nothing has been sent yet, so a refusal is cheap and "not run" is certain.
OutboundStep OutboundCall::check_and_send(core::Random& random, core::TimePoint now) {
  if (now >= arrival_.deadline) return refuse(core::not_run(Cause::kDeadline));
  if (!state_) return refuse(core::not_run(Cause::kNoServer, std::chrono::seconds(1)));
  if (node_.treatment(request_.fingerprint, now) == quarantine::Treatment::kHeld) {
    return refuse(core::not_run(Cause::kQuarantined));
  }
  if (std::optional<OutboundStep> step = read_token()) return std::move(*step);
  // Applies to root calls only. For a child call, upstream work has already been done, and its server compares it with
  // an earlier, lower threshold. Refusing it here would also hide the server's level from the upstream callers.
  if (!parent_ && !node_.caller_throttle_.admits(throttle_key(), arrival_, now)) {
    return refuse(core::not_run(Cause::kFullEverywhere, kThrottleRetryAfter));
  }
  state_->ratio.on_call();
  if (at_most_once_ && !token_) return find_or_obtain_token(random, now);
  return send(random, now);
}

std::optional<OutboundStep> OutboundCall::read_token() {
  if (request_.context.token.empty()) return std::nullopt;
  token_ = internal::try_parse_token(request_.context.token, node_.options_.key);
  if (token_) return std::nullopt;
  return refuse(core::not_run(Cause::kBadRequest));
}

// Handles an at-most-once call without a token. Within an at-most-once chain the token is stored in this daemon, so
// that a repeat by the local server finds it. Other callers must keep the token themselves.
OutboundStep OutboundCall::find_or_obtain_token(core::Random& random, core::TimePoint now) {
  if (!parent_ || !parent_->at_most_once) {
    token_for_caller_ = true;
    return obtain_token(random, now);
  }
  const std::string& key = request_.context.call_key;
  // The fingerprint of the parent distinguishes calls with the same key made by different calls of the chain. It does
  // not change when the parent runs again after "not run".
  const std::string parent_scope = std::to_string(parent_->fingerprint);
  onward_key_ = key.empty() ? execution::fingerprint(parent_scope, "call", std::to_string(request_.fingerprint), "")
                            : execution::fingerprint(parent_scope, "key", request_.service, key);
  const execution::OutboundTokenLookup found =
      node_.onward_.find_or_reserve(root_, onward_key_, parent_->deadline + node_.options_.repeat_window, now);
  switch (found.state) {
    case execution::OutboundTokenState::kFound:
      token_ = found.token;
      return send(random, now);
    case execution::OutboundTokenState::kReserved:
      reservation_ = found.reservation;
      return obtain_token(random, now);
    case execution::OutboundTokenState::kPending:
      return refuse(core::may_have_run(Cause::kDuplicate));
    case execution::OutboundTokenState::kFull:
      break;
  }
  return refuse(core::not_run(Cause::kOverload, kThrottleRetryAfter));
}

OutboundStep OutboundCall::obtain_token(core::Random& random, core::TimePoint now) {
  const std::optional<core::ServerId> server =
      state_->router.choose(random, tried_servers_, now, routing::Probe::kNotAllowed);
  if (!server || now >= arrival_.deadline) return refuse(core::not_run(Cause::kNoServer, kThrottleRetryAfter));
  target_ = *server;
  OutboundStep step;
  step.kind = OutboundAction::kObtainToken;
  step.server = target_;
  step.timeout = arrival_.deadline - now;
  return step;
}

OutboundStep OutboundCall::token_obtained(const std::optional<std::string>& token, const core::Verdict& verdict,
                                          core::Random& random, core::TimePoint now) {
  last_event_time_ = now;
  std::optional<execution::ExecutionToken> parsed;
  if (token) parsed = internal::try_parse_token(*token, node_.options_.key);
  if (!parsed) {
    // A token request has no side effects, so another server may be asked after any failure.
    tried_servers_.push_back(target_);
    if (static_cast<int>(tried_servers_.size()) < kMaxTokenRequests) return obtain_token(random, now);
    return refuse(core::not_run(verdict.cause == Cause::kNone ? Cause::kNoServer : verdict.cause, kThrottleRetryAfter));
  }
  tried_servers_.clear();
  if (token_for_caller_) {
    OutboundStep step = refuse(core::not_run(Cause::kTokenRequired));
    step.token = *token;
    return step;
  }
  node_.onward_.store(root_, onward_key_, *reservation_, *parsed);
  reservation_.reset();
  token_ = parsed;
  return send(random, now);
}

OutboundStep OutboundCall::send(core::Random& random, core::TimePoint now) {
  if (now + kMinAttemptTime >= arrival_.deadline) {
    return refuse(core::raise_execution(core::not_run(Cause::kDeadline), known_execution_));
  }
  // Only the incarnation named in the token may run the call.
  if (token_) return send_to(token_->server, now);
  const routing::Probe probe =
      operation_->idempotent && !at_most_once_ ? routing::Probe::kAllowed : routing::Probe::kNotAllowed;
  const std::optional<core::ServerId> server = state_->router.choose(random, tried_servers_, now, probe);
  if (!server)
    return refuse(core::raise_execution(core::not_run(Cause::kNoServer, kThrottleRetryAfter), known_execution_));
  return send_to(*server, now);
}

OutboundStep OutboundCall::send_to(core::ServerId server, core::TimePoint now) {
  target_ = server;
  share_ = node_.ledger_.split(allowance_key_, now);
  state_->router.started(server, now);
  in_flight_ = true;
  OutboundStep step;
  step.kind = OutboundAction::kSend;
  step.server = server;
  step.timeout = arrival_.deadline - now;
  step.fresh_connection = at_most_once_;
  step.request_id = request_id_;
  context::CallContext& forwarded = step.context;
  forwarded.service = request_.service;
  forwarded.request_id = request_id_;
  forwarded.importance = arrival_.importance;
  forwarded.time_left = step.timeout;
  forwarded.retries = share_.amount;
  forwarded.at_most_once = at_most_once_;
  forwarded.attempt = attempts_;
  forwarded.depth = arrival_.depth;
  forwarded.root = root_;
  if (token_) forwarded.token = execution::to_string(*token_);
  ++attempts_;
  return step;
}

core::Verdict OutboundCall::verdict_of(const AttemptResult& result) const noexcept {
  const Cause cause = kFailureCauses[static_cast<std::size_t>(result.failure)];
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
    node_.ledger_.return_share(allowance_key_, share_.id, result.unspent, now);
    node_.caller_throttle_.observe(throttle_key(), result.level, now);
    if (parent_) parent_->raise_level(node_.caller_throttle_.level(throttle_key(), now));
  }
  known_execution_ = std::max(known_execution_, verdict.execution);
  if (parent_) parent_->record_child_execution(verdict.execution);
}

OutboundStep OutboundCall::attempt_finished(const AttemptResult& result, core::Random& random, core::TimePoint now) {
  last_event_time_ = now;
  const core::Verdict verdict = verdict_of(result);
  end_attempt(result, verdict, now);
  if (verdict.execution == Execution::kRan) {
    OutboundStep step;
    step.kind = OutboundAction::kForwardAnswer;
    step.verdict = verdict;
    step.request_id = request_id_;
    close();
    return step;
  }
  return retry_or_refuse(verdict, random, now);
}

// The attempt did not reach a backend server, so rerouting it does not duplicate work.
bool OutboundCall::may_reroute(const core::Verdict& verdict) const noexcept {
  if (verdict.execution != Execution::kNotRun || token_ || reroutes_ >= kMaxReroutes) return false;
  return verdict.cause == Cause::kConnection || verdict.cause == Cause::kLeaving;
}

OutboundStep OutboundCall::retry_or_refuse(const core::Verdict& verdict, core::Random& random, core::TimePoint now) {
  if (may_reroute(verdict)) {
    ++reroutes_;
    tried_servers_.push_back(target_);
    return send(random, now);
  }
  core::Verdict effective = verdict;
  // If the service as a whole refuses this level, its other servers would refuse the call as well.
  if (effective.cause == Cause::kOverload && !node_.caller_throttle_.admits(throttle_key(), arrival_, now)) {
    effective.cause = Cause::kFullEverywhere;
  }
  const retry::RetryContext context{.idempotent = operation_->idempotent && !at_most_once_,
                                    .attempt = retry_count_,
                                    .deadline = arrival_.deadline,
                                    .min_attempt_time = kMinAttemptTime};
  const retry::RetryDecision decision = retry::decide_retry(effective, context, now, random);
  const bool cancelled = parent_ && parent_->cancelled();
  // A token is bound to its server. While that server drains, the caller needs a token from another server.
  const bool token_server_draining = token_ && effective.cause == Cause::kLeaving;
  if (!decision.retry || cancelled || token_server_draining || !state_->ratio.allow() ||
      !node_.ledger_.spend(allowance_key_, now)) {
    return refuse(core::raise_execution(effective, known_execution_));
  }
  ++retry_count_;
  if (!token_) tried_servers_.push_back(target_);
  OutboundStep step;
  step.kind = OutboundAction::kWait;
  step.delay = decision.delay;
  return step;
}

OutboundStep OutboundCall::resume(core::Random& random, core::TimePoint now) {
  last_event_time_ = now;
  if (parent_ && parent_->cancelled())
    return refuse(core::raise_execution(core::not_run(Cause::kCancelled), known_execution_));
  return send(random, now);
}

OutboundStep OutboundCall::refuse(core::Verdict verdict) {
  close();
  OutboundStep step;
  step.kind = OutboundAction::kRefuse;
  step.verdict = verdict;
  step.request_id = request_id_;
  return step;
}

void OutboundCall::close() noexcept {
  if (in_flight_)
    state_->router.finished(target_, routing::AttemptOutcome::kNeutral, core::Duration{0}, last_event_time_);
  in_flight_ = false;
  if (counted_at_parent_) parent_->child_finished(last_event_time_);
  counted_at_parent_ = false;
  if (!reservation_) return;
  node_.onward_.abandon(root_, onward_key_, *reservation_);
  reservation_.reset();
}

core::ServiceId OutboundCall::throttle_key() const noexcept {
  // One level per service and operation, since operations of a service have different downstream calls.
  const std::size_t hash = std::hash<std::string_view>{}(request_.service) ^
                           (std::hash<std::string_view>{}(operation_->path_prefix) * 3) ^
                           (std::hash<std::string_view>{}(operation_->method) * 5);
  return core::ServiceId{static_cast<std::uint32_t>(hash % node_.options_.caller_throttle.services)};
}

}  // namespace damaskthread::engine
