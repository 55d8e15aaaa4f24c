#ifndef DAMASKTHREAD_ROUTE_WEIGHTED_SPLIT_H_
#define DAMASKTHREAD_ROUTE_WEIGHTED_SPLIT_H_

/// @file
/// @brief Divides the requests of a route among its parts.

#include <string>
#include <unordered_map>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/route/route_table.h"

namespace damaskthread::route {

/// @brief Smooth weighted round robin per route. Load pattern: a short window after a change of weights, in which a
/// random draw would stray from the declared shares.
class WeightedSplit {
 public:
  /// @brief Chooses the part that takes the next request of a route.
  /// @param route A route with at least one part.
  /// @param random Draws where the round begins, so that daemons which start together do not all begin alike.
  /// @return The chosen part.
  [[nodiscard]] const Part& next(const Route& route, core::Random& random);

  /// @brief Forgets the rounds of all routes, after a change of configuration.
  void reset() noexcept { rounds_.clear(); }

 private:
  std::unordered_map<std::string, std::vector<double>> rounds_;
};

}  // namespace damaskthread::route

#endif  // DAMASKTHREAD_ROUTE_WEIGHTED_SPLIT_H_
