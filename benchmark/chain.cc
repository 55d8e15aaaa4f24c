// Counts broken promises over seeded runs of a chain of calls in which faults come together and twice.
// Prints `name value` lines, deterministic by seed.

#include <array>
#include <cstdint>
#include <cstdio>
#include <string>

#include "support/call_chain.h"

namespace damaskthread {
namespace {

using core::Execution;
using support::Answer;
using support::CallChain;
using support::Faults;

constexpr std::uint64_t kRuns = 10'000;
constexpr int kAllowance = 3;
constexpr int kRepeats = 4;

Faults draw_faults(core::Random& random) {
  const auto chance = [&random](std::array<int, 4> chances) { return chances[random() % chances.size()]; };
  Faults faults;
  faults.connect = chance({0, 0, 50, 200});
  faults.server_down = chance({0, 0, 50, 200});
  faults.lost_answer = chance({0, 0, 50, 200});
  faults.cut_before = chance({0, 0, 50, 200});
  faults.duplicate = chance({0, 0, 50, 200});
  faults.server_refuses = chance({0, 0, 50, 200});
  faults.server_fails = chance({0, 0, 50, 200});
  faults.restart = chance({0, 0, 30, 100});
  faults.pause = chance({0, 0, 10, 50});
  return faults;
}

struct Totals {
  std::uint64_t attempts_over_bound = 0;
  std::uint64_t ran_twice = 0;
  std::uint64_t false_not_run = 0;
  std::uint64_t wrong_answers = 0;
  std::uint64_t answers = 0;
  std::uint64_t may_have_run = 0;
};

void run(std::uint64_t seed, Totals& totals) {
  core::Random random(seed);
  CallChain chain(random(), draw_faults(random));
  constexpr std::array<const char*, 3> kTargets = {"/read", "/write", "/pay"};
  const std::string target = kTargets[random() % kTargets.size()];
  const bool once = target == "/pay";
  std::string id;
  std::string token;
  bool all_not_run = true;
  int repeats_run = 0;
  for (int i = 0; i < kRepeats; ++i) {
    if (random() % 4 == 0) chain.scramble_views();
    if (random() % 6 == 0) chain.restart(random() % chain.size());
    const int before = chain.ledger(1).runs_anywhere;
    const Answer answer = chain.call(random() % chain.size(), 1, target, once ? "" : id, token);
    if (i > 0 && chain.ledger(1).runs_anywhere > before) ++repeats_run;
    if (id.empty()) id = answer.request_id;
    if (token.empty()) token = answer.token;
    ++totals.answers;
    totals.may_have_run += answer.verdict.execution == Execution::kMayHaveRun ? 1 : 0;
    totals.wrong_answers += answer.body != 0 && answer.body != 1 ? 1 : 0;
    all_not_run = all_not_run && answer.verdict.execution == Execution::kNotRun;
  }
  const support::Ledger& ledger = chain.ledger(1);
  // A payment's repeats carry a token instead of the id, and run at most once.
  totals.attempts_over_bound += !once && ledger.retries + repeats_run > kAllowance ? 1 : 0;
  totals.false_not_run += all_not_run && ledger.runs_anywhere > 0 ? 1 : 0;
  for (const auto& [operation, runs] : ledger.once) totals.ran_twice += runs > 1 ? 1 : 0;
}

}  // namespace
}  // namespace damaskthread

int main() {
  damaskthread::Totals totals;
  for (std::uint64_t seed = 1; seed <= damaskthread::kRuns; ++seed) damaskthread::run(seed, totals);
  std::printf("chain.runs %llu\n", static_cast<unsigned long long>(damaskthread::kRuns));
  std::printf("policy.attempts_over_bound %llu\n", static_cast<unsigned long long>(totals.attempts_over_bound));
  std::printf("policy.ran_twice %llu\n", static_cast<unsigned long long>(totals.ran_twice));
  std::printf("policy.false_not_run %llu\n", static_cast<unsigned long long>(totals.false_not_run));
  std::printf("policy.wrong_or_partial_answers %llu\n", static_cast<unsigned long long>(totals.wrong_answers));
  std::printf("chain.may_have_run_share %.4f\n",
              static_cast<double>(totals.may_have_run) / static_cast<double>(totals.answers));
  return 0;
}
