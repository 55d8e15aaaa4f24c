#include "damaskthread/mesh/local_executor.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <memory>
#include <new>
#include <string_view>
#include <utility>

#include "damaskthread/mesh/clock.h"

namespace damaskthread::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A server counts as gone after this many missed heartbeats plus the tolerance for a late one.
constexpr int kHeartbeatsMissed = 3;
constexpr core::Duration kHeartbeatTolerance = milliseconds{1000};
// A server should respond by its deadline; this much later its connection is closed.
constexpr core::Duration kDeadlineMargin = milliseconds{150};
// Time for a sender whose connection broke to reconnect and resume its requests.
constexpr core::Duration kReconnectGrace = milliseconds{400};
// Longer than the lifetime of any request, so that a delayed copy still finds the refusal of its key.
constexpr core::Duration kResultRetention = seconds{20};
// A tick that is this late means that the process or its VM was suspended.
constexpr core::Duration kSuspensionThreshold = milliseconds{400};
// Time allowed for reading messages that were received during a suspension.
constexpr core::Duration kPostSuspensionDelay = milliseconds{60};
// Requests lost within this time are attributed to one crash.
constexpr core::Duration kCrashWindow = milliseconds{1500};
constexpr core::Duration kProbeInterval = seconds{1};
// A probe may have to wait for a slot at the server like a request; after this time it is repeated.
constexpr core::Duration kProbeTimeout = seconds{3};
// Share of the process's memory limit for responses that are being read.
constexpr double kAnswerMemoryShare = 0.25;
constexpr std::size_t kMegabyte = std::size_t{1} << 20U;
// Total body size of the responses kept for senders that resume; responses beyond it are dropped.
constexpr std::size_t kMaxRetainedBytes = std::size_t{16} << 20U;
// Runs kept for the calls that the server may still make for them. A server runs far fewer at a time.
constexpr std::size_t kMaxAbandonedRuns = 4096;
// Covers the way of a call that the server makes right before the deadline of its run.
constexpr core::Duration kCallMargin = milliseconds{500};
constexpr double kUntrackedSmoothing = 0.1;
// A daemon that starts beside a server older than this does not ramp it up.
constexpr core::Duration kRecentStart = seconds{5};
// An older report tells nothing about a VM. Servers with requests report in every response; without this limit a server
// that was slow at its last response would stay avoided and never report again.
constexpr core::Duration kWorkTimeLifetime = seconds{3};
constexpr int kFirstFailureStatus = 300;
constexpr int kMisdirected = 421;

std::uint64_t fingerprint_of(const peer::Execute& execute) {
  const std::array<std::string_view, 5> parts = {execute.service, execute.caller_service, execute.request.method,
                                                 execute.request.target, http::view(execute.body)};
  const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(), XXH3_freeState);
  if (state == nullptr) throw std::bad_alloc();
  XXH3_64bits_reset(state.get());
  for (const std::string_view part : parts) {
    XXH3_64bits_update(state.get(), part.data(), part.size());
    XXH3_64bits_update(state.get(), "", 1);  // A separator, so that a byte cannot move from one part to the next.
  }
  return XXH3_64bits_digest(state.get());
}

// Callers take these statuses to mean that the request did not run.
bool implies_not_run(int status) { return status == 408 || status == kMisdirected || status == 429 || status == 503; }

std::size_t answer_memory(const MeshSettings& settings) {
  return static_cast<std::size_t>(kAnswerMemoryShare * static_cast<double>(settings.memory_mb * kMegabyte));
}

retry::RepeatBudgetOptions repeat_options(const MeshSettings& settings) {
  retry::RepeatBudgetOptions options = settings.policy.repeats;
  options.ratio = settings.promises.repeat_ratio;
  options.window = settings.promises.repeat_window;
  options.slack = settings.promises.repeat_slack;
  return options;
}

peer::Result make_result(const core::Verdict& verdict, bool reached_server) {
  peer::Result result;
  result.verdict = verdict;
  result.reached_server = reached_server;
  return result;
}

}  // namespace

LocalExecutor::LocalExecutor(boost::asio::io_context& io, const Adapter& adapter, const MeshSettings& settings,
                             EventLog& log, quarantine::CrashCounter& tally, Hooks hooks)
    : io_(io),
      adapter_(adapter),
      settings_(settings),
      log_(log),
      tally_(tally),
      hooks_(std::move(hooks)),
      life_(kHeartbeatsMissed * settings.heartbeat + kHeartbeatTolerance,
            {settings.service, settings::to_string(settings.local_server)}),
      gate_(settings.policy.gate),
      ramp_up_(settings.policy.pace),
      budget_(repeat_options(settings), now()),
      connections_(io, adapter.headers().attempt_id, answer_memory(settings)),
      started_(now()),
      last_tick_(started_) {
  connections_.set_endpoint({settings.local_server.host, settings.local_server.port});
}

double LocalExecutor::root_hash_fraction(const peer::Execute& execute) const {
  std::string_view root = execute.attempt_id;
  for (std::string_view parent = adapter_.parent_attempt(root); !parent.empty();) {
    root = parent;
    parent = adapter_.parent_attempt(root);
  }
  constexpr double kHashRange = 0x1p64;
  return static_cast<double>(XXH3_64bits(root.data(), root.size())) / kHashRange;
}

LocalExecutor::RunPointer LocalExecutor::find(RunKey key) const {
  const auto found = runs_.find(key);
  return found == runs_.end() ? nullptr : found->second;
}

bool LocalExecutor::accepts_requests(core::TimePoint now) const {
  return !stopping_ && life_.state(now) == gate::ServerState::kReady;
}

core::Duration LocalExecutor::transit_time(core::Incarnation sender, core::TimePoint sent, core::TimePoint now) {
  const core::Duration difference = now - sent;
  const auto [offset, inserted] = clock_offsets_.emplace(sender.value, difference);
  if (!inserted) offset->second = std::min(offset->second, difference);
  return difference - offset->second;
}

void LocalExecutor::execute(core::Incarnation sender, peer::Execute execute, Reply reply) {
  const core::TimePoint time = now();
  if (time - last_tick_ > kSuspensionThreshold) defer_until_ = time + kPostSuspensionDelay;
  const RunKey key{sender, execute.stream};
  if (retained_results_.contains(key) || runs_.contains(key))
    return;  // A duplicate, or refused by `resume` before it arrived.
  const auto run = std::make_shared<Run>();
  run->key = key;
  run->execute = std::move(execute);
  run->reply = std::move(reply);
  run->arrived = time;
  run->deadline = time + run->execute.time_left - transit_time(sender, run->execute.sent_at, time);
  run->fingerprint = fingerprint_of(run->execute);
  runs_.emplace(key, run);
  if (time < defer_until_) {
    deferred_runs_.push_back(run);
    return;
  }
  admit(run, time);
}

core::Cause LocalExecutor::refusal_cause(const Run& run, core::TimePoint now) const {
  if (run.execute.body_dropped) return core::Cause::kOverload;
  if (run.deadline <= now) return core::Cause::kDeadline;
  if (tally_.held(run.fingerprint, now)) return core::Cause::kQuarantined;
  const gate::ServerState state = life_.state(now);
  if (stopping_ || state == gate::ServerState::kLeaving || state == gate::ServerState::kGone) {
    return core::Cause::kLeaving;
  }
  if (state != gate::ServerState::kReady || life_.last_heartbeat()->service != run.execute.service) {
    return core::Cause::kNoServer;
  }
  return core::Cause::kNone;
}

void LocalExecutor::admit(const RunPointer& run, core::TimePoint now) {
  const core::Cause cause = refusal_cause(*run, now);
  if (cause != core::Cause::kNone) return refuse(run, cause);
  if (run->execute.repeat && !consume_repeat_budget(*run, now)) {
    return refuse(run, core::Cause::kRetryBound);
  }
  gate::Arrival arrival;
  arrival.ticket = {next_ticket_++};
  arrival.priority = run->execute.priority;
  arrival.nested = run->execute.nested;
  arrival.kind = run->execute.kind;
  arrival.deadline = run->deadline;
  arrival.max_wait = run->execute.max_wait;
  switch (gate_.arrive(arrival, now)) {
    case gate::Admission::kStart:
      start(run, now);
      return;
    case gate::Admission::kEnqueue:
      queued_runs_.emplace(arrival.ticket.value, run);
      return;
    case gate::Admission::kRefuse:
      refuse(run, core::Cause::kOverload);
      return;
  }
}

bool LocalExecutor::consume_repeat_budget(const Run& run, core::TimePoint now) {
  return budget_.allow(now, hooks_.servers(run.execute.service),
                       {run.execute.priority, root_hash_fraction(run.execute), run.execute.calls_left});
}

void LocalExecutor::start(const RunPointer& run, core::TimePoint now) {
  run->running = true;
  run->started = now;
  running_attempts_[run->execute.attempt_id] = run;
  if (!run->execute.repeat) budget_.on_first_attempt(now);
  send(run, now);
}

void LocalExecutor::send(const RunPointer& run, core::TimePoint now) {
  const HeaderNames& names = adapter_.headers();
  http::Request request = run->execute.request;
  const auto time_left = std::chrono::duration_cast<milliseconds>(run->deadline - now);
  http::set(request.headers, names.time_left_ms, std::to_string(std::max<std::int64_t>(1, time_left.count())));
  http::set(request.headers, names.attempt_id, run->execute.attempt_id);
  http::set(request.headers, names.caller_service, run->execute.caller_service);
  http::set(request.headers, names.target_server, life_.last_heartbeat()->id);
  const bool recently_used_only = !run->execute.idempotent || run->resent;
  run->connection = connections_.acquire(now, recently_used_only, run->execute.attempt_id);
  run->connection->send(request, run->execute.body, [this, weak = std::weak_ptr<Run>(run)](ExchangeResult exchange) {
    if (const RunPointer self = weak.lock()) on_exchange(self, std::move(exchange));
  });
}

void LocalExecutor::on_exchange(const RunPointer& run, ExchangeResult&& exchange) {
  const core::TimePoint time = now();
  connections_.release(std::exchange(run->connection, nullptr), time);
  const bool lost_reused =
      exchange.outcome == ExchangeOutcome::kConnectionLost && exchange.reused && run->execute.idempotent;
  // Otherwise the sender chooses another server.
  const bool resendable = lost_reused && !run->resent && refusal_cause(*run, time) == core::Cause::kNone;
  if (resendable && consume_repeat_budget(*run, time)) {
    // The server most likely closed the idle connection, but it may have run the request. The second send therefore
    // counts as a repeat, as do its nested calls.
    run->resent = true;
    run->execute.repeat = true;
    send(run, time);
    return;
  }
  if (exchange.outcome == ExchangeOutcome::kNotConnected) {
    life_.mark_unreachable();
    connections_.close_idle();
    report_crash(time);
  } else if (exchange.outcome == ExchangeOutcome::kConnectionLost) {
    record_lost_request(run->fingerprint, time);
  }
  update_server_load(exchange.response);
  const bool answered = exchange.outcome == ExchangeOutcome::kCompleted;
  peer::Result result = classify_exchange(*run, std::move(exchange), time);
  run->running = false;
  const bool rejected = result.verdict.execution == core::Execution::kNotRun && result.reached_server;
  if (rejected) {
    gate_.reject(run->execute.kind, time);
    ramp_up_.on_rejection(time);
  } else {
    if (result.answered && result.response.status < kFirstFailureStatus) {
      ramp_up_.on_response(run->execute.kind, result.run_time, time);
    }
    gate_.finish(run->execute.kind, answered && result.answered ? result.run_time : core::Duration::zero());
  }
  if (result.answered && result.response.status < kFirstFailureStatus) {
    progress_.record_run(run->execute.kind, run->served_calls);
  }
  end(run, std::move(result));
  apply_server_state(time);
  start_queued(time);
}

peer::Result LocalExecutor::classify_exchange(const Run& run, ExchangeResult&& exchange, core::TimePoint now) {
  const HeaderNames& names = adapter_.headers();
  peer::Result result;
  result.run_time = now - run.started;
  if (exchange.outcome == ExchangeOutcome::kNotConnected)
    return make_result(core::not_run(core::Cause::kNoServer), run.resent);
  result.reached_server = true;
  if (exchange.outcome != ExchangeOutcome::kCompleted) {
    result.verdict = core::may_have_run(
        exchange.outcome == ExchangeOutcome::kConnectionLost ? core::Cause::kConnection : core::Cause::kIncomplete);
    return result;
  }
  const http::Response& response = exchange.response;
  if (!http::find(response.headers, names.not_run).empty() || response.status == kMisdirected) {
    const bool misdirected = response.status == kMisdirected;
    result.verdict = core::not_run(misdirected ? core::Cause::kServerGone : core::Cause::kOverload);
    return result;
  }
  const bool sealed = !http::find(response.headers, names.server_signature).empty();
  const bool success = response.status < kFirstFailureStatus;
  const bool encoded = !http::find(response.headers, "Content-Encoding").empty();
  if (success && (!sealed || encoded)) {
    result.verdict = core::may_have_run(core::Cause::kIncomplete);
    return result;
  }
  if (!success && (!sealed || implies_not_run(response.status))) {
    // Passing on the status would tell the caller that the request did not run, which is not known.
    result.verdict = core::may_have_run(core::Cause::kConnection);
    return result;
  }
  result.verdict = {core::Execution::kRan, core::Cause::kNone, core::Duration{0}};
  result.answered = true;
  result.call_refused = run.call_refused && !success;
  result.response = std::move(exchange.response);
  http::remove_hop_by_hop(result.response.headers);
  return result;
}

gate::Load LocalExecutor::load(core::TimePoint now) const noexcept {
  gate::Load load = gate_.load(now);
  if (ramps_up()) load.pace = ramp_up_.share(now);
  if (now - work_time_reported_at_ > kWorkTimeLifetime) load.work_time = 1;
  return load;
}

bool LocalExecutor::ramps_up() const noexcept { return settings_.policy.pace.enabled || reports_work_time_; }

void LocalExecutor::update_server_load(const http::Response& response) {
  const auto reported = gate::parse_server_load(http::find(response.headers, adapter_.headers().server_load));
  if (!reported) return;
  if (reported->work_time) {
    reports_work_time_ = true;
    work_time_reported_at_ = now();
    gate_.set_work_time(*reported->work_time);
  }
  // The reported load may lag, so an excess over the executor's own count is smoothed; a decrease applies at once.
  const double untracked = std::max(0, reported->running + reported->waiting - gate_.running());
  untracked_requests_ = untracked < untracked_requests_
                            ? untracked
                            : untracked_requests_ + kUntrackedSmoothing * (untracked - untracked_requests_);
  gate_.set_untracked_requests(static_cast<int>(untracked_requests_));
}

void LocalExecutor::refuse(const RunPointer& run, core::Cause cause) {
  end(run, make_result(core::not_run(cause), false));
}

LocalExecutor::ParentRequest LocalExecutor::parent_request(const Run& run) const {
  // The call of the run itself is one of the calls that its tree has left.
  const int calls_left = run.execute.calls_left - 1 + progress_.calls_left(run.execute.kind, run.served_calls);
  return {run.execute.kind, run.execute.priority, run.execute.repeat, calls_left};
}

std::optional<LocalExecutor::ParentRequest> LocalExecutor::find_parent(std::string_view attempt_id) const {
  if (const auto running = running_attempts_.find(attempt_id); running != running_attempts_.end()) {
    return parent_request(*running->second);
  }
  if (const auto abandoned = abandoned_runs_.find(attempt_id); abandoned != abandoned_runs_.end()) {
    return abandoned->second.request;
  }
  return std::nullopt;
}

bool LocalExecutor::may_run_unknown(core::TimePoint now) const noexcept { return now - started_ < kResultRetention; }

void LocalExecutor::retain_abandoned(const Run& run, core::TimePoint now) {
  if (run.deadline <= now || abandoned_runs_.size() >= kMaxAbandonedRuns) return;
  abandoned_runs_.insert_or_assign(run.execute.attempt_id,
                                   AbandonedRun{run.deadline + kCallMargin, parent_request(run)});
}

void LocalExecutor::record_served_call(std::string_view attempt_id) {
  const auto found = running_attempts_.find(attempt_id);
  if (found != running_attempts_.end()) ++found->second->served_calls;
}

void LocalExecutor::record_refused_call(std::string_view attempt_id) {
  const auto found = running_attempts_.find(attempt_id);
  if (found != running_attempts_.end()) found->second->call_refused = true;
}

void LocalExecutor::end(const RunPointer& run, peer::Result result) {
  runs_.erase(run->key);
  const auto running = running_attempts_.find(run->execute.attempt_id);
  if (running != running_attempts_.end() && running->second == run) running_attempts_.erase(running);
  if (!result.answered && result.verdict.execution == core::Execution::kMayHaveRun) retain_abandoned(*run, now());
  result.stream = run->key.stream;
  result.load = load(now());
  if (!result.answered || result.response.status >= kFirstFailureStatus) {
    const core::TimePoint time = now();
    log_.line(LogClass::kFailedRequest, "run",
              {{"attempt", run->execute.attempt_id},
               {"kind", run->execute.kind},
               {"verdict", to_string(result.verdict.execution)},
               {"cause", to_string(result.verdict.cause)},
               {"status", result.response.status},
               {"repeat", run->execute.repeat},
               {"call_refused", result.call_refused},
               {"wait_ms",
                std::chrono::duration<double, std::milli>((result.reached_server ? run->started : time) - run->arrived)
                    .count()},
               {"run_ms", std::chrono::duration<double, std::milli>(result.run_time).count()},
               {"running", result.load.running},
               {"queued", result.load.queued},
               {"limit", result.load.limit},
               {"server_state", gate::to_string(life_.state(time))}});
  }
  const Reply reply = std::exchange(run->reply, nullptr);
  if (reply && !run->detached) reply(result);
  if (!run->execute.idempotent) retain_result(run->key, std::move(result));
}

void LocalExecutor::retain_result(RunKey key, peer::Result result) {
  const std::size_t bytes = result.response.body.size();
  if (retained_bytes_ + bytes > kMaxRetainedBytes) {
    const std::uint64_t stream = result.stream;
    result = make_result(core::may_have_run(core::Cause::kIncomplete), true);
    result.stream = stream;
  }
  retained_bytes_ += result.response.body.size();
  retained_results_[key] = {now() + kResultRetention, std::move(result)};
}

void LocalExecutor::cancel(RunKey key) {
  const RunPointer run = find(key);
  if (run == nullptr) return;
  run->reply = nullptr;
  stop_run(run, core::Cause::kCancelled);
  start_queued(now());
}

void LocalExecutor::stop_run(const RunPointer& run, core::Cause cause) {
  std::erase(deferred_runs_, run);
  for (const auto& [ticket, waiting] : queued_runs_) {
    if (waiting != run) continue;
    gate_.withdraw({ticket});
    queued_runs_.erase(ticket);
    break;
  }
  if (!run->running) {
    end(run, make_result(core::not_run(cause), false));
    return;
  }
  run->running = false;
  if (run->connection != nullptr) run->connection->close();
  run->connection.reset();
  gate_.finish(run->execute.kind, core::Duration::zero());
  end(run, make_result(core::may_have_run(cause), true));
}

void LocalExecutor::resume(RunKey key, bool idempotent, Reply reply) {
  if (const RunPointer run = find(key)) {
    run->reply = std::move(reply);
    run->detached = false;
    return;
  }
  const auto ended = retained_results_.find(key);
  if (ended != retained_results_.end()) {
    reply(ended->second.result);
    return;
  }
  // Either the request never arrived, or it is idempotent and has ended. The refusal is retained so that a copy that
  // arrives later does not run.
  peer::Result result = make_result(
      idempotent ? core::may_have_run(core::Cause::kConnection) : core::not_run(core::Cause::kConnection), idempotent);
  result.stream = key.stream;
  result.load = load(now());
  retained_results_[key] = {now() + kResultRetention, result};
  reply(result);
}

void LocalExecutor::detach(core::Incarnation sender) {
  const core::TimePoint time = now();
  for (auto run = runs_.lower_bound({sender, 0}); run != runs_.end() && run->first.sender == sender; ++run) {
    run->second->detached = true;
    run->second->detached_at = time;
    run->second->reply = nullptr;
  }
}

void LocalExecutor::set_local_server(const std::string& service, const settings::Endpoint& endpoint) {
  settings_.service = service;
  settings_.local_server = endpoint;
  connections_.set_endpoint({endpoint.host, endpoint.port});
  life_.expect({service, settings::to_string(endpoint)});
  apply_server_state(now());
}

bool LocalExecutor::on_heartbeat(const gate::ServerHeartbeat& announcement) {
  const core::TimePoint time = now();
  const gate::ServerLifecycle::Effect effect = life_.on_heartbeat(announcement, time);
  if (effect == gate::ServerLifecycle::Effect::kForeign) return false;
  if (effect == gate::ServerLifecycle::Effect::kIgnored) return true;
  if (effect == gate::ServerLifecycle::Effect::kNewIncarnation) {
    connections_.close_idle();
    untracked_requests_ = 0;
    gate_.set_untracked_requests(0);
    gate_.set_work_time(1);
    report_crash(time);
    if (is_recent_start(announcement)) start_ramp(announcement, time);
  }
  gate_.set_capacity(announcement.capacity);
  apply_server_state(time);
  start_queued(time);
  return true;
}

bool LocalExecutor::is_recent_start(const gate::ServerHeartbeat& heartbeat) {
  // The times of day of the server and the daemon are those of one VM.
  if (heartbeat.started_at_ms == 0) return heartbeat.sequence <= 1;
  const auto wall = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
  const auto tolerance = std::chrono::duration_cast<milliseconds>(kRecentStart);
  // A start in the future comes from a clock that was set back; how long the server has been running is not known.
  const milliseconds started(heartbeat.started_at_ms);
  return started > wall - tolerance && started < wall + tolerance;
}

void LocalExecutor::start_ramp(const gate::ServerHeartbeat& heartbeat, core::TimePoint now) {
  ramp_up_.start(heartbeat.capacity, now);
  if (!ramps_up()) return;
  log_.line(LogClass::kStateChange, "ramp_up", {{"server", heartbeat.id}, {"slots", heartbeat.capacity}});
}

void LocalExecutor::on_deregistration(const std::string& server_id) {
  const core::TimePoint time = now();
  (void)life_.on_deregistration(server_id, time);
  apply_server_state(time);
}

void LocalExecutor::remember_leave(const gate::ServerIncarnation& server) {
  life_.restore_departed(server);
  apply_server_state(now());
}

void LocalExecutor::stop_accepting() {
  stopping_ = true;
  std::vector<gate::Ticket> refused;
  gate_.withdraw_all(refused);
  for (const gate::Ticket ticket : refused) {
    const auto waiting = queued_runs_.extract(ticket.value);
    if (!waiting.empty()) refuse(waiting.mapped(), core::Cause::kLeaving);
  }
  hooks_.changed();
}

void LocalExecutor::apply_server_state(core::TimePoint now) {
  const gate::ServerState state = life_.state(now);
  if (state == applied_state_ && life_.departed() == applied_departure_) return;
  applied_state_ = state;
  applied_departure_ = life_.departed();
  const auto& announcement = life_.last_heartbeat();
  log_.line(LogClass::kStateChange, "server_state",
            {{"server", announcement ? announcement->id : std::string()},
             {"service", announcement ? announcement->service : std::string()},
             {"state", gate::to_string(state)},
             {"started_ms", announcement ? announcement->started_at_ms : 0},
             {"sequence", announcement ? announcement->sequence : 0},
             {"running", gate_.running()}});
  if (state != gate::ServerState::kReady) {
    const core::Cause cause = state == gate::ServerState::kLeaving || state == gate::ServerState::kGone
                                  ? core::Cause::kLeaving
                                  : core::Cause::kNoServer;
    std::vector<gate::Ticket> refused;
    gate_.withdraw_all(refused);
    for (const gate::Ticket ticket : refused) {
      const auto waiting = queued_runs_.extract(ticket.value);
      if (!waiting.empty()) refuse(waiting.mapped(), cause);
    }
  }
  hooks_.changed();
}

void LocalExecutor::start_queued(core::TimePoint now) {
  std::vector<gate::Ticket> started;
  std::vector<gate::Ticket> refused;
  gate_.advance(now, started, refused);
  for (const gate::Ticket ticket : refused) {
    const auto waiting = queued_runs_.extract(ticket.value);
    if (!waiting.empty()) refuse(waiting.mapped(), core::Cause::kOverload);
  }
  for (const gate::Ticket ticket : started) {
    const auto waiting = queued_runs_.extract(ticket.value);
    if (!waiting.empty()) start(waiting.mapped(), now);
  }
}

void LocalExecutor::record_lost_request(std::uint64_t fingerprint, core::TimePoint now) {
  std::erase_if(lost_requests_, [now](const LostRequest& loss) { return now - loss.time > kCrashWindow; });
  lost_requests_.push_back({fingerprint, now});
}

void LocalExecutor::report_crash(core::TimePoint now) {
  std::erase_if(lost_requests_, [now](const LostRequest& loss) { return now - loss.time > kCrashWindow; });
  if (lost_requests_.empty() || !life_.last_heartbeat()) return;
  quarantine::CrashReport report;
  const std::string crash_name =
      life_.last_heartbeat()->id + std::to_string(lost_requests_.front().time.time_since_epoch().count());
  report.crash = XXH3_64bits(crash_name.data(), crash_name.size());
  for (const LostRequest& loss : lost_requests_) report.running.push_back(loss.fingerprint);
  lost_requests_.clear();
  log_.line(LogClass::kStateChange, "server_crashed",
            {{"server", life_.last_heartbeat()->id}, {"requests", static_cast<std::int64_t>(report.running.size())}});
  if (tally_.add(report, now)) hooks_.crashed(report);
}

void LocalExecutor::probe_server(core::TimePoint now) {
  // An unanswered probe is repeated on a new connection.
  if (probe_ != nullptr && now >= probe_deadline_) probe_.reset();
  if (life_.state(now) != gate::ServerState::kUnverified || probe_ != nullptr || now < next_probe_) return;
  const std::string path = hooks_.health_path(life_.last_heartbeat()->service);
  if (path.empty()) return;
  next_probe_ = now + kProbeInterval;
  probe_deadline_ = now + kProbeTimeout;
  http::Request request;
  request.target = path;
  request.headers = {{"Host", http::to_string({settings_.local_server.host, settings_.local_server.port})}};
  probe_ = std::make_shared<HttpConnection>(
      io_, http::Endpoint{settings_.local_server.host, settings_.local_server.port}, StreamTimeouts{});
  probe_->send(request, [this](const ExchangeResult& exchange) {
    const std::string id(http::find(exchange.response.headers, adapter_.headers().server_id));
    const bool ready = exchange.outcome == ExchangeOutcome::kCompleted && exchange.response.status == 200;
    log_.line(LogClass::kStateChange, "server_verified", {{"server", id}, {"ready", ready}});
    if (exchange.outcome == ExchangeOutcome::kCompleted) life_.record_health_check(id, ready);
    // Releases the connection later, since it is still executing this callback.
    boost::asio::post(io_, [answered = std::exchange(probe_, nullptr)] {});
    apply_server_state(mesh::now());
  });
}

void LocalExecutor::tick(core::TimePoint now) {
  if (now - last_tick_ > kSuspensionThreshold) {
    log_.line(LogClass::kStateChange, "suspended",
              {{"for_ms", std::chrono::duration<double, std::milli>(now - last_tick_).count()}});
    defer_until_ = now + kPostSuspensionDelay;
  }
  last_tick_ = now;
  if (now >= defer_until_) {
    for (const RunPointer& run : std::exchange(deferred_runs_, {})) admit(run, now);
  }
  apply_server_state(now);
  if (now >= defer_until_) start_queued(now);
  probe_server(now);
  std::vector<std::pair<RunPointer, core::Cause>> to_stop;
  for (const auto& [key, run] : runs_) {
    const bool expired = run->running && now > run->deadline + kDeadlineMargin;
    const bool sender_gone =
        run->detached && now - run->detached_at > kReconnectGrace && (run->execute.idempotent || !run->running);
    if (expired || sender_gone) to_stop.emplace_back(run, expired ? core::Cause::kDeadline : core::Cause::kCancelled);
  }
  for (const auto& [run, cause] : to_stop) {
    if (find(run->key) == run) stop_run(run, cause);
  }
  std::erase_if(retained_results_, [this, now](const auto& entry) {
    if (entry.second.expires_at > now) return false;
    retained_bytes_ -= entry.second.result.response.body.size();
    return true;
  });
  std::erase_if(abandoned_runs_, [now](const auto& entry) { return entry.second.expires_at <= now; });
  connections_.sweep(now);
}

}  // namespace damaskthread::mesh
