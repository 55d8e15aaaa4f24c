#include "damaskthread/overlay/link_plan.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace damaskthread::overlay {
namespace {

// Rank and index of a candidate.
using Ranked = std::pair<std::uint64_t, std::size_t>;

// Selects candidates in descending order of rank until `count` of them are usable. Unusable ones on the way are
// selected too, since they may recover, but at most `count` of them.
std::size_t select_by_rank(std::vector<Ranked>& ranked, std::span<const Candidate> candidates, std::size_t count,
                           std::set<std::size_t>& selected) {
  std::sort(ranked.begin(), ranked.end(), std::greater<>());
  std::size_t usable = 0;
  std::size_t unusable = 0;
  for (const auto& [rank, index] : ranked) {
    if (usable == count) break;
    const bool is_usable = candidates[index].usable;
    if (!is_usable && unusable == count) continue;
    ++(is_usable ? usable : unusable);
    selected.insert(index);
  }
  return usable;
}

}  // namespace

std::uint64_t ring_position(std::string_view endpoint) noexcept {
  return XXH3_64bits(endpoint.data(), endpoint.size());
}

LinkPlan::LinkPlan(std::string self, const LinkPlanOptions& options)
    : self_(std::move(self)), seed_(ring_position(self_)), options_(options) {}

const LinkCounts& LinkPlan::link_counts(Interest interest) const noexcept {
  switch (interest) {
    case Interest::kObserved:
      return options_.observed;
    case Interest::kUsed:
      return options_.used;
    case Interest::kSaturated:
      return options_.saturated;
  }
  return options_.used;
}

std::set<std::size_t> LinkPlan::select_peers(std::span<const Candidate> candidates,
                                             const std::map<std::string, Interest, std::less<>>& interests) const {
  std::set<std::size_t> selected;
  if (candidates.size() < options_.full_mesh_limit) {
    for (std::size_t i = 0; i < candidates.size(); ++i) selected.insert(i);
    return selected;
  }
  struct Servers {
    std::vector<Ranked> same_zone;
    std::vector<Ranked> other_zones;
  };
  std::map<std::string_view, Servers> by_service;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const Candidate& candidate = candidates[i];
    if (interests.find(candidate.service) == interests.end()) continue;
    const std::uint64_t rank = XXH3_64bits_withSeed(candidate.endpoint.data(), candidate.endpoint.size(), seed_);
    Servers& servers = by_service[candidate.service];
    (candidate.same_zone ? servers.same_zone : servers.other_zones).emplace_back(rank, i);
  }
  for (auto& [service, servers] : by_service) {
    const LinkCounts& counts = link_counts(interests.find(service)->second);
    const std::size_t same_zone = select_by_rank(servers.same_zone, candidates, counts.same_zone, selected);
    // Servers missing in the local failure domain are replaced by servers in others.
    select_by_rank(servers.other_zones, candidates, counts.other_zones + counts.same_zone - same_zone, selected);
  }
  for (const std::size_t index : ring_fingers(candidates)) selected.insert(index);
  return selected;
}

std::vector<std::size_t> LinkPlan::ring_fingers(std::span<const Candidate> candidates) const {
  // Sorted by clockwise distance from this daemon on the ring.
  std::vector<Ranked> ordered;
  ordered.reserve(candidates.size());
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    ordered.emplace_back(ring_position(candidates[i].endpoint) - seed_, i);
  }
  std::sort(ordered.begin(), ordered.end());
  std::vector<std::size_t> fingers;
  for (std::size_t distance = 1; distance <= ordered.size(); distance *= 2) {
    fingers.push_back(ordered[distance - 1].second);
  }
  return fingers;
}

}  // namespace damaskthread::overlay
