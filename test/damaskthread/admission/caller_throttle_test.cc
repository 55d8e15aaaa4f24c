#include "damaskthread/admission/caller_throttle.h"

#include <doctest/doctest.h>

#include <thread>
#include <vector>

namespace damaskthread::admission {
namespace {

using core::Importance;
using core::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::ServiceId kService{3};

Arrival arrival_of(Importance importance) { return {importance, 1, 0, {}, false}; }

void observe_repeatedly(CallerThrottle& throttle, Level level, TimePoint& now, int answers) {
  for (int i = 0; i < answers; ++i) throttle.observe(kService, level, now += milliseconds{2});
}

// Guards against sending requests that the service will refuse, and against refusing requests to services that have
// not reported a level.
TEST_CASE("requests below the reported level of their service are refused") {
  CallerThrottle throttle;
  TimePoint now{seconds{5}};
  observe_repeatedly(throttle, Level{2 * kBucketCount}, now, 100);
  CHECK_FALSE(throttle.admits(kService, arrival_of(Importance::kNormal), now));
  CHECK(throttle.admits(kService, arrival_of(Importance::kHigh), now));
  CHECK(throttle.admits({4}, arrival_of(Importance::kSheddable), now));
  CHECK(throttle.admits({1U << 20U}, arrival_of(Importance::kSheddable), now));
}

// Guards against a level that never falls because no call is sent whose answer could report the end of the overload.
TEST_CASE("a level without new reports decays") {
  CallerThrottle throttle;
  TimePoint now{seconds{5}};
  observe_repeatedly(throttle, Level{kLevelCount - 1}, now, 200);
  CHECK_FALSE(throttle.admits(kService, arrival_of(Importance::kHigh), now + milliseconds{150}));
  CHECK(throttle.admits(kService, arrival_of(Importance::kSheddable), now + milliseconds{1300}));
}

// Guards against using the level of the most loaded server, which would leave the others idle.
TEST_CASE("the level is the mean of the levels reported by several servers") {
  CallerThrottle throttle;
  TimePoint now{seconds{5}};
  for (int i = 0; i < 300; ++i)
    observe_repeatedly(throttle, Level{static_cast<std::uint16_t>(i % 3 == 0 ? 600 : 0)}, now, 1);
  CHECK(throttle.level(kService, now).value > 120);
  CHECK(throttle.level(kService, now).value < 280);
}

// Guards against data races between reports and queries; effective under ThreadSanitizer.
TEST_CASE("reports and queries may run concurrently") {
  CallerThrottle throttle;
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int t = 0; t < 4; ++t) {
    threads.emplace_back([&throttle] {
      TimePoint now{seconds{5}};
      for (int i = 0; i < 2000; ++i) {
        now += std::chrono::microseconds{500};
        throttle.observe(kService, Level{512}, now);
        static_cast<void>(throttle.admits(kService, arrival_of(Importance::kNormal), now));
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  CHECK(throttle.level(kService, TimePoint{seconds{6}}).value == 512);
}

}  // namespace
}  // namespace damaskthread::admission
