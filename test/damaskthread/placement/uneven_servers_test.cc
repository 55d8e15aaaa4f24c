// Load replay: servers of different speed whose VMs are slowed by their neighbours for about 600 ms at a time, and
// several entrances that place requests by load reports.

#include <doctest/doctest.h>

#include <array>
#include <limits>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "damaskthread/placement/server_pool.h"

namespace damaskthread::placement {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::TimePoint kStart{seconds{100}};
constexpr int kServers = 12;
constexpr int kEntrances = 6;
constexpr int kSlots = 10;
constexpr double kMeanRunMs = 290;
constexpr std::array<double, 3> kSpeeds = {0.7, 0.7, 1.7};
constexpr double kSlowedShare = 0.15;
constexpr double kSlowedWorkTime = 2.5;
constexpr int kNoiseMs = 600;
constexpr int kReportMs = 400;
constexpr int kWarmUpMs = 5'000;
constexpr int kEndMs = 40'000;
constexpr double kArrivalsPerMs = 0.21;
constexpr core::Duration kObjective = seconds{2};

enum class View { kRunTimesOnly, kReports, kOracle };

struct Outcome {
  double mean_ms = 0;
  double above_second = 0;
};

class Simulation {
 public:
  explicit Simulation(View view) : view_(view), pools_(kEntrances), work_time_(kServers, 1), servers_(kServers) {}

  Outcome run() {
    double total = 0;
    for (int ms = 0; ms < kEndMs; ++ms) {
      for (int server = 0; server < kServers; ++server) {
        // The VMs change at different moments.
        if ((ms + server * kNoiseMs / kServers) % kNoiseMs == 0) {
          work_time_[server] = std::bernoulli_distribution(kSlowedShare)(random_) ? kSlowedWorkTime : 1;
        }
        advance(server, ms);
        if (ms % kReportMs == server * kReportMs / kServers) report(server, ms);
      }
      for (int i = std::poisson_distribution<int>(kArrivalsPerMs)(random_); i > 0; --i) place(ms);
    }
    for (const double took : took_ms_) {
      total += took;
      outcome_.above_second += took > 1000 ? 1.0 / static_cast<double>(took_ms_.size()) : 0;
    }
    outcome_.mean_ms = total / static_cast<double>(took_ms_.size());
    return outcome_;
  }

 private:
  struct Run {
    double work_left = 0;
    int arrived_at = 0;
    int started_at = 0;
    int entrance = 0;
  };
  struct Server {
    std::vector<Run> running;
    std::queue<Run> queued;
  };

  static core::TimePoint time(int ms) { return kStart + milliseconds{ms}; }

  [[nodiscard]] gate::Load load(int server) const {
    gate::Load result{kSlots, static_cast<int>(servers_[server].running.size()),
                      static_cast<int>(servers_[server].queued.size()), milliseconds{290}};
    if (view_ == View::kReports) result.work_time = work_time_[server];
    return result;
  }

  void report(int server, int ms) {
    for (ServerPool& pool : pools_) {
      pool.set_reachable(std::to_string(server), true);
      pool.set_server(std::to_string(server), true, {"s", true, load(server)}, time(ms));
    }
  }

  // Knows all servers at this moment and takes the one that ends the request first.
  [[nodiscard]] int oracle() const {
    int best = 0;
    double best_cost = std::numeric_limits<double>::max();
    for (int server = 0; server < kServers; ++server) {
      const double busy = static_cast<double>(servers_[server].running.size() + servers_[server].queued.size());
      const double cost = work_time_[server] / kSpeeds[server % 3] * std::max(1.0, (busy + 1) / kSlots);
      if (cost >= best_cost) continue;
      best = server;
      best_cost = cost;
    }
    return best;
  }

  void place(int ms) {
    const int entrance = std::uniform_int_distribution<int>(0, kEntrances - 1)(random_);
    int server = 0;
    if (view_ == View::kOracle) {
      server = oracle();
    } else {
      PlacementRequest request;
      request.service = "s";
      request.kind = "k";
      request.objective = kObjective;
      const auto chosen = pools_[entrance].choose(request, time(ms), random_);
      if (!chosen) return;
      pools_[entrance].on_sent(*chosen);
      server = std::stoi(*chosen);
    }
    const double work = std::gamma_distribution<double>(4, kMeanRunMs / 4)(random_);
    servers_[server].queued.push({work, ms, ms, entrance});
  }

  void advance(int server, int ms) {
    Server& state = servers_[server];
    std::vector<Run> ended;
    for (Run& run : state.running) run.work_left -= kSpeeds[server % 3] / work_time_[server];
    std::erase_if(state.running, [&ended](const Run& run) {
      if (run.work_left <= 0) ended.push_back(run);
      return run.work_left <= 0;
    });
    while (static_cast<int>(state.running.size()) < kSlots && !state.queued.empty()) {
      Run run = state.queued.front();
      state.queued.pop();
      run.started_at = ms;
      state.running.push_back(run);
    }
    for (const Run& run : ended) {
      ServerPool& pool = pools_[run.entrance];
      pool.update_load(std::to_string(server), load(server), time(ms));
      pool.on_finished(std::to_string(server), "k", milliseconds{ms - run.started_at}, false);
      if (run.arrived_at >= kWarmUpMs) took_ms_.push_back(ms - run.arrived_at);
    }
  }

  View view_;
  core::Random random_{20261206};
  std::vector<ServerPool> pools_;
  std::vector<double> work_time_;
  std::vector<Server> servers_;
  std::vector<double> took_ms_;
  Outcome outcome_;
};

}  // namespace

// Run times that were seen lag behind a VM that is slowed for half a second.
TEST_CASE("requests avoid VMs that report a long work time") {
  const Outcome run_times = Simulation(View::kRunTimesOnly).run();
  const Outcome reports = Simulation(View::kReports).run();
  const Outcome oracle = Simulation(View::kOracle).run();
  MESSAGE("mean ms by run times: ", run_times.mean_ms, ", with reports: ", reports.mean_ms,
          ", oracle: ", oracle.mean_ms);
  MESSAGE("above a second by run times: ", run_times.above_second, ", with reports: ", reports.above_second,
          ", oracle: ", oracle.above_second);
  CHECK(reports.mean_ms < run_times.mean_ms);
  CHECK(reports.above_second < run_times.above_second);
}

// Without reported work times nothing may change for the deployments served so far.
TEST_CASE("a server that ramps up counts as full at its share of the slots") {
  ServerPool pool;
  core::Random random(1);
  gate::Load ramping{10, 2, 0, milliseconds{100}};
  ramping.pace = 0.2;
  for (const char* endpoint : {"new", "old"}) pool.set_reachable(endpoint, true);
  pool.set_server("new", true, {"s", true, ramping}, kStart);
  pool.set_server("old", true, {"s", true, {10, 7, 0, milliseconds{100}}}, kStart);
  PlacementRequest request;
  request.service = "s";
  CHECK(pool.choose(request, kStart, random) == "old");
  ramping.pace = 1;
  pool.set_server("new", true, {"s", true, ramping}, kStart);
  CHECK(pool.choose(request, kStart, random) == "new");
}

}  // namespace damaskthread::placement
