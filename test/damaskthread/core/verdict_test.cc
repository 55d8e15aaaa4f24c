#include "damaskthread/core/verdict.h"

#include <doctest/doctest.h>

namespace damaskthread::core {

// Guards against two causes or states sharing a name, which would lose the verdict between daemons.
TEST_CASE("verdict names survive a round trip") {
  for (int i = 0; i <= static_cast<int>(Cause::kCrashed); ++i) {
    const auto cause = static_cast<Cause>(i);
    CHECK(parse_cause(to_string(cause)) == cause);
  }
  for (const Execution execution : {Execution::kNotRun, Execution::kMayHaveRun, Execution::kRan}) {
    CHECK(parse_execution(to_string(execution)) == execution);
  }
  CHECK_FALSE(parse_cause("unheard-of").has_value());
}

// Guards against a hop that reports its child's "not run" as its own after it has started something else.
TEST_CASE("raise never lowers an execution state") {
  CHECK(raise(not_run(Cause::kOverload), Execution::kMayHaveRun).execution == Execution::kMayHaveRun);
  CHECK(raise(may_have_run(Cause::kConnection), Execution::kNotRun).execution == Execution::kMayHaveRun);
}

TEST_CASE("statuses tell a refusal from a call that may have run") {
  CHECK(http_status(not_run(Cause::kOverload)) == 503);
  CHECK(http_status(may_have_run(Cause::kConnection)) == 502);
  CHECK(http_status(not_run(Cause::kTokenRequired)) == 428);
}

}  // namespace damaskthread::core
