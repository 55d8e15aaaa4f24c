#include "damaskthread/mesh/daemon.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <cmath>
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
#include "damaskthread/mesh/explanation.h"
#include "damaskthread/mesh/fleet.h"
#include "damaskthread/mesh/http_listener.h"
#include "damaskthread/mesh/ingress.h"
#include "damaskthread/mesh/lease_client.h"
#include "damaskthread/mesh/local_executor.h"
#include "damaskthread/mesh/member_entry.h"
#include "damaskthread/mesh/peer_listener.h"
#include "damaskthread/mesh/quota_service.h"
#include "damaskthread/mesh/store_client.h"
#include "damaskthread/metrics/registry.h"
#include "damaskthread/overlay/configuration_pull.h"
#include "damaskthread/overlay/link_plan.h"
#include "damaskthread/overlay/watch_duty.h"
#include "damaskthread/placement/server_pool.h"
#include "damaskthread/quarantine/crash_counter.h"

namespace damaskthread::mesh {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kTickInterval{25};
constexpr core::Duration kSweepInterval = milliseconds{250};
constexpr core::Duration kLoadUpdateInterval = milliseconds{400};
// After this time a changed work time of the VM is sent without waiting for the next update.
constexpr core::Duration kMinLoadUpdateInterval = milliseconds{100};
constexpr double kWorkTimeChange = 0.25;
// The full status is sent several times within the period after which peers expire the call graph edges in it.
constexpr core::Duration kStatusInterval = seconds{15};
constexpr core::Duration kLoadLogInterval = seconds{2};
constexpr core::Duration kSettingsCheckInterval = seconds{1};
constexpr core::Duration kLinkPlanInterval = milliseconds{500};
constexpr core::Duration kLinkReplanInterval = milliseconds{50};  // After a new daemon was discovered.
// A configuration that peers have is read from the store if no peer has sent it after this delay.
constexpr core::Duration kStoreReadDelay = milliseconds{1000};
constexpr core::Duration kMaxStoreReadDelay = seconds{30};
// A daemon that watches the store usually reads a change by itself within this time.
constexpr core::Duration kWatcherPullDelay = milliseconds{200};
// Callers keep sending requests to a stopping daemon until they have seen two failed readiness checks.
constexpr core::Duration kReadinessPropagation = milliseconds{2300};
// Upper bound on how long a stopping daemon accepts new requests.
constexpr core::Duration kMaxStopAcceptTime = milliseconds{3200};
// A stopping daemon passes on later requests only if their deadline is before its end.
constexpr core::Duration kMaxStopRequestTime = milliseconds{2800};
// Time before the end from which it also refuses nested calls that may take longer.
constexpr core::Duration kNestedCallTime = milliseconds{1600};
// Remaining part of the grace period at which requests still in progress are ended.
constexpr core::Duration kGraceMargin = milliseconds{400};
// Remaining part of the grace period until which their callers may read the responses.
constexpr core::Duration kResponseGraceMargin = milliseconds{200};
// Below this fleet size the member list is read again after the own entry was written.
constexpr std::size_t kSmallFleetSize = 8;
constexpr double kMegabyte = 1U << 20U;
constexpr route::CallerLimits kInternalLimits{.body_bytes = std::size_t{256} << 10U};
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr int kBadRequest = 400;
// File descriptors reserved for files, listeners and connections to servers and peers.
constexpr std::size_t kReservedDescriptors = 1200;

core::Incarnation new_incarnation() {
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  const auto millis = static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(wall).count());
  return {(millis << 16U) | (std::random_device{}() & 0xFFFFU)};
}

bool is_peer_endpoint(const std::string& text) {
  http::Endpoint endpoint;
  error_code error;
  if (!http::parse_endpoint(text, endpoint)) return false;
  (void)asio::ip::make_address(endpoint.host, error);
  return !error;
}

http::Endpoint to_http_endpoint(const settings::Endpoint& endpoint) { return {endpoint.host, endpoint.port}; }

}  // namespace

struct Daemon::Impl {
  Impl(const MeshSettings& daemon_settings, std::filesystem::path path, const Adapter& daemon_adapter)
      : settings(daemon_settings),
        settings_path(std::move(path)),
        adapter(daemon_adapter),
        self(settings::to_string(settings.advertised)),
        incarnation(new_incarnation()),
        caller_memory(static_cast<std::size_t>(settings.caller_memory_share * kMegabyte * settings.memory_mb)),
        log(settings.name, {}),
        crash_tally(settings.policy.quarantine),
        server_pool(settings.policy.placement),
        gate(io, adapter, settings, log, crash_tally, gate_hooks()),
        fleet(io, {self, settings.zone, settings.service}, incarnation, log, fleet_hooks(), settings.policy.links),
        quota_lease(io, adapter, to_http_endpoint(settings.store), log, self),
        quota(self, log, quota_hooks()),
        watch_duty(overlay::ring_position(self), now()),
        configuration_pull(incarnation.value),
        ingress({adapter, log, registry, server_pool, call_graph, fleet, gate, quota, settings.policy}, self,
                incarnation),
        peer_listener(io, to_http_endpoint(settings.peers), gate, peer_hooks()),
        store_client(io, adapter, to_http_endpoint(settings.store), log, store_hooks()),
        call_listener(io, to_http_endpoint(settings.calls), max_caller_connections(),
                      [this](const auto& request) { ingress.handle(request); }),
        readiness_listener(io, to_http_endpoint(settings.ready), max_caller_connections(),
                           [this](const auto& request) { answer_readiness(*request); }),
        control_listener(io, to_http_endpoint(settings.control), max_caller_connections(),
                         [this](const auto& request) { answer_control(*request); }),
        tick_timer(io),
        signals(io, SIGTERM, SIGINT, SIGHUP) {
    if (settings.admin) {
      admin_listener = std::make_unique<HttpListener>(io, to_http_endpoint(*settings.admin), max_caller_connections(),
                                                      [this](const auto& request) { answer_admin(*request); });
    }
    ingress.set_local_service(settings.service);
    call_listener.limit_memory(&caller_memory);
    // Only the server and the platform call these; their messages are small.
    for (HttpListener* const listener : {&readiness_listener, &control_listener, admin_listener.get()}) {
      if (listener != nullptr) listener->set_caller_limits(kInternalLimits);
    }
    call_listener.set_pipelining_rule([this](const http::Request& request) { return ingress.is_idempotent(request); });
    (void)settings_file_changed();
    wait_for_signal();
    for (const settings::Endpoint& seed : settings.seeds) {
      fleet.learn({settings::to_string(seed), "", ""}, Source::kListed);
    }
    log.line(LogClass::kStateChange, "started",
             {{"self", self}, {"zone", settings.zone}, {"service", settings.service}});
    store_client.start();
    schedule_tick();
  }

  [[nodiscard]] std::size_t max_caller_connections() const {
    return settings.max_descriptors > 2 * kReservedDescriptors ? settings.max_descriptors - kReservedDescriptors
                                                               : settings.max_descriptors / 2;
  }

  LocalExecutor::Hooks gate_hooks() {
    LocalExecutor::Hooks hooks;
    hooks.changed = [this] { on_server_changed(); };
    hooks.crashed = [this](const quarantine::CrashReport& report) { fleet.broadcast(peer::CrashNotice{report}); };
    hooks.health_path = [this](const std::string& service) {
      const route::ServiceProperties* const facts = ingress.table() ? ingress.table()->find_service(service) : nullptr;
      return facts == nullptr ? std::string() : facts->health_path;
    };
    hooks.servers = [this](const std::string& service) { return fleet.servers(service); };
    return hooks;
  }

  Fleet::Hooks fleet_hooks() {
    Fleet::Hooks hooks;
    hooks.status = [this](const std::string& endpoint, bool near, const peer::Status& status) {
      server_pool.set_server(endpoint, near, {status.service, status.ready, status.load}, now());
      for (const auto& [caller, callee] : status.calls) call_graph.record_call(caller, callee, false, now());
      on_peer_version(status.configuration_version);
      store_client.observe_era(status.store_era);
    };
    hooks.pulse = [this](const std::string& endpoint, const peer::LoadUpdate& load_update) {
      server_pool.update_load(endpoint, load_update.load, now());
      on_peer_version(load_update.configuration_version);
    };
    hooks.reachable = [this](const std::string& endpoint, bool reachable) {
      server_pool.set_reachable(endpoint, reachable);
    };
    hooks.unlinked = [this](const std::string& endpoint) { server_pool.remove(endpoint); };
    hooks.configuration = [this](const peer::Configuration& sent) { (void)apply_configuration(sent.document, "peer"); };
    hooks.crash = [this](const peer::CrashNotice& crash) { on_crash_notice(crash); };
    hooks.quota_grant = [this](const std::string& endpoint, const quota::Grant& grant) {
      quota.on_grant(endpoint, grant, now());
    };
    return hooks;
  }

  QuotaService::Hooks quota_hooks() {
    QuotaService::Hooks hooks;
    hooks.send = [this](const std::string& endpoint, const peer::Message& message) {
      PeerLink* const link = fleet.link(endpoint);
      if (link == nullptr || !link->reachable()) return false;
      link->send(message);
      return true;
    };
    hooks.reachable = [this](const std::string& endpoint) {
      const PeerLink* const link = fleet.link(endpoint);
      return link != nullptr && link->reachable();
    };
    hooks.reachable_count = [this] {
      return static_cast<std::size_t>(
          std::ranges::count_if(fleet.links(), [](const auto& entry) { return entry.second->reachable(); }));
    };
    hooks.lease_held = [this](core::TimePoint time) { return quota_lease.held(time); };
    hooks.granted = [this] { ingress.on_quota_granted(now()); };
    return hooks;
  }

  PeerListener::Hooks peer_hooks() {
    PeerListener::Hooks hooks;
    hooks.make_hello = [this] { return fleet.greeting(); };
    hooks.make_status = [this] { return own_status(); };
    hooks.recent_crashes = [this] { return crash_tally.recent(now()); };
    hooks.on_hello = [this](const peer::Hello& hello) {
      fleet.learn(hello.self, Source::kIntroduced);
      for (const peer::Member& member : hello.members) fleet.learn(member, Source::kListed);
    };
    hooks.current_configuration = [this]() -> std::optional<peer::Configuration> {
      if (ingress.table() == nullptr) return std::nullopt;
      return peer::Configuration{ingress.table()->version(), configuration_document};
    };
    hooks.on_crash_notice = [this](const peer::CrashNotice& crash) { on_crash_notice(crash); };
    hooks.reserve_body = [this](std::size_t bytes) -> std::optional<peer::BodyReservation> {
      auto accepted = caller_memory.accept(bytes);
      if (!accepted) return std::nullopt;
      const auto reservation = std::make_shared<CallerMemory::Reservation>(std::move(*accepted));
      return [reservation](std::string&& body) { return make_shared_body(std::move(body), std::move(*reservation)); };
    };
    hooks.on_quota_report = [this](const std::string& endpoint, const quota::Report& report) {
      return quota.on_report(endpoint, report, now());
    };
    return hooks;
  }

  StoreClient::Hooks store_hooks() {
    StoreClient::Hooks hooks;
    hooks.on_configuration = [this](const std::string& document) { (void)apply_configuration(document, "store"); };
    hooks.on_members = [this](const std::vector<KeyedRecord>& records) { on_members(records); };
    hooks.is_small_fleet = [this] { return fleet.size() < kSmallFleetSize; };
    hooks.has_configuration = [this] { return ingress.table() != nullptr; };
    hooks.on_restored = [this] { broadcast_state(now()); };
    return hooks;
  }

  void on_members(const std::vector<KeyedRecord>& records) {
    members_read = true;
    bool self_listed = false;
    for (const KeyedRecord& record : records) {
      const auto entry = parse_member_entry(record.value);
      if (!entry) continue;
      if (!is_peer_endpoint(record.key)) {
        log.line(LogClass::kStateChange, "member_invalid", {{"key", record.key}});
        continue;
      }
      if (record.key != self) {
        fleet.learn({record.key, entry->zone, entry->service}, Source::kListed);
        continue;
      }
      self_listed = entry->zone == settings.zone && entry->service == settings.service;
      if (self_listed && entry->departed_server && !listed_departure) {
        listed_departure = entry->departed_server;
        log.line(LogClass::kStateChange, "departure_restored",
                 {{"server", listed_departure->id}, {"started_ms", listed_departure->started_at_ms}});
        // A deregistration that came before this read is newer.
        if (!gate.life().departed()) gate.remember_leave(*entry->departed_server);
      }
      // The store may have lost the latest departure when it was restored from a backup.
      self_listed = self_listed && entry->departed_server == listed_departure;
    }
    if (self_listed) {
      fleet.mark_introduced();
      return;
    }
    write_member_entry();
  }

  void write_member_entry() {
    store_client.put_member(self, serialize({settings.zone, settings.service, listed_departure}));
  }

  bool apply_configuration(const std::string& document, std::string_view source) {
    const auto table =
        boost::leaf::try_handle_all([&] { return adapter.configuration(document); },
                                    [&](const core::Error& error) {
                                      log.line(LogClass::kStateChange, "configuration_invalid",
                                               {{"source", source}, {"where", error.where}, {"reason", error.message}});
                                      return std::shared_ptr<const route::RouteTable>();
                                    },
                                    [&] {
                                      log.line(LogClass::kStateChange, "configuration_invalid", {{"source", source}});
                                      return std::shared_ptr<const route::RouteTable>();
                                    });
    if (table == nullptr) return false;
    if (ingress.table() != nullptr && table->version() <= ingress.table()->version()) return false;
    configuration_document = document;
    ingress.set_table(table);
    call_listener.set_caller_limits(table->caller_limits());
    quota.set_tenants(table->tenants(), now());
    log.line(LogClass::kStateChange, "configuration",
             {{"version", static_cast<std::int64_t>(table->version())},
              {"source", source},
              {"routes", static_cast<std::int64_t>(table->routes().size())}});
    broadcast_state(now());
    return true;
  }

  void on_peer_version(std::uint64_t version) {
    if (version <= newest_peer_version) return;
    newest_peer_version = version;
    newest_peer_version_time = now();
    store_read_due = newest_peer_version_time + kStoreReadDelay;
    store_read_backoff = 2 * kStoreReadDelay;
    pull_configuration(newest_peer_version_time);
  }

  // Requests the newest configuration from a peer that has it, and from the store if none sends it in time.
  void pull_configuration(core::TimePoint time) {
    const std::uint64_t version = ingress.table() ? ingress.table()->version() : 0;
    const core::Duration waited_for_peers = time - newest_peer_version_time;
    if (newest_peer_version <= version || (store_client.watching() && waited_for_peers < kWatcherPullDelay)) return;
    std::vector<overlay::ConfigurationOffer> offers;
    for (const auto& [endpoint, link] : fleet.links()) {
      if (!link->reachable() || link->status().configuration_version <= version) continue;
      offers.push_back({endpoint, link->zone() == settings.zone, link->status().configuration_version});
    }
    if (const auto endpoint = configuration_pull.next_source(offers, version, time)) {
      if (PeerLink* const link = fleet.link(*endpoint)) link->send(peer::ConfigurationRequest{version});
    }
    if (time < store_read_due) return;
    // Backs off, so that a version that cannot be fetched doesn't cost a store call every second indefinitely.
    store_read_due = time + store_read_backoff;
    store_read_backoff = std::min(2 * store_read_backoff, kMaxStoreReadDelay);
    log.line(LogClass::kStateChange, "configuration_lags",
             {{"version", static_cast<std::int64_t>(version)},
              {"newest", static_cast<std::int64_t>(newest_peer_version)},
              {"offers", static_cast<std::int64_t>(offers.size())}});
    store_client.refresh_configuration();
  }

  void update_watch(core::TimePoint time) {
    std::vector<overlay::WatcherState> others;
    others.reserve(fleet.links().size());
    for (const auto& [endpoint, link] : fleet.links()) {
      others.push_back({overlay::ring_position(endpoint), link->reachable(), link->status().watching});
    }
    const bool should_watch = watch_duty.update(others, time);
    if (should_watch != store_client.watch_enabled()) {
      const auto watching_others = std::count_if(others.begin(), others.end(), [](const overlay::WatcherState& other) {
        return other.reachable && other.watching;
      });
      log.line(LogClass::kStateChange, "watch",
               {{"on", should_watch}, {"others", static_cast<std::int64_t>(watching_others)}});
    }
    store_client.set_watch_enabled(should_watch);
    if (store_client.watching() != last_sent_status.watching) broadcast_state(time);
  }

  void on_crash_notice(const peer::CrashNotice& crash) {
    if (crash_tally.add(crash.report, now())) fleet.broadcast(crash);
  }

  peer::Status own_status() {
    const core::TimePoint time = now();
    peer::Status status;
    status.configuration_version = ingress.table() ? ingress.table()->version() : 0;
    const auto& announcement = gate.life().last_heartbeat();
    if (announcement) {
      status.service = announcement->service;
      status.server_id = announcement->id;
    }
    status.calls = call_graph.local_edges(time);
    status.ready = gate.accepts_requests(time);
    status.watching = store_client.watching();
    status.store_era = store_client.era();
    status.load = gate.load(time);
    return status;
  }

  void on_server_changed() {
    const auto& announcement = gate.life().last_heartbeat();
    // Without a service in the settings, the server's own statement is all there is.
    if (announcement && settings.service.empty()) {
      ingress.set_local_service(announcement->service);
      fleet.set_service(announcement->service);
    }
    const auto& departed = gate.life().departed();
    // The entry holds no departure without a start time (`parse_member_entry`).
    if (announcement && departed && departed->started_at_ms > 0 && departed != listed_departure) {
      listed_departure = departed;
      write_member_entry();
    }
    update_own_pool_entry();
    broadcast_state(now());
  }

  void broadcast_state(core::TimePoint time) {
    load_update_due = time + kLoadUpdateInterval;
    peer::Status current = own_status();
    sent_work_time = current.load.work_time;
    if (current.equal_except_load(last_sent_status) && time < status_due) {
      peer_listener.broadcast(peer::LoadUpdate{current.configuration_version, current.load});
      return;
    }
    status_due = time + kStatusInterval;
    peer_listener.broadcast(current);
    last_sent_status = std::move(current);
  }

  // A VM that slows down should get less before the next regular update.
  [[nodiscard]] bool work_time_changed(core::TimePoint time) const {
    const double change = std::abs(gate.load(time).work_time - sent_work_time);
    return change > kWorkTimeChange * sent_work_time &&
           time >= load_update_due - kLoadUpdateInterval + kMinLoadUpdateInterval;
  }

  void update_own_pool_entry() {
    const auto& announcement = gate.life().last_heartbeat();
    const core::TimePoint time = now();
    server_pool.set_server(
        self, true, {announcement ? announcement->service : "", gate.accepts_requests(time), gate.load(time)}, time);
    server_pool.set_reachable(self, true);
  }

  void answer_readiness(CallerRequest& caller_request) {
    http::Response response;
    if (!adapter.is_readiness_check(caller_request.request)) {
      response.status = kNotFound;
    } else if (ingress.table() == nullptr || stopping) {
      response.status = kUnavailable;
    }
    caller_request.answer(response);
  }

  void answer_control(CallerRequest& caller_request) {
    const ControlCall call = adapter.parse_control_call(caller_request.request);
    if (const auto* malformed = std::get_if<MalformedCall>(&call)) {
      log.line(LogClass::kStateChange, "control_call_malformed", {{"reason", malformed->reason}});
      caller_request.answer({kBadRequest, {}, {}});
      return;
    }
    const auto* heartbeat = std::get_if<gate::ServerHeartbeat>(&call);
    if (heartbeat != nullptr && !gate.on_heartbeat(*heartbeat)) {
      log.line(LogClass::kStateChange, "heartbeat_foreign",
               {{"server", heartbeat->id}, {"service", heartbeat->service}, {"address", heartbeat->address}});
      caller_request.answer({kBadRequest, {}, {}});
      return;
    }
    if (const auto* deregistration = std::get_if<Deregistration>(&call))
      gate.on_deregistration(deregistration->server_id);
    caller_request.answer(adapter.control_response());
  }

  void answer_admin(CallerRequest& caller_request) {
    http::Response response;
    if (caller_request.request.target == "/metrics") {
      record_server_load();
      response.body = registry.expose();
    } else if (caller_request.request.target == "/status") {
      response.body = status_json();
    } else if (is_explain_target(caller_request.request.target)) {
      response = answer_explain(caller_request.request,
                                [this](const ExplainQuery& query) { return ingress.explain(query, now()); });
    } else {
      response.status = kNotFound;
    }
    caller_request.answer(response);
  }

  void record_server_load() {
    const gate::Load load = gate.load(now());
    registry.gauge("damaskthread_server_pace", "Share of the server's slots that is used while it ramps up, else 1.")
        .set(load.pace);
    registry.gauge("damaskthread_server_work_time", "Work time of the server's VM, relative to the usual one.")
        .set(load.work_time);
  }

  [[nodiscard]] std::string status_json() {
    const peer::Status own = own_status();
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
        .dump(2, ' ', false, Json::error_handler_t::replace);
  }

  static std::string join(const std::vector<std::string>& names) {
    std::string text;
    for (const std::string& name : names) text.append(text.empty() ? "" : ",").append(name);
    return text;
  }

  // Returns whether the settings file was modified since the previous call.
  bool settings_file_changed() {
    std::error_code error;
    const auto time = std::filesystem::last_write_time(settings_path, error);
    return !error && std::exchange(settings_write_time, time) != time;
  }

  // Applies the settings that can change at run time, such as those of the local server. Listen addresses stay.
  void reload_settings() {
    const auto loaded = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<MeshSettings>> {
          BOOST_LEAF_AUTO(read, load_mesh_settings(settings_path));
          return std::optional(std::move(read));
        },
        [&](const settings::Errors& errors) {
          log.line(LogClass::kStateChange, "settings_refused", {{"reason", settings::to_string(errors)}});
          return std::optional<MeshSettings>();
        },
        [] { return std::optional<MeshSettings>(); });
    if (!loaded) return;
    const SettingsUpdate update = apply_reloadable(settings, *loaded);
    gate.set_local_server(settings.service, settings.local_server);
    if (!settings.service.empty()) {
      ingress.set_local_service(settings.service);
      fleet.set_service(settings.service);
    }
    log.line(LogClass::kStateChange, "settings",
             {{"digest", fleet_digest(settings)}, {"taken", join(update.applied)}, {"refused", join(update.rejected)}});
  }

  void wait_for_signal() {
    signals.async_wait([this](const error_code& error, int signal) {
      if (error) return;
      if (signal == SIGHUP) {
        reload_settings();
      } else if (!stopping) {
        begin_shutdown();
      }
      wait_for_signal();
    });
  }

  void begin_shutdown() {
    stopping = true;
    stop_started_at = now();
    log.line(LogClass::kStateChange, "stopping",
             {{"requests", static_cast<std::int64_t>(ingress.active())},
              {"runs", static_cast<std::int64_t>(gate.active())}});
    call_listener.drain();
    gate.stop_accepting();
    const core::Duration time_left = std::max(core::Duration::zero(), settings.promises.grace - kGraceMargin);
    const core::TimePoint end = stop_started_at + time_left;
    const core::TimePoint last_request = stop_started_at + std::min(kMaxStopRequestTime, time_left / 2);
    ingress.begin_shutdown({last_request, std::max(last_request, end - kNestedCallTime), end});
  }

  void schedule_tick() {
    tick_timer.expires_after(kTickInterval);
    tick_timer.async_wait([this](const error_code& error) {
      if (error) return;
      tick();
      schedule_tick();
    });
  }

  void tick() {
    const core::TimePoint time = now();
    update_own_pool_entry();
    fleet.tick(time);
    pull_configuration(time);
    const bool fleet_changed = fleet.size() != planned_fleet_size;
    if (time - last_plan_time >= (fleet_changed ? kLinkReplanInterval : kLinkPlanInterval)) {
      last_plan_time = time;
      planned_fleet_size = fleet.size();
      quota.set_members(fleet.endpoints(), members_read, time);
      fleet.plan(ingress.interests(time), quota.coordinator_candidates(), time);
      update_watch(time);
    }
    gate.tick(time);
    quota_lease.tick(quota.lease_wanted(time), time);
    quota.tick(time);
    ingress.tick(time);
    if (time >= sweep_due) {
      sweep_due = time + kSweepInterval;
      call_listener.sweep(time);
      control_listener.sweep(time);
      readiness_listener.sweep(time);
      if (admin_listener) admin_listener->sweep(time);
      crash_tally.tick(time);
    }
    if (time >= load_update_due || work_time_changed(time)) broadcast_state(time);
    if (time >= load_log_due) {
      load_log_due = time + kLoadLogInterval;
      log_load();
    }
    if (time >= settings_due) {
      settings_due = time + kSettingsCheckInterval;
      if (settings_file_changed()) reload_settings();
    }
    if (stopping) check_shutdown(time);
  }

  // Logs the state that decisions on individual requests are based on.
  void log_load() {
    const gate::Load load = gate.load(now());
    log.line(LogClass::kStateChange, "load",
             {{"limit", load.limit},
              {"running", load.running},
              {"queued", load.queued},
              {"demand", load.demand},
              {"work_time", load.work_time},
              {"pace", load.pace},
              {"run_ms", std::chrono::duration<double, std::milli>(load.run_time).count()},
              {"requests", static_cast<std::int64_t>(ingress.active())},
              {"pressure", ingress.describe_pressure()}});
  }

  void check_shutdown(core::TimePoint time) {
    const core::Duration elapsed = time - stop_started_at;
    // Callers without another server keep sending requests; the rest of the grace period is for those already accepted.
    if (elapsed > kMaxStopAcceptTime) call_listener.stop_accepting(time);
    const bool idle = ingress.active() == 0 && gate.active() == 0 && call_listener.busy_sessions() == 0 &&
                      peer_listener.unsent_bytes() == 0;
    if (!requests_ended) {
      const bool grace_expired = elapsed >= settings.promises.grace - kGraceMargin;
      if (!grace_expired && (elapsed < kReadinessPropagation || !idle)) return;
      requests_ended = true;
      outcome = idle ? ShutdownOutcome::kDrained : ShutdownOutcome::kGraceExpired;
      log.line(LogClass::kStateChange, "stopped",
               {{"finished", idle}, {"requests", static_cast<std::int64_t>(ingress.active())}});
      ingress.end_requests();
    }
    if (call_listener.busy_sessions() > 0 && elapsed < settings.promises.grace - kResponseGraceMargin) return;
    io.stop();
  }

  MeshSettings settings;
  std::filesystem::path settings_path;
  std::filesystem::file_time_type settings_write_time;
  const Adapter& adapter;
  std::string self;
  core::Incarnation incarnation;
  /// Departure in this daemon's member entry.
  std::optional<gate::ServerIncarnation> listed_departure;
  std::string configuration_document;
  /// Newest configuration version announced by any peer.
  std::uint64_t newest_peer_version = 0;
  core::TimePoint newest_peer_version_time;
  /// When the store is read because no peer sent that version, and the delay until the read after that.
  core::TimePoint store_read_due;
  core::Duration store_read_backoff{0};
  bool stopping = false;
  core::TimePoint stop_started_at;
  /// The requests that were in progress at the end of the grace period have been ended.
  bool requests_ended = false;
  /// Outlives all holders of bodies, which release their memory there.
  CallerMemory caller_memory;
  core::TimePoint sweep_due;
  core::TimePoint load_update_due;
  /// Work time in the last load update.
  double sent_work_time = 1;
  core::TimePoint status_due;
  /// Status in the last full broadcast.
  peer::Status last_sent_status;
  core::TimePoint settings_due;
  core::TimePoint load_log_due;
  core::TimePoint last_plan_time;
  /// The member list has been read at least once.
  bool members_read = false;
  /// Fleet size at the last link plan.
  std::size_t planned_fleet_size = 0;
  ShutdownOutcome outcome = ShutdownOutcome::kDrained;

  asio::io_context io{1};
  EventLog log;
  metrics::Registry registry;
  quarantine::CrashCounter crash_tally;
  placement::ServerPool server_pool;
  entrance::CallGraph call_graph;
  LocalExecutor gate;
  Fleet fleet;
  LeaseClient quota_lease;
  QuotaService quota;
  overlay::WatchDuty watch_duty;
  overlay::ConfigurationPull configuration_pull;
  Ingress ingress;
  PeerListener peer_listener;
  StoreClient store_client;
  HttpListener call_listener;
  HttpListener readiness_listener;
  HttpListener control_listener;
  std::unique_ptr<HttpListener> admin_listener;
  asio::steady_timer tick_timer;
  asio::signal_set signals;
};

Daemon::Daemon(const MeshSettings& settings, std::filesystem::path settings_path, const Adapter& adapter)
    : impl_(std::make_unique<Impl>(settings, std::move(settings_path), adapter)) {}

Daemon::~Daemon() = default;

ShutdownOutcome Daemon::run() {
  impl_->io.run();
  impl_->log.finish();
  return impl_->outcome;
}

}  // namespace damaskthread::mesh
