#include "damaskthread/mesh/gate_host.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <utility>

#include "damaskthread/mesh/clock.h"

namespace damaskthread::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A server whose heartbeats stop is no longer believed to be there after three of them and what they may be late by.
constexpr int kHeartbeatsMissed = 3;
constexpr core::Duration kHeartbeatLateness = milliseconds{1000};
// A server answers at the deadline by itself; it is cut off when it does not.
constexpr core::Duration kDeadlineMargin = milliseconds{150};
// A sender whose connection broke asks again within this time unless it is gone.
constexpr core::Duration kDetachedGrace = milliseconds{400};
// Longer than any request lives, so that a request cannot outlive the memory of its refusal.
constexpr core::Duration kRememberEnded = seconds{20};
// A tick that comes this late means that the process or its VM stood still.
constexpr core::Duration kSuspension = milliseconds{400};
// Time in which what was received during a suspension is read.
constexpr core::Duration kAfterSuspension = milliseconds{60};
// Requests lost within this time of each other were lost by one crash.
constexpr core::Duration kCrashSpan = milliseconds{1500};
constexpr core::Duration kProbeInterval = seconds{1};
// A probe waits for a slot like a request; one that takes longer is made anew.
constexpr core::Duration kProbeLimit = seconds{3};
// Share of the process's memory for answers that are being read.
constexpr double kAnswerMemoryShare = 0.25;
constexpr std::size_t kMegabyte = std::size_t{1} << 20U;
// Answers that are kept for a sender that asks again, all together; what does not fit is forgotten.
constexpr std::size_t kEndedAnswerBytes = std::size_t{16} << 20U;
constexpr double kGhostSmoothing = 0.1;
constexpr int kFirstFailureStatus = 300;
constexpr int kMisdirected = 421;

std::uint64_t fingerprint_of(const peer::Execute& execute) {
  const std::array<const std::string*, 5> parts = {&execute.service, &execute.caller_service, &execute.request.method,
                                                   &execute.request.target, &execute.request.body};
  std::string text;
  for (const std::string* part : parts) text.append(*part).push_back('\0');
  return XXH3_64bits(text.data(), text.size());
}

// Statuses that tell a caller that its request did not run.
bool promises_not_run(int status) { return status == 408 || status == kMisdirected || status == 429 || status == 503; }

std::size_t answer_memory(const MeshSettings& settings) {
  return static_cast<std::size_t>(kAnswerMemoryShare * static_cast<double>(settings.memory_mb * kMegabyte));
}

peer::Result outcome(const core::Verdict& verdict, bool reached_server) {
  peer::Result result;
  result.verdict = verdict;
  result.reached_server = reached_server;
  return result;
}

}  // namespace

GateHost::GateHost(boost::asio::io_context& io, const Adapter& adapter, const MeshSettings& settings, EventLog& log,
                   quarantine::CrashTally& tally, Hooks hooks)
    : io_(io),
      adapter_(adapter),
      settings_(settings),
      log_(log),
      tally_(tally),
      hooks_(std::move(hooks)),
      life_(kHeartbeatsMissed * settings.heartbeat + kHeartbeatLateness),
      budget_({settings.promises.repeat_ratio, settings.promises.repeat_window, settings.promises.repeat_slack}, now()),
      connections_(io, adapter.headers().attempt_id, answer_memory(settings)),
      last_tick_(now()) {
  connections_.set_endpoint({settings.local_server.host, settings.local_server.port});
}

double GateHost::lot_of(const peer::Execute& execute) const {
  std::string_view root = execute.attempt_id;
  for (std::string_view parent = adapter_.parent_attempt(root); !parent.empty();) {
    root = parent;
    parent = adapter_.parent_attempt(root);
  }
  constexpr double kHashes = 0x1p64;
  return static_cast<double>(XXH3_64bits(root.data(), root.size())) / kHashes;
}

GateHost::RunPointer GateHost::find(RunKey key) const {
  const auto found = runs_.find(key);
  return found == runs_.end() ? nullptr : found->second;
}

bool GateHost::takes_requests(core::TimePoint now) const {
  return !stopping_ && life_.state(now) == gate::ServerState::kReady;
}

core::Duration GateHost::transit(core::Incarnation sender, core::TimePoint sent, core::TimePoint now) {
  const core::Duration difference = now - sent;
  const auto [offset, inserted] = clock_offsets_.emplace(sender.value, difference);
  if (!inserted) offset->second = std::min(offset->second, difference);
  return difference - offset->second;
}

void GateHost::execute(core::Incarnation sender, peer::Execute execute, Reply reply) {
  const core::TimePoint time = now();
  if (time - last_tick_ > kSuspension) hold_until_ = time + kAfterSuspension;
  const RunKey key{sender, execute.stream};
  if (ended_.contains(key) || runs_.contains(key)) return;  // Refused while it was still on its way.
  const auto run = std::make_shared<Run>();
  run->key = key;
  run->execute = std::move(execute);
  run->reply = std::move(reply);
  run->arrived = time;
  run->deadline = time + run->execute.time_left - transit(sender, run->execute.sent, time);
  run->fingerprint = fingerprint_of(run->execute);
  runs_.emplace(key, run);
  if (time < hold_until_) {
    held_.push_back(run);
    return;
  }
  arrive(run, time);
}

void GateHost::arrive(const RunPointer& run, core::TimePoint now) {
  if (run->deadline <= now) return refuse(run, core::Cause::kDeadline);
  if (tally_.held(run->fingerprint, now)) return refuse(run, core::Cause::kQuarantined);
  const gate::ServerState state = life_.state(now);
  if (stopping_ || state == gate::ServerState::kLeaving || state == gate::ServerState::kGone) {
    return refuse(run, core::Cause::kLeaving);
  }
  if (state != gate::ServerState::kReady || life_.last_heartbeat()->service != run->execute.service) {
    return refuse(run, core::Cause::kNoServer);
  }
  if (run->execute.repeat && !take_repeat(*run, now)) {
    return refuse(run, core::Cause::kRetryBound);
  }
  gate::Arrival arrival;
  arrival.ticket = {next_ticket_++};
  arrival.priority = run->execute.priority;
  arrival.nested = run->execute.inner;
  arrival.rerouted = run->execute.moved;
  arrival.kind = run->execute.kind;
  arrival.deadline = run->deadline;
  arrival.max_wait = run->execute.patience;
  switch (gate_.arrive(arrival, now)) {
    case gate::Admission::kStart:
      start(run, now);
      return;
    case gate::Admission::kEnqueue:
      tickets_.emplace(arrival.ticket.value, run);
      return;
    case gate::Admission::kRefuse:
      refuse(run, core::Cause::kOverload);
      return;
  }
}

bool GateHost::take_repeat(const Run& run, core::TimePoint now) {
  return budget_.allow(now, hooks_.servers(run.execute.service), {run.execute.priority == 0, lot_of(run.execute)});
}

void GateHost::start(const RunPointer& run, core::TimePoint now) {
  run->running = true;
  run->started = now;
  running_attempts_[run->execute.attempt_id] = run;
  if (!run->execute.repeat) budget_.on_first(now);
  send(run, now);
}

void GateHost::send(const RunPointer& run, core::TimePoint now) {
  const HeaderNames& names = adapter_.headers();
  http::Request request = run->execute.request;
  const auto time_left = std::chrono::duration_cast<milliseconds>(run->deadline - now);
  http::set(request.headers, names.time_left_ms, std::to_string(std::max<std::int64_t>(1, time_left.count())));
  http::set(request.headers, names.attempt_id, run->execute.attempt_id);
  http::set(request.headers, names.caller_service, run->execute.caller_service);
  http::set(request.headers, names.target_server, life_.last_heartbeat()->id);
  const bool fresh = !run->execute.idempotent || run->resent;
  run->connection = connections_.acquire(now, fresh);
  run->connection->send(request, [this, weak = std::weak_ptr<Run>(run)](ExchangeResult exchange) {
    if (const RunPointer self = weak.lock()) on_exchange(self, std::move(exchange));
  });
}

void GateHost::on_exchange(const RunPointer& run, ExchangeResult&& exchange) {
  const core::TimePoint time = now();
  connections_.release(std::exchange(run->connection, nullptr), time);
  const bool lost_reused = exchange.end == ExchangeEnd::kLost && exchange.reused && run->execute.idempotent;
  if (lost_reused && !run->resent && run->deadline > time && take_repeat(*run, time)) {
    // Most likely the server closed the connection while it was idle; it may have run the request as well, so that this
    // is a repeat, and so are the calls that it makes.
    run->resent = true;
    run->execute.repeat = true;
    send(run, time);
    return;
  }
  if (exchange.end == ExchangeEnd::kNotConnected) {
    life_.mark_unreachable();
    connections_.close_idle();
    report_crash(time);
  } else if (exchange.end == ExchangeEnd::kLost) {
    note_loss(run->fingerprint, time);
  }
  note_load(exchange.response);
  const bool answered = exchange.end == ExchangeEnd::kAnswered;
  peer::Result result = judge(*run, std::move(exchange), time);
  run->running = false;
  gate_.finish(run->execute.kind, answered && result.answered ? result.run_time : core::Duration::zero());
  end(run, std::move(result));
  apply_state(time);
  advance(time);
}

peer::Result GateHost::judge(const Run& run, ExchangeResult&& exchange, core::TimePoint now) {
  const HeaderNames& names = adapter_.headers();
  peer::Result result;
  result.run_time = now - run.started;
  if (exchange.end == ExchangeEnd::kNotConnected) return outcome(core::not_run(core::Cause::kNoServer), run.resent);
  result.reached_server = true;
  if (exchange.end != ExchangeEnd::kAnswered) {
    result.verdict =
        core::may_have_run(exchange.end == ExchangeEnd::kLost ? core::Cause::kConnection : core::Cause::kIncomplete);
    return result;
  }
  const http::Response& response = exchange.response;
  if (!http::find(response.headers, names.not_run).empty() || response.status == kMisdirected) {
    const bool misdirected = response.status == kMisdirected;
    result.verdict = core::not_run(misdirected ? core::Cause::kServerGone : core::Cause::kOverload);
    return result;
  }
  const bool sealed = !http::find(response.headers, names.seal).empty();
  const bool success = response.status < kFirstFailureStatus;
  const bool encoded = !http::find(response.headers, "Content-Encoding").empty();
  if (success && (!sealed || encoded)) {
    result.verdict = core::may_have_run(core::Cause::kIncomplete);
    return result;
  }
  if (!success && (!sealed || promises_not_run(response.status))) {
    // The server's failure cannot be passed on as it is: it would promise what is not known.
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

void GateHost::note_load(const http::Response& response) {
  const std::string_view text = http::find(response.headers, adapter_.headers().server_load);
  if (text.empty()) return;
  std::array<int, 2> values{};
  const char* position = text.data();
  const char* const end = text.data() + text.size();
  for (int& value : values) {
    const auto parsed = std::from_chars(position, end, value);
    if (parsed.ec != std::errc()) return;
    position = parsed.ptr;
    if (position != end) ++position;
  }
  // The load is a hint that may lag: only what it says for a while beyond our own count is believed.
  const double beyond = std::max(0, values[0] + values[1] - gate_.running());
  ghosts_ = beyond < ghosts_ ? beyond : ghosts_ + kGhostSmoothing * (beyond - ghosts_);
  gate_.set_untracked_requests(static_cast<int>(ghosts_));
}

void GateHost::refuse(const RunPointer& run, core::Cause cause) { end(run, outcome(core::not_run(cause), false)); }

std::optional<GateHost::Parent> GateHost::running_attempt(std::string_view attempt_id) const {
  const auto found = running_attempts_.find(attempt_id);
  if (found == running_attempts_.end()) return std::nullopt;
  const peer::Execute& execute = found->second->execute;
  return Parent{execute.kind, execute.priority, execute.repeat};
}

void GateHost::note_refused_call(std::string_view attempt_id) {
  const auto found = running_attempts_.find(attempt_id);
  if (found != running_attempts_.end()) found->second->call_refused = true;
}

void GateHost::end(const RunPointer& run, peer::Result result) {
  runs_.erase(run->key);
  const auto running = running_attempts_.find(run->execute.attempt_id);
  if (running != running_attempts_.end() && running->second == run) running_attempts_.erase(running);
  result.stream = run->key.stream;
  result.load = gate_.load(now());
  if (!result.answered || result.response.status >= kFirstFailureStatus) {
    const core::TimePoint time = now();
    log_.line(LineClass::kFailed, "run",
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
  if (!run->execute.idempotent) remember_end(run->key, std::move(result));
}

void GateHost::remember_end(RunKey key, peer::Result result) {
  const std::size_t bytes = result.response.body.size();
  if (ended_bytes_ + bytes > kEndedAnswerBytes) {
    const std::uint64_t stream = result.stream;
    result = outcome(core::may_have_run(core::Cause::kIncomplete), true);
    result.stream = stream;
  }
  ended_bytes_ += result.response.body.size();
  ended_[key] = {now() + kRememberEnded, std::move(result)};
}

void GateHost::cancel(RunKey key) {
  const RunPointer run = find(key);
  if (run == nullptr) return;
  run->reply = nullptr;
  stop_run(run, core::Cause::kCancelled);
  advance(now());
}

void GateHost::stop_run(const RunPointer& run, core::Cause cause) {
  std::erase(held_, run);
  for (const auto& [ticket, waiting] : tickets_) {
    if (waiting != run) continue;
    gate_.withdraw({ticket});
    tickets_.erase(ticket);
    break;
  }
  if (!run->running) {
    end(run, outcome(core::not_run(cause), false));
    return;
  }
  run->running = false;
  if (run->connection != nullptr) run->connection->close();
  run->connection.reset();
  gate_.finish(run->execute.kind, core::Duration::zero());
  end(run, outcome(core::may_have_run(cause), true));
}

void GateHost::resume(RunKey key, bool idempotent, Reply reply) {
  if (const RunPointer run = find(key)) {
    run->reply = std::move(reply);
    run->detached = false;
    return;
  }
  const auto ended = ended_.find(key);
  if (ended != ended_.end()) {
    reply(ended->second.result);
    return;
  }
  // Never seen, or idempotent and ended. The former must not run when it arrives after all.
  peer::Result result = outcome(
      idempotent ? core::may_have_run(core::Cause::kConnection) : core::not_run(core::Cause::kConnection), idempotent);
  result.stream = key.stream;
  result.load = gate_.load(now());
  ended_[key] = {now() + kRememberEnded, result};
  reply(result);
}

void GateHost::detach(core::Incarnation sender) {
  const core::TimePoint time = now();
  for (auto run = runs_.lower_bound({sender, 0}); run != runs_.end() && run->first.sender == sender; ++run) {
    run->second->detached = true;
    run->second->detached_at = time;
    run->second->reply = nullptr;
  }
}

void GateHost::hear(const gate::ServerHeartbeat& announcement) {
  const core::TimePoint time = now();
  const gate::ServerLifecycle::Effect effect = life_.on_heartbeat(announcement, time);
  if (effect == gate::ServerLifecycle::Effect::kIgnored) return;
  if (effect == gate::ServerLifecycle::Effect::kNewIncarnation) {
    connections_.close_idle();
    ghosts_ = 0;
    gate_.set_untracked_requests(0);
    report_crash(time);
  }
  gate_.set_capacity(announcement.capacity);
  apply_state(time);
  advance(time);
}

void GateHost::depart(const std::string& server_id) {
  const core::TimePoint time = now();
  (void)life_.on_deregistration(server_id, time);
  apply_state(time);
}

void GateHost::stop_taking() {
  stopping_ = true;
  std::vector<gate::Ticket> refused;
  gate_.withdraw_all(refused);
  for (const gate::Ticket ticket : refused) {
    const auto waiting = tickets_.extract(ticket.value);
    if (!waiting.empty()) refuse(waiting.mapped(), core::Cause::kLeaving);
  }
  hooks_.changed();
}

void GateHost::apply_state(core::TimePoint now) {
  const gate::ServerState state = life_.state(now);
  if (state == applied_state_) return;
  applied_state_ = state;
  const auto& announcement = life_.last_heartbeat();
  log_.line(LineClass::kBelief, "server_state",
            {{"server", announcement ? announcement->id : std::string()},
             {"service", announcement ? announcement->service : std::string()},
             {"state", gate::to_string(state)},
             {"sequence", announcement ? announcement->sequence : 0},
             {"running", gate_.running()}});
  if (state != gate::ServerState::kReady) {
    const core::Cause cause = state == gate::ServerState::kLeaving || state == gate::ServerState::kGone
                                  ? core::Cause::kLeaving
                                  : core::Cause::kNoServer;
    std::vector<gate::Ticket> refused;
    gate_.withdraw_all(refused);
    for (const gate::Ticket ticket : refused) {
      const auto waiting = tickets_.extract(ticket.value);
      if (!waiting.empty()) refuse(waiting.mapped(), cause);
    }
  }
  hooks_.changed();
}

void GateHost::advance(core::TimePoint now) {
  std::vector<gate::Ticket> started;
  std::vector<gate::Ticket> refused;
  gate_.advance(now, started, refused);
  for (const gate::Ticket ticket : refused) {
    const auto waiting = tickets_.extract(ticket.value);
    if (!waiting.empty()) refuse(waiting.mapped(), core::Cause::kOverload);
  }
  for (const gate::Ticket ticket : started) {
    const auto waiting = tickets_.extract(ticket.value);
    if (!waiting.empty()) start(waiting.mapped(), now);
  }
}

void GateHost::note_loss(std::uint64_t fingerprint, core::TimePoint now) {
  std::erase_if(losses_, [now](const Loss& loss) { return now - loss.time > kCrashSpan; });
  losses_.push_back({fingerprint, now});
}

void GateHost::report_crash(core::TimePoint now) {
  std::erase_if(losses_, [now](const Loss& loss) { return now - loss.time > kCrashSpan; });
  if (losses_.empty() || !life_.last_heartbeat()) return;
  quarantine::CrashReport report;
  const std::string life = life_.last_heartbeat()->id + std::to_string(losses_.front().time.time_since_epoch().count());
  report.crash = XXH3_64bits(life.data(), life.size());
  for (const Loss& loss : losses_) report.running.push_back(loss.fingerprint);
  losses_.clear();
  log_.line(LineClass::kBelief, "server_crashed",
            {{"server", life_.last_heartbeat()->id}, {"requests", static_cast<std::int64_t>(report.running.size())}});
  if (tally_.add(report, now)) hooks_.crashed(report);
}

void GateHost::verify_server(core::TimePoint now) {
  // A server that does not answer its probe is asked again over another connection.
  if (probe_ != nullptr && now >= probe_until_) probe_.reset();
  if (life_.state(now) != gate::ServerState::kUnverified || probe_ != nullptr || now < next_probe_) return;
  const std::string path = hooks_.health_path(life_.last_heartbeat()->service);
  if (path.empty()) return;
  next_probe_ = now + kProbeInterval;
  probe_until_ = now + kProbeLimit;
  http::Request request;
  request.target = path;
  request.headers = {{"Host", http::to_string({settings_.local_server.host, settings_.local_server.port})}};
  probe_ = std::make_shared<HttpConnection>(
      io_, http::Endpoint{settings_.local_server.host, settings_.local_server.port}, StreamTimings{});
  probe_->send(request, [this](const ExchangeResult& exchange) {
    const std::string id(http::find(exchange.response.headers, adapter_.headers().server_id));
    const bool ready = exchange.end == ExchangeEnd::kAnswered && exchange.response.status == 200;
    log_.line(LineClass::kBelief, "server_verified", {{"server", id}, {"ready", ready}});
    if (exchange.end == ExchangeEnd::kAnswered) life_.record_health_check(id, ready);
    // Deferred: the connection is still in this call.
    boost::asio::post(io_, [answered = std::exchange(probe_, nullptr)] {});
    apply_state(mesh::now());
  });
}

void GateHost::tick(core::TimePoint now) {
  if (now - last_tick_ > kSuspension) {
    log_.line(LineClass::kBelief, "suspended",
              {{"for_ms", std::chrono::duration<double, std::milli>(now - last_tick_).count()}});
    hold_until_ = now + kAfterSuspension;
  }
  last_tick_ = now;
  if (now >= hold_until_) {
    for (const RunPointer& run : std::exchange(held_, {})) arrive(run, now);
  }
  apply_state(now);
  if (now >= hold_until_) advance(now);
  verify_server(now);
  std::vector<std::pair<RunPointer, core::Cause>> over;
  for (const auto& [key, run] : runs_) {
    const bool expired = run->running && now > run->deadline + kDeadlineMargin;
    const bool abandoned =
        run->detached && now - run->detached_at > kDetachedGrace && (run->execute.idempotent || !run->running);
    if (expired || abandoned) over.emplace_back(run, expired ? core::Cause::kDeadline : core::Cause::kCancelled);
  }
  for (const auto& [run, cause] : over) {
    if (find(run->key) == run) stop_run(run, cause);
  }
  std::erase_if(ended_, [this, now](const auto& entry) {
    if (entry.second.forget_at > now) return false;
    ended_bytes_ -= entry.second.result.response.body.size();
    return true;
  });
  connections_.sweep(now);
}

}  // namespace damaskthread::mesh
