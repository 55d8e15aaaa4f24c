#include "damaskthread/retry/repeat_budget.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <numeric>
#include <random>
#include <utility>
#include <vector>

namespace damaskthread::retry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::TimePoint kStart{seconds{100}};
constexpr int kImportant = 0;
constexpr int kOrdinary = 2;
constexpr RepeatBudgetOptions kOptions = {.ratio = 0.2, .window = seconds{10}, .slack = 49};

}  // namespace

TEST_CASE("in any window the repeats at all servers of a service stay within the ratio plus the slack") {
  CHECK(rc::check([](std::uint32_t seed) {
    constexpr int kServers = 3;
    std::mt19937 random(seed);
    std::vector<RepeatBudget> budgets(kServers, RepeatBudget(kOptions, kStart));
    // Accepted attempts at all servers: time and whether it is a repeat. The traffic alternates between low and high
    // load.
    std::vector<std::pair<core::TimePoint, bool>> attempts;
    for (int ms = 0; ms < 40'000; ms += 5) {
      const core::TimePoint now = kStart + milliseconds{ms};
      const bool high_load = (ms / 3'000) % 3 == 0;
      RepeatBudget& budget = budgets[random() % kServers];
      if (random() % (high_load ? 2 : 10) == 0) {
        budget.on_first_attempt(now);
        attempts.emplace_back(now, false);
      }
      if (random() % 2 == 0 &&
          budget.allow(now, kServers,
                       {random() % 2 == 0 ? kImportant : kOrdinary, static_cast<double>(random() % 100) / 100,
                        1 + static_cast<int>(random() % 6)}))
        attempts.emplace_back(now, true);
    }
    for (std::size_t end = 0; end < attempts.size(); end += 7) {
      double first_attempts = 0;
      double repeats = 0;
      for (std::size_t i = end + 1; i-- > 0 && attempts[end].first - attempts[i].first <= kOptions.window;) {
        (attempts[i].second ? repeats : first_attempts) += 1;
      }
      // The rule uses the window half a window or a whole window earlier if that had more first attempts.
      double previous_first_attempts = 0;
      double overlapping_first_attempts = 0;
      for (const auto& [time, repeat] : attempts) {
        if (repeat) continue;
        const auto age = attempts[end].first - time;
        if (age > kOptions.window && age <= 2 * kOptions.window) previous_first_attempts += 1;
        if (age > kOptions.window / 2 && age <= 3 * kOptions.window / 2) overlapping_first_attempts += 1;
      }
      const double most_first_attempts =
          std::max({first_attempts, previous_first_attempts, overlapping_first_attempts});
      RC_ASSERT(repeats <= kOptions.ratio * most_first_attempts + kOptions.slack);
    }
  }));
}

// Load replay: traffic is high for a while, normal before a failure, and half of it during the failure, in which every
// request asks for repeats.
TEST_CASE("traffic that decreased before a failure does not raise the limit of the windows after it") {
  constexpr int kStepMs = 10;
  constexpr int kFailureMs = 13'000;
  constexpr int kEndMs = 24'000;
  RepeatBudget budget({.ratio = 0.2, .window = seconds{10}, .slack = 0}, kStart);
  std::vector<double> first_attempts;
  std::vector<double> repeats;
  for (int ms = 0; ms < kEndMs; ms += kStepMs) {
    const core::TimePoint now = kStart + milliseconds{ms};
    const int arrivals = ms >= kFailureMs ? 10 : ms < 8'000 ? 30 : 20;
    for (int i = 0; i < arrivals; ++i) budget.on_first_attempt(now);
    first_attempts.push_back(arrivals);
    repeats.push_back(0);
    if (ms < kFailureMs) continue;
    for (int i = 0; i < arrivals; ++i) repeats.back() += budget.allow(now, 1, {.priority = kImportant}) ? 1 : 0;
  }
  const int window = 10'000 / kStepMs;
  const auto sum = [&](const std::vector<double>& counts, int begin) {
    const int from = std::clamp(begin, 0, static_cast<int>(counts.size()));
    const int to = std::clamp(begin + window, 0, static_cast<int>(counts.size()));
    return std::accumulate(counts.begin() + from, counts.begin() + to, 0.0);
  };
  for (int begin = 0; begin + window <= static_cast<int>(repeats.size()); ++begin) {
    const double most_first_attempts = std::max(
        {sum(first_attempts, begin), sum(first_attempts, begin - window / 2), sum(first_attempts, begin - window)});
    CHECK_MESSAGE(sum(repeats, begin) <= 0.2 * most_first_attempts, "window at ", begin * kStepMs, " ms");
  }
}

TEST_CASE("a daemon does not use the slack in the first window after its start") {
  RepeatBudget budget(kOptions, kStart);
  CHECK(!budget.allow(kStart + seconds{1}, 3, {.priority = kImportant}));
  CHECK(budget.allow(kStart + seconds{11}, 3, {.priority = kImportant}));
}

TEST_CASE("repeats of ordinary requests leave budget for important ones") {
  RepeatBudget budget({.ratio = 0.2, .window = seconds{10}, .slack = 0}, kStart);
  for (int i = 0; i < 1'000; ++i) budget.on_first_attempt(kStart);
  int ordinary = 0;
  while (budget.allow(kStart, 1, {.priority = kOrdinary})) ++ordinary;
  int important = 0;
  while (budget.allow(kStart, 1, {.priority = kImportant})) ++important;
  CHECK(ordinary > 0);
  CHECK(important >= ordinary);
  CHECK(ordinary + important <= 200);
  CHECK(!budget.allow(kStart + milliseconds{100}, 1, {.priority = kOrdinary}));
}

TEST_CASE("after an overload every request may be repeated again, whatever its sample") {
  RepeatBudget budget({.ratio = 0.2, .window = seconds{10}, .slack = 0}, kStart);
  core::TimePoint now = kStart;
  // Overload: far more repeats are requested than the budget allows, from all sample buckets.
  for (int ms = 0; ms < 15'000; ms += 10) {
    now = kStart + milliseconds{ms};
    for (int i = 0; i < 10; ++i) budget.on_first_attempt(now);
    for (int i = 0; i < 10; ++i)
      (void)budget.allow(now, 1, {i % 2 == 0 ? kImportant : kOrdinary, (ms / 10 % 100) / 100.0});
  }
  // Recovery: repeats are requested only occasionally until the overload has left the window.
  for (int ms = 0; ms < 13'000; ms += 10) {
    now += milliseconds{10};
    for (int i = 0; i < 10; ++i) budget.on_first_attempt(now);
    if (ms % 500 == 0) (void)budget.allow(now, 1, {ms % 1'000 == 0 ? kImportant : kOrdinary, 0.1});
  }
  CHECK(budget.allow(now, 1, {kImportant, 0.99}));
  CHECK(budget.allow(now, 1, {kOrdinary, 0.99}));
}

}  // namespace damaskthread::retry
