#include "damaskthread/route/weighted_split.h"

#include <algorithm>
#include <random>

namespace damaskthread::route {

const Part& WeightedSplit::next(const Route& route, core::Random& random) {
  if (route.parts.size() == 1) return route.parts.front();
  std::vector<double>& round = rounds_[route.host + route.prefix];
  if (round.size() != route.parts.size()) {
    round.resize(route.parts.size());
    std::uniform_real_distribution<double> start(0, 1);
    for (std::size_t i = 0; i < round.size(); ++i) round[i] = start(random) * route.parts[i].weight;
  }
  double total = 0;
  for (std::size_t i = 0; i < round.size(); ++i) {
    round[i] += route.parts[i].weight;
    total += route.parts[i].weight;
  }
  const auto chosen = std::max_element(round.begin(), round.end());
  *chosen -= total;
  return route.parts[static_cast<std::size_t>(chosen - round.begin())];
}

}  // namespace damaskthread::route
