#include "damaskthread/membership/membership.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "support/control_network.h"

namespace damaskthread::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using test::ControlNetwork;
using test::make_fleet;
using test::NetworkOptions;

bool all_hold_dead(ControlNetwork& network, std::size_t victim) {
  for (std::size_t i = 0; i < network.size(); ++i) {
    if (!network.node(i).running || i == victim) continue;
    const auto member = network.view(i, victim);
    if (member && member->state != State::kDead) return false;
  }
  return true;
}

std::uint64_t deaths_declared(ControlNetwork& network) {
  std::uint64_t deaths = 0;
  for (std::size_t i = 0; i < network.size(); ++i) deaths += network.node(i).membership->counters().deaths;
  return deaths;
}

// Records whether a view reverts to an older incarnation, or from leaving to available within one incarnation.
class ViewMonitor {
 public:
  explicit ViewMonitor(ControlNetwork& network) {
    network.on_view_change([this, &network](std::size_t of) {
      for (const Member& member : network.node(of).membership->members()) {
        auto& seen = seen_[{of, network.node(of).life, member.id.value}];
        incarnation_regressed = incarnation_regressed || member.incarnation < seen.first;
        if (member.incarnation > seen.first) seen = {member.incarnation, false};
        available_after_leaving = available_after_leaving || (seen.second && member.available());
        seen.second = seen.second || member.state == State::kLeaving;
      }
    });
  }
  bool incarnation_regressed = false;
  bool available_after_leaving = false;

 private:
  std::map<std::tuple<std::size_t, std::uint64_t, std::uint64_t>, std::pair<core::Incarnation, bool>> seen_;
};

}  // namespace

// A fleet that starts all at once must not split into groups that never merge.
TEST_CASE("a cold start through two seeds converges") {
  ControlNetwork network{1};
  for (std::size_t i = 0; i < 60; ++i)
    network.add({}, i < 2 ? std::vector<std::size_t>{i} : std::vector<std::size_t>{});
  const auto took = network.run_until([&] { return network.converged(); }, seconds{30});
  REQUIRE(took);
  CHECK(deaths_declared(network) == 0);
  const std::size_t newcomer = network.add({}, {});
  CHECK(network.run_until([&] { return network.converged(); }, seconds{10}));
  CHECK(network.node(newcomer).membership->joined());
}

// Every daemon must learn of a death within the 5 s target.
TEST_CASE("every daemon learns of a death within 5 s") {
  auto network = make_fleet(2, 200, 5, 1, 10);
  network->run(seconds{3});
  for (std::size_t victim = 10; victim < 40; victim += 3) {
    network->kill(victim);
    CHECK(network->run_until([&] { return all_hold_dead(*network, victim); }, seconds{5}));
  }
}

// Requirement P6: a leaving server receives no new work after 3 s, even with message loss.
TEST_CASE("every daemon learns of a leaving member within 3 s and retains it") {
  NetworkOptions options;
  options.loss = 0.02;
  auto network = make_fleet(3, 300, 5, 1, 10, options);
  network->run(seconds{3});
  ViewMonitor monitor{*network};
  for (std::size_t node = 5; node < 50; node += 5) {
    network->node(node).membership->announce_leaving();
    const auto took = network->run_until(
        [&] {
          for (std::size_t i = 0; i < network->size(); ++i) {
            const auto member = network->view(i, node);
            if (!member || member->available()) return false;
          }
          return true;
        },
        seconds{3});
    CHECK(took);
  }
  network->run(seconds{20});
  CHECK_FALSE(monitor.available_after_leaving);
}

// A message loss of 2% must not cause false deaths.
TEST_CASE("message loss alone causes no deaths") {
  NetworkOptions options;
  options.loss = 0.02;
  options.duplicate = 0.02;
  auto network = make_fleet(4, 150, 5, 3, 10, options);
  network->run(minutes{3});
  CHECK(deaths_declared(*network) == 0);
}

// With 10% message loss, suspicions must still be refuted in time.
TEST_CASE("suspicions are refuted under heavy message loss") {
  NetworkOptions options;
  options.loss = 0.1;
  auto network = make_fleet(14, 100, 5, 1, 10, options);
  network->run(minutes{2});
  std::uint64_t suspicions = 0;
  for (std::size_t i = 0; i < network->size(); ++i) suspicions += network->node(i).membership->counters().suspicions;
  CHECK(suspicions > 10);
  CHECK(deaths_declared(*network) == 0);
}

// A process pause must not expire pending probes and suspicions before their answers have been read.
TEST_CASE("a late tick expires no timer") {
  const wire::Sender peer{{1}, {1}};
  wire::MemberInfo self;
  self.control_address = "10.0.0.99:1";
  Membership membership{{{99}, {1}}, self, {}};
  core::Random random{1};
  core::TimePoint now{minutes{1}};
  wire::Message full_state;
  full_state.body = wire::MemberState{.all = true, .requested_ids = {}};
  for (std::uint64_t id = 1; id <= 10; ++id) {
    wire::MemberInfo info;
    info.control_address = "10.0.0." + std::to_string(id) + ":1";
    full_state.deltas.push_back({.id = {id},
                                 .incarnation = {1},
                                 .refutation = 0,
                                 .health = id == 5 ? wire::Health::kSuspect : wire::Health::kAlive,
                                 .leaving = false,
                                 .suspected_for = {},
                                 .info = std::make_shared<const wire::MemberInfo>(info)});
  }
  static_cast<void>(membership.receive(peer, full_state, now));
  while (membership.counters().probes == 0) static_cast<void>(membership.tick(now += milliseconds{100}, random));
  now += seconds{60};
  static_cast<void>(membership.receive(peer, {}, now));
  static_cast<void>(membership.tick(now, random));
  CHECK(membership.counters().pauses == 1);
  CHECK(membership.counters().suspicions == 0);
  CHECK(membership.find({5})->state == State::kSuspect);
}

// Selecting a proxy must not read from an empty ring when the only other member dies during its probe.
TEST_CASE("the last other member may die during its probe") {
  wire::MemberInfo info;
  info.control_address = "10.0.0.99:1";
  Membership membership{{{99}, {1}}, info, {}};
  info.control_address = "10.0.0.1:1";
  core::Random random{1};
  core::TimePoint now{minutes{1}};
  wire::Message message;
  message.deltas.push_back({.id = {1},
                            .incarnation = {1},
                            .refutation = 0,
                            .health = wire::Health::kAlive,
                            .leaving = false,
                            .suspected_for = {},
                            .info = std::make_shared<const wire::MemberInfo>(info)});
  static_cast<void>(membership.receive({{1}, {1}}, message, now));
  while (membership.counters().probes == 0) static_cast<void>(membership.tick(now += milliseconds{100}, random));
  message.deltas[0].health = wire::Health::kDead;
  static_cast<void>(membership.receive({{2}, {1}}, message, now));
  CHECK(membership.live_count() == 0);
  for (int i = 0; i < 10; ++i) static_cast<void>(membership.tick(now += milliseconds{100}, random));
  CHECK(membership.counters().probe_failures == 1);
}

// A daemon that resumes after a pause must not mistake the time it missed for the death of all other members.
TEST_CASE("a resumed daemon declares no deaths and refutes its own") {
  auto network = make_fleet(5, 40, 4, 1, 4);
  network->run(seconds{3});
  network->pause(7);
  network->run(seconds{60});
  CHECK(all_hold_dead(*network, 7));
  network->resume(7);
  const auto took = network->run_until([&] { return network->converged(); }, seconds{15});
  CHECK(took);
  CHECK(network->node(7).membership->counters().deaths == 0);
  CHECK(network->node(7).membership->counters().pauses == 1);
  CHECK(network->node(7).membership->find(network->node(7).id)->refutation > 0);
}

// Pauses too short for other members to notice must not expire timers of the paused daemon.
TEST_CASE("repeated short pauses cause no deaths") {
  auto network = make_fleet(6, 40, 4, 1, 4);
  network->run(seconds{3});
  for (int i = 0; i < 20; ++i) {
    network->pause(7);
    network->run(milliseconds{1700});
    network->resume(7);
    network->run(milliseconds{600});
  }
  CHECK(deaths_declared(*network) == 0);
}

// A member must not become suspect because a single other member cannot reach it.
TEST_CASE("asymmetric loss between two members is bridged by proxies") {
  auto network = make_fleet(7, 30, 3, 1, 3);
  network->block([](std::size_t from, std::size_t to) { return from == 3 && to >= 5 && to < 8; });
  network->run(minutes{2});
  for (std::size_t i = 0; i < network->size(); ++i) CHECK(network->node(i).membership->counters().suspicions == 0);
  CHECK(deaths_declared(*network) == 0);
}

// An isolated daemon must not remove all members from its own view.
TEST_CASE("an isolated daemon keeps its view") {
  auto network = make_fleet(8, 40, 4, 1, 4);
  network->run(seconds{3});
  network->block([](std::size_t from, std::size_t to) { return from == 7 || to == 7; });
  network->run(minutes{5});
  auto& membership = *network->node(7).membership;
  CHECK(membership.isolated(network->now()));
  CHECK(membership.live_count() == 39);
  CHECK(all_hold_dead(*network, 7));
  network->block({});
  CHECK(network->run_until([&] { return network->converged(); }, seconds{30}));
  CHECK(membership.counters().deaths == 0);
}

// The loss of a failure domain must be detected in time and must not affect healthy members.
TEST_CASE("the loss of a failure domain is detected and other members stay alive") {
  auto network = make_fleet(9, 110, 11, 3, 10);
  network->run(seconds{3});
  for (std::size_t i = 4; i < 110; i += 11) network->kill(i);
  CHECK(network->run_until([&] { return network->converged(); }, seconds{10}));
}

// Partitioned regions must merge again, and merging must not declare members dead on either side. There are no seeds,
// so only the retained dead members lead back to the other region.
TEST_CASE("regions partitioned for an hour merge without deaths") {
  ControlNetwork network{10};
  for (std::size_t i = 0; i < 60; ++i)
    network.add({.service = "stock", .zone = "zone-" + std::to_string(i % 6), .region = "region-1"}, {});
  network.introduce_all();
  network.run(seconds{3});
  const auto in_first_region = [](std::size_t node) { return node % 6 % 3 == 0; };
  network.block(
      [in_first_region](std::size_t from, std::size_t to) { return in_first_region(from) != in_first_region(to); });
  network.run(minutes{60});
  CHECK(network.view(0, 1)->state == State::kDead);
  CHECK(network.view(0, 3)->state == State::kAlive);
  const std::uint64_t before = deaths_declared(network);
  bool declared_dead = false;
  network.on_view_change([&](std::size_t of) {
    for (std::size_t i = 0; i < network.size(); ++i) {
      declared_dead =
          declared_dead || (in_first_region(i) == in_first_region(of) && network.view(of, i)->state == State::kDead);
    }
  });
  network.block({});
  CHECK(network.run_until([&] { return network.converged(); }, seconds{60}));
  network.run(seconds{30});
  CHECK(deaths_declared(network) == before);
  CHECK_FALSE(declared_dead);
}

// A restarted server must not stay dead, and its previous incarnation must not stay alive.
TEST_CASE("restarts of half a service and replaced servers converge") {
  auto network = make_fleet(11, 80, 4, 1, 2);
  network->run(seconds{3});
  ViewMonitor monitor{*network};
  for (std::size_t i = 0; i < 80; i += 8) network->restart(i);
  for (std::size_t i = 1; i < 80; i += 16) network->replace(i);
  CHECK(network->run_until([&] { return network->converged(); }, seconds{15}));
  CHECK_FALSE(monitor.incarnation_regressed);
}

// Replaying recorded messages must not revive a dead member.
TEST_CASE("replayed messages change nothing") {
  auto network = make_fleet(12, 20, 2, 1, 2);
  std::vector<std::string> recorded;
  network->on_send([&](std::size_t from, const std::string& bytes) {
    if (from == 4) recorded.push_back(bytes);
  });
  network->run(seconds{10});
  network->on_send({});
  network->kill(4);
  REQUIRE(network->run_until([&] { return all_hold_dead(*network, 4); }, seconds{6}));
  for (std::size_t i = 0; i < network->size(); ++i) {
    for (const std::string& bytes : recorded) network->inject(i, bytes);
  }
  CHECK(all_hold_dead(*network, 4));
  // Passed to the membership directly, bypassing the replay window: the counters of the members must still hold.
  constexpr std::size_t kSealBytes = 17;
  for (const std::string& bytes : recorded) {
    const auto received = wire::decode(std::string_view{bytes}.substr(kSealBytes));
    REQUIRE(received);
    static_cast<void>(network->node(2).membership->receive(received->sender, received->message, network->now()));
  }
  network->run(seconds{10});
  CHECK(all_hold_dead(*network, 4));
}

// Probing must not open a new connection each second.
TEST_CASE("probes target a small set of members that changes over time") {
  auto network = make_fleet(15, 300, 5, 1, 10);
  std::set<core::ServerId> targets;
  network->on_send([&](std::size_t from, const std::string& bytes) {
    constexpr std::size_t kSealBytes = 17;
    if (from != 0) return;
    const auto received = wire::decode(std::string_view{bytes}.substr(kSealBytes));
    if (const auto* ping = std::get_if<wire::Ping>(&received->message.body)) targets.insert(ping->target);
  });
  network->run(minutes{3});
  CHECK(targets.size() >= 32);
  CHECK(targets.size() <= 45);
}

// A crash mark must reach every daemon within 2 s and be delivered once.
TEST_CASE("crash marks reach every daemon exactly once") {
  auto network = make_fleet(13, 200, 5, 1, 10);
  network->run(seconds{3});
  const core::ServerId origin = network->node(0).id;
  network->node(0).membership->spread({wire::CrashMark{.fingerprint = 42, .crashes = 1, .origin = origin, .age = {}}},
                                      network->now());
  network->run(seconds{2});
  for (std::size_t i = 1; i < network->size(); ++i) {
    const auto marks = network->node(i).membership->take_marks();
    REQUIRE(marks.size() == 1);
    CHECK(marks[0].fingerprint == 42);
  }
}

// After random faults, views must converge, never revert to an older incarnation and never lose a leaving flag.
// Datagrams must not exceed their maximum size.
TEST_CASE("views converge after random fault schedules") {
  CHECK(rc::check("schedule", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto nodes = *rc::gen::inRange<std::size_t>(5, 24);
    auto network = make_fleet(seed, nodes, 3, 2, 3);
    // Incarnations have millisecond resolution, and a real process does not restart within one millisecond.
    network->run(milliseconds{10});
    ViewMonitor monitor{*network};
    core::Random random{seed + 1};
    const auto random_node = [&] { return static_cast<std::size_t>(random() % nodes); };
    for (int step = *rc::gen::inRange(1, 12); step > 0; --step) {
      switch (*rc::gen::inRange(0, 8)) {
        case 0:
          network->set_loss(0.3);
          break;
        case 1:
          network->set_duplicate(0.3);
          break;
        case 2:
          network->pause(random_node());
          break;
        case 3:
          network->restart(random_node());
          break;
        case 4:
          network->replace(random_node());
          break;
        case 5: {
          const std::size_t boundary = random_node();
          network->block([boundary](std::size_t from, std::size_t to) { return (from < boundary) != (to < boundary); });
          break;
        }
        case 6:
          network->node(random_node()).membership->announce_leaving();
          break;
        default: {
          const std::size_t unreachable = random_node();
          network->block([unreachable](std::size_t, std::size_t to) { return to == unreachable; });
        }
      }
      network->run(milliseconds{*rc::gen::inRange(10, 9000)});
    }
    network->set_loss(0);
    network->set_duplicate(0);
    network->block({});
    for (std::size_t i = 0; i < nodes; ++i) network->resume(i);
    RC_ASSERT(network->run_until([&] { return network->converged(); }, minutes{2}).has_value());
    RC_ASSERT(!monitor.incarnation_regressed);
    RC_ASSERT(!monitor.available_after_leaving);
    for (std::size_t i = 0; i < nodes; ++i) {
      RC_ASSERT(network->node(i).largest_datagram <= wire::kMaxDatagramBytes);
    }
  }));
}

}  // namespace damaskthread::membership
