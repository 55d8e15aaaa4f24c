// Load replay: every server of the deepest service refuses part of its requests, and each external request needs four
// sequential calls to it. The repeat limit is far below what all requests would need.

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
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
constexpr double kRefusalProbability = 0.55;
constexpr int kImportant = 0;
constexpr int kOrdinary = 2;
constexpr int kImportantPerSecond = 460;
constexpr int kOrdinaryPerSecond = 1'200;
constexpr int kPerSecond = kImportantPerSecond + kOrdinaryPerSecond;
constexpr int kNormalSeconds = 12;
constexpr int kOverloadSeconds = 9;
constexpr double kRatio = 0.2;
constexpr double kSlack = 213;

struct Policy {
  /// All calls of a request use one sample; otherwise each call draws its own.
  bool shared_sample = true;
  RepeatBudgetOptions budget{};
  /// Sends after which a call that servers keep refusing fails.
  int max_sends = 16;
  /// Daemons that may refuse a repeat before the call fails.
  int max_refusals = 4;
  /// Daemons that lose their counts shortly before the overload.
  int restarted = 0;
};

// Returns the default policy with a change.
template <typename Change>
Policy make_policy(Change change) {
  Policy policy;
  change(policy);
  return policy;
}

struct ReplayResult {
  int requested = 0;
  int served = 0;
  int ordinary_served = 0;
  /// Fraction of the important requests served in each second of the overload.
  std::array<double, kOverloadSeconds> by_second{};
  int repeats = 0;
  int first_attempts = 0;
};

ReplayResult replay(Policy policy, double refusal_probability = kRefusalProbability) {
  policy.budget.ratio = kRatio;
  policy.budget.window = seconds{10};
  policy.budget.slack = kSlack;
  std::vector<RepeatBudget> budgets(kServers, RepeatBudget(policy.budget, kStart));
  core::Random random(20261204);
  std::uniform_real_distribution<double> chance(0, 1);
  ReplayResult result;
  for (int i = 0; i < (kNormalSeconds + kOverloadSeconds) * kPerSecond; ++i) {
    const core::TimePoint now = kStart + core::Duration(seconds{1}) * i / kPerSecond;
    const bool overloaded = i >= kNormalSeconds * kPerSecond;
    if (i == (kNormalSeconds - 1) * kPerSecond) {
      std::fill_n(budgets.begin(), policy.restarted, RepeatBudget(policy.budget, now));
    }
    const bool important = static_cast<int>(random() % kPerSecond) < kImportantPerSecond;
    const double sample = chance(random);
    bool served = true;
    for (int call = 0; call < kCalls && served; ++call) {
      const double call_sample = policy.shared_sample ? sample : chance(random);
      served = false;
      const RepeatPriority priority{important ? kImportant : kOrdinary, call_sample, kCalls - call};
      for (int send = 0, refusals = 0; send < policy.max_sends && !served; ++send) {
        std::size_t server = random() % kServers;
        while (send > 0 && refusals < policy.max_refusals && !budgets[server].allow(now, kServers, priority)) {
          ++refusals;
          server = (server + 1) % kServers;
        }
        if (refusals == policy.max_refusals) break;
        RepeatBudget& budget = budgets[server];
        if (send == 0) budget.on_first_attempt(now);
        if (overloaded) ++(send == 0 ? result.first_attempts : result.repeats);
        served = !overloaded || chance(random) >= refusal_probability;
      }
    }
    if (!overloaded) continue;
    if (!important) {
      if (served) ++result.ordinary_served;
      continue;
    }
    ++result.requested;
    if (!served) continue;
    ++result.served;
    result.by_second[i / kPerSecond - kNormalSeconds] += 1.0 / kImportantPerSecond;
  }
  return result;
}

}  // namespace

TEST_CASE("selecting the same requests for repeats at all servers completes more requests") {
  const ReplayResult shared_result = replay({});
  const ReplayResult per_call_result = replay(make_policy([](Policy& policy) { policy.shared_sample = false; }));
  MESSAGE("important requests served of ", shared_result.requested, ": ", shared_result.served,
          "; with a sample per call: ", per_call_result.served);
  for (int second = 0; second < kOverloadSeconds; ++second) {
    MESSAGE("second ", second, ": ", shared_result.by_second[second], " and ", per_call_result.by_second[second]);
  }
  MESSAGE("repeats per first attempt: ", static_cast<double>(shared_result.repeats) / shared_result.first_attempts);
  // Repeats that the limit allows, if none is wasted on a request that fails later.
  constexpr double kRepeatsPerRequest = kCalls / (1 - kRefusalProbability) - kCalls;
  constexpr double kAllowedRepeats = 0.85 * (kRatio * 10 * kPerSecond * kCalls + kSlack);
  CHECK(shared_result.served >= 0.8 * kAllowedRepeats / kRepeatsPerRequest);
  CHECK(shared_result.served > per_call_result.served);
}

TEST_CASE("repeats for the requests with the fewest calls left complete more important requests") {
  const ReplayResult by_progress = replay({});
  const ReplayResult by_sample = replay(make_policy([](Policy& policy) { policy.budget.progress_levels = 1; }));
  MESSAGE("important requests served of ", by_progress.requested, ", by progress: ", by_progress.served,
          ", by sample only: ", by_sample.served);
  // A request that passed the first call by chance completes for three calls' worth of repeats. Those that the limit
  // leaves after these requests complete others for four.
  constexpr double kRepeatsPerCall = 1 / (1 - kRefusalProbability) - 1;
  const double allowed = RepeatBudgetOptions{}.limit_fraction * (kRatio * 10 * kPerSecond * kCalls + kSlack);
  const double passed_by_chance = (1 - kRefusalProbability) * by_progress.requested;
  const double others = (allowed - passed_by_chance * (kCalls - 1) * kRepeatsPerCall) / (kCalls * kRepeatsPerCall);
  CHECK(by_progress.served >= 0.85 * (passed_by_chance + others));
  CHECK(by_progress.served >= by_sample.served + by_progress.requested / 40);
}

TEST_CASE("repeats are spread over a long overload") {
  const ReplayResult result = replay({});
  for (int second = 1; second < kOverloadSeconds; ++second) {
    CHECK_MESSAGE(result.by_second[second] >= 0.45, "second ", second);
  }
}

TEST_CASE("the start of an overload leaves the budget to the most important requests") {
  const ReplayResult limited = replay({});
  const ReplayResult unlimited = replay(make_policy([](Policy& policy) { policy.budget.ordinary_step_fraction = 1; }));
  MESSAGE("important requests served: ", limited.served, ", without the limit for a step: ", unlimited.served);
  CHECK(limited.served > unlimited.served);
}

TEST_CASE("a call that servers keep refusing is sent again as long as the budget allows") {
  const ReplayResult many = replay({});
  const ReplayResult few = replay(make_policy([](Policy& policy) { policy.max_sends = 6; }));
  MESSAGE("important requests served: ", many.served, ", with at most six sends: ", few.served);
  CHECK(many.served > few.served);
}

TEST_CASE("a repeat that a restarted daemon has no budget for is sent to another one") {
  const ReplayResult others_tried = replay(make_policy([](Policy& policy) { policy.restarted = kServers / 4; }));
  const ReplayResult first_refusal_final = replay(make_policy([](Policy& policy) {
    policy.restarted = kServers / 4;
    policy.max_refusals = 1;
  }));
  MESSAGE("important requests served: ", others_tried.served,
          ", if the first refusal is final: ", first_refusal_final.served);
  CHECK(others_tried.served > 1.05 * first_refusal_final.served);
}

TEST_CASE("ordinary requests get the budget that important ones do not need") {
  constexpr double kFewRefusals = 0.15;
  const ReplayResult result = replay({}, kFewRefusals);
  const ReplayResult half =
      replay(make_policy([](Policy& policy) { policy.budget.ordinary_fraction = 0.5; }), kFewRefusals);
  MESSAGE("ordinary requests served: ", result.ordinary_served, ", with half of the budget: ", half.ordinary_served);
  CHECK(result.served >= 0.99 * result.requested);
  CHECK(result.ordinary_served >= 0.95 * kOrdinaryPerSecond * kOverloadSeconds);
  CHECK(result.ordinary_served > half.ordinary_served);
}

}  // namespace damaskthread::retry
