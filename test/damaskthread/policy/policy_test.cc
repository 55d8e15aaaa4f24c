#include <doctest/doctest.h>

#include <memory>

#include "support/policy_fixture.h"

namespace damaskthread::test {
namespace {

using std::chrono::seconds;

Result run_damaskthread(const Deployment& deployment, const Scenario& scenario) {
  const std::unique_ptr<Policy> policy = make_policy(PolicyKind::kDamaskthread);
  return run(deployment, scenario, *policy);
}

// Guards against modules that pass their own tests but fail in combination: callers retry aggressively at three times
// the capacity. The bounds are the targets of the design page.
TEST_CASE("goodput and critical requests are preserved at three times the capacity") {
  for (const Deployment& deployment : {birchrun(), lindqvist()}) {
    const Result result = run_damaskthread(
        deployment, {.phases = {{seconds{0}, 3, 1}}, .measure_from = seconds{2}, .end = seconds{6}, .seed = 20261204});
    CAPTURE(deployment.name);
    CHECK(result.goodput >= 0.95);
    CHECK(result.critical >= 0.999);
    CHECK(result.wasted <= 0.02);
  }
}

// Guards against metastable overload, which persists after its trigger.
TEST_CASE("the service recovers within a second after a surge") {
  for (const Deployment& deployment : {birchrun(), lindqvist()}) {
    const Result result = run_damaskthread(deployment, {.phases = {{seconds{0}, 3, 1}, {seconds{3}, 0.7, 1}},
                                                        .measure_from = seconds{1},
                                                        .end = seconds{7},
                                                        .recovery_from = seconds{3},
                                                        .seed = 20261204});
    CAPTURE(deployment.name);
    CHECK(result.recovery_s <= 1.0);
  }
}

// Guards against a request that crashes one server after another while its caller and the daemons retry it. Crash
// reports take 50 ms to reach other daemons.
TEST_CASE("a poison request crashes at most three servers") {
  for (const Deployment& deployment : {birchrun(), lindqvist()}) {
    for (const std::uint64_t seed : {1, 2, 20261204}) {
      const Result result = run_damaskthread(deployment, {.phases = {{seconds{0}, 0.3, 1}},
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

// Guards against a fixture in which every policy passes: without control the overload must persist.
TEST_CASE("without control the overload persists after its trigger") {
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
