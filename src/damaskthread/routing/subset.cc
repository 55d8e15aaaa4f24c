#include "damaskthread/routing/subset.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace damaskthread::routing {
namespace {

// Callers choose independently, so the number of callers per server is binomially distributed. About 3 servers in a
// million exceed 4.5 standard deviations.
constexpr double kStandardDeviations = 4.5;

// A single daemon cannot exhaust a connection limit above this quota.
constexpr int kMaxQuota = 4096;

bool connections_fit(int members, int quota, int servers, int callers, int connections) noexcept {
  const double share = static_cast<double>(members) / servers;
  const double mean = quota * callers * share;
  const double deviation = quota * std::sqrt(callers * share * (1 - share));
  return mean + kStandardDeviations * deviation <= connections;
}

}  // namespace

SubsetShape subset_shape(int servers, int callers, int connections, int max_members) noexcept {
  if (servers <= 0) return {};
  callers = std::max(callers, 1);
  SubsetShape shape{1, 1};
  for (int members = std::min(servers, max_members); members > 1; --members) {
    if (!connections_fit(members, 1, servers, callers, connections)) continue;
    shape.members = members;
    break;
  }
  int low = 1;
  int high = kMaxQuota;
  while (low < high) {
    const int candidate_quota = (low + high + 1) / 2;
    if (connections_fit(shape.members, candidate_quota, servers, callers, connections)) {
      low = candidate_quota;
    } else {
      high = candidate_quota - 1;
    }
  }
  shape.quota = low;
  return shape;
}

void select_by_rendezvous_hash(core::ServerId self, std::vector<core::ServerId>& servers, std::size_t count) {
  std::vector<std::pair<std::uint64_t, std::uint64_t>> ranked;
  ranked.reserve(servers.size());
  for (const core::ServerId server : servers) {
    ranked.emplace_back(XXH3_64bits_withSeed(&server.value, sizeof(server.value), self.value), server.value);
  }
  count = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(),
                    std::greater<>());
  for (std::size_t i = 0; i < ranked.size(); ++i) servers[i] = {ranked[i].second};
}

}  // namespace damaskthread::routing
