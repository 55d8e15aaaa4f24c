#include "damaskthread/retry/next_step.h"

namespace damaskthread::retry {
namespace {

// Daemon refusals after which a request is rejected: the remaining daemons are likely to be full or leaving too.
constexpr int kMaxRefusals = 4;
// Sends after which a request that servers keep refusing is rejected. Each send has the same chance, and the repeat
// budget limits their total, so a lower bound would only waste the sends already made for the request.
constexpr int kMaxSends = 16;
constexpr int kInternalServerError = 500;

bool another_run_allowed(const PlacementOutcome& outcome) noexcept {
  return outcome.sends < outcome.max_servers && outcome.other_server_available && !outcome.overloaded &&
         outcome.time_left > outcome.typical_run;
}

}  // namespace

std::string_view to_string(NextStep step) noexcept {
  switch (step) {
    case NextStep::kPassOn:
      return "pass-on";
    case NextStep::kPlaceAgain:
      return "place-again";
    case NextStep::kRefuse:
      return "refuse";
    case NextStep::kFail:
      return "fail";
  }
  return "fail";
}

NextStep next_step(const PlacementOutcome& outcome) noexcept {
  if (outcome.answered) {
    const bool failed = outcome.status == kInternalServerError && outcome.idempotent && !outcome.call_refused;
    return failed && another_run_allowed(outcome) ? NextStep::kPlaceAgain : NextStep::kPassOn;
  }
  if (outcome.verdict.execution != core::Execution::kNotRun) {
    const bool final =
        outcome.verdict.cause == core::Cause::kDeadline || outcome.verdict.cause == core::Cause::kCancelled;
    return outcome.idempotent && !final && another_run_allowed(outcome) ? NextStep::kPlaceAgain : NextStep::kFail;
  }
  switch (outcome.verdict.cause) {
    case core::Cause::kQuarantined:
    case core::Cause::kDeadline:
      return NextStep::kRefuse;
    default:
      break;
  }
  const bool may_retry =
      outcome.other_server_available && outcome.refusals < kMaxRefusals && outcome.time_left > outcome.typical_run;
  return may_retry && outcome.sends < kMaxSends ? NextStep::kPlaceAgain : NextStep::kRefuse;
}

bool should_hedge(const PlacementOutcome& outcome) noexcept {
  return outcome.idempotent && another_run_allowed(outcome);
}

}  // namespace damaskthread::retry
