#include <benchmark/benchmark.h>

#include "damaskthread/metrics/registry.h"

namespace damaskthread::metrics {
namespace {

Registry& registry() {
  static Registry instance;
  return instance;
}

void count(benchmark::State& state) {
  Counter& counter = registry().counter("calls_total", "Calls.");
  for (auto _ : state) counter.count();
}

void observe(benchmark::State& state) {
  Quantiles& quantiles = registry().quantiles("latency_seconds", "Latency.");
  double value = 0.001;
  for (auto _ : state) {
    quantiles.observe(value);
    value = value < 0.1 ? value * 1.01 : 0.001;
  }
}

void expose(benchmark::State& state) {
  Registry large;
  for (int i = 0; i < 200; ++i) {
    large.counter("calls_total", "Calls.", {{"service", std::to_string(i)}}).count();
    large.quantiles("latency_seconds", "Latency.", {{"service", std::to_string(i)}}).observe(0.001);
  }
  for (auto _ : state) benchmark::DoNotOptimize(large.expose());
}

BENCHMARK(count)->Name("metrics.count_ns")->Threads(1)->Threads(8);
BENCHMARK(observe)->Name("metrics.observe_ns")->Threads(1)->Threads(8);
BENCHMARK(expose)->Name("metrics.expose_200_services")->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace damaskthread::metrics

BENCHMARK_MAIN();
