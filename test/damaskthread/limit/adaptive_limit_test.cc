#include "damaskthread/limit/adaptive_limit.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <functional>

namespace damaskthread::limit {
namespace {

using core::Duration;
using core::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Keeps the server saturated; `latency` maps the number of concurrent calls to the latency of each.
void saturate(AdaptiveLimit& limit, TimePoint& now, Duration span, const std::function<Duration(int)>& latency) {
  const TimePoint end = now + span;
  while (now < end) {
    const int running = limit.limit();
    now += latency(running) / running;
    limit.on_finish(latency(running), running, true, now);
  }
}

AdaptiveLimitOptions make_warm_options(int slots) {
  AdaptiveLimitOptions options;
  options.slots = slots;
  options.warm_up = Duration{0};
  return options;
}

// Guards against a limit above the declared slots or at zero for any measurements.
TEST_CASE("the limit stays between its minimum and the declared slots") {
  CHECK(rc::check([] {
    AdaptiveLimitOptions options;
    options.slots = *rc::gen::inRange(1, 100);
    AdaptiveLimit limit(options);
    TimePoint now{seconds{1}};
    for (int i = 0; i < 2000; ++i) {
      now += std::chrono::microseconds{*rc::gen::inRange(0, 5000)};
      if (*rc::gen::inRange(0, 50) == 0) limit.on_server_refusal(now);
      limit.on_finish(milliseconds{*rc::gen::inRange(0, 1000)}, *rc::gen::inRange(0, 200), *rc::gen::arbitrary<bool>(),
                      now);
      RC_ASSERT(limit.limit() >= 1);
      RC_ASSERT(limit.limit() <= options.slots);
    }
  }));
}

// Guards against sending full load to a cold server immediately.
TEST_CASE("a cold server is warmed up gradually") {
  AdaptiveLimitOptions options;
  options.slots = 80;
  AdaptiveLimit limit(options);
  CHECK(limit.limit() == 20);
  TimePoint now{seconds{1}};
  saturate(limit, now, options.warm_up / 2, [](int) { return milliseconds{20}; });
  CHECK(limit.limit() > 40);
  CHECK(limit.limit() < 60);
  saturate(limit, now, options.warm_up, [](int) { return milliseconds{20}; });
  CHECK(limit.limit() == 80);
}

// Guards against losing capacity when a server is slow but not congested: fewer concurrent calls would only reduce its
// throughput.
TEST_CASE("a slow server keeps its limit") {
  for (const double min_throughput_share : {0.9, 0.0}) {
    AdaptiveLimitOptions options = make_warm_options(40);
    options.min_throughput_share = min_throughput_share;
    AdaptiveLimit limit(options);
    TimePoint now{seconds{1}};
    saturate(limit, now, seconds{2}, [](int) { return milliseconds{20}; });
    saturate(limit, now, seconds{2}, [](int) { return milliseconds{60}; });
    // Without the throughput check the lower limit of the trial is kept.
    CHECK((limit.limit() == 40) == (min_throughput_share > 0));
  }
}

// Guards against excessive concurrency: in this model throughput does not rise beyond 10 concurrent calls.
TEST_CASE("a congested server gets a lower limit") {
  const auto congested = [](int running) { return milliseconds{std::max(running, 10) * 2}; };
  for (const double latency_tolerance : {1.5, 1000.0}) {
    AdaptiveLimitOptions options = make_warm_options(40);
    options.latency_tolerance = latency_tolerance;
    AdaptiveLimit limit(options);
    TimePoint now{seconds{1}};
    saturate(limit, now, seconds{1}, [](int) { return milliseconds{20}; });
    saturate(limit, now, seconds{4}, congested);
    CHECK((limit.limit() <= 32) == (latency_tolerance < 2));
  }
}

// Guards against ignoring the load shedding of the server itself.
TEST_CASE("a burst of server refusals lowers the limit once, and the limit recovers") {
  AdaptiveLimit limit(make_warm_options(50));
  TimePoint now{seconds{1}};
  saturate(limit, now, seconds{1}, [](int) { return milliseconds{20}; });
  for (int i = 0; i < 10; ++i) limit.on_server_refusal(now);
  CHECK(limit.limit() == 40);
  saturate(limit, now, seconds{4}, [](int) { return milliseconds{20}; });
  CHECK(limit.limit() == 50);
}

}  // namespace
}  // namespace damaskthread::limit
