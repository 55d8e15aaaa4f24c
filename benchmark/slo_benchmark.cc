#include <benchmark/benchmark.h>

#include <chrono>
#include <string>
#include <vector>

#include "damaskthread/slo/burn_tracker.h"
#include "damaskthread/slo/report.h"

namespace damaskthread::slo {
namespace {

std::vector<Objective> objectives(int services) {
  std::vector<Objective> list;
  list.reserve(static_cast<std::size_t>(services));
  for (int i = 0; i < services; ++i) list.push_back({.service = "service-" + std::to_string(i)});
  return list;
}

void record(benchmark::State& state) {
  static BurnTracker tracker;
  if (state.thread_index() == 0) tracker.set_objectives(objectives(16), core::TimePoint{});
  const std::string service = "service-" + std::to_string(state.thread_index());
  core::TimePoint now{std::chrono::hours{1}};
  for (auto _ : state) {
    tracker.record(service, core::Importance::kNormal, Result::kWhole, std::chrono::milliseconds{5}, now);
    now += std::chrono::microseconds{100};
  }
}

void merge_daemons(benchmark::State& state) {
  std::vector<BurnSnapshot> snapshots;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    BurnTracker tracker;
    tracker.set_objectives(objectives(20), core::TimePoint{});
    snapshots.push_back(tracker.snapshot({std::to_string(i), {1}, {}}, core::TimePoint{std::chrono::hours{1}}));
  }
  for (auto _ : state) benchmark::DoNotOptimize(merge(snapshots, {}));
}

BENCHMARK(record)->Name("slo.record_ns")->Threads(1)->Threads(8);
BENCHMARK(merge_daemons)->Name("slo.merge_daemons")->Arg(220)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace damaskthread::slo

BENCHMARK_MAIN();
