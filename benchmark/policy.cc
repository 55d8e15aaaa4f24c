/// @file
/// @brief Runs the policy scenarios and prints `name value` lines; the baselines run with the same seed.

#include <array>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include "support/policy_fixture.h"

namespace damaskthread::test {
namespace {

using std::chrono::seconds;

struct Line {
  std::string name;
  double Result::*value = nullptr;
  int Result::*count = nullptr;
};

struct Job {
  Deployment deployment;
  Scenario scenario;
  std::vector<Line> lines;
};

constexpr std::array<const char*, 4> kSuffixes = {"", ".baseline_none", ".baseline_fixed", ".baseline_adaptive"};
constexpr std::array<PolicyKind, 4> kPolicies = {PolicyKind::kDamaskthread, PolicyKind::kNone, PolicyKind::kFixed,
                                                 PolicyKind::kAdaptive};

std::vector<Job> jobs(std::uint64_t seed) {
  std::vector<Job> jobs;
  for (const Deployment& deployment : {birchrun(), lindqvist()}) {
    const std::string& name = deployment.name;
    for (const int load : {1, 2, 3, 5}) {
      const std::string suffix = name + "." + std::to_string(load) + "x";
      Job job{deployment, {.phases = {{seconds{0}, 1.0 * load, 1}}, .seed = seed}, {}};
      job.lines.push_back({.name = "policy.goodput." + suffix, .value = &Result::goodput});
      if (load >= 3) job.lines.push_back({.name = "policy.critical." + suffix, .value = &Result::critical});
      if (load >= 3) job.lines.push_back({.name = "policy.wasted_work." + suffix, .value = &Result::wasted});
      jobs.push_back(job);
    }
    // A deep service at a third of its speed and a surge to 3x; the log takes no part in these decisions.
    jobs.push_back({deployment,
                    {.phases = {{seconds{0}, 0.7, 1}, {seconds{5}, 3, 1.0 / 3}}, .seed = seed},
                    {{.name = "policy.goodput." + name + ".combined", .value = &Result::goodput},
                     {.name = "policy.wasted_work." + name + ".combined", .value = &Result::wasted}}});
    jobs.push_back({deployment,
                    {.phases = {{seconds{0}, 0.7, 1}, {seconds{5}, 3, 1}, {seconds{15}, 0.7, 1}},
                     .end = seconds{25},
                     .recovery_from = seconds{15},
                     .seed = seed},
                    {{.name = "policy.recovery_s." + name, .value = &Result::recovery_s}}});
    jobs.push_back({deployment,
                    {.phases = {{seconds{0}, 0.75, 1}, {seconds{5}, 0.75, 1.0 / 3}, {seconds{15}, 0.75, 1}},
                     .measure_from = seconds{15},
                     .end = seconds{30},
                     .recovery_from = seconds{15},
                     .seed = seed},
                    {{.name = "policy.metastable." + name + ".goodput_after", .value = &Result::goodput},
                     {.name = "policy.metastable." + name + ".recovery_s", .value = &Result::recovery_s}}});
    jobs.push_back({deployment,
                    {.phases = {{seconds{0}, 0.5, 1}}, .poison_at = seconds{6}, .seed = seed},
                    {{.name = "policy.poison_crashes." + name, .count = &Result::crashes},
                     {.name = "policy.poison_goodput." + name, .value = &Result::goodput}}});
  }
  return jobs;
}

int run_all(std::uint64_t seed, bool baselines) {
  const std::vector<Job> all = jobs(seed);
  const std::size_t policies = baselines ? kPolicies.size() : 1;
  std::vector<Result> results(all.size() * policies);
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> threads;
  // Each run is independent and uses one thread; four at once keep the machine usable.
  constexpr int kThreads = 4;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      for (std::size_t k = next++; k < results.size(); k = next++) {
        const Job& job = all[k / policies];
        const std::unique_ptr<Policy> policy = make_policy(kPolicies[k % policies]);
        results[k] = run(job.deployment, job.scenario, *policy);
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  for (std::size_t i = 0; i < all.size(); ++i) {
    for (const Line& line : all[i].lines) {
      for (std::size_t k = 0; k < policies; ++k) {
        const Result& result = results[i * policies + k];
        const double value = line.value != nullptr ? result.*line.value : result.*line.count;
        std::printf("%s%s %.4f\n", line.name.c_str(), kSuffixes[k], value);
      }
    }
  }
  return 0;
}

}  // namespace
}  // namespace damaskthread::test

int main(int argc, char** argv) {
  // Usage: policy [seed [own]]; `own` leaves out the baselines.
  const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 20261204;
  return damaskthread::test::run_all(seed, argc <= 2);
}
