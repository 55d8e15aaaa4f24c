#include "damaskthread/mesh/daemon.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <csignal>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <system_error>
#include <utility>
#include <variant>
#include <vector>

#include "damaskthread/core/error.h"
#include "damaskthread/entrance/call_graph.h"
#include "damaskthread/mesh/clock.h"
#include "damaskthread/mesh/event_log.h"
#include "damaskthread/mesh/fleet.h"
#include "damaskthread/mesh/gate_host.h"
#include "damaskthread/mesh/http_listener.h"
#include "damaskthread/mesh/ingress.h"
#include "damaskthread/mesh/peer_listener.h"
#include "damaskthread/mesh/store_client.h"
#include "damaskthread/metrics/registry.h"
#include "damaskthread/overlay/configuration_pull.h"
#include "damaskthread/overlay/link_plan.h"
#include "damaskthread/overlay/watch_duty.h"
#include "damaskthread/placement/server_pool.h"
#include "damaskthread/quarantine/crash_tally.h"

namespace damaskthread::mesh {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kTickInterval{25};
constexpr core::Duration kSweepInterval = milliseconds{250};
constexpr core::Duration kPulseInterval = milliseconds{400};
// The whole status is told again several times within the time after which others forget the kinds of calls in it.
constexpr core::Duration kStatusInterval = seconds{15};
constexpr core::Duration kLoadInterval = seconds{2};
constexpr core::Duration kSettingsInterval = seconds{1};
constexpr core::Duration kPlanInterval = milliseconds{500};
constexpr core::Duration kReplanInterval = milliseconds{50};  // After a daemon was learned of.
// A configuration that others have and that nobody sends is read from the store after this time.
constexpr core::Duration kConfigurationLag = milliseconds{1000};
constexpr core::Duration kMaxConfigurationLag = seconds{30};
constexpr core::Duration kWatchLead = milliseconds{200};  // A watcher is about to read what others have.
// A stopping daemon still gets new requests until its callers have seen twice that it is not ready.
constexpr core::Duration kStopNotice = milliseconds{2300};
// A stopping daemon takes new requests for this long at the most.
constexpr core::Duration kLastAccept = milliseconds{3200};
// Left of the grace when requests that are still under way are given up.
constexpr core::Duration kGraceReserve = milliseconds{400};
// In a fleet up to this size the list of members is read once more after the own entry was written.
constexpr std::size_t kSmallFleet = 8;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr int kBadRequest = 400;
// Descriptors kept for files, listeners and connections to servers and daemons.
constexpr std::size_t kReservedDescriptors = 1200;

core::Incarnation new_incarnation() {
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  const auto millis = static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(wall).count());
  return {(millis << 16U) | (std::random_device{}() & 0xFFFFU)};
}

http::Endpoint to_http(const settings::Endpoint& endpoint) { return {endpoint.host, endpoint.port}; }

// Entry of a daemon in the list of members.
std::string member_value(const std::string& zone, const std::string& service, const std::string& left_server) {
  return Json{{"zone", zone}, {"service", service}, {"left", left_server}}.dump();
}

struct MemberEntry {
  std::string zone;
  std::string service;
  std::string left_server;
};

std::optional<MemberEntry> parse_member(const std::string& value) {
  const Json entry = Json::parse(value, nullptr, false);
  if (!entry.is_object() || !entry.contains("zone") || !entry["zone"].is_string()) return std::nullopt;
  MemberEntry member{entry["zone"].get<std::string>(), "", ""};
  if (entry.contains("service") && entry["service"].is_string()) member.service = entry["service"].get<std::string>();
  if (entry.contains("left") && entry["left"].is_string()) member.left_server = entry["left"].get<std::string>();
  return member;
}

}  // namespace

struct Daemon::Impl {
  Impl(const MeshSettings& daemon_settings, std::filesystem::path path, const Adapter& daemon_adapter)
      : settings(daemon_settings),
        settings_path(std::move(path)),
        adapter(daemon_adapter),
        self(settings::to_string(settings.advertised)),
        incarnation(new_incarnation()),
        log(settings.name, {}),
        gate(io, adapter, settings, log, tally, gate_hooks()),
        fleet(io, {self, settings.zone, settings.service}, incarnation, log, fleet_hooks()),
        duty(overlay::ring_position(self), now()),
        pull(incarnation.value),
        ingress({adapter, log, registry, pool, graph, fleet, gate}, self, incarnation),
        peers(io, to_http(settings.peers), gate, peer_hooks()),
        store(io, adapter, to_http(settings.store), log, store_hooks()),
        calls(io, to_http(settings.calls), max_callers(), [this](const auto& caller) { ingress.handle(caller); }),
        ready(io, to_http(settings.ready), max_callers(), [this](const auto& caller) { answer_ready(*caller); }),
        control(io, to_http(settings.control), max_callers(), [this](const auto& caller) { answer_control(*caller); }),
        ticker(io),
        signals(io, SIGTERM, SIGINT, SIGHUP) {
    if (settings.admin) {
      admin = std::make_unique<HttpListener>(io, to_http(*settings.admin), max_callers(),
                                             [this](const auto& caller) { answer_admin(*caller); });
    }
    ingress.set_local_service(settings.service);
    (void)settings_written();
    wait_signal();
    for (const settings::Endpoint& seed : settings.seeds) {
      fleet.learn({settings::to_string(seed), "", ""}, Source::kListed);
    }
    log.line(LineClass::kBelief, "started", {{"self", self}, {"zone", settings.zone}, {"service", settings.service}});
    store.start();
    schedule_tick();
  }

  [[nodiscard]] std::size_t max_callers() const {
    return settings.max_descriptors > 2 * kReservedDescriptors ? settings.max_descriptors - kReservedDescriptors
                                                               : settings.max_descriptors / 2;
  }

  GateHost::Hooks gate_hooks() {
    GateHost::Hooks hooks;
    hooks.changed = [this] { server_changed(); };
    hooks.crashed = [this](const quarantine::CrashReport& report) { fleet.spread(peer::Crash{report}); };
    hooks.health_path = [this](const std::string& service) {
      const route::ServiceFacts* const facts = ingress.table() ? ingress.table()->service(service) : nullptr;
      return facts == nullptr ? std::string() : facts->health_path;
    };
    hooks.servers = [this](const std::string& service) { return fleet.servers(service); };
    return hooks;
  }

  Fleet::Hooks fleet_hooks() {
    Fleet::Hooks hooks;
    hooks.status = [this](const std::string& endpoint, bool near, const peer::Status& status) {
      pool.set_server(endpoint, near, {status.service, status.ready, status.load});
      pool.update_load(endpoint, status.load, now());
      for (const auto& [caller, callee] : status.calls) graph.record_call(caller, callee, false, now());
      hear_version(status.configuration_version);
    };
    hooks.pulse = [this](const std::string& endpoint, const peer::Pulse& pulse) {
      pool.update_load(endpoint, pulse.load, now());
      hear_version(pulse.configuration_version);
    };
    hooks.reachable = [this](const std::string& endpoint, bool reachable) { pool.set_reachable(endpoint, reachable); };
    hooks.unlinked = [this](const std::string& endpoint) { pool.remove(endpoint); };
    hooks.configuration = [this](const peer::Configuration& sent) { (void)adopt(sent.document, "peer"); };
    hooks.crash = [this](const peer::Crash& crash) { take_crash(crash); };
    return hooks;
  }

  PeerListener::Hooks peer_hooks() {
    PeerListener::Hooks hooks;
    hooks.greeting = [this] { return fleet.greeting(); };
    hooks.status = [this] { return status(); };
    hooks.crashes = [this] { return tally.recent(now()); };
    hooks.greeted = [this](const peer::Hello& hello) {
      fleet.learn(hello.self, Source::kItself);
      for (const peer::Member& member : hello.members) fleet.learn(member, Source::kListed);
    };
    hooks.configuration = [this]() -> std::optional<peer::Configuration> {
      if (ingress.table() == nullptr) return std::nullopt;
      return peer::Configuration{ingress.table()->version(), configuration_document};
    };
    hooks.crash = [this](const peer::Crash& crash) { take_crash(crash); };
    return hooks;
  }

  StoreClient::Hooks store_hooks() {
    StoreClient::Hooks hooks;
    hooks.configuration = [this](const std::string& document) { (void)adopt(document, "store"); };
    hooks.members = [this](const std::vector<KeyedRecord>& records) { take_members(records); };
    hooks.alone = [this] { return fleet.size() < kSmallFleet; };
    hooks.configured = [this] { return ingress.table() != nullptr; };
    return hooks;
  }

  void take_members(const std::vector<KeyedRecord>& records) {
    bool listed = false;
    for (const KeyedRecord& record : records) {
      const auto entry = parse_member(record.value);
      if (!entry) continue;
      if (record.key != self) {
        fleet.learn({record.key, entry->zone, entry->service}, Source::kListed);
        continue;
      }
      listed = entry->zone == settings.zone && entry->service == settings.service;
      if (listed && left_server.empty() && !entry->left_server.empty()) {
        left_server = entry->left_server;
        gate.remember_leave(left_server);
      }
    }
    if (listed) {
      fleet.known_already();
      return;
    }
    put_member();
  }

  void put_member() { store.put_member(self, member_value(settings.zone, settings.service, left_server)); }

  bool adopt(const std::string& document, std::string_view source) {
    const auto table =
        boost::leaf::try_handle_all([&] { return adapter.configuration(document); },
                                    [&](const core::Error& error) {
                                      log.line(LineClass::kBelief, "configuration_invalid",
                                               {{"source", source}, {"where", error.where}, {"reason", error.message}});
                                      return std::shared_ptr<const route::RouteTable>();
                                    },
                                    [&] {
                                      log.line(LineClass::kBelief, "configuration_invalid", {{"source", source}});
                                      return std::shared_ptr<const route::RouteTable>();
                                    });
    if (table == nullptr) return false;
    if (ingress.table() != nullptr && table->version() <= ingress.table()->version()) return false;
    configuration_document = document;
    ingress.set_table(table);
    calls.set_bounds(table->bounds());
    log.line(LineClass::kBelief, "configuration",
             {{"version", static_cast<std::int64_t>(table->version())},
              {"source", source},
              {"routes", static_cast<std::int64_t>(table->routes().size())}});
    tell_others(now());
    return true;
  }

  void hear_version(std::uint64_t version) {
    if (version <= newest_heard) return;
    newest_heard = version;
    heard_newest_at = now();
    read_at = heard_newest_at + kConfigurationLag;
    read_lag = 2 * kConfigurationLag;
    pull_configuration(heard_newest_at);
  }

  // Fetches a configuration that others have.
  void pull_configuration(core::TimePoint time) {
    const std::uint64_t version = ingress.table() ? ingress.table()->version() : 0;
    const core::Duration waited = time - heard_newest_at;
    if (newest_heard <= version || (store.watching() && waited < kWatchLead)) return;
    std::vector<overlay::Offer> offers;
    for (const auto& [endpoint, link] : fleet.links()) {
      if (!link->reachable() || link->status().configuration_version <= version) continue;
      offers.push_back({endpoint, link->zone() == settings.zone, link->status().configuration_version});
    }
    if (const auto endpoint = pull.next(offers, version, time)) {
      if (PeerLink* const link = fleet.link(*endpoint)) link->send(peer::ConfigurationRequest{version});
    }
    if (time < read_at) return;
    // A version that cannot be had must not cost a call each second for ever.
    read_at = time + read_lag;
    read_lag = std::min(2 * read_lag, kMaxConfigurationLag);
    log.line(LineClass::kBelief, "configuration_lags",
             {{"version", static_cast<std::int64_t>(version)},
              {"newest", static_cast<std::int64_t>(newest_heard)},
              {"offers", static_cast<std::int64_t>(offers.size())}});
    store.read_again();
  }

  void update_watch(core::TimePoint time) {
    std::vector<overlay::Watcher> others;
    others.reserve(fleet.links().size());
    for (const auto& [endpoint, link] : fleet.links()) {
      others.push_back({overlay::ring_position(endpoint), link->reachable(), link->status().watching});
    }
    const bool watch = duty.update(others, time);
    if (watch != store.keeps_watch()) {
      const auto heard = std::count_if(others.begin(), others.end(),
                                       [](const overlay::Watcher& other) { return other.reachable && other.watching; });
      log.line(LineClass::kBelief, "watch", {{"on", watch}, {"others", static_cast<std::int64_t>(heard)}});
    }
    store.keep_watch(watch);
    if (store.watching() != told.watching) tell_others(time);
  }

  void take_crash(const peer::Crash& crash) {
    if (tally.add(crash.report, now())) fleet.spread(crash);
  }

  peer::Status status() {
    const core::TimePoint time = now();
    peer::Status status;
    status.configuration_version = ingress.table() ? ingress.table()->version() : 0;
    const auto& announcement = gate.life().last_heartbeat();
    if (announcement) {
      status.service = announcement->service;
      status.server_id = announcement->id;
    }
    status.calls = graph.local_edges(time);
    status.ready = gate.takes_requests(time);
    status.watching = store.watching();
    status.load = gate.load(time);
    return status;
  }

  void server_changed() {
    const auto& announcement = gate.life().last_heartbeat();
    const gate::ServerState state = gate.server_state(now());
    if (announcement) {
      ingress.set_local_service(announcement->service);
      fleet.set_service(announcement->service);
    }
    const bool left = state == gate::ServerState::kLeaving || state == gate::ServerState::kGone;
    if (left && announcement && announcement->id != left_server) {
      left_server = announcement->id;
      put_member();
    }
    refresh_own_entry();
    tell_others(now());
  }

  void tell_others(core::TimePoint time) {
    pulse_due = time + kPulseInterval;
    peer::Status present = status();
    if (present.same_but_load(told) && time < status_due) {
      peers.broadcast(peer::Pulse{present.configuration_version, present.load});
      return;
    }
    status_due = time + kStatusInterval;
    peers.broadcast(present);
    told = std::move(present);
  }

  void refresh_own_entry() {
    const auto& announcement = gate.life().last_heartbeat();
    const core::TimePoint time = now();
    pool.set_server(self, true,
                    {announcement ? announcement->service : "", gate.takes_requests(time), gate.load(time)});
    pool.set_reachable(self, true);
  }

  void answer_ready(CallerRequest& caller) {
    http::Response response;
    if (!adapter.asks_readiness(caller.request)) {
      response.status = kNotFound;
    } else if (ingress.table() == nullptr || stopping) {
      response.status = kUnavailable;
    }
    caller.answer(response);
  }

  void answer_control(CallerRequest& caller) {
    const ControlCall call = adapter.control_call(caller.request);
    if (const auto* malformed = std::get_if<MalformedCall>(&call)) {
      log.line(LineClass::kBelief, "control_call_malformed", {{"reason", malformed->reason}});
      caller.answer({kBadRequest, {}, {}});
      return;
    }
    if (const auto* heartbeat = std::get_if<gate::ServerHeartbeat>(&call)) gate.hear(*heartbeat);
    if (const auto* departure = std::get_if<Departure>(&call)) gate.depart(departure->server_id);
    caller.answer(adapter.control_answer());
  }

  void answer_admin(CallerRequest& caller) {
    http::Response response;
    if (caller.request.target == "/metrics") {
      response.body = registry.expose();
    } else if (caller.request.target == "/status") {
      response.body = status_text();
    } else {
      response.status = kNotFound;
    }
    caller.answer(response);
  }

  [[nodiscard]] std::string status_text() {
    const peer::Status own = status();
    Json peers_json = Json::array();
    for (const auto& [endpoint, link] : fleet.links()) {
      peers_json.push_back({{"endpoint", endpoint},
                            {"zone", link->zone()},
                            {"reachable", link->reachable()},
                            {"service", link->status().service},
                            {"ready", link->status().ready},
                            {"configuration", link->status().configuration_version}});
    }
    return Json{{"name", settings.name},
                {"configuration", own.configuration_version},
                {"settings", fleet_digest(settings)},
                {"server",
                 {{"id", own.server_id},
                  {"service", own.service},
                  {"state", gate::to_string(gate.server_state(now()))},
                  {"limit", own.load.limit},
                  {"running", own.load.running},
                  {"queued", own.load.queued}}},
                {"stopping", stopping},
                {"requests", ingress.active()},
                {"peers", std::move(peers_json)}}
        .dump(2);
  }

  static std::string joined(const std::vector<std::string>& names) {
    std::string text;
    for (const std::string& name : names) text.append(text.empty() ? "" : ",").append(name);
    return text;
  }

  // Whether the settings file was written since the last call.
  bool settings_written() {
    std::error_code error;
    const auto time = std::filesystem::last_write_time(settings_path, error);
    return !error && std::exchange(settings_time, time) != time;
  }

  // Addresses that are listened at stay as they are; what describes the server beside the daemon is taken over.
  void reload() {
    const auto fresh = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<MeshSettings>> {
          BOOST_LEAF_AUTO(read, load_mesh_settings(settings_path));
          return std::optional(std::move(read));
        },
        [&](const settings::Errors& errors) {
          log.line(LineClass::kBelief, "settings_refused", {{"reason", settings::to_string(errors)}});
          return std::optional<MeshSettings>();
        },
        [] { return std::optional<MeshSettings>(); });
    if (!fresh) return;
    const SettingsChange change = take_over(settings, *fresh);
    gate.set_local_server(to_http(settings.local_server));
    if (!gate.life().last_heartbeat()) ingress.set_local_service(settings.service);
    log.line(
        LineClass::kBelief, "settings",
        {{"digest", fleet_digest(settings)}, {"taken", joined(change.taken)}, {"refused", joined(change.refused)}});
  }

  void wait_signal() {
    signals.async_wait([this](const error_code& error, int signal) {
      if (error) return;
      if (signal == SIGHUP) {
        reload();
      } else if (!stopping) {
        begin_stop();
      }
      wait_signal();
    });
  }

  void begin_stop() {
    stopping = true;
    stop_begun = now();
    log.line(LineClass::kBelief, "stopping",
             {{"requests", static_cast<std::int64_t>(ingress.active())},
              {"runs", static_cast<std::int64_t>(gate.active())}});
    calls.drain();
    gate.stop_taking();
  }

  void schedule_tick() {
    ticker.expires_after(kTickInterval);
    ticker.async_wait([this](const error_code& error) {
      if (error) return;
      tick();
      schedule_tick();
    });
  }

  void tick() {
    const core::TimePoint time = now();
    refresh_own_entry();
    fleet.tick(time);
    pull_configuration(time);
    const bool learned = fleet.size() != planned_size;
    if (time - planned_at >= (learned ? kReplanInterval : kPlanInterval)) {
      planned_at = time;
      planned_size = fleet.size();
      fleet.plan(ingress.interests(time), time);
      update_watch(time);
    }
    gate.tick(time);
    ingress.tick(time);
    if (time >= sweep_due) {
      sweep_due = time + kSweepInterval;
      calls.sweep(time);
      control.sweep(time);
      ready.sweep(time);
      if (admin) admin->sweep(time);
      tally.tick(time);
    }
    if (time >= pulse_due) tell_others(time);
    if (time >= load_due) {
      load_due = time + kLoadInterval;
      log_load();
    }
    if (time >= settings_due) {
      settings_due = time + kSettingsInterval;
      if (settings_written()) reload();
    }
    if (stopping) check_stopped(time);
  }

  // The state behind the decisions on single requests.
  void log_load() {
    const gate::Load load = gate.load(now());
    log.line(LineClass::kBelief, "load",
             {{"limit", load.limit},
              {"running", load.running},
              {"queued", load.queued},
              {"demand", load.demand},
              {"run_ms", std::chrono::duration<double, std::milli>(load.run_time).count()},
              {"requests", static_cast<std::int64_t>(ingress.active())},
              {"pressure", ingress.describe_pressure()}});
  }

  void check_stopped(core::TimePoint time) {
    const core::Duration passed = time - stop_begun;
    // Callers that have nowhere else to go keep coming; the requests already taken need the rest of the grace.
    if (passed > kLastAccept) calls.stop_accepting(time);
    const bool idle = ingress.active() == 0 && gate.active() == 0 && calls.busy_sessions() == 0 && peers.unsent() == 0;
    if (passed < settings.promises.grace - kGraceReserve && (passed < kStopNotice || !idle)) return;
    end = idle ? DaemonEnd::kFinished : DaemonEnd::kCutOff;
    log.line(LineClass::kBelief, "stopped",
             {{"finished", idle}, {"requests", static_cast<std::int64_t>(ingress.active())}});
    io.stop();
  }

  MeshSettings settings;
  std::filesystem::path settings_path;
  std::filesystem::file_time_type settings_time;
  const Adapter& adapter;
  std::string self;
  core::Incarnation incarnation;
  std::string left_server;
  std::string configuration_document;
  /// The newest version that another daemon has told of.
  std::uint64_t newest_heard = 0;
  core::TimePoint heard_newest_at;
  /// When the store is read since nobody sent that version, and the wait after that.
  core::TimePoint read_at;
  core::Duration read_lag{0};
  bool stopping = false;
  core::TimePoint stop_begun;
  core::TimePoint sweep_due;
  core::TimePoint pulse_due;
  core::TimePoint status_due;
  /// What the other daemons were told last.
  peer::Status told;
  core::TimePoint settings_due;
  core::TimePoint load_due;
  core::TimePoint planned_at;
  /// Daemons that were known then.
  std::size_t planned_size = 0;
  DaemonEnd end = DaemonEnd::kFinished;

  asio::io_context io{1};
  EventLog log;
  metrics::Registry registry;
  quarantine::CrashTally tally;
  placement::ServerPool pool;
  entrance::CallGraph graph;
  GateHost gate;
  Fleet fleet;
  overlay::WatchDuty duty;
  overlay::ConfigurationPull pull;
  Ingress ingress;
  PeerListener peers;
  StoreClient store;
  HttpListener calls;
  HttpListener ready;
  HttpListener control;
  std::unique_ptr<HttpListener> admin;
  asio::steady_timer ticker;
  asio::signal_set signals;
};

Daemon::Daemon(const MeshSettings& settings, std::filesystem::path settings_path, const Adapter& adapter)
    : impl_(std::make_unique<Impl>(settings, std::move(settings_path), adapter)) {}

Daemon::~Daemon() = default;

DaemonEnd Daemon::run() {
  impl_->io.run();
  impl_->log.finish();
  return impl_->end;
}

}  // namespace damaskthread::mesh
