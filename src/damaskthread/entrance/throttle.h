#ifndef DAMASKTHREAD_ENTRANCE_THROTTLE_H_
#define DAMASKTHREAD_ENTRANCE_THROTTLE_H_

/// @file
/// @brief Rejects new requests at the entrance when the services that they need are overloaded.

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

#include "damaskthread/core/types.h"
#include "damaskthread/gate/server_gate.h"

namespace damaskthread::entrance {

struct ThrottleOptions {
  /// Target demand per slot.
  double target_demand = 1.05;
  /// Reduction of the target demand per queued request and slot, so that queues drain.
  double queue_penalty_factor = 0.3;
  /// Maximum reduction of the target demand for queues: one deep queue must not close the entrance.
  double max_queue_penalty = 0.25;
  /// Time constant of the demand average.
  core::Duration demand_time_constant = std::chrono::milliseconds{300};
  /// Time constant of the admitted share: about as long as a request takes to reach the service that limits it, so that
  /// demand and share refer to the same requests.
  core::Duration share_time_constant = std::chrono::milliseconds{1000};
  /// Time constant of the share for all priorities but the least important: a short dip affects only the latter.
  core::Duration steady_share_time_constant = std::chrono::seconds{3};
  /// Maximum increase of the admitted share per second.
  double max_share_rise_per_second = 1.0;
  /// Minimum share admitted of each priority, relative to the share of all requests, so that no priority starves.
  double min_priority_share = 0.35;
  /// Minimum share of all requests that is admitted.
  double min_share = 0.05;
};

/// @brief Estimates for each service the demand that all offered requests would cause, from the demand of the admitted
/// share, and admits the share that the service can sustain, most important priorities first. Demand is measured from
/// arrivals, not from running and queued requests: the latter saturate below an overload and grow with the queue during
/// one, so that a controller based on them oscillates.
///
/// Load patterns: a surge that exceeds the capacity of a service deep in the call tree (upstream work is not started
/// for requests that would fail downstream), clients that retry immediately (the admitted share follows the load,
/// however many requests are offered), gradual recovery (the share rises at a limited rate, so that rejected requests
/// do not return all at once).
class Throttle {
 public:
  explicit Throttle(const ThrottleOptions& options = {}) noexcept : options_(options) {}

  /// @brief Updates the demand for a service.
  /// @param service The service.
  /// @param total Total load of its servers.
  /// @param elapsed Time since the last call for this service.
  void observe(const std::string& service, const gate::Load& total, core::Duration elapsed);

  /// Admission limit of a kind of request.
  struct Limit {
    /// Share of its new requests that is admitted.
    double share = 1;
    /// The limiting service; empty if there is none.
    std::string_view service;
  };
  /// @brief Returns the admission limit of new requests of a priority.
  /// @param needed Services that the request needs; the result holds a view of one of them.
  /// @param priority Its priority; 0 is the most important.
  [[nodiscard]] Limit limit(std::span<const std::string> needed, int priority) const;

  /// @brief Records a new request.
  /// @param share Share of its kind that was admitted; its mean has less variance than a count of admitted requests.
  void record_offered(std::span<const std::string> needed, int priority, double share);

  /// @brief Returns the share of requests rejected because of this service, from 0 to 1.
  [[nodiscard]] double pressure(const std::string& service) const;

 private:
  struct Count {
    double offered = 0;
    double admitted = 0;
  };
  struct State {
    double demand = 0;
    /// Moving average of the share that was admitted.
    double recent_share = 1;
    /// Share that is currently admitted.
    double share = 1;
    /// Moving average of `share`.
    double steady_share = 1;
    /// New requests in the current interval, by priority.
    std::map<int, Count> counts;
    /// Moving average of the requests offered per interval, by priority.
    std::map<int, double> offered;
  };

  [[nodiscard]] double share_of_priority(const State& state, int priority) const;

  ThrottleOptions options_;
  std::unordered_map<std::string, State> services_;
};

}  // namespace damaskthread::entrance

#endif  // DAMASKTHREAD_ENTRANCE_THROTTLE_H_
