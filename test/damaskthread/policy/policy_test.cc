#include <doctest/doctest.h>

#include <memory>

#include "support/policy_fixture.h"

namespace damaskthread::test {
namespace {

using std::chrono::seconds;

Result run_engine(const Deployment& deployment, const Scenario& scenario) {
  const std::unique_ptr<Policy> policy = make_policy(PolicyKind::kDamaskthread);
  return run(deployment, scenario, *policy);
}

// Guards against decisions that work module by module and collapse together: callers retry hard at three times the
// capacity. The bounds are the targets of the design page.
TEST_CASE("three times the capacity leaves goodput and critical requests whole") {
  for (const Deployment& deployment : {birchrun(), lindqvist()}) {
    const Result result = run_engine(
        deployment, {.phases = {{seconds{0}, 3, 1}}, .measure_from = seconds{2}, .end = seconds{6}, .seed = 20261204});
    CAPTURE(deployment.name);
    CHECK(result.goodput >= 0.95);
    CHECK(result.critical >= 0.999);
    CHECK(result.wasted <= 0.02);
  }
}

// Guards against overload that outlasts its trigger.
TEST_CASE("the service recovers within a second after a surge") {
  for (const Deployment& deployment : {birchrun(), lindqvist()}) {
    const Result result = run_engine(deployment, {.phases = {{seconds{0}, 3, 1}, {seconds{3}, 0.7, 1}},
                                                  .measure_from = seconds{1},
                                                  .end = seconds{7},
                                                  .recovery_from = seconds{3},
                                                  .seed = 20261204});
    CAPTURE(deployment.name);
    CHECK(result.recovery_s <= 1.0);
  }
}

// Guards against a request that takes down one server after the other while its caller and the daemons try again; the
// servers' news of a crash takes 50 ms.
TEST_CASE("a request that crashes servers crashes at most three") {
  for (const Deployment& deployment : {birchrun(), lindqvist()}) {
    for (const std::uint64_t seed : {1, 2, 20261204}) {
      const Result result = run_engine(deployment, {.phases = {{seconds{0}, 0.3, 1}},
                                                    .measure_from = seconds{1},
                                                    .end = seconds{7},
                                                    .poison_at = seconds{1},
                                                    .seed = seed});
      CAPTURE(deployment.name);
      CAPTURE(seed);
      CHECK(result.crashes >= 1);
      CHECK(result.crashes <= 3);
    }
  }
}

// Guards against a fixture that flatters every policy: without control the trigger's overload persists.
TEST_CASE("without control the overload outlasts its trigger") {
  const std::unique_ptr<Policy> policy = make_policy(PolicyKind::kNone);
  const Result result = run(birchrun(),
                            {.phases = {{seconds{0}, 0.75, 1}, {seconds{2}, 0.75, 1.0 / 3}, {seconds{12}, 0.75, 1}},
                             .measure_from = seconds{12},
                             .end = seconds{16},
                             .seed = 20261204},
                            *policy);
  CHECK(result.goodput < 0.5);
}

}  // namespace
}  // namespace damaskthread::test
