#include "damaskthread/mesh/ingress.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <random>
#include <utility>

#include "damaskthread/core/error.h"
#include "damaskthread/mesh/clock.h"

namespace damaskthread::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::Duration kDefaultDeadline = seconds{10};
constexpr core::Duration kMaxDeadline = std::chrono::minutes{10};
// Covers the way of a response that a server sends right at its deadline.
constexpr core::Duration kResponseMargin = milliseconds{100};
// How long a request waits while no server can be reached; longer than a daemon needs to notice a restart.
constexpr core::Duration kMaxServerWait = milliseconds{150};
// Covers the way to the coordinator of the quotas and back, and credits that accrue shortly.
constexpr core::Duration kMaxCreditWait = milliseconds{250};
constexpr core::Duration kObserveInterval = milliseconds{100};
constexpr core::Duration kUnconfiguredRetryAfter = milliseconds{300};
constexpr core::Duration kMinRetryAfter = milliseconds{100};
// Callers honour Retry-After up to this share of their remaining time.
constexpr double kHonouredRetryAfterShare = 1.0 / 3;
constexpr double kOverloadPressure = 0.05;

constexpr std::string_view kNoConfiguration = "no configuration yet";
constexpr std::string_view kNoRoute = "no route";
constexpr std::string_view kNoValidKey = "no valid key";
constexpr std::string_view kUnknownParent = "calling request unknown since a restart";
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;
constexpr int kFirstServerErrorStatus = 500;

core::Duration scaled(core::Duration time, double factor) {
  return std::chrono::duration_cast<core::Duration>(time * factor);
}

core::Duration parse_deadline(std::string_view text) {
  std::int64_t value = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  if (parsed.ec != std::errc() || value <= 0) return kDefaultDeadline;
  return std::min<core::Duration>(milliseconds(value), kMaxDeadline);
}

std::string format_seconds(core::Duration time) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(time).count());
  return text.data();
}

int external_priority(const route::Route& route, const tenant::Tenant* tenant) {
  return tenant == nullptr ? route.priority : tenant->priority.value_or(route.priority);
}

placement::PlacementRequest placement_request(const route::Route& route, std::string_view service) {
  placement::PlacementRequest request;
  request.service = service;
  request.kind = route.name;
  request.objective = route.objective;
  return request;
}

double to_milliseconds(core::Duration time) { return std::chrono::duration<double, std::milli>(time).count(); }

}  // namespace

Ingress::Ingress(Dependencies parts, std::string self, core::Incarnation incarnation)
    : dependencies_(parts),
      own_endpoint_(std::move(self)),
      incarnation_(incarnation),
      random_(incarnation.value),
      throttle_(parts.policy.entrance),
      options_(parts.policy.requests) {}

void Ingress::set_table(std::shared_ptr<const route::RouteTable> table) {
  table_ = std::move(table);
  split_.reset();
}

std::map<std::string, overlay::Interest, std::less<>> Ingress::interests(core::TimePoint now) {
  if (table_ != nullptr && table_->service_names().size() <= options_.preconnected_services) {
    for (const std::string& service : table_->service_names()) interests_.record_use(service, now);
  }
  for (const auto& [service, interest] : interests_.interests(now)) {
    interests_.record_load(service, dependencies_.pool.total_load(service), now);
  }
  return interests_.interests(now);
}

void Ingress::refuse_unrouted(const std::shared_ptr<CallerRequest>& caller, int status, std::string_view reason,
                              core::Duration retry_after) {
  http::Response response;
  response.status = status;
  if (retry_after > core::Duration::zero()) {
    http::set(response.headers, dependencies_.adapter.headers().retry_after, format_seconds(retry_after));
  }
  const std::string_view attempt = http::find(caller->request.headers, dependencies_.adapter.headers().attempt_id);
  dependencies_.log.line(
      LogClass::kFailedRequest, "request",
      {{"attempt", attempt}, {"status", status}, {"outcome", reason}, {"target", caller->request.target}});
  caller->answer(response);
}

void Ingress::handle(const std::shared_ptr<CallerRequest>& caller) {
  const core::TimePoint time = now();
  const HeaderNames& names = dependencies_.adapter.headers();
  if (table_ == nullptr) return refuse_unrouted(caller, kUnavailable, kNoConfiguration, kUnconfiguredRetryAfter);
  const http::Headers& headers = caller->request.headers;
  const route::Route* route = table_->find(http::find(headers, "Host"), caller->request.target);
  if (route == nullptr) return refuse_unrouted(caller, kNotFound, kNoRoute, core::Duration::zero());

  const auto exchange = std::make_shared<Exchange>();
  exchange->number = next_number_++;
  exchange->caller = caller;
  exchange->table = table_;
  exchange->route = route;
  exchange->attempt_id = http::find(headers, names.attempt_id);
  exchange->priority = route->priority;
  inherit_from_parent(*exchange, time);
  if (!authorize(*exchange)) {
    // After a restart of the daemon the server may still work on requests, and make calls, that only the former process
    // knew.
    if (!exchange->parent_id.empty() && http::find(headers, names.credentials).empty() &&
        dependencies_.executor.may_run_unknown(time)) {
      return refuse_unrouted(caller, kUnavailable, kUnknownParent, kUnconfiguredRetryAfter);
    }
    return refuse_unrouted(caller, kUnauthorized, kNoValidKey, core::Duration::zero());
  }
  exchange->service = split_.next(*route, random_).service;
  interests_.record_use(exchange->service, time);
  exchange->received = caller->received;
  exchange->deadline = caller->received + parse_deadline(http::find(headers, names.time_left_ms));
  exchange->response_deadline = exchange->deadline;
  if (route->timeout > core::Duration::zero()) {
    exchange->response_deadline = std::min(exchange->response_deadline, caller->received + route->timeout);
  }
  http::remove_hop_by_hop(caller->request.headers);
  // Afterwards, since the Connection header of a caller may name the header of the tenant.
  if (!table_->tenants().empty()) {
    tenant::replace_credentials(caller->request.headers, names.credentials, names.tenant, exchange->tenant);
  }
  exchange->body = make_shared_body(std::move(caller->request.body), std::move(caller->memory));
  exchanges_.emplace(exchange->number, exchange);
  caller->on_disconnect([this, exchange] {
    if (exchange->credit_deadline) dependencies_.quota.ledger().abandon(exchange->tenant->name);
    cancel_placements(*exchange);
    exchanges_.erase(exchange->number);
  });
  if (arrived_too_late(*exchange, time)) return refuse(exchange, core::Cause::kLeaving);
  if (charge_quota(exchange, time)) enter(exchange, time);
}

bool Ingress::arrived_too_late(const Exchange& exchange, core::TimePoint now) const noexcept {
  if (!shutdown_ || exchange.response_deadline + kResponseMargin < shutdown_->end) return false;
  return now > (exchange.inner ? shutdown_->last_nested_call : shutdown_->last_request);
}

void Ingress::end_requests() {
  std::vector<ExchangePointer> remaining;
  for (const auto& [number, exchange] : exchanges_) remaining.push_back(exchange);
  for (const ExchangePointer& exchange : remaining) {
    if (exchange->caller->done()) continue;
    if (std::exchange(exchange->credit_deadline, std::nullopt)) {
      dependencies_.quota.ledger().abandon(exchange->tenant->name);
    }
    const bool may_run = exchange->placed || exchange->may_have_run;
    if (exchange->failure) {
      pass_on(exchange, *exchange->failure);
    } else if (may_run) {
      fail(exchange, kBadGateway, core::Cause::kLeaving);
    } else {
      refuse(exchange, core::Cause::kLeaving);
    }
  }
}

bool Ingress::charge_quota(const ExchangePointer& exchange, core::TimePoint now) {
  if (exchange->tenant == nullptr || exchange->inner || !exchange->tenant->has_quota()) return true;
  switch (dependencies_.quota.ledger().arrive(exchange->tenant->name, now)) {
    case quota::Admission::kAdmit:
      exchange->charged = true;
      return true;
    case quota::Admission::kReject:
      refuse_over_quota(exchange);
      return false;
    case quota::Admission::kWait:
      exchange->credit_deadline = std::min(now + kMaxCreditWait, exchange->response_deadline);
      dependencies_.quota.tick(now);
      return false;
  }
  return false;
}

void Ingress::enter(const ExchangePointer& exchange, core::TimePoint now) {
  if (!admit(*exchange, now)) return refuse(exchange, core::Cause::kOverload);
  place(exchange, now);
}

void Ingress::retry_credit(const ExchangePointer& exchange, core::TimePoint now) {
  quota::Ledger& ledger = dependencies_.quota.ledger();
  const quota::Admission admission = ledger.retry(exchange->tenant->name, now);
  if (admission == quota::Admission::kWait && now < *exchange->credit_deadline) return;
  if (admission == quota::Admission::kWait) ledger.abandon(exchange->tenant->name);
  exchange->credit_deadline.reset();
  if (admission != quota::Admission::kAdmit) return refuse_over_quota(exchange);
  exchange->charged = true;
  enter(exchange, now);
}

void Ingress::on_quota_granted(core::TimePoint now) {
  std::vector<ExchangePointer> waiting;
  for (const auto& [number, exchange] : exchanges_) {
    if (exchange->credit_deadline) waiting.push_back(exchange);
  }
  for (const ExchangePointer& exchange : waiting) {
    // An earlier one of them may have ended this one.
    if (exchange->credit_deadline && !exchange->caller->done()) retry_credit(exchange, now);
  }
}

void Ingress::refuse_over_quota(const ExchangePointer& exchange) {
  refuse(exchange, kTooManyRequests, core::Cause::kQuota);
}

bool Ingress::authorize(Exchange& exchange) {
  const tenant::Directory& tenants = exchange.table->tenants();
  if (tenants.empty()) return true;
  const HeaderNames& names = dependencies_.adapter.headers();
  const http::Headers& headers = exchange.caller->request.headers;
  const tenant::Access access =
      tenant::check_access(tenants, headers, names.credentials, {exchange.route->is_public, exchange.inner});
  if (!access.allowed) return false;
  exchange.tenant = access.tenant;
  if (!exchange.inner) exchange.priority = external_priority(*exchange.route, access.tenant);
  return true;
}

bool Ingress::is_idempotent(const http::Request& request) const {
  const route::Route* const route =
      table_ == nullptr ? nullptr : table_->find(http::find(request.headers, "Host"), request.target);
  return route != nullptr && route->idempotent;
}

void Ingress::inherit_from_parent(Exchange& exchange, core::TimePoint now) {
  const std::string_view parent_id = dependencies_.adapter.parent_attempt(exchange.attempt_id);
  exchange.parent_id = parent_id;
  const auto parent = parent_id.empty() ? std::nullopt : dependencies_.executor.find_parent(parent_id);
  if (!parent) return;
  exchange.inner = true;
  exchange.priority = std::min(parent->priority, exchange.priority);
  exchange.repeat = parent->repeat;
  exchange.calls_left = parent->calls_left;
  dependencies_.graph.record_call(parent->kind, exchange.route->name, true, now);
}

std::vector<std::string> Ingress::needed_services(const Exchange& exchange, core::TimePoint now) const {
  return needed_services(*exchange.table, *exchange.route, exchange.service, now);
}

std::vector<std::string> Ingress::needed_services(const route::RouteTable& table, const route::Route& route,
                                                  const std::string& service, core::TimePoint now) const {
  std::vector<std::string> services{service};
  for (const std::string& kind : dependencies_.graph.reachable_kinds(route.name, now)) {
    const route::Route* const called = table.find_by_name(kind);
    if (called == nullptr || called == &route) continue;
    for (const route::WeightedService& part : called->parts) {
      if (std::find(services.begin(), services.end(), part.service) == services.end()) services.push_back(part.service);
    }
  }
  return services;
}

bool Ingress::admit(Exchange& exchange, core::TimePoint now) {
  if (exchange.inner) return true;
  const std::vector<std::string> needed = needed_services(exchange, now);
  for (const std::string& service : needed) interests_.record_observation(service, now);
  const entrance::Throttle::Limit limit = throttle_.limit(needed, exchange.priority);
  const bool is_admitted = limit.share >= 1 || std::uniform_real_distribution<double>(0, 1)(random_) < limit.share;
  throttle_.record_offered(needed, exchange.priority, limit.share);
  exchange.admitted_share = limit.share;
  exchange.limited_by = limit.service;
  return is_admitted;
}

boost::leaf::result<Explanation> Ingress::explain(const ExplainQuery& query, core::TimePoint now) const {
  Explanation explanation;
  if (table_ == nullptr) {
    explanation.refusal = {kUnavailable, std::string(kNoConfiguration)};
    return explanation;
  }
  explanation.configuration = table_->version();
  const tenant::Tenant* const tenant = query.tenant ? table_->tenants().find_by_name(*query.tenant) : nullptr;
  if (query.tenant && tenant == nullptr) {
    // The value is not repeated, since it may be a key.
    return boost::leaf::new_error(
        core::Error{core::ErrorCode::kNotFound, "tenant", "expected the name of a tenant of the configuration"});
  }
  explanation.tenant = query.tenant;
  const route::Route* const route = table_->find(query.host, query.path);
  if (route == nullptr) {
    explanation.refusal = {kNotFound, std::string(kNoRoute)};
    return explanation;
  }
  explanation.route = route->name;
  explanation.priority = external_priority(*route, tenant);
  if (tenant == nullptr && !table_->tenants().empty() && !route->is_public) {
    explanation.refusal = {kUnauthorized, std::string(kNoValidKey)};
  }
  if (tenant != nullptr && tenant->has_quota()) {
    explanation.quota = std::as_const(dependencies_.quota).ledger().state(tenant->name, now);
    if (explanation.quota && explanation.quota->admission == quota::Admission::kReject) {
      explanation.refusal = {kTooManyRequests, std::string(to_string(core::Cause::kQuota))};
    }
  }
  double total_weight = 0;
  for (const route::WeightedService& part : route->parts) total_weight += part.weight;
  for (const route::WeightedService& part : route->parts) {
    ExplainedService& service = explanation.services.emplace_back();
    service.service = part.service;
    service.split_share = total_weight > 0 ? part.weight / total_weight : 1;
    service.needed = needed_services(*table_, *route, part.service, now);
    const entrance::Throttle::Limit limit = throttle_.limit(service.needed, explanation.priority);
    service.admitted_share = std::min(1.0, limit.share);
    service.limited_by = limit.service;
    service.candidates = dependencies_.pool.candidates(placement_request(*route, part.service), now);
  }
  return explanation;
}

std::string Ingress::describe_pressure() const {
  std::string text;
  if (table_ == nullptr) return text;
  for (const std::string& service : table_->service_names()) {
    const gate::Load load = dependencies_.pool.total_load(service);
    if (load.limit == 0) continue;
    std::array<char, 64> numbers{};
    std::snprintf(numbers.data(), numbers.size(), " %d+%d/%d %.0f %.2f", load.running, load.queued, load.limit,
                  load.demand, throttle_.pressure(service));
    text.append(text.empty() ? "" : ", ").append(service).append(numbers.data());
  }
  return text;
}

bool Ingress::overloaded(const Exchange& exchange, core::TimePoint now) const {
  const std::vector<std::string> needed = needed_services(exchange, now);
  return std::any_of(needed.begin(), needed.end(),
                     [this](const std::string& name) { return throttle_.pressure(name) > kOverloadPressure; });
}

std::optional<std::string> Ingress::choose(const Exchange& exchange, core::TimePoint now) {
  placement::PlacementRequest need = placement_request(*exchange.route, exchange.service);
  need.tried = exchange.tried;
  const bool server_limit_reached =
      static_cast<int>(exchange.reached.size()) >= std::max(1, exchange.route->max_servers);
  if (server_limit_reached) need.allowed = exchange.reached;
  return dependencies_.pool.choose(need, now, random_);
}

void Ingress::place(const ExchangePointer& exchange, core::TimePoint now) {
  const auto chosen = choose(*exchange, now);
  if (chosen) {
    send_to_daemon(exchange, *chosen, now);
    return;
  }
  exchange->placed = false;
  if (exchange->tried.empty() && now - exchange->received < kMaxServerWait) return;  // `tick` tries again.
  give_up(exchange, exchange->last_cause == core::Cause::kNone ? core::Cause::kNoServer : exchange->last_cause);
}

void Ingress::send_to_daemon(const ExchangePointer& exchange, const std::string& endpoint, core::TimePoint now) {
  peer::Execute execute;
  execute.stream = next_number_++;
  execute.attempt_id = exchange->attempt_id;
  execute.service = exchange->service;
  execute.kind = exchange->route->name;
  execute.caller_service = local_service_;
  execute.idempotent = exchange->route->idempotent;
  execute.priority = exchange->priority;
  execute.nested = exchange->inner;
  execute.repeat = exchange->repeat || exchange->sends > 0;
  execute.calls_left = exchange->calls_left;
  execute.time_left = exchange->response_deadline - now;
  execute.max_wait = exchange->inner ? execute.time_left : scaled(exchange->route->objective, options_.max_wait_share);
  execute.sent_at = now;
  execute.request = exchange->caller->request;
  execute.body = exchange->body;
  exchange->endpoint = endpoint;
  exchange->stream = execute.stream;
  exchange->placed = true;
  dependencies_.pool.on_sent(endpoint);
  const std::uint64_t stream = execute.stream;
  const auto on_ended = [this, exchange, stream](const peer::Result& result) { on_result(exchange, stream, result); };
  if (endpoint == own_endpoint_) {
    dependencies_.executor.execute(incarnation_, std::move(execute), on_ended);
    return;
  }
  PeerLink* const link = dependencies_.fleet.link(endpoint);
  if (link == nullptr) {
    exchange->tried.push_back(endpoint);
    return place(exchange, now);
  }
  link->execute(execute, {on_ended, [this, exchange, stream] { on_interrupted(exchange, stream); }});
}

void Ingress::cancel(const Placement& placement) {
  if (placement.endpoint == own_endpoint_) {
    dependencies_.executor.cancel({incarnation_, placement.stream});
  } else if (PeerLink* const link = dependencies_.fleet.link(placement.endpoint)) {
    link->cancel(placement.stream);
  }
}

void Ingress::cancel_placements(Exchange& exchange) {
  for (const Placement& placement : std::exchange(exchange.unresponsive, {})) cancel(placement);
  if (!exchange.placed) return;
  exchange.placed = false;
  cancel({exchange.endpoint, exchange.stream});
}

void Ingress::record_delivery(Exchange& exchange, const std::string& endpoint) {
  ++exchange.sends;
  if (std::find(exchange.reached.begin(), exchange.reached.end(), endpoint) != exchange.reached.end()) return;
  exchange.reached.push_back(endpoint);
}

void Ingress::on_interrupted(const ExchangePointer& exchange, std::uint64_t stream) {
  if (!exchange->placed || exchange->stream != stream) return;
  const core::TimePoint time = now();
  retry::PlacementOutcome facts = placement_facts(*exchange, time);
  ++facts.sends;
  // Without a second copy the placement stays, since the daemon may still respond.
  if (static_cast<int>(exchange->unresponsive.size()) >= options_.max_hedges || !retry::should_hedge(facts)) return;
  exchange->tried.push_back(exchange->endpoint);
  record_delivery(*exchange, exchange->endpoint);
  exchange->may_have_run = true;
  exchange->unresponsive.push_back({exchange->endpoint, exchange->stream});
  exchange->placed = false;
  place(exchange, time);
}

void Ingress::on_late_result(const ExchangePointer& exchange, std::uint64_t stream, const peer::Result& result) {
  const auto placement =
      std::find_if(exchange->unresponsive.begin(), exchange->unresponsive.end(),
                   [stream](const Placement& unresponsive) { return unresponsive.stream == stream; });
  if (placement == exchange->unresponsive.end()) return;
  const std::string endpoint = placement->endpoint;
  exchange->unresponsive.erase(placement);
  dependencies_.pool.update_load(endpoint, result.load, now());
  // A failed result does not end the wait for the second copy.
  if (!result.answered || result.response.status >= kFirstServerErrorStatus || exchange->caller->done()) return;
  cancel_placements(*exchange);
  exchange->endpoint = endpoint;
  pass_on(exchange, result.response);
}

void Ingress::on_result(const ExchangePointer& exchange, std::uint64_t stream, const peer::Result& result) {
  if (!exchange->placed || exchange->stream != stream) return on_late_result(exchange, stream, result);
  exchange->placed = false;
  dependencies_.pool.update_load(exchange->endpoint, result.load, now());
  // A failure caused by lack of capacity at another service does not count against this server.
  const bool failed = result.answered ? result.response.status >= kFirstServerErrorStatus && !result.call_refused
                                      : result.reached_server;
  if (result.reached_server) {
    record_delivery(*exchange, exchange->endpoint);
    // A server that refused the request may accept it next time; one that failed it is excluded.
    if (result.verdict.execution != core::Execution::kNotRun) exchange->tried.push_back(exchange->endpoint);
    dependencies_.pool.on_finished(exchange->endpoint, exchange->route->name, result.run_time, failed);
  } else {
    exchange->tried.push_back(exchange->endpoint);
    dependencies_.pool.on_refused(exchange->endpoint, now());
    ++exchange->refusals;
  }
  if (exchange->caller->done()) return;
  apply_next_step(exchange, result, now());
}

retry::PlacementOutcome Ingress::placement_facts(const Exchange& exchange, core::TimePoint now) {
  retry::PlacementOutcome facts;
  facts.idempotent = exchange.route->idempotent;
  facts.servers_reached = static_cast<int>(exchange.reached.size());
  facts.sends = exchange.sends;
  facts.max_servers = std::max(1, exchange.route->max_servers);
  facts.refusals = exchange.refusals;
  facts.time_left = exchange.response_deadline - now;
  facts.overloaded = overloaded(exchange, now);
  facts.other_server_available = choose(exchange, now).has_value();
  return facts;
}

void Ingress::apply_next_step(const ExchangePointer& exchange, const peer::Result& result, core::TimePoint now) {
  retry::PlacementOutcome facts = placement_facts(*exchange, now);
  facts.verdict = result.verdict;
  facts.answered = result.answered;
  facts.status = result.response.status;
  facts.call_refused = result.call_refused;
  facts.typical_run = result.load.run_time;
  exchange->last_cause = result.verdict.cause;
  if (result.verdict.execution != core::Execution::kNotRun) exchange->may_have_run = true;
  if (result.answered) exchange->failure = result.response;
  exchange->call_refused = result.call_refused;
  switch (retry::next_step(facts)) {
    case retry::NextStep::kPassOn:
      pass_on(exchange, result.response);
      return;
    case retry::NextStep::kPlaceAgain:
      place(exchange, now);
      return;
    case retry::NextStep::kRefuse:
    case retry::NextStep::kFail:
      give_up(exchange, result.verdict.cause);
      return;
  }
}

core::Duration Ingress::retry_delay(const Exchange& exchange, core::TimePoint now) {
  // The retry should still meet the latency objective and stay within the share of the remaining time that callers
  // honour. The delay is randomised so that refused callers do not retry at the same moment.
  const core::Duration honoured = scaled(exchange.deadline - now, kHonouredRetryAfterShare);
  const core::Duration useful =
      scaled(exchange.route->objective - (now - exchange.received), options_.retry_after_share);
  const core::Duration longest =
      std::clamp(useful, std::min(kMinRetryAfter, honoured), std::max(kMinRetryAfter, honoured));
  return scaled(longest, std::uniform_real_distribution<double>(options_.retry_after_min_factor, 1.0)(random_));
}

void Ingress::pass_on(const ExchangePointer& exchange, const http::Response& response) {
  finish(exchange, response, "served", core::Cause::kNone);
}

void Ingress::give_up(const ExchangePointer& exchange, core::Cause cause) {
  if (exchange->failure) return pass_on(exchange, *exchange->failure);
  if (!exchange->unresponsive.empty()) {
    // Only a daemon that stopped responding can still deliver a result.
    const Placement last = exchange->unresponsive.back();
    exchange->unresponsive.pop_back();
    exchange->endpoint = last.endpoint;
    exchange->stream = last.stream;
    exchange->placed = true;
    return;
  }
  if (exchange->may_have_run) return fail(exchange, kBadGateway, cause);
  refuse(exchange, cause);
}

void Ingress::refuse(const ExchangePointer& exchange, core::Cause cause) { refuse(exchange, kUnavailable, cause); }

void Ingress::refuse(const ExchangePointer& exchange, int status, core::Cause cause) {
  if (std::exchange(exchange->charged, false)) {
    dependencies_.quota.ledger().refund(exchange->tenant->name, now());
  }
  http::Response response;
  response.status = status;
  http::set(response.headers, dependencies_.adapter.headers().retry_after,
            format_seconds(retry_delay(*exchange, now())));
  finish(exchange, std::move(response), "refused", cause);
}

void Ingress::fail(const ExchangePointer& exchange, int status, core::Cause cause) {
  http::Response response;
  response.status = status;
  finish(exchange, std::move(response), "failed", cause);
}

void Ingress::finish(const ExchangePointer& exchange, http::Response response, std::string_view outcome,
                     core::Cause cause) {
  const core::TimePoint time = now();
  const bool served = outcome == "served" && response.status < kFirstServerErrorStatus;
  const bool refused_for_capacity = cause == core::Cause::kOverload || cause == core::Cause::kRetryBound;
  if (exchange->inner && !served && (refused_for_capacity || exchange->call_refused)) {
    dependencies_.executor.record_refused_call(exchange->parent_id);
  }
  if (exchange->inner && served) dependencies_.executor.record_served_call(exchange->parent_id);
  dependencies_.log.line(served ? LogClass::kServedRequest : LogClass::kFailedRequest, "request",
                         {{"attempt", exchange->attempt_id},
                          {"route", exchange->route->name},
                          {"service", exchange->service},
                          {"status", response.status},
                          {"outcome", outcome},
                          {"cause", to_string(cause)},
                          {"inner", exchange->inner},
                          {"at", exchange->endpoint},
                          {"servers", static_cast<std::int64_t>(exchange->reached.size())},
                          {"sends", exchange->sends},
                          {"refusals", exchange->refusals},
                          {"took_ms", to_milliseconds(time - exchange->received)},
                          {"left_ms", to_milliseconds(exchange->deadline - time)},
                          {"configuration", static_cast<std::int64_t>(exchange->table->version())},
                          {"let_in", exchange->admitted_share},
                          {"limited_by", exchange->limited_by}});
  dependencies_.registry
      .counter("damaskthread_requests_total", "Requests by route, outcome and cause.",
               {{"route", exchange->route->name},
                {"outcome", std::string(outcome)},
                {"cause", std::string(to_string(cause))}})
      .count();
  cancel_placements(*exchange);
  exchanges_.erase(exchange->number);
  exchange->caller->answer(response);
}

void Ingress::tick(core::TimePoint now) {
  if (now - last_observed_ >= kObserveInterval && table_ != nullptr) {
    const core::Duration elapsed = std::min<core::Duration>(now - last_observed_, 2 * kObserveInterval);
    last_observed_ = now;
    for (const std::string& service : table_->service_names()) {
      throttle_.observe(service, dependencies_.pool.total_load(service), elapsed);
    }
  }
  std::vector<ExchangePointer> due;
  for (const auto& [number, exchange] : exchanges_) {
    if (!exchange->placed || now > exchange->response_deadline + kResponseMargin) due.push_back(exchange);
  }
  for (const ExchangePointer& exchange : due) {
    if (exchange->caller->done()) continue;
    if (exchange->credit_deadline) {
      retry_credit(exchange, now);
      continue;
    }
    if (now <= exchange->response_deadline + kResponseMargin) {
      if (!exchange->placed) place(exchange, now);
      continue;
    }
    const bool never_sent = !exchange->placed && !exchange->may_have_run;
    cancel_placements(*exchange);
    if (never_sent) {
      refuse(exchange, core::Cause::kNoServer);
    } else {
      fail(exchange, kGatewayTimeout, core::Cause::kDeadline);
    }
  }
}

}  // namespace damaskthread::mesh
