// Load replay: every server of the deepest service refuses part of its requests, and each external request needs four
// sequential calls to it. The repeat limit is far below what all requests would need.

#include <doctest/doctest.h>

#include <random>
#include <vector>

#include "damaskthread/retry/repeat_budget.h"

namespace damaskthread::retry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::TimePoint kStart{seconds{100}};
constexpr int kServers = 9;
constexpr int kCalls = 4;
constexpr int kMaxSends = 6;
constexpr double kRefusalProbability = 0.55;
constexpr int kImportantPerSecond = 460;
constexpr int kOrdinaryPerSecond = 1'200;
constexpr int kPerSecond = kImportantPerSecond + kOrdinaryPerSecond;
constexpr int kNormalSeconds = 12;
constexpr int kOverloadSeconds = 9;

struct ReplayResult {
  int requested = 0;
  int served = 0;
  /// Fraction served in each second of the overload.
  std::vector<double> by_second = std::vector<double>(kOverloadSeconds);
  int repeats = 0;
  int first_attempts = 0;
};

// `shared_sample`: all calls of a request use one sample; otherwise each call draws its own.
ReplayResult replay(bool shared_sample) {
  std::vector<RepeatBudget> budgets(kServers,
                                    RepeatBudget({.ratio = 0.2, .window = seconds{10}, .slack = 213}, kStart));
  core::Random random(20261204);
  std::uniform_real_distribution<double> chance(0, 1);
  ReplayResult result;
  for (int i = 0; i < (kNormalSeconds + kOverloadSeconds) * kPerSecond; ++i) {
    const core::TimePoint now = kStart + seconds{1} * i / kPerSecond;
    const bool overloaded = i >= kNormalSeconds * kPerSecond;
    const bool important = static_cast<int>(random() % kPerSecond) < kImportantPerSecond;
    const double sample = chance(random);
    bool served = true;
    for (int call = 0; call < kCalls && served; ++call) {
      const double call_sample = shared_sample ? sample : chance(random);
      served = false;
      for (int send = 0; send < kMaxSends && !served; ++send) {
        RepeatBudget& budget = budgets[random() % kServers];
        if (send > 0 && !budget.allow(now, kServers, {important, call_sample})) break;
        if (send == 0) budget.on_first_attempt(now);
        if (overloaded) ++(send == 0 ? result.first_attempts : result.repeats);
        served = !overloaded || chance(random) >= kRefusalProbability;
      }
    }
    if (!overloaded || !important) continue;
    ++result.requested;
    if (!served) continue;
    ++result.served;
    result.by_second[i / kPerSecond - kNormalSeconds] += 1.0 / kImportantPerSecond;
  }
  return result;
}

}  // namespace

TEST_CASE("selecting the same requests for repeats at all servers completes more requests") {
  const ReplayResult shared_result = replay(true);
  const ReplayResult per_call_result = replay(false);
  MESSAGE("important requests served of ", shared_result.requested, ": ", shared_result.served,
          "; with a sample per call: ", per_call_result.served);
  for (int second = 0; second < kOverloadSeconds; ++second) {
    MESSAGE("second ", second, ": ", shared_result.by_second[second], " and ", per_call_result.by_second[second]);
  }
  MESSAGE("repeats per first attempt: ", static_cast<double>(shared_result.repeats) / shared_result.first_attempts);
  // Repeats that the limit allows, if none is wasted on a request that fails later.
  constexpr double kRepeatsPerRequest = kCalls / (1 - kRefusalProbability) - kCalls;
  constexpr double kAllowedRepeats = 0.85 * (0.2 * 10 * kPerSecond * kCalls + 213);
  CHECK(shared_result.served >= 0.8 * kAllowedRepeats / kRepeatsPerRequest);
  CHECK(shared_result.served > per_call_result.served);
}

}  // namespace damaskthread::retry
