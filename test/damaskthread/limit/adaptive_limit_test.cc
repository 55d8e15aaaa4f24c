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

// Keeps the server saturated: `latency` calls take that long with `limit` of them at once.
void saturate(AdaptiveLimit& limit, TimePoint& now, Duration span, const std::function<Duration(int)>& latency) {
  const TimePoint end = now + span;
  while (now < end) {
    const int running = limit.limit();
    now += latency(running) / running;
    limit.on_finish(latency(running), running, true, now);
  }
}

LimitOptions warm(int slots) {
  LimitOptions options;
  options.slots = slots;
  options.warm_up = Duration{0};
  return options;
}

// Guards against a limit above the declared slots or at zero, whatever is measured.
TEST_CASE("the limit stays between its minimum and the declared slots") {
  CHECK(rc::check([] {
    LimitOptions options;
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

// Guards against a cold server being given its full load at once.
TEST_CASE("a cold server is warmed up gradually") {
  LimitOptions options;
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

// Guards against losing capacity when a server is slow but not congested: fewer calls at once would only do less.
TEST_CASE("a slow server keeps its limit") {
  for (const double keep_share : {0.9, 0.0}) {
    LimitOptions options = warm(40);
    options.keep_share = keep_share;
    AdaptiveLimit limit(options);
    TimePoint now{seconds{1}};
    saturate(limit, now, seconds{2}, [](int) { return milliseconds{20}; });
    saturate(limit, now, seconds{2}, [](int) { return milliseconds{60}; });
    // Without the check of throughput the trial's lower limit stays in force.
    CHECK((limit.limit() == 40) == (keep_share > 0));
  }
}

// Guards against running more calls at once than help: here throughput is the same from 10 calls up.
TEST_CASE("a congested server gets a lower limit") {
  const auto congested = [](int running) { return milliseconds{std::max(running, 10) * 2}; };
  for (const double tolerance : {1.5, 1000.0}) {
    LimitOptions options = warm(40);
    options.tolerance = tolerance;
    AdaptiveLimit limit(options);
    TimePoint now{seconds{1}};
    saturate(limit, now, seconds{1}, [](int) { return milliseconds{20}; });
    saturate(limit, now, seconds{4}, congested);
    CHECK((limit.limit() <= 32) == (tolerance < 2));
  }
}

// Guards against going on as before when the server itself sheds load.
TEST_CASE("a burst of the server's refusals lowers the limit once and it grows back") {
  AdaptiveLimit limit(warm(50));
  TimePoint now{seconds{1}};
  saturate(limit, now, seconds{1}, [](int) { return milliseconds{20}; });
  for (int i = 0; i < 10; ++i) limit.on_server_refusal(now);
  CHECK(limit.limit() == 40);
  saturate(limit, now, seconds{4}, [](int) { return milliseconds{20}; });
  CHECK(limit.limit() == 50);
}

}  // namespace
}  // namespace damaskthread::limit
