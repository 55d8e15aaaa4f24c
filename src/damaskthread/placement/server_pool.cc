#include "damaskthread/placement/server_pool.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <random>

namespace damaskthread::placement {
namespace {

// Spread of the random cost factor that keeps daemons from choosing equal servers in the same order.
constexpr double kJitter = 0.08;

// Time that the mean work time of a VM covers. It does not depend on the rate of reports, which differs between the
// local server (one in each tick) and others.
constexpr double kWorkTimeMeanSeconds = 10;
// A report says nothing about a longer time before it.
constexpr double kMaxReportSeconds = 1;

double utilization(const gate::Load& load, int unreported) {
  return static_cast<double>(load.running + load.queued + unreported) / std::max(1.0, load.pace * load.limit);
}

bool contains(std::span<const std::string> endpoints, const std::string& endpoint) {
  return std::find(endpoints.begin(), endpoints.end(), endpoint) != endpoints.end();
}

}  // namespace

std::string_view to_string(Exclusion exclusion) noexcept {
  switch (exclusion) {
    case Exclusion::kNone:
      return "none";
    case Exclusion::kUnreachable:
      return "unreachable";
    case Exclusion::kNotReady:
      return "not ready";
    case Exclusion::kTried:
      return "already tried";
    case Exclusion::kNotAllowed:
      return "not allowed";
  }
  return "unknown";
}

ServerPool::Server* ServerPool::find(const std::string& endpoint) {
  const auto found = std::find_if(servers_.begin(), servers_.end(),
                                  [&endpoint](const Server& server) { return server.endpoint == endpoint; });
  return found == servers_.end() ? nullptr : &*found;
}

ServerPool::Server& ServerPool::find_or_add(const std::string& endpoint) {
  if (Server* const server = find(endpoint)) return *server;
  servers_.emplace_back();
  servers_.back().endpoint = endpoint;
  return servers_.back();
}

void ServerPool::set_server(const std::string& endpoint, bool same_zone, const ServerReport& report,
                            core::TimePoint now) {
  Server& server = find_or_add(endpoint);
  if (server.report.service != report.service) {
    server.relative_run_time = Server().relative_run_time;
    server.failure_share = 0;
  }
  server.same_zone = same_zone;
  server.report = report;
  set_load(server, report.load, now);
}

void ServerPool::set_load(Server& server, const gate::Load& load, core::TimePoint now) {
  const double elapsed =
      server.last_load_at ? std::chrono::duration<double>(now - *server.last_load_at).count() : kMaxReportSeconds;
  const double weight = 1 - std::exp(-std::clamp(elapsed, 0.0, kMaxReportSeconds) / kWorkTimeMeanSeconds);
  server.report.load = load;
  server.sent_since_report = 0;
  server.last_load_at = now;
  server.mean_work_time += weight * (load.work_time - server.mean_work_time);
}

double ServerPool::expected_work_time(const Server& server, double mean_run_seconds, core::TimePoint now) const {
  const double reported = server.report.load.work_time;
  if (!server.last_load_at || reported == server.mean_work_time) return reported;
  // The middle of the run is as far away as the report is old plus half of the run time.
  const double horizon =
      std::chrono::duration<double>(now - *server.last_load_at).count() + mean_run_seconds * reported / 2;
  const double persistence = std::chrono::duration<double>(options_.work_time_persistence).count();
  return server.mean_work_time + (reported - server.mean_work_time) * std::exp(-std::max(0.0, horizon) / persistence);
}

void ServerPool::set_reachable(const std::string& endpoint, bool reachable) {
  find_or_add(endpoint).reachable = reachable;
}

void ServerPool::remove(const std::string& endpoint) {
  std::erase_if(servers_, [&endpoint](const Server& server) { return server.endpoint == endpoint; });
}

double ServerPool::mean_run_seconds(std::string_view kind) const {
  const auto found = mean_run_seconds_by_kind_.find(std::string(kind));
  return found == mean_run_seconds_by_kind_.end() ? 0 : found->second;
}

Exclusion ServerPool::exclusion(const Server& server, const PlacementRequest& request) noexcept {
  if (!server.reachable) return Exclusion::kUnreachable;
  if (!server.report.ready) return Exclusion::kNotReady;
  if (contains(request.tried, server.endpoint)) return Exclusion::kTried;
  if (!request.allowed.empty() && !contains(request.allowed, server.endpoint)) return Exclusion::kNotAllowed;
  return Exclusion::kNone;
}

PlacementCost ServerPool::cost(const Server& server, const PlacementRequest& request, double mean_run_seconds,
                               core::TimePoint now) const {
  PlacementCost cost;
  cost.relative_run_time = server.relative_run_time * expected_work_time(server, mean_run_seconds, now);
  const double load = utilization(server.report.load, server.sent_since_report);
  if (load >= 1) {
    cost.congestion = options_.saturation_cost + options_.queue_cost * (load - 1);
  } else if (load > options_.congestion_threshold) {
    const double fraction = (load - options_.congestion_threshold) / (1 - options_.congestion_threshold);
    cost.congestion = options_.saturation_cost * fraction * fraction;
  }
  const double objective = std::chrono::duration<double>(request.objective).count();
  cost.run_time_weight = 1;
  if (objective > 0 && mean_run_seconds > 0) {
    const double expected_share = cost.relative_run_time * mean_run_seconds / objective;
    cost.run_time_weight = std::clamp(options_.run_time_weight * expected_share, options_.min_run_time_weight, 1.0);
    // Run times spread to about twice their mean; a server that would exceed the objective at that run time is charged
    // the excess.
    const double excess = 2 * cost.relative_run_time * (1 + cost.congestion) * mean_run_seconds - objective;
    if (excess > 0) cost.objective_excess = excess / mean_run_seconds;
  }
  cost.failures = options_.failure_cost * server.failure_share;
  if (!server.same_zone) cost.cross_zone = options_.cross_zone_cost;
  const bool overdue = server.last_load_at && now - *server.last_load_at > options_.heartbeat_overdue_after;
  if (server.avoided_until > now || overdue) cost.avoidance = options_.saturation_cost + options_.queue_cost;
  return cost;
}

std::optional<std::string> ServerPool::choose(const PlacementRequest& request, core::TimePoint now,
                                              core::Random& random) const {
  const double mean = mean_run_seconds(request.kind);
  std::uniform_real_distribution<double> jitter(1 - kJitter, 1 + kJitter);
  const Server* best = nullptr;
  double best_cost = std::numeric_limits<double>::max();
  for (const Server& server : servers_) {
    if (server.report.service != request.service) continue;
    if (exclusion(server, request) != Exclusion::kNone) continue;
    const double candidate = cost(server, request, mean, now).total(jitter(random));
    if (candidate >= best_cost) continue;
    best = &server;
    best_cost = candidate;
  }
  if (best == nullptr) return std::nullopt;
  return best->endpoint;
}

std::vector<Candidate> ServerPool::candidates(const PlacementRequest& request, core::TimePoint now) const {
  const double mean = mean_run_seconds(request.kind);
  std::vector<Candidate> result;
  // Whatever the random factors are, some server costs no more than this.
  double highest_minimum = std::numeric_limits<double>::max();
  for (const Server& server : servers_) {
    if (server.report.service != request.service) continue;
    Candidate& candidate = result.emplace_back();
    candidate.endpoint = server.endpoint;
    candidate.same_zone = server.same_zone;
    candidate.exclusion = exclusion(server, request);
    candidate.cost = cost(server, request, mean, now);
    if (candidate.exclusion != Exclusion::kNone) continue;
    highest_minimum = std::min(highest_minimum, candidate.cost.total(1 + kJitter));
  }
  std::stable_sort(result.begin(), result.end(), [](const Candidate& left, const Candidate& right) {
    const bool left_excluded = left.exclusion != Exclusion::kNone;
    const bool right_excluded = right.exclusion != Exclusion::kNone;
    if (left_excluded != right_excluded) return right_excluded;
    return left.cost.total() < right.cost.total();
  });
  for (Candidate& candidate : result) {
    if (candidate.exclusion != Exclusion::kNone) break;
    candidate.cheapest = &candidate == &result.front();
    candidate.possible = candidate.cost.total(1 - kJitter) <= highest_minimum;
  }
  return result;
}

void ServerPool::update_load(const std::string& endpoint, const gate::Load& load, core::TimePoint now) {
  Server* const server = find(endpoint);
  if (server == nullptr) return;
  if (load.limit <= 0) {
    server->last_load_at = now;
    return;
  }
  set_load(*server, load, now);
}

void ServerPool::on_sent(const std::string& endpoint) {
  if (Server* server = find(endpoint)) ++server->sent_since_report;
}

void ServerPool::on_finished(const std::string& endpoint, std::string_view kind, core::Duration run_time, bool failed) {
  Server* server = find(endpoint);
  if (server == nullptr) return;
  server->failure_share += options_.smoothing * ((failed ? 1.0 : 0.0) - server->failure_share);
  // The work time at the end of the run is known; that at its start is taken to be usual.
  const double work_time = (server->report.load.work_time + server->mean_work_time) / 2;
  const double seconds = std::chrono::duration<double>(run_time).count() / work_time;
  if (failed || seconds <= 0) return;
  double& mean = mean_run_seconds_by_kind_[std::string(kind)];
  mean = mean == 0 ? seconds : mean + 0.2 * options_.smoothing * (seconds - mean);
  const double run_time_ratio = std::min(options_.max_run_time_ratio, seconds / mean);
  server->relative_run_time += options_.smoothing * (run_time_ratio - server->relative_run_time);
}

void ServerPool::on_refused(const std::string& endpoint, core::TimePoint now) {
  if (Server* server = find(endpoint)) server->avoided_until = now + options_.refusal_backoff;
}

gate::Load ServerPool::total_load(std::string_view service) const {
  gate::Load sum;
  for (const Server& server : servers_) {
    if (server.report.service != service || !server.reachable || !server.report.ready) continue;
    sum.limit += server.report.load.limit;
    sum.running += server.report.load.running;
    sum.queued += server.report.load.queued;
    sum.demand += server.report.load.demand;
  }
  return sum;
}

bool ServerPool::has_ready_server(std::string_view service) const {
  return std::any_of(servers_.begin(), servers_.end(), [service](const Server& server) {
    return server.report.service == service && server.reachable && server.report.ready;
  });
}

}  // namespace damaskthread::placement
