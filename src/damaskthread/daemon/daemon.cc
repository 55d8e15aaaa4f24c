#include "damaskthread/daemon/daemon.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <utility>

#include "damaskthread/daemon/admin_api.h"
#include "damaskthread/daemon/burn_collector.h"
#include "damaskthread/daemon/control_plane.h"
#include "damaskthread/daemon/data_plane.h"
#include "damaskthread/daemon/log.h"
#include "damaskthread/engine/node.h"
#include "damaskthread/http/server.h"
#include "damaskthread/metrics/registry.h"
#include "damaskthread/slo/burn_tracker.h"
#include "damaskthread/slo/report.h"

namespace damaskthread::daemon {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

constexpr milliseconds kTickPeriod{10};
// Other daemons stop sending new work within 3 s of the announcement; external callers are refused after that.
constexpr seconds kLeaveNotice{3};
// Calls accepted by the kernel but not yet read by the daemon are counted as in progress within this time.
constexpr milliseconds kQuietPeriod{300};
constexpr milliseconds kDrainPoll{10};
constexpr std::chrono::minutes kMetricsWindow{1};

core::Incarnation new_incarnation() {
  const auto millis = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
  return {(static_cast<std::uint64_t>(millis.count()) << 16U) | (std::random_device{}() & 0xFFFFU)};
}

engine::NodeOptions node_options(const settings::Settings& settings, core::Incarnation incarnation) {
  engine::NodeOptions options;
  options.self = settings.server_id;
  options.incarnation = incarnation;
  options.service = settings.service;
  options.zone = zone_hash(settings.zone);
  options.region = zone_hash(settings.region);
  const auto key = settings.shared_key.reveal();
  std::copy_n(key.begin(), std::min(key.size(), options.key.size()), options.key.begin());
  options.admission.limit.slots = static_cast<int>(settings.slots);
  options.admission.queue_capacity = static_cast<int>(std::min(settings.bounds.max_queue, 2 * settings.slots));
  return options;
}

http::ServerOptions server_options(const settings::Settings& settings, std::uint16_t port) {
  http::ServerOptions options;
  options.address = settings.listen.address;
  options.port = port;
  options.max_threads = settings.bounds.max_threads;
  options.max_body_bytes = settings.bounds.max_body_bytes;
  return options;
}

}  // namespace

struct Daemon::Impl {
  explicit Impl(const settings::Settings& daemon_settings)
      : settings(daemon_settings),
        incarnation(new_incarnation()),
        node(node_options(settings, incarnation)),
        control(settings, incarnation, node, directory),
        data(
            node, directory, control.authenticator(), {settings.server_id, incarnation},
            {settings.local_server.host, settings.local_server.port},
            [this](const CallReport& report) { record_call(report); }, [this] { control.notify_crash(); }),
        admin(settings, control,
              {[this] { return metrics_text(); }, [this] { return control.status_json(); },
               [this](bool html) { return report(html); }, [this] { return slo::report(own_burn()); }}),
        collector(directory, control.authenticator(), {settings.server_id, incarnation}),
        tick_thread([this] { run_ticks(); }),
        peer_server(server_options(settings, settings.listen.peer_port),
                    [this](http::Request&& request, const http::ConnectionInfo& arrival) {
                      return data.handle_peer(std::move(request), arrival);
                    }),
        call_server(server_options(settings, settings.listen.call_port),
                    [this](http::Request&& request, const http::ConnectionInfo& arrival) {
                      return data.handle_call(std::move(request), arrival);
                    }),
        admin_server(server_options(settings, settings.listen.admin_port),
                     [this](http::Request&& request, const http::ConnectionInfo& arrival) {
                       return admin.handle(std::move(request), arrival);
                     }) {}

  ~Impl() {
    stopping = true;
    tick_thread.join();
  }

  void run_ticks() {
    while (!stopping) {
      const auto now = Clock::now();
      data.tick(now);
      refresh_objectives(now);
      if (now - last_rotation >= kMetricsWindow) {
        registry.rotate();
        last_rotation = now;
      }
      std::this_thread::sleep_for(kTickPeriod);
    }
  }

  void record_call(const CallReport& report) {
    const metrics::Labels labels = {{"importance", std::string(core::to_string(report.importance))},
                                    {"verdict", std::string(core::to_string(report.verdict.execution))},
                                    {"cause", std::string(core::to_string(report.verdict.cause))}};
    registry.counter("damaskthread_calls_total", "Calls answered at the call port.", labels).count();
    if (report.verdict.execution != core::Execution::kRan) {
      registry
          .counter("damaskthread_refusals_total", "Calls without an answer of a server, by service called and cause.",
                   {{"service", report.service}, {"cause", std::string(core::to_string(report.verdict.cause))}})
          .count();
    }
    const auto extra = static_cast<std::uint64_t>(std::max(0, report.attempts - 1));
    if (extra > 0) registry.counter("damaskthread_retries_total", "Attempts beyond the first.").count(extra);
    registry
        .quantiles("damaskthread_call_seconds", "Time from a call's arrival to its answer.",
                   {{"importance", std::string(core::to_string(report.importance))}})
        .observe(report.latency);
    // A call by the local server belongs to a request that is counted at the daemon where it entered.
    const std::optional<slo::Result> result = report.root ? slo::classify(report.verdict) : std::nullopt;
    if (!result) return;
    const bool failed = report.verdict.execution == core::Execution::kRan && report.status >= 500;
    burn.record(report.service, report.importance, failed ? slo::Result::kFailed : *result, report.latency,
                Clock::now());
  }

  std::string metrics_text() {
    const engine::Node::LocalStatus local = node.local_status();
    const auto gauge = [this](const std::string& name, const char* help, double value) {
      registry.gauge("damaskthread_" + name, help).set(value);
    };
    gauge("limit", "Concurrency limit in force at the local server.", local.limit);
    gauge("running", "Calls running at the local server.", local.running);
    gauge("queued", "Calls waiting for the local server.", local.queued);
    gauge("level", "Level below which calls are refused.", local.level.value);
    gauge("crash_marks", "Requests suspected or held for crashing servers.", local.crash_marks);
    gauge("server_down", "1 while the local server's process is gone.", data.server_down() ? 1 : 0);
    gauge("crashes_seen", "Times the local server ended while calls ran.", static_cast<double>(data.crashes_seen()));
    const auto& counters = local.counters;
    gauge("admission_started", "Calls started at the local server.", static_cast<double>(counters.started));
    gauge("admission_queued", "Calls that had to wait.", static_cast<double>(counters.queued));
    gauge("admission_refused_level", "Calls refused by the level.", static_cast<double>(counters.refused_level));
    gauge("admission_refused_full", "Calls refused with a full queue.", static_cast<double>(counters.refused_full));
    gauge("admission_refused_deadline", "Calls refused for their deadline.",
          static_cast<double>(counters.refused_deadline));
    gauge("admission_displaced", "Queued calls displaced by more important ones.",
          static_cast<double>(counters.displaced));
    gauge("admission_expired", "Queued calls that waited too long.", static_cast<double>(counters.expired));
    for (const auto& [name, value] : control.counters()) gauge(name, "Control counter.", value);
    return registry.expose();
  }

  // Updates the objectives when the declarations change.
  void refresh_objectives(core::TimePoint now) {
    const auto services = node.services();
    if (services->revision() == objectives_revision) return;
    objectives_revision = services->revision();
    std::vector<slo::Objective> objectives;
    for (const auto& [name, entry] : services->entries()) {
      for (const resource::Objective& objective : entry.declaration->objectives) {
        objectives.push_back({name, objective.importance, objective.target, objective.latency, objective.window});
      }
    }
    burn.set_objectives(objectives, now);
  }

  slo::BurnSnapshot own_burn() {
    const auto wall = std::chrono::floor<milliseconds>(std::chrono::system_clock::now());
    return burn.snapshot({settings.server_name, incarnation, wall}, Clock::now());
  }

  std::string report(bool html) {
    const slo::BurnSnapshot merged = collector.collect(own_burn());
    return html ? slo::report_page(merged) : slo::report(merged);
  }

  bool drain(core::Duration timeout) {
    const auto begin = Clock::now();
    node.begin_drain();
    control.announce_leaving();
    LOG4CPLUS_INFO(logger(), "draining: refusing new calls and waiting for calls in flight");
    auto last_busy = begin;
    while (Clock::now() - begin < timeout) {
      const auto now = Clock::now();
      if (now - begin >= kLeaveNotice) data.refuse_callers();
      if (data.in_progress() > 0 || !node.idle()) last_busy = now;
      if (now - begin >= kLeaveNotice + kQuietPeriod && now - last_busy >= kQuietPeriod) return true;
      std::this_thread::sleep_for(kDrainPoll);
    }
    return false;
  }

  const settings::Settings& settings;
  core::Incarnation incarnation;
  metrics::Registry registry;
  slo::BurnTracker burn;
  std::uint64_t objectives_revision = 0;
  Directory directory;
  engine::Node node;
  ControlPlane control;
  DataPlane data;
  AdminApi admin;
  BurnCollector collector;
  std::atomic<bool> stopping{false};
  core::TimePoint last_rotation = Clock::now();
  std::thread tick_thread;
  http::Server peer_server;
  http::Server call_server;
  http::Server admin_server;
};

Daemon::Daemon(const settings::Settings& settings) : impl_(std::make_unique<Impl>(settings)) {}
Daemon::~Daemon() = default;

bool Daemon::drain(core::Duration timeout) { return impl_->drain(timeout); }

}  // namespace damaskthread::daemon
