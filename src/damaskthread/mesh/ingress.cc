#include "damaskthread/mesh/ingress.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <random>
#include <utility>

#include "damaskthread/mesh/clock.h"

namespace damaskthread::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::Duration kDefaultDeadline = seconds{10};
constexpr core::Duration kMaxDeadline = std::chrono::minutes{10};
// A server that answers at the deadline it was given needs this long until its answer is here.
constexpr core::Duration kAnswerMargin = milliseconds{100};
// A request for which no server can be reached waits this long for one: longer than a daemon needs to notice a restart.
constexpr core::Duration kServerWait = milliseconds{150};
constexpr core::Duration kObserveInterval = milliseconds{100};
constexpr core::Duration kReturnSoon = milliseconds{300};
constexpr core::Duration kLeastReturn = milliseconds{100};
// Callers honour a hint up to this share of the time that they have left.
constexpr double kHonouredShare = 1.0 / 3;
// Share of the objective that a new request may wait for a slot: the run itself needs the rest.
constexpr double kWaitShare = 0.25;
constexpr double kOverloadPressure = 0.05;
// Where there are so few services, connections to the servers of all are opened before the first request needs them.
constexpr std::size_t kFewServices = 8;

constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;
constexpr int kServerFailure = 500;

core::Duration scaled(core::Duration time, double factor) {
  return std::chrono::duration_cast<core::Duration>(time * factor);
}

core::Duration deadline_of(std::string_view text) {
  std::int64_t value = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  if (parsed.ec != std::errc() || value <= 0) return kDefaultDeadline;
  return std::min<core::Duration>(milliseconds(value), kMaxDeadline);
}

std::string seconds_text(core::Duration time) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(time).count());
  return text.data();
}

double ms(core::Duration time) { return std::chrono::duration<double, std::milli>(time).count(); }

}  // namespace

Ingress::Ingress(Parts parts, std::string self, core::Incarnation incarnation)
    : parts_(parts), self_(std::move(self)), incarnation_(incarnation), random_(incarnation.value) {}

void Ingress::set_table(std::shared_ptr<const route::RouteTable> table) {
  table_ = std::move(table);
  split_.reset();
}

std::map<std::string, overlay::Interest, std::less<>> Ingress::interests(core::TimePoint now) {
  if (table_ != nullptr && table_->service_names().size() <= kFewServices) {
    for (const std::string& service : table_->service_names()) interests_.used(service, now);
  }
  for (const auto& [service, interest] : interests_.interests(now)) {
    interests_.loaded(service, parts_.pool.total_load(service), now);
  }
  return interests_.interests(now);
}

void Ingress::refuse_now(const std::shared_ptr<CallerRequest>& caller, int status, std::string_view reason,
                         core::Duration retry_after) {
  http::Response response;
  response.status = status;
  if (retry_after > core::Duration::zero()) {
    http::set(response.headers, parts_.adapter.headers().retry_after, seconds_text(retry_after));
  }
  const std::string_view attempt = http::find(caller->request.headers, parts_.adapter.headers().attempt_id);
  parts_.log.line(LineClass::kFailed, "request",
                  {{"attempt", attempt}, {"status", status}, {"outcome", reason}, {"target", caller->request.target}});
  caller->answer(response);
}

void Ingress::handle(const std::shared_ptr<CallerRequest>& caller) {
  const core::TimePoint time = now();
  const HeaderNames& names = parts_.adapter.headers();
  if (table_ == nullptr) return refuse_now(caller, kUnavailable, "no configuration yet", kReturnSoon);
  const http::Headers& headers = caller->request.headers;
  const route::Route* route = table_->find(http::find(headers, "Host"), caller->request.target);
  if (route == nullptr) return refuse_now(caller, kNotFound, "no route", core::Duration::zero());

  const auto exchange = std::make_shared<Exchange>();
  exchange->number = next_number_++;
  exchange->caller = caller;
  exchange->table = table_;
  exchange->route = route;
  exchange->service = split_.next(*route, random_).service;
  exchange->attempt_id = http::find(headers, names.attempt_id);
  exchange->priority = route->priority;
  note_parent(*exchange, time);
  interests_.used(exchange->service, time);
  exchange->received = caller->received;
  exchange->deadline = caller->received + deadline_of(http::find(headers, names.time_left_ms));
  exchange->answer_by = exchange->deadline;
  if (route->timeout > core::Duration::zero()) {
    exchange->answer_by = std::min(exchange->answer_by, caller->received + route->timeout);
  }
  http::remove_hop_by_hop(caller->request.headers);
  exchanges_.emplace(exchange->number, exchange);
  caller->on_gone([this, exchange] {
    withdraw(*exchange);
    exchanges_.erase(exchange->number);
  });
  if (!admitted(*exchange, time)) return refuse(exchange, core::Cause::kOverload);
  place(exchange, time);
}

void Ingress::note_parent(Exchange& exchange, core::TimePoint now) {
  const std::string_view parent_id = parts_.adapter.parent_attempt(exchange.attempt_id);
  const auto parent = parent_id.empty() ? std::nullopt : parts_.gate.running_attempt(parent_id);
  if (!parent) return;
  exchange.inner = true;
  exchange.parent_id = parent_id;
  exchange.priority = std::min(parent->priority, exchange.priority);
  exchange.repeat = parent->repeat;
  parts_.graph.record_call(parent->kind, exchange.route->name, true, now);
}

std::vector<std::string> Ingress::needed_services(const Exchange& exchange, core::TimePoint now) const {
  std::vector<std::string> services{exchange.service};
  for (const std::string& kind : parts_.graph.reachable_kinds(exchange.route->name, now)) {
    const route::Route* const route = exchange.table->named(kind);
    if (route == nullptr || route == exchange.route) continue;
    for (const route::Part& part : route->parts) {
      if (std::find(services.begin(), services.end(), part.service) == services.end()) services.push_back(part.service);
    }
  }
  return services;
}

bool Ingress::admitted(Exchange& exchange, core::TimePoint now) {
  if (exchange.inner) return true;
  const std::vector<std::string> needed = needed_services(exchange, now);
  for (const std::string& service : needed) interests_.observed(service, now);
  const entrance::Throttle::Limit limit = throttle_.limit(needed, exchange.priority);
  const bool admitted = limit.share >= 1 || std::uniform_real_distribution<double>(0, 1)(random_) < limit.share;
  throttle_.record_offered(needed, exchange.priority, limit.share);
  exchange.let_in = limit.share;
  exchange.limited_by = limit.service;
  return admitted;
}

std::string Ingress::describe_pressure() const {
  std::string text;
  if (table_ == nullptr) return text;
  for (const std::string& service : table_->service_names()) {
    const gate::Load load = parts_.pool.total_load(service);
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
  placement::PlacementRequest need;
  need.service = exchange.service;
  need.kind = exchange.route->name;
  need.objective = exchange.route->objective;
  need.tried = exchange.tried;
  const bool all_used = static_cast<int>(exchange.reached.size()) >= std::max(1, exchange.route->max_servers);
  if (all_used) need.allowed = exchange.reached;
  return parts_.pool.choose(need, now, random_);
}

void Ingress::place(const ExchangePointer& exchange, core::TimePoint now) {
  const auto chosen = choose(*exchange, now);
  if (chosen) {
    hand_over(exchange, *chosen, now);
    return;
  }
  exchange->placed = false;
  if (exchange->tried.empty() && now - exchange->received < kServerWait) return;  // Tried again by `tick`.
  give_up(exchange, exchange->last_cause == core::Cause::kNone ? core::Cause::kNoServer : exchange->last_cause);
}

void Ingress::hand_over(const ExchangePointer& exchange, const std::string& endpoint, core::TimePoint now) {
  peer::Execute execute;
  execute.stream = next_number_++;
  execute.attempt_id = exchange->attempt_id;
  execute.service = exchange->service;
  execute.kind = exchange->route->name;
  execute.caller_service = local_service_;
  execute.idempotent = exchange->route->idempotent;
  execute.priority = exchange->priority;
  execute.inner = exchange->inner;
  execute.moved = exchange->refusals > 0 || exchange->sends > 0;
  execute.repeat = exchange->repeat || exchange->sends > 0;
  execute.time_left = exchange->answer_by - now;
  execute.patience = exchange->inner ? execute.time_left : scaled(exchange->route->objective, kWaitShare);
  execute.sent = now;
  execute.request = exchange->caller->request;
  exchange->endpoint = endpoint;
  exchange->stream = execute.stream;
  exchange->placed = true;
  parts_.pool.on_sent(endpoint);
  const std::uint64_t stream = execute.stream;
  const auto ended = [this, exchange, stream](const peer::Result& result) { on_result(exchange, stream, result); };
  if (endpoint == self_) {
    parts_.gate.execute(incarnation_, std::move(execute), ended);
    return;
  }
  PeerLink* const link = parts_.fleet.link(endpoint);
  if (link == nullptr) {
    exchange->tried.push_back(endpoint);
    return place(exchange, now);
  }
  link->execute(execute, {ended, [this, exchange, stream] { on_interrupted(exchange, stream); }});
}

void Ingress::cancel(const Placement& placement) {
  if (placement.endpoint == self_) {
    parts_.gate.cancel({incarnation_, placement.stream});
  } else if (PeerLink* const link = parts_.fleet.link(placement.endpoint)) {
    link->cancel(placement.stream);
  }
}

void Ingress::withdraw(Exchange& exchange) {
  for (const Placement& placement : std::exchange(exchange.silent, {})) cancel(placement);
  if (!exchange.placed) return;
  exchange.placed = false;
  cancel({exchange.endpoint, exchange.stream});
}

void Ingress::note_reached(Exchange& exchange, const std::string& endpoint) {
  ++exchange.sends;
  if (std::find(exchange.reached.begin(), exchange.reached.end(), endpoint) != exchange.reached.end()) return;
  exchange.reached.push_back(endpoint);
}

void Ingress::on_interrupted(const ExchangePointer& exchange, std::uint64_t stream) {
  if (!exchange->placed || exchange->stream != stream) return;
  const core::TimePoint time = now();
  retry::PlacementFacts facts = facts_of(*exchange, time);
  ++facts.sends;
  // Otherwise it stays where it is: the daemon may yet answer.
  if (!retry::worth_second_copy(facts)) return;
  exchange->tried.push_back(exchange->endpoint);
  note_reached(*exchange, exchange->endpoint);
  exchange->may_have_run = true;
  exchange->silent.push_back({exchange->endpoint, exchange->stream});
  exchange->placed = false;
  place(exchange, time);
}

void Ingress::on_late_result(const ExchangePointer& exchange, std::uint64_t stream, const peer::Result& result) {
  const auto placement = std::find_if(exchange->silent.begin(), exchange->silent.end(),
                                      [stream](const Placement& silent) { return silent.stream == stream; });
  if (placement == exchange->silent.end()) return;
  const std::string endpoint = placement->endpoint;
  exchange->silent.erase(placement);
  parts_.pool.update_load(endpoint, result.load, now());
  // A failure does not end the wait for the second copy.
  if (!result.answered || result.response.status >= kServerFailure || exchange->caller->done()) return;
  withdraw(*exchange);
  exchange->endpoint = endpoint;
  pass_on(exchange, result.response);
}

void Ingress::on_result(const ExchangePointer& exchange, std::uint64_t stream, const peer::Result& result) {
  if (!exchange->placed || exchange->stream != stream) return on_late_result(exchange, stream, result);
  exchange->placed = false;
  parts_.pool.update_load(exchange->endpoint, result.load, now());
  // A server whose run failed for want of capacity elsewhere is as good as the others.
  const bool failed =
      result.answered ? result.response.status >= kServerFailure && !result.call_refused : result.reached_server;
  if (result.reached_server) {
    note_reached(*exchange, exchange->endpoint);
    // A server that turned the request away may take it the next time; one that failed it is not asked again.
    if (result.verdict.execution != core::Execution::kNotRun) exchange->tried.push_back(exchange->endpoint);
    parts_.pool.on_finished(exchange->endpoint, exchange->route->name, result.run_time, failed);
  } else {
    exchange->tried.push_back(exchange->endpoint);
    parts_.pool.on_refused(exchange->endpoint, now());
    ++exchange->refusals;
  }
  if (exchange->caller->done()) return;
  take_step(exchange, result, now());
}

retry::PlacementFacts Ingress::facts_of(const Exchange& exchange, core::TimePoint now) {
  retry::PlacementFacts facts;
  facts.idempotent = exchange.route->idempotent;
  facts.servers_reached = static_cast<int>(exchange.reached.size());
  facts.sends = exchange.sends;
  facts.max_servers = std::max(1, exchange.route->max_servers);
  facts.refusals = exchange.refusals;
  facts.time_left = exchange.answer_by - now;
  facts.overloaded = overloaded(exchange, now);
  facts.others = choose(exchange, now).has_value();
  return facts;
}

void Ingress::take_step(const ExchangePointer& exchange, const peer::Result& result, core::TimePoint now) {
  retry::PlacementFacts facts = facts_of(*exchange, now);
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

core::Duration Ingress::return_after(const Exchange& exchange, core::TimePoint now) {
  // A caller that returns in time for its objective is served for its full worth; later than a third of its time it
  // does not wait. Returns are spread, so that they do not come as one wave.
  const core::Duration honoured = scaled(exchange.deadline - now, kHonouredShare);
  const core::Duration useful = scaled(exchange.route->objective - (now - exchange.received), 0.5);
  const core::Duration longest = std::clamp(useful, std::min(kLeastReturn, honoured), std::max(kLeastReturn, honoured));
  return scaled(longest, std::uniform_real_distribution<double>(0.4, 1.0)(random_));
}

void Ingress::pass_on(const ExchangePointer& exchange, const http::Response& response) {
  finish(exchange, response, "served", core::Cause::kNone);
}

void Ingress::give_up(const ExchangePointer& exchange, core::Cause cause) {
  if (exchange->failure) return pass_on(exchange, *exchange->failure);
  if (!exchange->silent.empty()) {
    // The copy at a daemon that went silent is the only hope left.
    const Placement last = exchange->silent.back();
    exchange->silent.pop_back();
    exchange->endpoint = last.endpoint;
    exchange->stream = last.stream;
    exchange->placed = true;
    return;
  }
  if (exchange->may_have_run) return fail(exchange, kBadGateway, cause);
  refuse(exchange, cause);
}

void Ingress::refuse(const ExchangePointer& exchange, core::Cause cause) {
  http::Response response;
  response.status = kUnavailable;
  http::set(response.headers, parts_.adapter.headers().retry_after, seconds_text(return_after(*exchange, now())));
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
  const bool served = outcome == "served" && response.status < kServerFailure;
  const bool for_capacity = cause == core::Cause::kOverload || cause == core::Cause::kRetryBound;
  if (exchange->inner && !served && (for_capacity || exchange->call_refused)) {
    parts_.gate.note_refused_call(exchange->parent_id);
  }
  parts_.log.line(served ? LineClass::kServed : LineClass::kFailed, "request",
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
                   {"took_ms", ms(time - exchange->received)},
                   {"left_ms", ms(exchange->deadline - time)},
                   {"configuration", static_cast<std::int64_t>(exchange->table->version())},
                   {"let_in", exchange->let_in},
                   {"limited_by", exchange->limited_by}});
  parts_.registry
      .counter("damaskthread_requests_total", "Requests by route, outcome and cause.",
               {{"route", exchange->route->name},
                {"outcome", std::string(outcome)},
                {"cause", std::string(to_string(cause))}})
      .count();
  withdraw(*exchange);
  exchanges_.erase(exchange->number);
  exchange->caller->answer(response);
}

void Ingress::tick(core::TimePoint now) {
  if (now - last_observed_ >= kObserveInterval && table_ != nullptr) {
    const core::Duration elapsed = std::min<core::Duration>(now - last_observed_, 2 * kObserveInterval);
    last_observed_ = now;
    for (const std::string& service : table_->service_names()) {
      throttle_.observe(service, parts_.pool.total_load(service), elapsed);
    }
  }
  std::vector<ExchangePointer> present;
  for (const auto& [number, exchange] : exchanges_) {
    if (!exchange->placed || now > exchange->answer_by + kAnswerMargin) present.push_back(exchange);
  }
  for (const ExchangePointer& exchange : present) {
    if (exchange->caller->done()) continue;
    if (now <= exchange->answer_by + kAnswerMargin) {
      if (!exchange->placed) place(exchange, now);
      continue;
    }
    const bool unplaced = !exchange->placed && !exchange->may_have_run;
    withdraw(*exchange);
    if (unplaced) {
      refuse(exchange, core::Cause::kNoServer);
    } else {
      fail(exchange, kGatewayTimeout, core::Cause::kDeadline);
    }
  }
}

}  // namespace damaskthread::mesh
