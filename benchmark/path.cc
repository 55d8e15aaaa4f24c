// Added latency of the path: the same calls direct to the backend server and through two daemons, paired in one run.
// Real processes on loopback. Prints `name value` lines.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "damaskthread/http/client.h"
#include "damaskthread/http/socket_stream.h"
#include "support/process_fleet.h"

namespace damaskthread {
namespace {

using Clock = std::chrono::steady_clock;
using support::Member;
using support::ProcessFleet;

struct Target {
  std::uint16_t port = 0;
  http::Request request;
};

struct Latencies {
  std::vector<double> direct_us;
  std::vector<double> through_us;
  int failed = 0;
};

double quantile(std::vector<double>& values, double share) {
  if (values.empty()) return 0;
  const auto index = std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
  return values[index];
}

// Open loop: pair number i starts at i / rate; each pair sends one call either way, in alternating order.
Latencies run_pairs(const Target& direct, const Target& through, double rate, std::chrono::seconds length) {
  constexpr int kThreads = 32;
  const auto pairs = static_cast<std::int64_t>(rate * static_cast<double>(length.count()));
  http::Client client({.max_idle_per_endpoint = kThreads});
  Latencies all;
  std::mutex mutex;
  std::atomic<std::int64_t> next = 0;
  const auto begin = Clock::now();
  const auto work = [&] {
    Latencies own;
    for (std::int64_t i = next++; i < pairs; i = next++) {
      std::this_thread::sleep_until(begin + std::chrono::duration_cast<Clock::duration>(
                                                std::chrono::duration<double>(static_cast<double>(i) / rate)));
      for (int k = 0; k < 2; ++k) {
        const bool is_direct = (i + k) % 2 == 0;
        const Target& target = is_direct ? direct : through;
        const auto start = Clock::now();
        const auto result = client.send({"127.0.0.1", target.port}, target.request, std::chrono::seconds(5));
        const double taken = std::chrono::duration<double, std::micro>(Clock::now() - start).count();
        const auto* response = std::get_if<http::Response>(&result);
        if (response == nullptr || response->status != 200) {
          ++own.failed;
          continue;
        }
        (is_direct ? own.direct_us : own.through_us).push_back(taken);
      }
    }
    const std::lock_guard lock(mutex);
    all.direct_us.insert(all.direct_us.end(), own.direct_us.begin(), own.direct_us.end());
    all.through_us.insert(all.through_us.end(), own.through_us.begin(), own.through_us.end());
    all.failed += own.failed;
  };
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) threads.emplace_back(work);
  for (std::thread& thread : threads) thread.join();
  return all;
}

void print(const std::string& suffix, Latencies& latencies) {
  const double direct_p50 = quantile(latencies.direct_us, 0.5);
  const double direct_p99 = quantile(latencies.direct_us, 0.99);
  const double through_p50 = quantile(latencies.through_us, 0.5);
  const double through_p99 = quantile(latencies.through_us, 0.99);
  std::printf("path.direct_p50_us.%s %.0f\n", suffix.c_str(), direct_p50);
  std::printf("path.direct_p99_us.%s %.0f\n", suffix.c_str(), direct_p99);
  std::printf("path.added_p50_us.%s %.0f\n", suffix.c_str(), through_p50 - direct_p50);
  std::printf("path.added_p99_us.%s %.0f\n", suffix.c_str(), through_p99 - direct_p99);
  std::printf("path.failed.%s %d\n", suffix.c_str(), latencies.failed);
}

// Of all daemons together.
std::chrono::milliseconds cpu_time(ProcessFleet& fleet) {
  std::chrono::milliseconds total{0};
  for (const auto& member : fleet.members()) total += support::cpu_time(*member->daemon_process);
  return total;
}

int run() {
  ProcessFleet fleet;
  const std::vector<std::string> arguments = {"--service_ms=0", "--slots=200", "--connections=300"};
  fleet.add("front", "zone-a", arguments);
  Member& server = fleet.add("deep", "zone-a", arguments);
  const std::uint16_t ingress = fleet.members().front()->call;
  if (!fleet.wait_joined() ||
      !fleet.declare("deep", R"([{"method": "GET", "path_prefix": "/", "importance": "normal"}])"))
    return 1;
  const Target direct{server.server, {"GET", "/free?op=x", {}, ""}};
  const Target through{ingress, {"GET", "/free?op=x", {{"Damask-Service", "deep"}}, ""}};
  (void)run_pairs(direct, through, 200, std::chrono::seconds(4));  // Past the warm-up of 3 s.
  for (const double rate : {250.0, 2500.0}) {
    const auto before = cpu_time(fleet);
    Latencies latencies = run_pairs(direct, through, rate, std::chrono::seconds(8));
    const std::chrono::duration<double> used = cpu_time(fleet) - before;
    print(std::to_string(static_cast<int>(rate)), latencies);
    const double calls = static_cast<double>(latencies.through_us.size());
    std::printf("path.calls_per_s_per_core.%d %.0f\n", static_cast<int>(rate), calls / std::max(used.count(), 1e-9));
  }
  std::vector<http::internal::Socket> idle;
  idle.reserve(700);
  for (int i = 0; i < 700; ++i) {
    idle.push_back(http::internal::connect({"127.0.0.1", ingress}, Clock::now() + std::chrono::seconds(2)));
  }
  Latencies latencies = run_pairs(direct, through, 250, std::chrono::seconds(8));
  print("250.700_connections", latencies);
  return 0;
}

}  // namespace
}  // namespace damaskthread

int main() {
  if (std::getenv("DAMASKTHREAD_BIN") == nullptr) {
    std::fprintf(stderr, "DAMASKTHREAD_BIN names the build directory\n");
    return 2;
  }
  return damaskthread::run();
}
