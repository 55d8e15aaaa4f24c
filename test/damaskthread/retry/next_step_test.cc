#include "damaskthread/retry/next_step.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace damaskthread::retry {
namespace {

using std::chrono::milliseconds;

PlacementFacts facts() {
  PlacementFacts result;
  result.max_servers = 2;
  result.time_left = milliseconds{1000};
  result.typical_run = milliseconds{100};
  result.others = true;
  return result;
}

PlacementFacts lost(bool idempotent) {
  PlacementFacts result = facts();
  result.idempotent = idempotent;
  result.verdict = core::may_have_run(core::Cause::kConnection);
  result.servers_reached = 1;
  result.sends = 1;
  return result;
}

}  // namespace

TEST_CASE("a lost answer is made good only for idempotent requests") {
  CHECK(next_step(lost(true)) == NextStep::kPlaceAgain);
  CHECK(next_step(lost(false)) == NextStep::kFail);
}

TEST_CASE("nothing runs again under overload, without time, or beyond the servers allowed") {
  PlacementFacts overloaded = lost(true);
  overloaded.overloaded = true;
  CHECK(next_step(overloaded) == NextStep::kFail);
  PlacementFacts late = lost(true);
  late.time_left = milliseconds{50};
  CHECK(next_step(late) == NextStep::kFail);
  PlacementFacts used = lost(true);
  used.sends = 2;
  CHECK(next_step(used) == NextStep::kFail);
}

TEST_CASE("the server's answer is passed on; its failure is tried elsewhere if idempotent") {
  PlacementFacts answered = facts();
  answered.answered = true;
  answered.status = 200;
  answered.verdict.execution = core::Execution::kRan;
  answered.sends = 1;
  CHECK(next_step(answered) == NextStep::kPassOn);
  answered.status = 500;
  CHECK(next_step(answered) == NextStep::kPassOn);
  answered.idempotent = true;
  CHECK(next_step(answered) == NextStep::kPlaceAgain);
  answered.status = 504;
  CHECK(next_step(answered) == NextStep::kPassOn);
}

TEST_CASE("a run that failed since a call of it was turned away is not repeated") {
  PlacementFacts failed = facts();
  failed.idempotent = true;
  failed.answered = true;
  failed.status = 500;
  failed.verdict.execution = core::Execution::kRan;
  failed.sends = 1;
  CHECK(next_step(failed) == NextStep::kPlaceAgain);
  failed.call_refused = true;
  CHECK(next_step(failed) == NextStep::kPassOn);
}

TEST_CASE("a refusal moves a request on, a final one does not") {
  PlacementFacts refused = facts();
  refused.verdict = core::not_run(core::Cause::kLeaving);
  refused.refusals = 1;
  CHECK(next_step(refused) == NextStep::kPlaceAgain);
  refused.others = false;
  CHECK(next_step(refused) == NextStep::kRefuse);
  refused.others = true;
  refused.refusals = 4;
  CHECK(next_step(refused) == NextStep::kRefuse);
  for (const auto cause : {core::Cause::kQuarantined, core::Cause::kRetryBound, core::Cause::kDeadline}) {
    PlacementFacts final = facts();
    final.verdict = core::not_run(cause);
    CHECK(next_step(final) == NextStep::kRefuse);
  }
}

TEST_CASE("a request that may have run is never refused as not run, nor run again unless idempotent") {
  CHECK(rc::check([](bool idempotent, bool answered, bool overloaded, bool others, std::uint8_t sends,
                     std::uint8_t cause, std::uint8_t refusals) {
    PlacementFacts any = facts();
    any.idempotent = idempotent;
    any.answered = answered;
    any.status = 500;
    any.overloaded = overloaded;
    any.others = others;
    any.sends = sends % 8;
    any.refusals = refusals % 8;
    any.verdict = core::may_have_run(static_cast<core::Cause>(cause % 18));
    const NextStep step = next_step(any);
    RC_ASSERT(step != NextStep::kRefuse);
    if (!idempotent) RC_ASSERT(step != NextStep::kPlaceAgain);
  }));
}

}  // namespace damaskthread::retry
