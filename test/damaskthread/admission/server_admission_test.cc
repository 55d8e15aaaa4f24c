#include "damaskthread/admission/server_admission.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <new>
#include <queue>
#include <random>
#include <vector>

namespace {
thread_local std::int64_t allocations = 0;
}  // namespace

[[gnu::noinline]] void* operator new(std::size_t size) {
  ++allocations;
  if (void* memory = std::malloc(size)) return memory;
  throw std::bad_alloc();
}
[[gnu::noinline]] void operator delete(void* memory) noexcept { std::free(memory); }
[[gnu::noinline]] void operator delete(void* memory, std::size_t /*size*/) noexcept { std::free(memory); }

namespace damaskthread::admission {
namespace {

using core::Cause;
using core::Duration;
using core::Importance;
using core::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

AdmissionOptions options_of(int slots, int queue = 0) {
  AdmissionOptions options;
  options.limit.slots = slots;
  options.limit.warm_up = Duration{0};
  options.queue_capacity = queue;
  return options;
}

Arrival arrival_of(Importance importance, TimePoint now, std::uint64_t hash = 1, bool continued = false) {
  return {importance, hash, continued ? 1 : 0, now + seconds{10}, continued};
}

struct Fixture {
  explicit Fixture(const AdmissionOptions& options) : admission(options) { events.reserve(1000); }
  AdmissionDecision admit(Importance importance, std::uint64_t hash = 1, bool continued = false) {
    return admission.admit(arrival_of(importance, now, hash, continued), now, events);
  }
  void finish(Ticket ticket, Duration latency = milliseconds{10}) {
    admission.finish(ticket, {.latency = latency}, now, events);
  }
  ServerAdmission admission;
  std::vector<QueueEvent> events;
  TimePoint now{seconds{1}};
};

/// Generates Poisson arrivals and counts calls by class. Each call has the service time `service`.
struct Traffic {
  std::array<double, core::kImportanceCount> rate{};
  Duration service = milliseconds{20};
  std::array<int, core::kImportanceCount> offered{};
  std::array<int, core::kImportanceCount> done{};
  std::vector<Level> started_levels;
  std::vector<Level> refused_levels;

  void run(Fixture& fixture, Duration span, std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const double total = rate[0] + rate[1] + rate[2] + rate[3];
    std::exponential_distribution<double> gap(total);
    std::discrete_distribution<int> draw_class(rate.begin(), rate.end());
    std::priority_queue<std::pair<TimePoint, std::uint64_t>, std::vector<std::pair<TimePoint, std::uint64_t>>,
                        std::greater<>>
        ends;
    std::map<std::uint64_t, Arrival> calls;
    const auto start = [&](Ticket ticket) { ends.emplace(fixture.now + service, ticket.value); };
    const auto handle = [&] {
      for (const QueueEvent& event : fixture.events) {
        if (event.kind == QueueEventKind::kStarted) start(event.ticket);
      }
      fixture.events.clear();
    };
    const TimePoint end = fixture.now + span;
    TimePoint next = fixture.now;
    while (next < end) {
      while (!ends.empty() && ends.top().first <= next) {
        fixture.now = ends.top().first;
        const Ticket ticket{ends.top().second};
        ends.pop();
        ++done[static_cast<std::size_t>(calls[ticket.value].importance)];
        fixture.finish(ticket, service);
        handle();
      }
      fixture.now = next;
      fixture.admission.tick(fixture.now, fixture.events);
      handle();
      const auto importance = static_cast<Importance>(draw_class(random));
      ++offered[static_cast<std::size_t>(importance)];
      const Arrival arrival = arrival_of(importance, fixture.now, random());
      const AdmissionDecision decision = fixture.admission.admit(arrival, fixture.now, fixture.events);
      handle();
      const Level level = level_of(importance, arrival.request_hash);
      if (decision.admission == AdmissionResult::kRefused) {
        refused_levels.push_back(level);
      } else {
        calls[decision.ticket.value] = arrival;
        started_levels.push_back(level);
      }
      if (decision.admission == AdmissionResult::kStarted) start(decision.ticket);
      next += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random)));
    }
    while (!ends.empty()) {
      fixture.now = std::max(fixture.now, ends.top().first);
      const Ticket ticket{ends.top().second};
      ends.pop();
      ++done[static_cast<std::size_t>(calls[ticket.value].importance)];
      fixture.finish(ticket, service);
      handle();
    }
  }
};

// Guards against lost or duplicated calls: under any order of operations each admitted call ends exactly once, and the
// counts of running and queued calls are correct.
TEST_CASE("each admitted call is accounted for exactly once") {
  CHECK(rc::check([] {
    Fixture fixture(options_of(*rc::gen::inRange(1, 6), *rc::gen::inRange(1, 8)));
    std::map<std::uint64_t, bool> running;  // By ticket; false while queued.
    const auto handle = [&] {
      for (const QueueEvent& event : fixture.events) {
        const auto call = running.find(event.ticket.value);
        RC_ASSERT(call != running.end());
        RC_ASSERT(!call->second);
        if (event.kind == QueueEventKind::kStarted) {
          call->second = true;
        } else {
          RC_ASSERT(event.verdict.execution == core::Execution::kNotRun);
          running.erase(call);
        }
      }
      fixture.events.clear();
    };
    for (int i = 0; i < 300; ++i) {
      fixture.now += std::chrono::microseconds{*rc::gen::inRange(0, 30000)};
      const int action = *rc::gen::inRange(0, 10);
      if (action < 6) {
        Arrival arrival = arrival_of(static_cast<Importance>(*rc::gen::inRange(0, 4)), fixture.now,
                                     *rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<bool>());
        arrival.deadline = fixture.now + milliseconds{*rc::gen::inRange(-10, 1000)};
        const AdmissionDecision decision = fixture.admission.admit(arrival, fixture.now, fixture.events);
        handle();
        if (decision.admission == AdmissionResult::kRefused) {
          RC_ASSERT(decision.verdict.execution == core::Execution::kNotRun);
        } else {
          RC_ASSERT(running.emplace(decision.ticket.value, decision.admission == AdmissionResult::kStarted).second);
        }
      } else if (action < 9 && !running.empty()) {
        const auto call = std::next(running.begin(), *rc::gen::inRange<std::ptrdiff_t>(0, std::ssize(running)));
        const Ticket ticket{call->first};
        if (call->second) {
          running.erase(call);
          fixture.finish(ticket, milliseconds{*rc::gen::inRange(1, 100)});
        } else {
          RC_ASSERT(fixture.admission.cancel(ticket, fixture.now, fixture.events));
          running.erase(ticket.value);
        }
        handle();
      } else {
        fixture.admission.tick(fixture.now, fixture.events);
        handle();
      }
      const auto in_service =
          std::count_if(running.begin(), running.end(), [](const auto& call) { return call.second; });
      RC_ASSERT(fixture.admission.running() == in_service);
      RC_ASSERT(fixture.admission.queued() == std::ssize(running) - in_service);
    }
  }));
}

// Guards against serving less important calls, or calls of new requests, before calls of requests in progress.
TEST_CASE("the queue is ordered by importance, then continued, then age") {
  Fixture fixture(options_of(1, 10));
  Ticket running = fixture.admit(Importance::kNormal).ticket;
  const Ticket old_normal = fixture.admit(Importance::kNormal, 2).ticket;
  const Ticket new_normal = fixture.admit(Importance::kNormal, 3).ticket;
  const Ticket continued = fixture.admit(Importance::kNormal, 4, true).ticket;
  const Ticket critical = fixture.admit(Importance::kCritical, 5).ticket;
  for (const Ticket expected : {critical, continued, old_normal, new_normal}) {
    fixture.events.clear();
    fixture.finish(running);
    REQUIRE(fixture.events.size() == 1);
    CHECK(fixture.events[0].ticket == expected);
    running = expected;
  }
}

// Guards against a full queue of unimportant calls blocking important ones, and against calls displacing others of
// equal importance.
TEST_CASE("a more important arrival displaces the least important queued call") {
  Fixture fixture(options_of(1, 2));
  REQUIRE(fixture.admit(Importance::kNormal).admission == AdmissionResult::kStarted);
  const Ticket sheddable = fixture.admit(Importance::kSheddable, 2).ticket;
  REQUIRE(fixture.admit(Importance::kNormal, 3).admission == AdmissionResult::kQueued);
  CHECK(fixture.admit(Importance::kSheddable, 4).admission == AdmissionResult::kRefused);
  CHECK(fixture.events.empty());
  CHECK(fixture.admit(Importance::kCritical, 5).admission == AdmissionResult::kQueued);
  REQUIRE(fixture.events.size() == 1);
  CHECK(fixture.events[0].kind == QueueEventKind::kDropped);
  CHECK(fixture.events[0].ticket == sheddable);
  CHECK(fixture.events[0].verdict.execution == core::Execution::kNotRun);
}

// Guards against FIFO order under overload, where every call waits until shortly before it expires.
TEST_CASE("a long queue is served newest first") {
  for (const bool newest_first : {true, false}) {
    AdmissionOptions options = options_of(2, 30);
    options.newest_first_wait = newest_first ? milliseconds{50} : seconds{10};
    Fixture fixture(options);
    // 200 calls/s, from which the capacity is estimated.
    for (int i = 0; i < 100; ++i) {
      const Ticket first = fixture.admit(Importance::kHigh, 1).ticket;
      const Ticket second = fixture.admit(Importance::kHigh, 2).ticket;
      fixture.now += milliseconds{10};
      fixture.finish(first);
      fixture.finish(second);
    }
    const Ticket running = fixture.admit(Importance::kCritical, 1).ticket;
    REQUIRE(fixture.admit(Importance::kCritical, 2).admission == AdmissionResult::kStarted);
    std::vector<Ticket> queued;
    for (std::uint64_t i = 0; i < 15; ++i) queued.push_back(fixture.admit(Importance::kCritical, i).ticket);
    fixture.events.clear();
    fixture.finish(running);
    REQUIRE(fixture.events.size() == 1);
    CHECK((fixture.events[0].ticket == queued.back()) == newest_first);
    CHECK((fixture.events[0].ticket == queued.front()) == !newest_first);
  }
}

// Guards against running calls whose result arrives after the deadline.
TEST_CASE("a call that cannot meet its deadline is refused at once") {
  Fixture fixture(options_of(4));
  for (int i = 0; i < 200; ++i) {
    const Ticket ticket = fixture.admit(Importance::kNormal).ticket;
    fixture.now += milliseconds{50};
    fixture.finish(ticket, milliseconds{50});
  }
  Arrival short_deadline_call = arrival_of(Importance::kCritical, fixture.now);
  short_deadline_call.deadline = fixture.now + milliseconds{20};
  const AdmissionDecision decision = fixture.admission.admit(short_deadline_call, fixture.now, fixture.events);
  CHECK(decision.admission == AdmissionResult::kRefused);
  CHECK(decision.verdict.cause == Cause::kDeadline);
  short_deadline_call.deadline = fixture.now + milliseconds{200};
  CHECK(fixture.admission.admit(short_deadline_call, fixture.now, fixture.events).admission ==
        AdmissionResult::kStarted);
}

// Guards against queueing that uses up the time left for the call. The bound is the smaller of 100 ms and a quarter of
// the time left.
TEST_CASE("a queued call is dropped when its maximum wait has passed") {
  for (const milliseconds left : {milliseconds{200}, milliseconds{2000}}) {
    Fixture fixture(options_of(1));
    REQUIRE(fixture.admit(Importance::kNormal).admission == AdmissionResult::kStarted);
    Arrival arrival = arrival_of(Importance::kNormal, fixture.now, 2);
    arrival.deadline = fixture.now + left;
    REQUIRE(fixture.admission.admit(arrival, fixture.now, fixture.events).admission == AdmissionResult::kQueued);
    const Duration bound = std::min<Duration>(milliseconds{100}, left / 4);
    fixture.now += bound - milliseconds{1};
    fixture.admission.tick(fixture.now, fixture.events);
    CHECK(fixture.events.empty());
    fixture.now += milliseconds{1};
    fixture.admission.tick(fixture.now, fixture.events);
    REQUIRE(fixture.events.size() == 1);
    CHECK(fixture.events[0].kind == QueueEventKind::kDropped);
    CHECK(fixture.admission.queued() == 0);
  }
}

// Guards against unimportant calls starving important ones. 10 slots of 20 ms serve 500 calls/s.
TEST_CASE("a flood of one class does not starve more important classes") {
  CHECK(rc::check([] {
    Fixture fixture(options_of(10));
    Traffic traffic;
    traffic.rate = {2000.0 * *rc::gen::inRange(1, 3), 500, 100, 200};
    traffic.run(fixture, seconds{3}, *rc::gen::arbitrary<std::uint64_t>());
    RC_ASSERT(traffic.done[3] >= 0.99 * traffic.offered[3] - 10);
    RC_ASSERT(traffic.done[2] >= 0.95 * traffic.offered[2] - 10);
    const int all = traffic.done[0] + traffic.done[1] + traffic.done[2] + traffic.done[3];
    // The server stays utilized while it refuses calls.
    RC_ASSERT(all >= 0.9 * 500 * 3);
  }));
}

// Guards against random refusals: a server refuses the calls below one level, so that the calls of one request are
// admitted or refused alike.
TEST_CASE("refused calls have lower levels than admitted calls") {
  Fixture fixture(options_of(10));
  Traffic warm_up_load;
  warm_up_load.rate = {0, 1500, 0, 0};
  warm_up_load.run(fixture, seconds{2}, 7);
  Traffic traffic = warm_up_load;
  traffic.started_levels.clear();
  traffic.refused_levels.clear();
  traffic.run(fixture, seconds{2}, 8);
  const auto count_in_range = [](const std::vector<Level>& levels, int from, int to) {
    return std::count_if(levels.begin(), levels.end(),
                         [&](Level level) { return level.value >= 256 + from && level.value < 256 + to; });
  };
  // The server has capacity for a third of the calls: the upper quarter is admitted, the lower half is refused.
  CHECK(count_in_range(traffic.started_levels, 192, 256) >= 0.9 * count_in_range(traffic.refused_levels, 0, 64));
  CHECK(count_in_range(traffic.refused_levels, 208, 256) <= 0.05 * count_in_range(traffic.started_levels, 208, 256));
  CHECK(count_in_range(traffic.started_levels, 0, 128) <= 0.1 * count_in_range(traffic.refused_levels, 0, 128));
}

// Guards against refusals that persist after the overload: under light load nothing is refused after a second.
TEST_CASE("the threshold falls within a second after the overload") {
  Fixture fixture(options_of(10));
  Traffic overload;
  overload.rate = {1000, 1000, 500, 100};
  overload.run(fixture, seconds{3}, 1);
  CHECK(fixture.admission.level().value > 256);
  Traffic light_load;
  light_load.rate = {100, 100, 50, 50};
  light_load.run(fixture, seconds{1}, 2);
  CHECK(fixture.admission.level().value == 0);
}

// Guards against a server at a few percent utilization, such as an archive, refusing all calls because it has no
// capacity estimate.
TEST_CASE("a server with low utilization refuses nothing") {
  Fixture fixture(options_of(330));
  Traffic traffic;
  traffic.rate = {220, 0, 0, 0};
  traffic.service = milliseconds{30};
  traffic.run(fixture, seconds{3}, 3);
  CHECK(traffic.refused_levels.empty());
}

// Guards against synchronized retries: the retry delay is derived from the request hash and spread.
TEST_CASE("a refusal carries a jittered retry delay derived from the request") {
  Fixture fixture(options_of(1));
  fixture.admission.begin_drain();
  std::vector<Duration> waits;
  for (std::uint64_t hash = 0; hash < 100; ++hash) {
    const Duration wait = fixture.admit(Importance::kNormal, hash).verdict.retry_after;
    CHECK(wait == fixture.admit(Importance::kNormal, hash).verdict.retry_after);
    CHECK(wait >= milliseconds{50});
    CHECK(wait <= milliseconds{1500});
    waits.push_back(wait);
  }
  std::sort(waits.begin(), waits.end());
  CHECK(std::unique(waits.begin(), waits.end()) - waits.begin() > 80);
}

// Guards against a planned stop that aborts calls or admits new ones.
TEST_CASE("a draining server refuses new calls and completes the others") {
  Fixture fixture(options_of(1));
  const Ticket running = fixture.admit(Importance::kNormal, 1).ticket;
  const Ticket queued = fixture.admit(Importance::kNormal, 2).ticket;
  fixture.admission.begin_drain();
  CHECK(fixture.admit(Importance::kCritical, 3).verdict.cause == Cause::kLeaving);
  CHECK_FALSE(fixture.admission.idle());
  fixture.finish(running);
  REQUIRE(fixture.events.size() == 1);
  CHECK(fixture.events[0].kind == QueueEventKind::kStarted);
  fixture.finish(queued);
  CHECK(fixture.admission.idle());
}

// Guards against allocations per call, which cost time and fragment memory under overload.
TEST_CASE("admission does not allocate") {
  Fixture fixture(options_of(8));
  std::array<Ticket, 8> tickets{};
  const std::int64_t before = allocations;
  for (std::uint64_t i = 0; i < 20000; ++i) {
    Ticket& ticket = tickets[i % tickets.size()];
    fixture.finish(ticket);
    fixture.now += std::chrono::microseconds{100};
    ticket = fixture.admit(static_cast<Importance>(i % 4), i).ticket;
    static_cast<void>(fixture.admit(Importance::kNormal, i + 1));
    fixture.admission.tick(fixture.now, fixture.events);
    fixture.events.clear();
  }
  CHECK(allocations == before);
}

}  // namespace
}  // namespace damaskthread::admission
