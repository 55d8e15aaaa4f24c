// Costs of the configuration at the size targeted in two years: 230 services with 12 operations each.

#include <benchmark/benchmark.h>

#include <string>

#include "damaskthread/resource/declaration.h"
#include "damaskthread/resource/resource_store.h"

namespace damaskthread::resource {
namespace {

constexpr int kServices = 230;
constexpr int kOperations = 12;

std::string service_name(int service) { return "service-" + std::to_string(service); }

std::string declaration(int service, int retries) {
  ServiceDeclaration declaration;
  declaration.name = service_name(service);
  declaration.retries = retries;
  for (int i = 0; i < kOperations; ++i) {
    Operation operation;
    operation.method = i % 2 == 0 ? "GET" : "POST";
    operation.path_prefix = "/operation-" + std::to_string(i);
    declaration.operations.push_back(operation);
  }
  return to_json(declaration);
}

std::string put(int service, std::uint64_t base, std::uint64_t id) {
  return *encode({RecordOperation::kPut, std::string{kServiceKind}, service_name(service), base,
                  "operation-" + std::to_string(id), "operator", declaration(service, static_cast<int>(id % 9))});
}

LogSlice full_log() {
  LogSlice slice{0, kServices, {}};
  for (int i = 0; i < kServices; ++i) {
    slice.entries.push_back({static_cast<std::uint64_t>(i), put(i, 0, static_cast<std::uint64_t>(i))});
  }
  return slice;
}

void classify(benchmark::State& state) {
  const ServiceDeclaration service = *parse_declaration(declaration(0, 3)).declaration;
  for (auto _ : state) benchmark::DoNotOptimize(&service.classify("POST", "/operation-11/orders/4711"));
}
BENCHMARK(classify);

void find_service(benchmark::State& state) {
  ResourceStore store;
  store.apply(full_log(), {});
  for (auto _ : state) benchmark::DoNotOptimize(store.table()->find("service-117"));
}
BENCHMARK(find_service);

void replay_change(benchmark::State& state) {
  ResourceStore store;
  store.apply(full_log(), {});
  std::uint64_t version = 1;
  for (auto _ : state) {
    const std::uint64_t offset = store.offset();
    store.apply({0, offset + 1, {{offset, put(0, version, offset)}}}, {});
    version = store.revision();
  }
}
BENCHMARK(replay_change);

void load_state(benchmark::State& state) {
  ResourceStore store;
  store.apply(full_log(), {});
  const std::string bytes = store.state();
  for (auto _ : state) {
    ResourceStore fresh;
    benchmark::DoNotOptimize(fresh.apply_state(bytes));
  }
  state.counters["state_bytes"] = static_cast<double>(bytes.size());
}
BENCHMARK(load_state)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace damaskthread::resource

BENCHMARK_MAIN();
