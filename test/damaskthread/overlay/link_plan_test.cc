#include "damaskthread/overlay/link_plan.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace damaskthread::overlay {
namespace {

constexpr int kServices = 4;
constexpr int kZones = 5;
using Interests = std::map<std::string, Interest, std::less<>>;

struct Daemon {
  std::string endpoint;
  std::string service;
  int zone = 0;
};

std::vector<Daemon> make_fleet(int size) {
  std::vector<Daemon> fleet;
  fleet.reserve(static_cast<std::size_t>(size));
  for (int i = 0; i < size; ++i) {
    fleet.push_back({"10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":8300",
                     "service-" + std::to_string(i % kServices), (i / kServices) % kZones});
  }
  return fleet;
}

Interests all_used() {
  Interests interests;
  for (int i = 0; i < kServices; ++i) interests.emplace("service-" + std::to_string(i), Interest::kUsed);
  return interests;
}

std::vector<Candidate> candidates_of(const std::vector<Daemon>& fleet, std::size_t self) {
  std::vector<Candidate> candidates;
  for (const Daemon& daemon : fleet) {
    if (daemon.endpoint == fleet[self].endpoint) continue;
    candidates.push_back({daemon.endpoint, daemon.service, daemon.zone == fleet[self].zone, true});
  }
  return candidates;
}

std::set<std::string> planned_endpoints(const std::vector<Candidate>& candidates, const std::string& self,
                                        const Interests& interests) {
  std::set<std::string> endpoints;
  for (const std::size_t index : LinkPlan(self).select_peers(candidates, interests)) {
    endpoints.emplace(candidates[index].endpoint);
  }
  return endpoints;
}

}  // namespace

TEST_CASE("a small fleet is a full mesh") {
  const auto fleet = make_fleet(30);
  CHECK(planned_endpoints(candidates_of(fleet, 0), fleet[0].endpoint, {}).size() == 29);
}

TEST_CASE("the connections of a daemon grow with the logarithm of the fleet size") {
  const LinkPlanOptions options;
  for (const int size : {200, 1'000, 2'400}) {
    const auto fleet = make_fleet(size);
    const std::size_t bound = kServices * (options.used.same_zone + options.used.other_zones) +
                              static_cast<std::size_t>(std::ceil(std::log2(size))) + 1;
    for (const std::size_t self : {std::size_t{0}, fleet.size() / 2}) {
      CHECK(planned_endpoints(candidates_of(fleet, self), fleet[self].endpoint, all_used()).size() <= bound);
    }
  }
}

TEST_CASE("connections spread evenly over the servers of a service") {
  const auto fleet = make_fleet(200);
  std::map<std::string, int> callers;
  for (std::size_t self = 0; self < fleet.size(); ++self) {
    for (const auto& endpoint : planned_endpoints(candidates_of(fleet, self), fleet[self].endpoint, all_used())) {
      ++callers[endpoint];
    }
  }
  REQUIRE(callers.size() == fleet.size());
  const auto [least, most] = std::minmax_element(callers.begin(), callers.end(),
                                                 [](const auto& a, const auto& b) { return a.second < b.second; });
  // The mean is near 80; at half of it, no server is left without callers by chance.
  CHECK(least->second >= 40);
  CHECK(most->second <= 130);
}

TEST_CASE("unusable servers do not count and are replaced by others") {
  const auto fleet = make_fleet(200);
  auto candidates = candidates_of(fleet, 0);
  const auto before = planned_endpoints(candidates, fleet[0].endpoint, all_used());
  std::size_t lost = 0;
  for (Candidate& candidate : candidates) {
    if (candidate.same_zone && before.contains(std::string(candidate.endpoint))) candidate.usable = ++lost == 0;
  }
  REQUIRE(lost > 0);
  const auto after = planned_endpoints(candidates, fleet[0].endpoint, all_used());
  std::map<std::string_view, std::size_t> usable;
  for (const Candidate& candidate : candidates) {
    if (candidate.usable && after.contains(std::string(candidate.endpoint))) ++usable[candidate.service];
  }
  const LinkPlanOptions options;
  for (const auto& [service, count] : usable) CHECK(count >= options.used.same_zone + options.used.other_zones);
}

TEST_CASE("a leaving daemon changes few connections of the others") {
  const auto fleet = make_fleet(200);
  const auto all = candidates_of(fleet, 0);
  const auto before = planned_endpoints(all, fleet[0].endpoint, all_used());
  for (std::size_t left = 0; left < all.size(); left += 17) {
    auto rest = all;
    rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(left));
    const auto after = planned_endpoints(rest, fleet[0].endpoint, all_used());
    std::vector<std::string> added;
    std::set_difference(after.begin(), after.end(), before.begin(), before.end(), std::back_inserter(added));
    // One server replaces it, and the fingers beyond it on the ring move by one position.
    CHECK(added.size() <= 1 + 9);
  }
}

TEST_CASE("a saturated service gets more connections, one that is only observed fewer") {
  const auto fleet = make_fleet(400);
  const auto candidates = candidates_of(fleet, 0);
  std::map<Interest, std::size_t> sizes;
  for (const Interest interest : {Interest::kObserved, Interest::kUsed, Interest::kSaturated}) {
    sizes[interest] = planned_endpoints(candidates, fleet[0].endpoint, {{"service-1", interest}}).size();
  }
  CHECK(sizes[Interest::kObserved] < sizes[Interest::kUsed]);
  CHECK(sizes[Interest::kUsed] < sizes[Interest::kSaturated]);
}

TEST_CASE("broadcasts over the ring reach every daemon while one in ten is unavailable") {
  CHECK(rc::check([] {
    const int size = *rc::gen::inRange(50, 400);
    const auto fleet = make_fleet(size);
    std::set<std::string> unavailable;
    for (int i = 0; i < size / 10; ++i) unavailable.insert(fleet[*rc::gen::inRange(1, size)].endpoint);
    std::map<std::string, std::size_t> index;
    for (std::size_t i = 0; i < fleet.size(); ++i) index[fleet[i].endpoint] = i;
    std::set<std::string> reached{fleet[0].endpoint};
    std::queue<std::size_t> next({0});
    std::map<std::string, int> hops{{fleet[0].endpoint, 0}};
    int max_hops = 0;
    while (!next.empty()) {
      const std::size_t self = next.front();
      next.pop();
      const auto candidates = candidates_of(fleet, self);
      for (const std::size_t finger : LinkPlan(fleet[self].endpoint).ring_fingers(candidates)) {
        const std::string endpoint(candidates[finger].endpoint);
        if (unavailable.contains(endpoint) || !reached.insert(endpoint).second) continue;
        hops[endpoint] = hops[fleet[self].endpoint] + 1;
        max_hops = std::max(max_hops, hops[endpoint]);
        next.push(index[endpoint]);
      }
    }
    RC_ASSERT(reached.size() == fleet.size() - unavailable.size());
    RC_ASSERT(max_hops <= 12);
  }));
}

}  // namespace damaskthread::overlay
