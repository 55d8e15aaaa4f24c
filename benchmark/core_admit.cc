/// @file
/// @brief Time of one admission: entrance gate, arrival and end at the local server, as the engine does it.

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <mutex>
#include <thread>
#include <vector>

#include "damaskthread/admission/caller_throttle.h"
#include "damaskthread/admission/server_admission.h"

namespace damaskthread::admission {
namespace {

constexpr int kCalls = 1'000'000;

struct Shared {
  Shared()
      : admission([] {
          AdmissionOptions options;
          options.limit.slots = 70;
          options.limit.warm_up = core::Duration{0};
          return options;
        }()) {}
  CallerThrottle throttle;
  std::mutex mutex;
  ServerAdmission admission;
};

void run_calls(Shared& shared, int thread) {
  std::vector<QueueEvent> events;
  events.reserve(64);
  core::TimePoint now{std::chrono::seconds{1}};
  for (int i = 0; i < kCalls; ++i) {
    now += std::chrono::nanoseconds{500};
    const core::ServiceId service{static_cast<std::uint32_t>(i % 230)};
    const auto hash = static_cast<std::uint64_t>(i) * 8 + static_cast<std::uint64_t>(thread);
    const Arrival arrival{static_cast<core::Importance>(i & 3), hash, 0, now + std::chrono::seconds{1}, false};
    if (!shared.throttle.admits(service, arrival, now)) continue;
    AdmissionDecision decision;
    Level level;
    {
      const std::lock_guard lock(shared.mutex);
      decision = shared.admission.admit(arrival, now, events);
      level = shared.admission.level();
    }
    if (decision.admission == AdmissionResult::kStarted) {
      const std::lock_guard lock(shared.mutex);
      shared.admission.finish(decision.ticket, {.latency = std::chrono::milliseconds{10}}, now, events);
    }
    shared.throttle.observe(service, level, now);
    events.clear();
  }
}

/// @return Calls per second of all threads together.
double measure(int threads) {
  Shared shared;
  std::vector<std::thread> workers;
  workers.reserve(static_cast<std::size_t>(threads));
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < threads; ++i) workers.emplace_back([&shared, i] { run_calls(shared, i); });
  for (std::thread& worker : workers) worker.join();
  const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
  return threads * static_cast<double>(kCalls) / elapsed.count();
}

}  // namespace
}  // namespace damaskthread::admission

int main() {
  const double one = damaskthread::admission::measure(1);
  const double eight = damaskthread::admission::measure(8);
  std::printf("core.admit_ns %.1f\n", 1e9 / one);
  std::printf("core.admit_8_threads_ratio %.2f\n", eight / one);
  return 0;
}
