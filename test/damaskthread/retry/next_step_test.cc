#include "damaskthread/retry/next_step.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace damaskthread::retry {
namespace {

using std::chrono::milliseconds;

PlacementOutcome make_outcome() {
  PlacementOutcome result;
  result.max_servers = 2;
  result.time_left = milliseconds{1000};
  result.typical_run = milliseconds{100};
  result.other_server_available = true;
  return result;
}

PlacementOutcome lost_answer(bool idempotent) {
  PlacementOutcome result = make_outcome();
  result.idempotent = idempotent;
  result.verdict = core::may_have_run(core::Cause::kConnection);
  result.servers_reached = 1;
  result.sends = 1;
  return result;
}

}  // namespace

TEST_CASE("only idempotent requests are repeated after a lost answer") {
  CHECK(next_step(lost_answer(true)) == NextStep::kPlaceAgain);
  CHECK(next_step(lost_answer(false)) == NextStep::kFail);
}

TEST_CASE("nothing is repeated under overload, without time left or beyond the allowed number of servers") {
  PlacementOutcome overloaded = lost_answer(true);
  overloaded.overloaded = true;
  CHECK(next_step(overloaded) == NextStep::kFail);
  PlacementOutcome late = lost_answer(true);
  late.time_left = milliseconds{50};
  CHECK(next_step(late) == NextStep::kFail);
  PlacementOutcome sends_exhausted = lost_answer(true);
  sends_exhausted.sends = 2;
  CHECK(next_step(sends_exhausted) == NextStep::kFail);
}

TEST_CASE("answers are forwarded; a failed idempotent request is sent to another server") {
  PlacementOutcome answered = make_outcome();
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

TEST_CASE("a run that failed because one of its calls was refused is not repeated") {
  PlacementOutcome failed = make_outcome();
  failed.idempotent = true;
  failed.answered = true;
  failed.status = 500;
  failed.verdict.execution = core::Execution::kRan;
  failed.sends = 1;
  CHECK(next_step(failed) == NextStep::kPlaceAgain);
  failed.call_refused = true;
  CHECK(next_step(failed) == NextStep::kPassOn);
}

TEST_CASE("a refused request moves to another server unless the cause is not retryable") {
  PlacementOutcome refused = make_outcome();
  refused.verdict = core::not_run(core::Cause::kLeaving);
  refused.refusals = 1;
  CHECK(next_step(refused) == NextStep::kPlaceAgain);
  refused.other_server_available = false;
  CHECK(next_step(refused) == NextStep::kRefuse);
  refused.other_server_available = true;
  refused.refusals = 4;
  CHECK(next_step(refused) == NextStep::kRefuse);
  for (const auto cause : {core::Cause::kQuarantined, core::Cause::kDeadline}) {
    PlacementOutcome final = make_outcome();
    final.verdict = core::not_run(cause);
    CHECK(next_step(final) == NextStep::kRefuse);
  }
}

TEST_CASE("a repeat that a daemon has no budget for moves to another one, as often as any refused request") {
  PlacementOutcome refused = make_outcome();
  refused.verdict = core::not_run(core::Cause::kRetryBound);
  refused.refusals = 3;
  CHECK(next_step(refused) == NextStep::kPlaceAgain);
  refused.refusals = 4;
  CHECK(next_step(refused) == NextStep::kRefuse);
  refused.refusals = 1;
  refused.other_server_available = false;
  CHECK(next_step(refused) == NextStep::kRefuse);
}

TEST_CASE("a request that servers keep refusing is sent again far more often than a run is repeated") {
  PlacementOutcome refused = make_outcome();
  refused.verdict = core::not_run(core::Cause::kOverload);
  refused.sends = 15;
  CHECK(next_step(refused) == NextStep::kPlaceAgain);
  refused.sends = 16;
  CHECK(next_step(refused) == NextStep::kRefuse);
}

TEST_CASE("a request that may have run is never reported as not run, and is repeated only if idempotent") {
  CHECK(rc::check([](bool idempotent, bool answered, bool overloaded, bool other_server_available, std::uint8_t sends,
                     std::uint8_t cause, std::uint8_t refusals) {
    PlacementOutcome arbitrary_outcome = make_outcome();
    arbitrary_outcome.idempotent = idempotent;
    arbitrary_outcome.answered = answered;
    arbitrary_outcome.status = 500;
    arbitrary_outcome.overloaded = overloaded;
    arbitrary_outcome.other_server_available = other_server_available;
    arbitrary_outcome.sends = sends % 8;
    arbitrary_outcome.refusals = refusals % 8;
    arbitrary_outcome.verdict = core::may_have_run(static_cast<core::Cause>(cause % 18));
    const NextStep step = next_step(arbitrary_outcome);
    RC_ASSERT(step != NextStep::kRefuse);
    if (!idempotent) RC_ASSERT(step != NextStep::kPlaceAgain);
  }));
}

}  // namespace damaskthread::retry
