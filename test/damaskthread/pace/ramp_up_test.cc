#include "damaskthread/pace/ramp_up.h"

#include <doctest/doctest.h>

#include <array>
#include <cstddef>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "damaskthread/placement/server_pool.h"

namespace damaskthread::pace {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::TimePoint kStart{seconds{100}};

// Load replay: one of four servers starts anew and is slow for three seconds, while the others have little room. Four
// entrances place requests by reports.
class RestartReplay {
 public:
  explicit RestartReplay(bool ramps_up) : ramps_up_(ramps_up), pools_(kServers) {}

  struct Outcome {
    /// Share of the requests after the restart that took longer than the objective.
    double late = 0;
    /// Mean use of the restarted server's slots from the fourth to the eighth second after its start.
    double later_use = 0;
  };

  Outcome run() {
    for (int ms = 0; ms < kEndMs; ++ms) {
      if (ms == kRestartMs) restart(ms);
      for (int server = 0; server < kServers; ++server) {
        advance(server, ms);
        if (ms % kReportMs == server * kReportMs / kServers) report(server, ms);
      }
      for (int i = std::poisson_distribution<int>(kArrivalsPerMs)(random_); i > 0; --i) place(ms);
      if (ms >= kRestartMs + 4000) {
        outcome_.later_use += static_cast<double>(servers_[0].running.size()) / kSlots / (kEndMs - kRestartMs - 4000);
      }
    }
    outcome_.late /= counted_;
    return outcome_;
  }

 private:
  static constexpr int kServers = 4;
  static constexpr int kSlots = 40;
  static constexpr int kReportMs = 400;
  static constexpr int kRestartMs = 6'000;
  static constexpr int kColdMs = 3'000;
  static constexpr int kEndMs = kRestartMs + 8'000;
  static constexpr double kColdSlowness = 4;
  static constexpr double kRunMs = 54;
  static constexpr double kArrivalsPerMs = 2.0;
  static constexpr int kObjectiveMs = 250;

  struct Run {
    int arrived_at = 0;
    int started_at = 0;
    int ends_at = 0;
    int entrance = 0;
  };
  struct Server {
    std::vector<Run> running;
    std::queue<Run> queued;
    RampUp ramp_up;
    int cold_until = 0;
  };

  static core::TimePoint time(int ms) { return kStart + milliseconds{ms}; }

  void restart(int ms) {
    servers_[0].cold_until = ms + kColdMs;
    if (ramps_up_) servers_[0].ramp_up.start(kSlots, time(ms));
    report(0, ms);
  }

  [[nodiscard]] gate::Load load(int server, int ms) const {
    const Server& state = servers_[static_cast<std::size_t>(server)];
    gate::Load result{kSlots, static_cast<int>(state.running.size()), static_cast<int>(state.queued.size()),
                      milliseconds{54}};
    result.pace = state.ramp_up.share(time(ms));
    return result;
  }

  void report(int server, int ms) {
    for (placement::ServerPool& pool : pools_) {
      pool.set_reachable(std::to_string(server), true);
      // The restarted server is absent before its start.
      const bool ready = server != 0 || ms >= kRestartMs;
      pool.set_server(std::to_string(server), true, {"s", ready, load(server, ms)}, time(ms));
    }
  }

  void place(int ms) {
    const int entrance = std::uniform_int_distribution<int>(0, kServers - 1)(random_);
    placement::PlacementRequest request;
    request.service = "s";
    request.kind = "k";
    request.objective = milliseconds{kObjectiveMs};
    const auto chosen = pools_[static_cast<std::size_t>(entrance)].choose(request, time(ms), random_);
    if (!chosen) return;
    pools_[static_cast<std::size_t>(entrance)].on_sent(*chosen);
    servers_[static_cast<std::size_t>(std::stoi(*chosen))].queued.push({ms, ms, 0, entrance});
  }

  void advance(int server, int ms) {
    Server& state = servers_[static_cast<std::size_t>(server)];
    std::vector<Run> ended;
    std::erase_if(state.running, [&](const Run& run) {
      if (run.ends_at <= ms) ended.push_back(run);
      return run.ends_at <= ms;
    });
    while (state.running.size() < kSlots && !state.queued.empty()) {
      Run run = state.queued.front();
      state.queued.pop();
      run.started_at = ms;
      // A cold server takes longer the more it has to do.
      const double busy = static_cast<double>(state.running.size()) / kSlots;
      const double slowness = ms < state.cold_until ? 1 + kColdSlowness * busy : 1;
      run.ends_at = ms + 1 + static_cast<int>(std::gamma_distribution<double>(4, kRunMs * slowness / 4)(random_));
      state.running.push_back(run);
    }
    for (const Run& run : ended) {
      placement::ServerPool& pool = pools_[static_cast<std::size_t>(run.entrance)];
      state.ramp_up.on_response("k", milliseconds{ms - run.started_at}, time(ms));
      pool.update_load(std::to_string(server), load(server, ms), time(ms));
      pool.on_finished(std::to_string(server), "k", milliseconds{ms - run.started_at}, false);
      if (run.arrived_at < kRestartMs) continue;
      counted_ += 1;
      outcome_.late += ms - run.arrived_at > kObjectiveMs ? 1 : 0;
    }
  }

  bool ramps_up_;
  core::Random random_{20261206};
  std::vector<placement::ServerPool> pools_;
  std::array<Server, kServers> servers_;
  double counted_ = 0;
  Outcome outcome_;
};

}  // namespace

TEST_CASE("the window doubles within a run time while responses come in the usual time") {
  RampUp ramp;
  for (int i = 0; i < 10; ++i) ramp.on_response("k", milliseconds{100}, kStart);
  CHECK(ramp.share(kStart) == 1);
  ramp.start(40, kStart);
  CHECK(ramp.share(kStart) == doctest::Approx(0.1));
  for (int i = 0; i < 4; ++i) ramp.on_response("k", milliseconds{110}, kStart);
  CHECK(ramp.share(kStart) == doctest::Approx(0.2));
  for (int i = 0; i < 32; ++i) ramp.on_response("k", milliseconds{110}, kStart);
  CHECK(!ramp.active(kStart));
}

TEST_CASE("the window stays while responses are slow and shrinks when they are very slow or rejected") {
  RampUp ramp;
  for (int i = 0; i < 10; ++i) ramp.on_response("k", milliseconds{100}, kStart);
  ramp.start(40, kStart);
  ramp.on_response("k", milliseconds{200}, kStart);
  CHECK(ramp.share(kStart) == doctest::Approx(0.1));
  ramp.on_response("k", milliseconds{400}, kStart);
  CHECK(ramp.share(kStart) == doctest::Approx(0.07));
  ramp.on_rejection(kStart);
  CHECK(ramp.share(kStart) == doctest::Approx(0.049));
  for (int i = 0; i < 50; ++i) ramp.on_rejection(kStart);
  CHECK(ramp.share(kStart) == doctest::Approx(1.0 / 40));
}

// A server that never gets fast must not be kept at a few requests for good.
TEST_CASE("a ramp ends after its maximum duration") {
  RampUp ramp;
  ramp.start(40, kStart);
  CHECK(ramp.share(kStart + seconds{7}) < 1);
  CHECK(ramp.share(kStart + seconds{8}) == 1);
}

// A new server looks idle to every entrance, so that all of them sent to it at once.
TEST_CASE("a server that has just started is neither flooded nor left idle") {
  const RestartReplay::Outcome ramped = RestartReplay(true).run();
  const RestartReplay::Outcome flooded = RestartReplay(false).run();
  MESSAGE("late after the start: ", ramped.late, ", without a ramp: ", flooded.late);
  MESSAGE("use of its slots later: ", ramped.later_use, ", without a ramp: ", flooded.later_use);
  CHECK(ramped.late < flooded.late);
  CHECK(ramped.later_use > 0.8 * flooded.later_use);
}

}  // namespace damaskthread::pace
