#include "damaskthread/routing/subset.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

#include "damaskthread/routing/traffic.h"

namespace damaskthread::routing {
namespace {

constexpr core::TimePoint kStart{std::chrono::seconds(1000)};

std::set<std::uint64_t> subset_of(std::uint64_t self, std::vector<core::ServerId> servers, std::size_t count) {
  select_by_rendezvous_hash({self}, servers, count);
  std::set<std::uint64_t> result;
  for (std::size_t i = 0; i < std::min(count, servers.size()); ++i) result.insert(servers[i].value);
  return result;
}

struct FleetShape {
  int servers;
  int connections;
  int callers;
};

// Maximum number of connections to any server if every daemon used its whole quota.
int max_connections_per_server(const FleetShape& shape, int zones) {
  std::vector<ServerInfo> servers = make_servers(shape.servers);
  // The first zone holds half of the servers, because with uneven zones the servers of the small ones get more callers.
  for (int i = 0; i < shape.servers; ++i) {
    servers[i].zone = static_cast<std::uint32_t>(i % 2 == 0 ? 0 : i % zones);
    servers[i].region = servers[i].zone % 3;
    servers[i].connections = shape.connections;
  }
  std::map<std::uint64_t, int> used;
  for (int daemon = 0; daemon < shape.callers; ++daemon) {
    const auto zone = static_cast<std::uint32_t>(daemon % zones);
    const std::uint32_t region = zone % 3;
    CallerCounts callers{.all = shape.callers};
    for (int z = 0; z < zones; ++z) {
      const int in_zone = shape.callers / zones + (z < shape.callers % zones ? 1 : 0);
      if (static_cast<std::uint32_t>(z) == zone) callers.zone += in_zone;
      if (static_cast<std::uint32_t>(z) % 3 == region) callers.region += in_zone;
    }
    ServiceRouter router({.self = {static_cast<std::uint64_t>(daemon) + 100'000}, .zone = zone, .region = region});
    router.set_servers(servers, callers, kStart);
    for (const MemberStatus& member : router.members(kStart)) used[member.id.value] += member.quota;
  }
  int max_connections = 0;
  for (const auto& [id, connections] : used) max_connections = std::max(max_connections, connections);
  return max_connections;
}

}  // namespace

// Guards against a server that runs out of connections because many daemons select it.
TEST_CASE("connections to a server stay within its declared limit") {
  for (const FleetShape shape : {FleetShape{2400, 530, 2400}, FleetShape{300, 720, 2400}, FleetShape{40, 530, 600},
                                 FleetShape{12, 440, 60}, FleetShape{5, 530, 15}}) {
    CAPTURE(shape.servers);
    CAPTURE(shape.connections);
    CHECK(max_connections_per_server(shape, 11) <= shape.connections);
    CHECK(max_connections_per_server(shape, 3) <= shape.connections);
  }
}

// Guards against reconnections across the fleet after a change of one server.
TEST_CASE("adding or removing one server changes at most one member of a subset of fixed size") {
  CHECK(rc::check([] {
    const auto self = *rc::gen::arbitrary<std::uint64_t>();
    const auto ids =
        *rc::gen::resize(200, rc::gen::unique<std::vector<std::uint64_t>>(rc::gen::inRange(1UL, 100000UL)));
    RC_PRE(ids.size() >= 2);
    const auto count = *rc::gen::inRange<std::size_t>(1, 30);
    std::vector<core::ServerId> servers;
    servers.reserve(ids.size());
    for (const std::uint64_t id : ids) servers.push_back({id});
    const std::set<std::uint64_t> before = subset_of(self, servers, count);
    const std::uint64_t removed = servers.back().value;
    servers.pop_back();
    const std::set<std::uint64_t> after = subset_of(self, servers, count);
    std::vector<std::uint64_t> lost;
    std::ranges::set_difference(before, after, std::back_inserter(lost));
    if (before.contains(removed)) {
      RC_ASSERT(lost == std::vector{removed});
    } else {
      RC_ASSERT(before == after);
    }
  }));
}

// Guards against a shape that uses fewer connections than the limit allows, or more.
TEST_CASE("the shape of a subset uses the connections that the limit allows") {
  CHECK(subset_shape(0, 10, 530, 24) == SubsetShape{});
  CHECK(subset_shape(5, 15, 530, 24) == SubsetShape{5, 35});
  CHECK(subset_shape(2400, 2400, 530, 24).members == 24);
  CHECK(subset_shape(2, 2400, 300, 24) == SubsetShape{1, 1});
  CHECK(rc::check([] {
    const int servers = *rc::gen::inRange(1, 3000);
    const int callers = *rc::gen::inRange(1, 3000);
    const int connections = *rc::gen::inRange(1, 1000);
    const SubsetShape shape = subset_shape(servers, callers, connections, 24);
    RC_ASSERT(shape.members >= 1);
    RC_ASSERT(shape.members <= std::min(servers, 24));
    RC_ASSERT(shape.quota >= 1);
    const bool is_minimum = shape == SubsetShape{1, 1};
    RC_ASSERT(is_minimum || std::int64_t{callers} * shape.members * shape.quota <= std::int64_t{connections} * servers);
  }));
}

}  // namespace damaskthread::routing
