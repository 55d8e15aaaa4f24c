// Time of one routing decision. Prints lines of the form "name value".
#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <new>
#include <numeric>
#include <optional>
#include <thread>
#include <vector>

#include "damaskthread/routing/router.h"

namespace {

std::atomic<std::uint64_t> allocations{0};

}  // namespace

// Counts allocations; the operators stay otherwise as the standard has them.
void* operator new(std::size_t size) {
  allocations.fetch_add(1, std::memory_order_relaxed);
  if (void* memory = std::malloc(size)) return memory;
  throw std::bad_alloc();
}
void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }

namespace {

using damaskthread::core::Duration;
using damaskthread::core::Random;
using damaskthread::core::ServerId;
using damaskthread::core::TimePoint;
using damaskthread::routing::AttemptOutcome;
using damaskthread::routing::ServerInfo;
using damaskthread::routing::ServiceRouter;
using damaskthread::routing::ServiceRouterOptions;
using std::chrono::microseconds;

constexpr int kThreads = 8;
constexpr int kRounds = 7;

std::vector<ServerInfo> make_servers(int count) {
  std::vector<ServerInfo> servers;
  for (int i = 0; i < count; ++i) {
    const auto zone = static_cast<std::uint32_t>(i % 11);
    servers.push_back({.id = {static_cast<std::uint64_t>(i) + 1},
                       .incarnation = {1},
                       .zone = zone,
                       .region = zone % 3,
                       .slots = 70,
                       .connections = 530});
  }
  return servers;
}

// A call is a choice, its start and its end; a choice alone is what an attempt waits for.
enum class Work { kChoice, kCall };

void run(ServiceRouter& router, Work work, int iterations, std::uint64_t seed) {
  Random random(seed);
  TimePoint now{std::chrono::seconds(1000)};
  for (int i = 0; i < iterations; ++i) {
    now += microseconds(2);
    const std::optional<ServerId> server = router.choose(random, {}, now);
    if (work == Work::kChoice || !server) continue;
    router.started(*server, now);
    router.finished(*server, AttemptOutcome::kAnswered, microseconds(900 + i % 200), now);
  }
}

double thread_seconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

// Processor time does not count waiting for a core that other programs use, and so tells contention from a busy
// machine. It does not count waiting for a lock either, which only elapsed time shows.
struct Spent {
  double elapsed = 0;
  double processor = 0;  // Mean of the threads.
};

Spent spend(ServiceRouter& router, Work work, int threads, int iterations) {
  std::vector<double> processor(static_cast<std::size_t>(threads));
  const auto start = std::chrono::steady_clock::now();
  std::vector<std::thread> workers;
  workers.reserve(static_cast<std::size_t>(threads));
  for (int t = 0; t < threads; ++t) {
    workers.emplace_back([&, t] {
      const double before = thread_seconds();
      run(router, work, iterations, static_cast<std::uint64_t>(t));
      processor[static_cast<std::size_t>(t)] = thread_seconds() - before;
    });
  }
  for (std::thread& worker : workers) worker.join();
  const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
  return {elapsed.count(), std::accumulate(processor.begin(), processor.end(), 0.0) / threads};
}

double median(std::array<double, kRounds> values) {
  std::ranges::sort(values);
  return values[kRounds / 2];
}

void measure(ServiceRouter& router, Work work, const char* prefix) {
  constexpr int kIterations = 1'000'000;
  std::array<double, kRounds> one;
  std::array<double, kRounds> ratio;
  std::array<double, kRounds> processor_ratio;
  for (int round = 0; round < kRounds; ++round) {
    const Spent alone = spend(router, work, 1, kIterations);
    const Spent together = spend(router, work, kThreads, kIterations);
    one[round] = alone.elapsed * 1e9 / kIterations;
    ratio[round] = kThreads * alone.elapsed / together.elapsed;
    processor_ratio[round] = kThreads * alone.processor / together.processor;
  }
  std::printf("core.%s_ns.2400 %.1f\n", prefix, median(one));
  std::printf("core.%s_8_threads_ratio %.2f\n", prefix, median(ratio));
  std::printf("core.%s_8_threads_processor_ratio %.2f\n", prefix, median(processor_ratio));
}

}  // namespace

int main() {
  ServiceRouter router(ServiceRouterOptions{.self = {7}, .zone = 0, .region = 0});
  const std::vector<ServerInfo> servers = make_servers(2400);
  const TimePoint start{std::chrono::seconds(999)};
  router.set_servers(servers, {.zone = 218, .region = 800, .all = 2400}, start);
  std::printf("core.route_members.2400 %zu\n", router.members(start).size());
  run(router, Work::kCall, 10'000, 1);
  const std::uint64_t before = allocations.load();
  run(router, Work::kCall, 100'000, 2);
  std::printf("core.route_allocations %llu\n", static_cast<unsigned long long>(allocations.load() - before));
  measure(router, Work::kChoice, "route");
  measure(router, Work::kCall, "route_call");
  constexpr int kViews = 100;
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < kViews; ++i) router.set_servers(servers, {.zone = 218, .region = 800, .all = 2400}, start);
  const std::chrono::duration<double, std::micro> spent = std::chrono::steady_clock::now() - begin;
  std::printf("core.route_view_us.2400 %.1f\n", spent.count() / kViews);
  return 0;
}
