#include "damaskthread/retry/policy.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

namespace damaskthread::retry {
namespace {

using core::Cause;
using core::Execution;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::TimePoint kNow{seconds(1000)};

}  // namespace

// Guards against retries that cannot succeed, and against running a non-idempotent request twice.
TEST_CASE("a retry is allowed only for a retryable cause and a request that may be repeated") {
  const std::set<Cause> retryable_causes = {Cause::kNone,    Cause::kOverload,   Cause::kNoServer,  Cause::kLeaving,
                                            Cause::kCrashed, Cause::kConnection, Cause::kIncomplete};
  core::Random random(1);
  for (int i = 0; i <= static_cast<int>(Cause::kQuota); ++i) {
    const auto cause = static_cast<Cause>(i);
    CAPTURE(core::to_string(cause));
    for (const Execution execution : {Execution::kNotRun, Execution::kMayHaveRun, Execution::kRan}) {
      for (const bool idempotent : {false, true}) {
        const RetryDecision decision =
            decide_retry({.execution = execution, .cause = cause},
                         {.idempotent = idempotent, .deadline = kNow + seconds(1)}, kNow, random);
        const bool safe = execution == Execution::kNotRun || (execution == Execution::kMayHaveRun && idempotent);
        CHECK(decision.retry == (safe && retryable_causes.contains(cause)));
        CHECK(decision.retry == (decision.reason == RetryReason::kAllowed));
      }
    }
  }
}

// Guards against retries that start after the deadline or cannot complete before it.
TEST_CASE("a retry starts before the deadline") {
  CHECK(rc::check([] {
    core::Random random(*rc::gen::arbitrary<std::uint64_t>());
    const core::Duration left = milliseconds(*rc::gen::inRange(-100, 3000));
    const core::Duration min_attempt_time = milliseconds(*rc::gen::inRange(0, 100));
    const int attempt = *rc::gen::inRange(0, 20);
    const RetryDecision decision =
        decide_retry(core::not_run(Cause::kOverload),
                     {.attempt = attempt, .deadline = kNow + left, .min_attempt_time = min_attempt_time}, kNow, random);
    RC_ASSERT(decision.retry == (left > min_attempt_time));
    if (!decision.retry) return;
    RC_ASSERT(decision.delay >= core::Duration::zero());
    RC_ASSERT(decision.delay + min_attempt_time <= left);
    RC_ASSERT(decision.delay <= seconds(1));
  }));
}

// Guards against missing jitter, which makes all callers retry at the same time.
TEST_CASE("delays grow and are spread over their whole range") {
  core::Random random(1);
  for (const int attempt : {0, 3, 6}) {
    const core::Duration range = milliseconds(10) * (1 << attempt);
    int low = 0;
    int high = 0;
    for (int i = 0; i < 1000; ++i) {
      const auto wait = backoff(attempt, seconds(10), random);
      REQUIRE(wait.has_value());
      CHECK(*wait <= range);
      low += *wait < range / 4 ? 1 : 0;
      high += *wait > range * 3 / 4 ? 1 : 0;
    }
    CHECK(low > 200);
    CHECK(high > 200);
  }
}

// Guards against retries that amplify the load on a failing service.
TEST_CASE("retries stay within the burst and a tenth of the calls") {
  CHECK(rc::check([] {
    RetryBudget budget;
    int calls = 0;
    int retries = 0;
    for (const bool call : *rc::gen::resize(500, rc::gen::arbitrary<std::vector<bool>>())) {
      if (call) {
        budget.on_call();
        ++calls;
      } else if (budget.allow()) {
        ++retries;
      }
      RC_ASSERT(retries <= 10 + calls / 10);
    }
  }));
  RetryBudget budget;
  for (int i = 0; i < 10; ++i) CHECK(budget.allow());
  CHECK_FALSE(budget.allow());
  for (int i = 0; i < 10; ++i) budget.on_call();
  CHECK(budget.allow());
  CHECK_FALSE(budget.allow());
}

}  // namespace damaskthread::retry
