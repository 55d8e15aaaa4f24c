#include "damaskthread/admission/entrance_gate.h"

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

void hear(EntranceGate& gate, Level level, TimePoint& now, int answers) {
  for (int i = 0; i < answers; ++i) gate.heard(kService, level, now += milliseconds{2});
}

// Guards against sending what the service will refuse, and against refusing for a service that said nothing.
TEST_CASE("the gate refuses what lies below the level heard") {
  EntranceGate gate;
  TimePoint now{seconds{5}};
  hear(gate, Level{2 * kBucketCount}, now, 100);
  CHECK_FALSE(gate.admits(kService, arrival_of(Importance::kNormal), now));
  CHECK(gate.admits(kService, arrival_of(Importance::kHigh), now));
  CHECK(gate.admits({4}, arrival_of(Importance::kSheddable), now));
  CHECK(gate.admits({1U << 20U}, arrival_of(Importance::kSheddable), now));
}

// Guards against a level that stays in force although no call gets through to hear that the overload is over.
TEST_CASE("a level that is not renewed decays") {
  EntranceGate gate;
  TimePoint now{seconds{5}};
  hear(gate, Level{kLevelCount - 1}, now, 200);
  CHECK_FALSE(gate.admits(kService, arrival_of(Importance::kHigh), now + milliseconds{150}));
  CHECK(gate.admits(kService, arrival_of(Importance::kSheddable), now + milliseconds{1300}));
}

// Guards against the most loaded server deciding for all: the others would be left idle.
TEST_CASE("the level is the mean of what several servers report") {
  EntranceGate gate;
  TimePoint now{seconds{5}};
  for (int i = 0; i < 300; ++i) hear(gate, Level{static_cast<std::uint16_t>(i % 3 == 0 ? 600 : 0)}, now, 1);
  CHECK(gate.level(kService, now).value > 120);
  CHECK(gate.level(kService, now).value < 280);
}

// Guards against a torn or lost level when several threads hear and ask; run under the thread sanitizer.
TEST_CASE("several threads may hear and ask at once") {
  EntranceGate gate;
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int t = 0; t < 4; ++t) {
    threads.emplace_back([&gate] {
      TimePoint now{seconds{5}};
      for (int i = 0; i < 2000; ++i) {
        now += std::chrono::microseconds{500};
        gate.heard(kService, Level{512}, now);
        static_cast<void>(gate.admits(kService, arrival_of(Importance::kNormal), now));
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  CHECK(gate.level(kService, TimePoint{seconds{6}}).value == 512);
}

}  // namespace
}  // namespace damaskthread::admission
