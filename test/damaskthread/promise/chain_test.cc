#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "support/call_chain.h"

namespace damaskthread {
namespace {

using core::Execution;
using support::Answer;
using support::CallChain;
using support::Faults;

// Draws each kind of fault independently, so that any combination occurs, also repeatedly.
Faults draw_faults() {
  const auto draw_rate = [] { return *rc::gen::element(0, 0, 50, 200); };
  Faults faults;
  faults.connect = draw_rate();
  faults.server_down = draw_rate();
  faults.lost_answer = draw_rate();
  faults.cut_before = draw_rate();
  faults.duplicate = draw_rate();
  faults.server_refuses = draw_rate();
  faults.server_fails = draw_rate();
  faults.restart = *rc::gen::element(0, 0, 30, 100);
  faults.pause = *rc::gen::element(0, 0, 10, 50);
  return faults;
}

std::size_t draw_daemon(const CallChain& chain) { return *rc::gen::inRange<std::size_t>(0, chain.size()); }

// Repeats a request through random daemons, with random changes of the fleet in between.
std::vector<Answer> call_repeatedly(CallChain& chain, std::uint64_t number, const std::string& target, int tries) {
  std::vector<Answer> answers;
  std::string id;
  std::string token;
  for (int i = 0; i < tries; ++i) {
    if (*rc::gen::inRange(0, 4) == 0) chain.scramble_views();
    if (*rc::gen::inRange(0, 6) == 0) chain.restart(draw_daemon(chain));
    answers.push_back(chain.call(draw_daemon(chain), number, target, id, token));
    if (!answers.back().request_id.empty()) id = answers.back().request_id;
    // A caller uses the first token for all repeats.
    if (token.empty()) token = answers.back().token;
  }
  return answers;
}

}  // namespace

// P1. Guards against retries that multiply over hops, parallel branches and repeats by the caller with the same id.
TEST_CASE("P1 retries for one request stay within its allowance over the whole chain") {
  CHECK(rc::check([] {
    CallChain chain(*rc::gen::arbitrary<std::uint64_t>(), draw_faults());
    const std::string target = *rc::gen::element<std::string>("/read", "/write");
    std::string id;
    int repeats_with_runs = 0;
    const int tries = *rc::gen::inRange(1, 6);
    for (int i = 0; i < tries; ++i) {
      const int before = chain.ledger(1).runs_anywhere;
      const Answer answer = chain.call(draw_daemon(chain), 1, target, id, "");
      if (i > 0 && chain.ledger(1).runs_anywhere > before) ++repeats_with_runs;
      if (id.empty()) id = answer.request_id;
    }
    // The declared allowance is 3. Up to 2 more attempts per call may be sent if they reach no server.
    RC_ASSERT(chain.ledger(1).retries + repeats_with_runs <= 3);
    RC_ASSERT(chain.ledger(1).most_sends <= 1 + 3 + 2);
  }));
}

// P4. Guards against a hop that forwards "not run" from a downstream call after another part of the request has run.
TEST_CASE("P4 a request refused as not run has run nowhere") {
  CHECK(rc::check([] {
    CallChain chain(*rc::gen::arbitrary<std::uint64_t>(), draw_faults());
    for (std::uint64_t number = 1; number <= 5; ++number) {
      const std::string target = *rc::gen::element<std::string>("/read", "/write", "/pay");
      Answer answer = chain.call(draw_daemon(chain), number, target, "", "");
      if (!answer.token.empty()) answer = chain.call(draw_daemon(chain), number, target, "", answer.token);
      if (answer.verdict.execution != Execution::kNotRun) continue;
      RC_ASSERT(chain.ledger(number).runs_anywhere == 0);
    }
  }));
}

// P5. Guards against a second execution of a payment after repeats through several daemons, lost answers, duplicate
// deliveries, restarts that lose state, and pauses longer than the validity of the token.
TEST_CASE("P5 an at-most-once request runs at most once at every service of its chain") {
  CHECK(rc::check([] {
    CallChain chain(*rc::gen::arbitrary<std::uint64_t>(), draw_faults());
    for (std::uint64_t number = 1; number <= 3; ++number) {
      call_repeatedly(chain, number, "/pay", *rc::gen::inRange(2, 8));
      RC_ASSERT(chain.ledger(number).runs <= 1);
      for (const auto& [operation, runs] : chain.ledger(number).once) RC_ASSERT(runs <= 1);
    }
  }));
}

// P5. Guards against satisfying the property by refusing every payment.
TEST_CASE("P5 an at-most-once request runs when nothing fails") {
  CHECK(rc::check([] {
    CallChain chain(*rc::gen::arbitrary<std::uint64_t>(), Faults{});
    const Answer first = chain.call(0, 1, "/pay", "", "");
    RC_ASSERT(first.verdict.cause == core::Cause::kTokenRequired);
    RC_ASSERT(first.verdict.execution == Execution::kNotRun);
    const Answer second = chain.call(3, 1, "/pay", "", first.token);
    RC_ASSERT(second.verdict.execution == Execution::kRan);
    RC_ASSERT(second.body == 1U);
    const Answer repeat = chain.call(5, 1, "/pay", "", first.token);
    RC_ASSERT(repeat.verdict.execution == Execution::kRan);
    RC_ASSERT(repeat.body == 1U);
    RC_ASSERT(chain.ledger(1).runs == 1);
  }));
}

// P3. Guards against an answer that belongs to another request.
TEST_CASE("P3 an answer belongs to the request it is given for") {
  CHECK(rc::check([] {
    CallChain chain(*rc::gen::arbitrary<std::uint64_t>(), draw_faults());
    for (std::uint64_t number = 1; number <= 4; ++number) {
      const std::string target = *rc::gen::element<std::string>("/read", "/pay");
      for (const Answer& answer : call_repeatedly(chain, number, target, 3)) {
        RC_ASSERT(answer.body == 0 || answer.body == number);
      }
    }
  }));
}

}  // namespace damaskthread
