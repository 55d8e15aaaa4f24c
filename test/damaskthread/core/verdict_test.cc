#include "damaskthread/core/verdict.h"

#include <doctest/doctest.h>

namespace damaskthread::core {

// Guards against two causes or execution states with the same name, which would corrupt verdicts between daemons.
TEST_CASE("causes and execution states round-trip through their names") {
  for (int i = 0; i <= static_cast<int>(Cause::kCrashed); ++i) {
    const auto cause = static_cast<Cause>(i);
    CHECK(parse_cause(to_string(cause)) == cause);
  }
  for (const Execution execution : {Execution::kNotRun, Execution::kMayHaveRun, Execution::kRan}) {
    CHECK(parse_execution(to_string(execution)) == execution);
  }
  CHECK_FALSE(parse_cause("unknown-cause").has_value());
}

// Guards against a hop that forwards "not run" from one downstream call after another downstream call has started.
TEST_CASE("raise_execution never lowers the execution state") {
  CHECK(raise_execution(not_run(Cause::kOverload), Execution::kMayHaveRun).execution == Execution::kMayHaveRun);
  CHECK(raise_execution(may_have_run(Cause::kConnection), Execution::kNotRun).execution == Execution::kMayHaveRun);
}

TEST_CASE("the HTTP status distinguishes a refused call from one that may have run") {
  CHECK(http_status(not_run(Cause::kOverload)) == 503);
  CHECK(http_status(may_have_run(Cause::kConnection)) == 502);
  CHECK(http_status(not_run(Cause::kTokenRequired)) == 428);
}

}  // namespace damaskthread::core
