#include "damaskthread/route/weighted_split.h"

#include <algorithm>
#include <random>

namespace damaskthread::route {

const WeightedService& WeightedSplit::next(const Route& route, core::Random& random) {
  if (route.parts.size() == 1) return route.parts.front();
  std::vector<double>& credits = credits_[route.host + route.prefix];
  if (credits.size() != route.parts.size()) {
    credits.resize(route.parts.size());
    std::uniform_real_distribution<double> initial_credit(0, 1);
    for (std::size_t i = 0; i < credits.size(); ++i) credits[i] = initial_credit(random) * route.parts[i].weight;
  }
  double total_weight = 0;
  for (std::size_t i = 0; i < credits.size(); ++i) {
    credits[i] += route.parts[i].weight;
    total_weight += route.parts[i].weight;
  }
  const auto selected = std::max_element(credits.begin(), credits.end());
  *selected -= total_weight;
  return route.parts[static_cast<std::size_t>(selected - credits.begin())];
}

}  // namespace damaskthread::route
