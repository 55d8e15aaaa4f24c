#ifndef DAMASKTHREAD_ROUTE_WEIGHTED_SPLIT_H_
#define DAMASKTHREAD_ROUTE_WEIGHTED_SPLIT_H_

/// @file
/// @brief Splits the requests of a route among its services by weight.

#include <string>
#include <unordered_map>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/route/route_table.h"

namespace damaskthread::route {

/// @brief Smooth weighted round robin per route. Load pattern: a short window after a change of weights, in which
/// random selection would deviate from the declared weights.
class WeightedSplit {
 public:
  /// @brief Selects the service for the next request of a route.
  /// @param route A route with at least one service.
  /// @param random Source of the initial credits, so that daemons that start together do not all select the same
  /// service first.
  /// @return The selected service.
  [[nodiscard]] const WeightedService& next(const Route& route, core::Random& random);

  /// @brief Discards the state of all routes after a configuration change.
  void reset() noexcept { credits_.clear(); }

 private:
  std::unordered_map<std::string, std::vector<double>> credits_;
};

}  // namespace damaskthread::route

#endif  // DAMASKTHREAD_ROUTE_WEIGHTED_SPLIT_H_
