#ifndef DAMASKTHREAD_PLACEMENT_SERVER_POOL_H_
#define DAMASKTHREAD_PLACEMENT_SERVER_POOL_H_

/// @file
/// @brief Selects a server for each request from the load that daemons report and from measured run times.

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/gate/server_gate.h"

namespace damaskthread::placement {

/// Status of a server, as reported by its daemon.
struct ServerReport {
  std::string service;
  /// Whether it accepts new requests.
  bool ready = false;
  gate::Load load;
};

/// Constraints on the server that runs a request.
struct PlacementRequest {
  std::string_view service;
  /// Kind of the request; run times are compared only within one kind.
  std::string_view kind;
  /// Latency objective; zero if there is none.
  core::Duration objective{0};
  /// Daemons that this request has already tried.
  std::span<const std::string> tried;
  /// If not empty, only these daemons may be chosen.
  std::span<const std::string> allowed;
};

/// Why a server cannot get a request.
enum class Exclusion : std::uint8_t {
  kNone,
  kUnreachable,  ///< Its daemon is not reachable.
  kNotReady,     ///< It does not accept new requests.
  kTried,        ///< The request has already been sent to it.
  kNotAllowed,   ///< The request is restricted to other servers.
};
[[nodiscard]] std::string_view to_string(Exclusion exclusion) noexcept;

/// Terms of the cost of a server for one request, in mean run times of the kind unless stated otherwise.
struct PlacementCost {
  /// Expected run time relative to the mean of the kind.
  double relative_run_time = 0;
  /// Weight of the run time; lower for requests that finish far below their objective.
  double run_time_weight = 0;
  /// Cost of occupied slots and of queued requests, in run times of this server.
  double congestion = 0;
  /// Cost of recent failures.
  double failures = 0;
  /// Cost of leaving the local failure domain.
  double cross_zone = 0;
  /// Time by which the request is expected to exceed its latency objective.
  double objective_excess = 0;
  /// Added after a refusal and while a heartbeat is overdue.
  double avoidance = 0;

  [[nodiscard]] double run_time_cost() const noexcept { return relative_run_time * run_time_weight; }
  [[nodiscard]] double congestion_cost() const noexcept { return relative_run_time * congestion; }
  /// @param jitter Random factor of this choice; it does not apply to the avoidance.
  [[nodiscard]] double total(double jitter = 1) const noexcept {
    return (relative_run_time * (run_time_weight + congestion) + failures + cross_zone + objective_excess) * jitter +
           avoidance;
  }
};

/// A server of a service, as a request placed now would find it.
struct Candidate {
  std::string endpoint;
  bool same_zone = false;
  Exclusion exclusion = Exclusion::kNone;
  PlacementCost cost;
  /// It has the lowest cost of all servers that are not excluded.
  bool cheapest = false;
  /// It may be chosen, since its cost exceeds the lowest by no more than the random factors permit.
  bool possible = false;
};

struct ServerPoolOptions {
  /// Cost of leaving the local failure domain, in mean run times. Traffic between failure domains is billed to the
  /// operators of callers; one additional run time is rarely noticed while latency is far below the objective.
  double cross_zone_cost = 1.4;
  /// Weight of a run time that takes the whole latency objective, relative to the weight of congestion; shorter ones
  /// weigh less in proportion, and no weight exceeds 1. Requests that finish far below their objective leave the fast
  /// servers to those that need them.
  double run_time_weight = 4.0;
  /// Smallest weight of a run time; with 1, it does not depend on the objective.
  double min_run_time_weight = 0.25;
  /// Utilization above which the cost of a server rises.
  double congestion_threshold = 0.6;
  /// Cost of a server whose slots are all occupied, in mean run times.
  double saturation_cost = 2.5;
  /// Cost of a queue as long as the number of slots, in mean run times.
  double queue_cost = 2.0;
  /// Cost of a server that fails every request, in mean run times.
  double failure_cost = 6.0;
  /// Upper bound of the ratio of a run time to its mean, since a single slow run is not significant. With 1, servers
  /// are not compared by their run times.
  double max_run_time_ratio = 8;
  double smoothing = 0.1;
  /// How long the reported work time of a VM is expected to last; later it counts as its mean.
  core::Duration work_time_persistence = std::chrono::milliseconds{600};
  /// Time for which a server is avoided after a refusal.
  core::Duration refusal_backoff = std::chrono::milliseconds{30};
  /// Time after which the next heartbeat of a daemon is overdue: one and a half heartbeat intervals.
  core::Duration heartbeat_overdue_after = std::chrono::milliseconds{600};
};

/// @brief The servers of all services to which this daemon may send requests.
///
/// Load patterns: servers of different speed (run times are compared between servers, per kind, as far as they matter
/// for the latency objective: short calls use the slow servers of their failure domain as well), a slow or failing
/// server that passes its health checks (its run times and failures raise its cost), one failure domain busier than the
/// others (requests spill over when the local failure domain is congested), suspended machines (requests sent to them
/// before they are suspected would be lost, since no response could confirm that they did not run), many daemons that
/// choose at the same time from stale reports (requests sent since the report are counted), VMs that are slowed by
/// their neighbours for fractions of a second (the reported work time counts as long as it is likely to last), servers
/// that ramp up (they get the share of their slots that they report).
class ServerPool {
 public:
  explicit ServerPool(const ServerPoolOptions& options = {}) : options_(options) {}

  /// @brief Adds a daemon or updates its status.
  /// @param endpoint Address of the daemon.
  /// @param same_zone Whether it is in the same failure domain as this daemon.
  /// @param now Time of the report, which is a sign of life like a heartbeat.
  void set_server(const std::string& endpoint, bool same_zone, const ServerReport& report, core::TimePoint now);
  /// @brief Records whether the daemon is currently reachable.
  void set_reachable(const std::string& endpoint, bool reachable);
  void remove(const std::string& endpoint);

  /// @brief Chooses a daemon for a request.
  /// @return Its address, or nothing if no suitable server is reachable.
  [[nodiscard]] std::optional<std::string> choose(const PlacementRequest& request, core::TimePoint now,
                                                  core::Random& random) const;

  /// @brief Lists all servers of the service of a request with the terms of their cost, as `choose` compares them.
  /// @return Servers that are not excluded first, by ascending cost.
  [[nodiscard]] std::vector<Candidate> candidates(const PlacementRequest& request, core::TimePoint now) const;

  /// @brief Updates the load from a response or heartbeat, which is newer than the last report.
  void update_load(const std::string& endpoint, const gate::Load& load, core::TimePoint now);
  /// @brief Records that a request was sent to a server.
  void on_sent(const std::string& endpoint);
  /// @brief Records how a request ended at a server.
  /// @param endpoint Where it ran.
  /// @param kind Kind of the request.
  /// @param run_time How long it ran.
  /// @param failed Whether the server failed it.
  void on_finished(const std::string& endpoint, std::string_view kind, core::Duration run_time, bool failed);
  /// @brief Records that the daemon refused a request.
  void on_refused(const std::string& endpoint, core::TimePoint now);

  /// @brief Returns the total load of all reachable servers of a service.
  [[nodiscard]] gate::Load total_load(std::string_view service) const;
  /// @brief Whether any server of the service is reachable and accepts requests.
  [[nodiscard]] bool has_ready_server(std::string_view service) const;

 private:
  struct Server {
    std::string endpoint;
    bool same_zone = false;
    bool reachable = false;
    ServerReport report;
    int sent_since_report = 0;
    /// Run time relative to the mean of its kind over all servers. New servers start slightly below the mean, so that
    /// they are tried.
    double relative_run_time = 0.9;
    /// Moving average of the reported work time of the server's VM. `relative_run_time` refers to a work time of 1.
    double mean_work_time = 1;
    /// Moving average of the share of failed requests.
    double failure_share = 0;
    core::TimePoint avoided_until;
    /// Time of the last report or load update; nothing before the first one.
    std::optional<core::TimePoint> last_load_at;
  };

  [[nodiscard]] Server* find(const std::string& endpoint);
  [[nodiscard]] Server& find_or_add(const std::string& endpoint);
  /// Takes over a load that is newer than the last one.
  void set_load(Server& server, const gate::Load& load, core::TimePoint now);
  /// Work time that a request of this run time is expected to meet if it is placed now.
  [[nodiscard]] double expected_work_time(const Server& server, double mean_run_seconds, core::TimePoint now) const;
  /// Mean run time of the kind in seconds; zero if none has been measured.
  [[nodiscard]] double mean_run_seconds(std::string_view kind) const;
  [[nodiscard]] static Exclusion exclusion(const Server& server, const PlacementRequest& request) noexcept;
  [[nodiscard]] PlacementCost cost(const Server& server, const PlacementRequest& request, double mean_run_seconds,
                                   core::TimePoint now) const;

  ServerPoolOptions options_;
  std::vector<Server> servers_;
  std::unordered_map<std::string, double> mean_run_seconds_by_kind_;
};

}  // namespace damaskthread::placement

#endif  // DAMASKTHREAD_PLACEMENT_SERVER_POOL_H_
