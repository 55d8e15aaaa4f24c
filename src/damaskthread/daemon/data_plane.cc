#include "damaskthread/daemon/data_plane.h"

#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <thread>
#include <utility>

#include "damaskthread/context/call_context.h"
#include "damaskthread/core/error.h"
#include "damaskthread/daemon/log.h"
#include "damaskthread/execution/token.h"
#include "damaskthread/http/socket_stream.h"

namespace damaskthread::daemon {
namespace {

using core::Cause;
using core::Execution;
using Clock = std::chrono::steady_clock;

constexpr core::Duration kCancellationPollPeriod = std::chrono::milliseconds(5);
// A terminating process may still accept a connection and close it immediately.
constexpr std::chrono::milliseconds kCrashProbeWatch{50};
constexpr core::Duration kCrashProbeTimeout = std::chrono::milliseconds(200);
constexpr core::Duration kPeerRequestTimeout = std::chrono::milliseconds(500);

core::Random& thread_random() {
  thread_local core::Random random(std::random_device{}());
  return random;
}

// Increments a counter for the lifetime of this object.
class ScopedCount {
 public:
  explicit ScopedCount(std::atomic<int>& counter) : counter_(counter) { ++counter_; }
  ~ScopedCount() { --counter_; }
  ScopedCount(const ScopedCount&) = delete;
  ScopedCount& operator=(const ScopedCount&) = delete;

 private:
  std::atomic<int>& counter_;
};

// Cancels a child call when the caller of its parent disconnects, for the lifetime of this object.
class ParentCancellation {
 public:
  ParentCancellation(const std::shared_ptr<engine::RunningCall>& parent, http::Cancellation& cancellation)
      : parent_(parent) {
    if (parent_) callback_id_ = parent_->add_cancel_handler([&cancellation] { cancellation.cancel(); });
  }
  ~ParentCancellation() {
    if (parent_) parent_->remove_cancel_handler(callback_id_);
  }
  ParentCancellation(const ParentCancellation&) = delete;
  ParentCancellation& operator=(const ParentCancellation&) = delete;

 private:
  std::shared_ptr<engine::RunningCall> parent_;
  std::uint64_t callback_id_ = 0;
};

struct ParsedContext {
  std::optional<context::CallContext> context;
  core::Error error;
};

ParsedContext parse_context(const http::Headers& headers) {
  std::vector<context::HeaderView> views;
  views.reserve(headers.size());
  for (const http::Header& header : headers) views.push_back({header.name, header.value});
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<ParsedContext> {
        BOOST_LEAF_AUTO(parsed, context::parse(views));
        return ParsedContext{std::move(parsed), {}};
      },
      [](const core::Error& error) {
        return ParsedContext{std::nullopt, error};
      },
      [] {
        return ParsedContext{std::nullopt, {core::ErrorCode::kInvalidInput, "Damask-*", "malformed"}};
      });
}

http::Response refusal(const core::Verdict& verdict, std::string_view detail = {}) {
  http::Response response;
  response.status = core::http_status(verdict);
  response.headers.push_back({"Content-Type", "text/plain"});
  append_verdict(verdict, response.headers);
  response.body = std::string(core::to_string(verdict.execution)) + ": " + std::string(core::to_string(verdict.cause));
  if (!detail.empty()) response.body += ": " + std::string(detail);
  response.body += "\n";
  return response;
}

// Replaces the received context headers by those to forward.
void replace_context(const context::CallContext& context, http::Headers& headers) {
  std::erase_if(headers, [](const http::Header& header) { return context::is_context_header(header.name); });
  context::HeaderPairs pairs;
  context::append_headers(context, pairs);
  for (auto& [name, value] : pairs) headers.push_back({std::move(name), std::move(value)});
}

engine::Failure to_engine_failure(http::FailureKind kind) noexcept {
  switch (kind) {
    case http::FailureKind::kConnect:
      return engine::Failure::kConnect;
    case http::FailureKind::kConnectionLost:
      return engine::Failure::kExchange;
    case http::FailureKind::kIncomplete:
      return engine::Failure::kIncomplete;
    case http::FailureKind::kTimeout:
      return engine::Failure::kTimeout;
    case http::FailureKind::kCancelled:
      break;
  }
  return engine::Failure::kCancelled;
}

std::uint64_t request_fingerprint(std::string_view service, const http::Request& request) {
  return execution::fingerprint(service, request.method, request.target, request.body);
}

execution::StoredAnswer to_stored_answer(const http::Response& response) {
  execution::StoredAnswer stored;
  stored.status = response.status;
  for (const http::Header& header : response.headers) stored.headers.emplace_back(header.name, header.value);
  stored.body = response.body;
  return stored;
}

}  // namespace

DataPlane::DataPlane(engine::Node& node, const Directory& directory, const wire::Authenticator& authenticator,
                     wire::Sender self, http::Endpoint local_server, CallObserver observer,
                     CrashObserver crash_observer)
    : node_(node),
      directory_(directory),
      authenticator_(authenticator),
      self_(self),
      local_server_(std::move(local_server)),
      observer_(std::move(observer)),
      crash_observer_(std::move(crash_observer)) {}

void DataPlane::post(std::vector<admission::QueueEvent>& events) {
  queue_events_.post(events);
  events.clear();
}

void DataPlane::tick(core::TimePoint now) {
  std::vector<admission::QueueEvent> events;
  node_.tick(now, events);
  post(events);
}

http::Response DataPlane::handle_call(http::Request&& request, const http::ConnectionInfo& arrival) {
  const ScopedCount counted(in_progress_);
  const auto begin = Clock::now();
  CallReport report;
  http::Response response = process_call(std::move(request), arrival, report);
  report.status = response.status;
  report.latency = Clock::now() - begin;
  observer_(report);
  return response;
}

http::Response DataPlane::process_call(http::Request&& request, const http::ConnectionInfo& arrival,
                                       CallReport& report) {
  ParsedContext parsed = parse_context(request.headers);
  if (!parsed.context) {
    report.verdict = core::not_run(Cause::kBadRequest);
    return refusal(report.verdict, parsed.error.where + ": " + parsed.error.message);
  }
  engine::CallRequest call_request;
  call_request.context = std::move(*parsed.context);
  const std::string prefix = context::extract_service_prefix(request.target);
  call_request.service = call_request.context.service.empty() ? prefix : call_request.context.service;
  report.service = call_request.service;
  report.root = call_request.context.parent.empty();
  if (call_request.service.empty()) {
    report.verdict = core::not_run(Cause::kBadRequest);
    return refusal(report.verdict, "name the service in Damask-Service or as /svc/NAME/");
  }
  if (refusing_callers_ && report.root) {
    report.verdict = core::not_run(Cause::kLeaving, std::chrono::milliseconds(1));
    return refusal(report.verdict, "this daemon is leaving; use another one");
  }
  call_request.method = request.method;
  call_request.target = request.target;
  call_request.fingerprint = request_fingerprint(call_request.service, request);
  http::remove_hop_by_hop(request.headers);

  engine::OutboundCall call(node_, std::move(call_request));
  core::Random& random = thread_random();
  engine::OutboundStep step = call.begin(random, Clock::now());
  const ParentCancellation parent_cancellation(call.parent(), arrival.caller_disconnected);
  std::optional<http::Response> answer;
  for (;;) {
    switch (step.kind) {
      case engine::OutboundAction::kSend: {
        Exchange exchange = send_attempt(step, request, arrival.caller_disconnected);
        answer = std::move(exchange.response);
        step = call.attempt_finished(exchange.result, random, Clock::now());
        continue;
      }
      case engine::OutboundAction::kObtainToken: {
        core::Verdict verdict;
        const std::string body = std::to_string(request_fingerprint(report.service, request));
        const auto token = send_peer_request(step, PeerOperation::kToken, body, verdict, arrival.caller_disconnected);
        step = call.token_obtained(token, verdict, random, Clock::now());
        continue;
      }
      case engine::OutboundAction::kConfirmRepeat: {
        core::Verdict verdict;
        const auto granted =
            send_peer_request(step, PeerOperation::kRepeat, step.request_id, verdict, arrival.caller_disconnected);
        const auto allowance = granted ? std::optional<int>(std::atoi(granted->c_str())) : std::nullopt;
        step = call.repeat_confirmed(allowance, random, Clock::now());
        continue;
      }
      case engine::OutboundAction::kWait: {
        const auto until = Clock::now() + step.delay;
        while (Clock::now() < until && !arrival.caller_disconnected.cancelled()) {
          std::this_thread::sleep_for(std::min<core::Duration>(kCancellationPollPeriod, until - Clock::now()));
        }
        step = call.resume(random, Clock::now());
        continue;
      }
      case engine::OutboundAction::kForwardAnswer:
      case engine::OutboundAction::kRefuse:
        break;
    }
    break;
  }
  report.importance = call.importance();
  report.attempts = call.attempts();
  report.at_most_once = call.at_most_once();
  report.verdict = step.verdict;
  http::Response response;
  if (step.kind == engine::OutboundAction::kForwardAnswer) {
    response = std::move(*answer);
    append_verdict(step.verdict, response.headers);
  } else {
    response = refusal(step.verdict);
    if (!step.token.empty()) http::set(response.headers, "Damask-Token", step.token);
  }
  if (!step.request_id.empty()) http::set(response.headers, "Damask-Request-Id", step.request_id);
  return response;
}

DataPlane::Exchange DataPlane::send_attempt(const engine::OutboundStep& step, const http::Request& request,
                                            http::Cancellation& cancellation) {
  const auto begin = Clock::now();
  Exchange exchange;
  const std::optional<http::Endpoint> endpoint = directory_.peer(step.server);
  if (!endpoint) {
    exchange.result.failure = engine::Failure::kNoAddress;
    return exchange;
  }
  http::Request attempt = request;
  replace_context(step.context, attempt.headers);
  core::Random& random = thread_random();
  const core::RequestKey key{random(), random()};
  if (step.server == self_.id) {
    // The selected server is the local one, so no call to another daemon is needed.
    exchange.response = run_peer_call(std::move(attempt), {PeerOperation::kCall, key}, cancellation);
  } else {
    sign(attempt, PeerOperation::kCall, self_, key, authenticator_);
    const http::ConnectionReuse reuse =
        step.fresh_connection ? http::ConnectionReuse::kNever : http::ConnectionReuse::kAllowed;
    http::ExchangeResult result = client_.send(*endpoint, attempt, step.timeout, reuse, &cancellation);
    if (const auto* failure = std::get_if<http::Failure>(&result)) {
      exchange.result.failure = to_engine_failure(failure->kind);
      exchange.result.latency = Clock::now() - begin;
      return exchange;
    }
    exchange.response = std::move(std::get<http::Response>(result));
    http::remove_hop_by_hop(exchange.response->headers);
  }
  engine::InboundOutcome outcome;
  if (!extract_outcome(exchange.response->headers, outcome)) {
    // The response did not come from a daemon, or its headers were lost.
    outcome.verdict = core::may_have_run(Cause::kIncomplete);
  }
  exchange.result.verdict = outcome.verdict;
  exchange.result.level = outcome.level;
  exchange.result.unspent = outcome.unspent;
  exchange.result.latency = Clock::now() - begin;
  return exchange;
}

std::optional<std::string> DataPlane::send_peer_request(const engine::OutboundStep& step, PeerOperation operation,
                                                        const std::string& body, core::Verdict& verdict,
                                                        http::Cancellation& cancellation) {
  const std::optional<http::Endpoint> endpoint = directory_.peer(step.server);
  verdict = core::not_run(Cause::kConnection);
  if (!endpoint) return std::nullopt;
  http::Request request{"POST", "/", {}, body};
  core::Random& random = thread_random();
  sign(request, operation, self_, {random(), random()}, authenticator_);
  http::ExchangeResult result = client_.send(*endpoint, request, std::min(step.timeout, kPeerRequestTimeout),
                                             http::ConnectionReuse::kAllowed, &cancellation);
  auto* response = std::get_if<http::Response>(&result);
  if (response == nullptr) return std::nullopt;
  if (response->status == 200) return std::move(response->body);
  engine::InboundOutcome outcome;
  if (extract_outcome(response->headers, outcome)) verdict = outcome.verdict;
  return std::nullopt;
}

http::Response DataPlane::handle_peer(http::Request&& request, const http::ConnectionInfo& arrival) {
  const ScopedCount counted(in_progress_);
  const std::optional<PeerHeaders> peer = verify(request, authenticator_);
  if (!peer) return refusal(core::not_run(Cause::kUnauthorized));
  switch (peer->operation) {
    case PeerOperation::kToken: {
      const std::uint64_t fingerprint = std::strtoull(request.body.c_str(), nullptr, 10);
      const std::optional<std::string> token = node_.issue_token(fingerprint, Clock::now());
      if (!token) return refusal(core::not_run(node_.draining() ? Cause::kLeaving : Cause::kOverload));
      return {200, {}, *token};
    }
    case PeerOperation::kRepeat: {
      const std::optional<int> allowance = node_.confirm_repeat(request.body, Clock::now());
      if (!allowance) return refusal(core::not_run(Cause::kRetryBound));
      return {200, {}, std::to_string(*allowance)};
    }
    case PeerOperation::kCall:
      break;
  }
  http::remove_hop_by_hop(request.headers);
  return run_peer_call(std::move(request), *peer, arrival.caller_disconnected);
}

http::Response DataPlane::run_peer_call(http::Request&& request, const PeerHeaders& peer,
                                        http::Cancellation& caller_gone) {
  ParsedContext parsed = parse_context(request.headers);
  if (!parsed.context) return refusal(core::not_run(Cause::kBadRequest));
  engine::PeerRequest inbound{request.method, request.target, request_fingerprint(parsed.context->service, request),
                              std::move(*parsed.context), peer.attempt};
  std::vector<admission::QueueEvent> events;
  engine::InboundCall call(node_, std::move(inbound));
  engine::InboundStep step = call.begin(Clock::now(), events);
  post(events);
  if (step.kind == engine::InboundAction::kQueued) step = wait_in_queue(call, step, caller_gone);
  if (step.kind == engine::InboundAction::kRefuse) {
    http::Response response = refusal(step.verdict);
    if (step.stored) {
      response = {step.stored->status, {}, step.stored->body};
      for (const auto& [name, value] : step.stored->headers) response.headers.push_back({name, value});
    }
    append_outcome(call.outcome(step.verdict), response.headers);
    return response;
  }
  std::optional<http::Response> answer;
  engine::LocalResult result = run_local(step, std::move(request), caller_gone, answer);
  // If the calling daemon gave up, the child calls that the server made for this call are cancelled too.
  if (caller_gone.cancelled()) call.cancel(Clock::now(), events);
  if (answer && step.at_most_once) result.answer = to_stored_answer(*answer);
  const engine::InboundOutcome outcome = call.finish(result, Clock::now(), events);
  post(events);
  // The caller may repeat the request once it is answered; crash marks must reach the other servers before that.
  if (outcome.answer_delay > core::Duration::zero()) std::this_thread::sleep_for(outcome.answer_delay);
  http::Response response =
      answer && outcome.verdict.execution == Execution::kRan ? std::move(*answer) : refusal(outcome.verdict);
  append_outcome(outcome, response.headers);
  return response;
}

engine::InboundStep DataPlane::wait_in_queue(engine::InboundCall& call, const engine::InboundStep& step,
                                             http::Cancellation& caller_gone) {
  std::vector<admission::QueueEvent> events;
  const auto caller_disconnected = [&caller_gone] { return caller_gone.cancelled(); };
  std::optional<admission::QueueEvent> event = queue_events_.wait(step.ticket, step.timeout, caller_disconnected);
  if (!event) {
    const bool ended = call.cancel(Clock::now(), events);
    post(events);
    if (ended) {
      engine::InboundStep refused;
      refused.verdict = core::not_run(caller_disconnected() ? Cause::kCancelled : Cause::kDeadline);
      return refused;
    }
    // The event was posted concurrently.
    event = queue_events_.wait(step.ticket, std::chrono::seconds(1), [] { return false; });
  }
  engine::InboundStep next;
  if (event && event->kind == admission::QueueEventKind::kStarted) {
    next = call.started(Clock::now(), events);
  } else {
    next = call.dropped(event ? event->verdict : core::not_run(Cause::kOverload), Clock::now());
  }
  post(events);
  return next;
}

engine::LocalResult DataPlane::run_local(const engine::InboundStep& step, http::Request&& request,
                                         http::Cancellation& caller_gone, std::optional<http::Response>& response) {
  const auto begin = Clock::now();
  engine::LocalResult local;
  replace_context(step.context, request.headers);
  const http::ConnectionReuse reuse =
      step.at_most_once ? http::ConnectionReuse::kNever : http::ConnectionReuse::kAllowed;
  http::ExchangeResult result = client_.send(local_server_, request, step.timeout, reuse, &caller_gone);
  local.latency = Clock::now() - begin;
  if (const auto* failure = std::get_if<http::Failure>(&result)) {
    local.failure = to_engine_failure(failure->kind);
    if (failure->kind == http::FailureKind::kConnectionLost || failure->kind == http::FailureKind::kIncomplete) {
      check_crash(Clock::now());
      if (server_down_) local.failure = engine::Failure::kCrashed;
    }
    return local;
  }
  if (server_down_.exchange(false)) LOG4CPLUS_INFO(logger(), "the local server is responding again");
  response = std::move(std::get<http::Response>(result));
  http::remove_hop_by_hop(response->headers);
  local.status = response->status;
  local.reported_not_run = http::find(response->headers, "Damask-Verdict") == core::to_string(Execution::kNotRun);
  return local;
}

// A broken connection may be caused by a single worker; a server that also refuses a new connection has crashed.
void DataPlane::check_crash(core::TimePoint now) {
  const std::lock_guard lock(crash_mutex_);
  if (server_down_) return;
  const http::internal::Socket probe = http::internal::connect(local_server_, now + kCrashProbeTimeout);
  if (probe.valid() && !http::internal::closes_within(probe, kCrashProbeWatch)) return;
  server_down_ = true;
  ++crashes_seen_;
  crash_observer_();
  LOG4CPLUS_WARN(logger(), "the local server crashed with calls in progress");
}

}  // namespace damaskthread::daemon
