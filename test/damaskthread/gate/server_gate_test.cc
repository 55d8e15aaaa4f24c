#include "damaskthread/gate/server_gate.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>
#include <vector>

namespace damaskthread::gate {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::TimePoint kStart{seconds{100}};

Arrival make_arrival(std::uint64_t ticket, int priority = 0, bool nested = false) {
  Arrival result;
  result.ticket = {ticket};
  result.priority = priority;
  result.nested = nested;
  result.kind = "k";
  result.deadline = kStart + seconds{10};
  result.max_wait = seconds{5};
  return result;
}

// Returns a gate with two slots, both occupied.
ServerGate make_full_gate() {
  ServerGate gate({.usable_capacity_share = 1.0});
  gate.set_capacity(2);
  (void)gate.arrive(make_arrival(1), kStart);
  (void)gate.arrive(make_arrival(2), kStart);
  return gate;
}

std::vector<std::uint64_t> advance_and_collect_started(ServerGate& gate, core::TimePoint now) {
  std::vector<Ticket> start;
  std::vector<Ticket> refuse;
  gate.advance(now, start, refuse);
  std::vector<std::uint64_t> values;
  values.reserve(start.size());
  for (const Ticket ticket : start) values.push_back(ticket.value);
  return values;
}

}  // namespace

TEST_CASE("nested calls are started first, then by priority, then by age") {
  ServerGate gate = make_full_gate();
  CHECK(gate.arrive(make_arrival(3, 2), kStart) == Admission::kEnqueue);
  CHECK(gate.arrive(make_arrival(4, 0), kStart) == Admission::kEnqueue);
  CHECK(gate.arrive(make_arrival(5, 0), kStart) == Admission::kEnqueue);
  CHECK(gate.arrive(make_arrival(6, 2, true), kStart) == Admission::kEnqueue);
  std::vector<std::uint64_t> order;
  for (int i = 0; i < 4; ++i) {
    gate.finish("k", core::Duration::zero());
    for (const std::uint64_t ticket : advance_and_collect_started(gate, kStart)) order.push_back(ticket);
  }
  CHECK(order == std::vector<std::uint64_t>{6, 4, 5, 3});
}

TEST_CASE("a request whose expected wait exceeds its maximum wait is refused immediately") {
  ServerGate gate = make_full_gate();
  gate.finish("k", milliseconds{400});
  (void)gate.arrive(make_arrival(3), kStart);
  Arrival impatient = make_arrival(4);
  impatient.max_wait = milliseconds{100};
  CHECK(gate.arrive(impatient, kStart) == Admission::kRefuse);
  CHECK(gate.arrive(make_arrival(5), kStart) == Admission::kEnqueue);
}

TEST_CASE("a request that cannot finish before its deadline is refused") {
  ServerGate gate({.usable_capacity_share = 1.0});
  gate.set_capacity(2);
  (void)gate.arrive(make_arrival(1), kStart);
  gate.finish("k", milliseconds{400});
  Arrival near_deadline = make_arrival(2);
  near_deadline.deadline = kStart + milliseconds{100};
  CHECK(gate.arrive(near_deadline, kStart) == Admission::kRefuse);
}

TEST_CASE("a queued request is refused when its maximum wait expires") {
  ServerGate gate = make_full_gate();
  Arrival queued = make_arrival(3);
  queued.max_wait = milliseconds{300};
  REQUIRE(gate.arrive(queued, kStart) == Admission::kEnqueue);
  std::vector<Ticket> start;
  std::vector<Ticket> refuse;
  gate.advance(kStart + milliseconds{299}, start, refuse);
  CHECK(refuse.empty());
  gate.advance(kStart + milliseconds{300}, start, refuse);
  REQUIRE(refuse.size() == 1);
  CHECK(refuse.front().value == 3);
  CHECK(start.empty());
}

// Load replay: a server rejects more than half of its requests at random while most of its slots are free.
TEST_CASE("requests that the server rejects while slots are free do not count as demand") {
  constexpr int kSlots = 10;
  constexpr core::Duration kRunTime = milliseconds{100};
  constexpr core::Duration kArrivalInterval = milliseconds{5};  // Twice the capacity.
  ServerGate gate({.usable_capacity_share = 1.0});
  gate.set_capacity(kSlots);
  (void)gate.arrive(make_arrival(1), kStart);
  gate.finish("k", kRunTime);
  core::TimePoint now = kStart;
  for (std::uint64_t ticket = 2; ticket < 400; ++ticket) {
    now += kArrivalInterval;
    REQUIRE(gate.arrive(make_arrival(ticket), now) == Admission::kStart);
    gate.reject("k", now);
  }
  CHECK(gate.load(now).demand < 1);
  CHECK(gate.running() == 0);
}

TEST_CASE("a rejection by a full server counts as demand") {
  ServerGate gate = make_full_gate();
  gate.finish("k", seconds{1});
  (void)gate.arrive(make_arrival(3), kStart);
  (void)gate.arrive(make_arrival(4), kStart);
  const double demand = gate.load(kStart).demand;
  gate.reject("k", kStart);
  CHECK(gate.load(kStart).demand == doctest::Approx(demand));
  CHECK(gate.running() == 1);
}

TEST_CASE("untracked requests on the server reduce the limit") {
  ServerGate gate({.usable_capacity_share = 1.0});
  gate.set_capacity(10);
  gate.set_untracked_requests(4);
  CHECK(gate.limit() == 6);
  gate.set_untracked_requests(40);
  CHECK(gate.limit() == 1);
}

TEST_CASE("requests are refused until the server has declared its capacity") {
  ServerGate gate;
  CHECK(gate.arrive(make_arrival(1), kStart) == Admission::kRefuse);
}

TEST_CASE("running requests never exceed the slots and no request is lost or started twice") {
  CHECK(rc::check([](const std::vector<std::uint8_t>& actions) {
    ServerGate gate({.usable_capacity_share = 1.0});
    gate.set_capacity(3);
    core::TimePoint now = kStart;
    std::uint64_t next_ticket = 1;
    std::set<std::uint64_t> queued;
    std::set<std::uint64_t> running;
    const auto advance = [&] {
      std::vector<Ticket> start;
      std::vector<Ticket> refuse;
      gate.advance(now, start, refuse);
      for (const Ticket ticket : refuse) RC_ASSERT(queued.erase(ticket.value) == 1U);
      for (const Ticket ticket : start) {
        RC_ASSERT(queued.erase(ticket.value) == 1U);
        RC_ASSERT(running.insert(ticket.value).second);
      }
    };
    for (const std::uint8_t action : actions) {
      now += milliseconds{action % 7};
      if (action % 3 == 0 && !running.empty()) {
        running.erase(running.begin());
        gate.finish("k", milliseconds{20});
        advance();
      } else if (action % 5 == 0 && !queued.empty()) {
        const std::uint64_t ticket = *queued.begin();
        RC_ASSERT(gate.withdraw({ticket}));
        queued.erase(ticket);
      } else {
        Arrival request = make_arrival(next_ticket, action % 4, action % 2 == 0);
        request.max_wait = milliseconds{action};
        const Admission admission = gate.arrive(request, now);
        if (admission == Admission::kStart) running.insert(next_ticket);
        if (admission == Admission::kEnqueue) queued.insert(next_ticket);
        ++next_ticket;
      }
      RC_ASSERT(running.size() <= 3U);
      RC_ASSERT(gate.running() == static_cast<int>(running.size()));
      RC_ASSERT(gate.load(kStart).queued == static_cast<int>(queued.size()));
    }
  }));
}

}  // namespace damaskthread::gate
