/// @file
/// @brief The daemons of a zone are stopped and started again, several times, while clients upload manifests.

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <exception>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "harness.h"

namespace damaskthread::review {
namespace {

using Json = nlohmann::json;
using std::chrono::seconds;

// Of the deployment prm-tri-grown, on fewer machines.
constexpr std::size_t kRolled = 3;
constexpr std::size_t kOthers = 2;
constexpr int kCapacity = 240;
constexpr int kBudgetSlack = 109;
constexpr Milliseconds kHeartbeat{1500};
constexpr Milliseconds kGrace{6000};
constexpr Milliseconds kLossSlack{200};
constexpr Milliseconds kDeadline{6000};
// Requests sent until then after the SIGTERM may still be at work in the last sixth of `grace`.
constexpr Milliseconds kExcusedUntil{3000};
// `manifest-upload`: 183 a second, work of 350 ms, 0.03 of them seven times as long, 3,700 ms at most.
constexpr double kMeanWork = 350;
constexpr double kTailShare = 0.03;
constexpr double kTailFactor = 7;
constexpr double kMostWork = 3700;
constexpr std::size_t kClientsPerMachine = 60;
constexpr seconds kClientPause{1};
// `roll_term`: at most four at a time; here the three of the zone.
constexpr Milliseconds kRestartDelay{300};
constexpr int kRounds = 10;
constexpr seconds kRoundTime{8};

std::string configuration() {
  const Json route = {{"name", "manifest-upload"}, {"path_prefix", "/"}, {"kind", "upload"},
                      {"slo", "1500ms"},           {"priority", 1},      {"service", "manifeste"},
                      {"max_attempts", 2}};
  return Json{
      {"version", 1},
      {"services", {{{"name", "manifeste"}, {"health_path", "/health"}, {"max_conns", 1540}}}},
      {"limits", {{"header_bytes", 16384}, {"body_bytes", 67108864}, {"header", "3000ms"}, {"idle", "15000ms"}}},
      {"virtual_hosts", {{{"host", "depot.example"}, {"paths", {route}}}}}}
      .dump();
}

// A request of a client.
struct Attempt {
  std::string id;
  std::size_t machine = 0;
  Clock::time_point sent;
  /// When the response or the end of the connection came.
  Clock::time_point ended;
  bool refused_connection = false;
  int status = 0;
};

struct Observed {
  std::mutex mutex;
  std::vector<Attempt> attempts;
  /// When a server began to work on an attempt, and when it ended.
  std::map<std::string, std::pair<Clock::time_point, Clock::time_point>> runs;
  std::array<std::vector<Clock::time_point>, kRolled> stops;
};

Milliseconds draw_work() {
  thread_local std::mt19937 random{std::random_device{}()};
  std::uniform_real_distribution<double> share(0, 1);
  std::uniform_real_distribution<double> spread(0.5, 1.5);
  const double factor = share(random) < kTailShare ? kTailFactor : 1;
  return Milliseconds(static_cast<int>(std::min(kMostWork, kMeanWork * factor * spread(random))));
}

// The readiness checks of the platform: which machines of the zone get new work.
class Platform {
 public:
  explicit Platform(const std::vector<Machine>& machines) : misses_(kRolled) {
    for (std::size_t i = 0; i < kRolled; ++i) {
      checks_.emplace_back([this, i, machine = machines[i]] { check(i, machine); });
    }
  }
  ~Platform() {
    stopping_ = true;
    for (std::thread& check : checks_) check.join();
  }
  Platform(const Platform&) = delete;
  Platform& operator=(const Platform&) = delete;

  [[nodiscard]] bool gives_work(std::size_t machine) const {
    const auto in = std::count_if(misses_.begin(), misses_.end(), [](const auto& misses) { return misses < 2; });
    return misses_[machine] < 2 || 2 * static_cast<std::size_t>(in) < kRolled;
  }

 private:
  void check(std::size_t index, const Machine& machine) {
    auto next = Clock::now();
    while (!stopping_) {
      Request request;
      request.target = "/readiness";
      request.headers = {{"Host", to_string(machine.ready)}};
      misses_[index] = call(machine.ready, request, Milliseconds(900)).status == 200 ? 0 : misses_[index] + 1;
      next += seconds(1);
      std::this_thread::sleep_until(next);
    }
  }

  std::vector<std::atomic<int>> misses_;
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> checks_;
};

// Whether a request without a complete answer breaks the rule LOST, beside a SIGTERM at `stop`.
bool is_lost(const Attempt& attempt, const Observed& observed, Clock::time_point stop) {
  if (attempt.sent < stop || attempt.sent > stop + kGrace + seconds(1)) return false;
  if (attempt.ended >= attempt.sent + kDeadline) return false;
  const auto run = observed.runs.find(attempt.id);
  const bool passed_on = run != observed.runs.end();
  if (!passed_on && attempt.ended - attempt.sent <= kLossSlack) return false;
  const bool at_work = passed_on && run->second.second > stop + kGrace * 5 / 6;
  return !(at_work && attempt.sent <= stop + kExcusedUntil);
}

int run(const std::string& record_path) {
  Record record(record_path);
  const Folder folder;
  const Network network({{"manifeste", static_cast<int>(kRolled + kOthers)}});
  std::vector<Machine> machines = network.machines();
  for (std::size_t i = 0; i < machines.size(); ++i) machines[i].zone = i < kRolled ? "zone-a" : "zone-b";
  Store store(network.store());
  store.put("keyed.op", "config", configuration());

  Observed observed;
  const auto behaviour = [&](const Arrival& arrival) -> Outcome {
    const auto begun = Clock::now();
    const auto until = begun + draw_work();
    {
      const std::lock_guard lock(observed.mutex);
      observed.runs[arrival.attempt] = {begun, until};
    }
    std::this_thread::sleep_until(until);
    return {};
  };
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<std::unique_ptr<Server>> servers;
  for (const Machine& machine : machines) {
    daemons.push_back(std::make_unique<Daemon>(machine, network.store(), folder.path(), kBudgetSlack));
    daemons.back()->start();
    servers.push_back(std::make_unique<Server>(machine, kCapacity, kHeartbeat, record, behaviour));
  }
  if (!wait_until_ready(daemons, seconds(15))) return kNotRun;
  for (const auto& server : servers) server->start();
  std::this_thread::sleep_for(seconds(4));

  std::vector<std::thread> clients;
  std::atomic<bool> stopping{false};
  int own_ends = 0;
  {
    const Platform platform(machines);
    for (std::size_t i = 0; i < kRolled * kClientsPerMachine; ++i) {
      clients.emplace_back([&, i] {
        const std::size_t machine = i % kRolled;
        std::this_thread::sleep_for(kClientPause * i / (kRolled * kClientsPerMachine));
        auto next = Clock::now();
        while (!stopping) {
          next = std::max(next + kClientPause, Clock::now());
          if (platform.gives_work(machine)) {
            Request request;
            request.method = "POST";
            request.target = "/manifest/" + std::to_string(i);
            request.body = std::string(2000, 'm');
            Attempt attempt;
            attempt.id = new_attempt();
            attempt.machine = machine;
            request.headers = {{"Host", "depot.example"},
                               {"X-Attempt-Id", attempt.id},
                               {"X-Deadline-Ms", std::to_string(kDeadline.count())}};
            const auto wire = Wire::connect(machines[machine].outbound, seconds(1));
            Response response;
            if (wire == nullptr || !wire->write(request)) {
              attempt.refused_connection = true;
            } else {
              attempt.sent = Clock::now();
              if (wire->read(response, attempt.sent + kDeadline)) attempt.status = response.status;
            }
            attempt.ended = Clock::now();
            const std::lock_guard lock(observed.mutex);
            observed.attempts.push_back(attempt);
          }
          std::this_thread::sleep_until(next);
        }
      });
    }
    std::this_thread::sleep_for(seconds(3));

    for (int round = 0; round < kRounds; ++round) {
      const auto begun = Clock::now();
      std::array<std::optional<Clock::time_point>, kRolled> restart_at;
      for (std::size_t i = 0; with_trouble() && i < kRolled; ++i) {
        const std::lock_guard lock(observed.mutex);
        observed.stops[i].push_back(Clock::now());
        daemons[i]->signal(SIGTERM);
        record.line("SIGTERM for the daemon of " + machines[i].name);
      }
      while (Clock::now() < begun + kRoundTime) {
        for (std::size_t i = 0; i < kRolled; ++i) {
          if (!daemons[i]->running() && restart_at[i] && Clock::now() >= *restart_at[i]) {
            restart_at[i].reset();
            daemons[i]->start();
          } else if (daemons[i]->ended_by_itself()) {
            record.line("the daemon of " + machines[i].name + " has ended");
            if (!with_trouble()) ++own_ends;
            restart_at[i] = Clock::now() + kRestartDelay;
          }
        }
        std::this_thread::sleep_for(Milliseconds(5));
      }
    }
    stopping = true;
    for (std::thread& client : clients) client.join();
  }

  const std::lock_guard lock(observed.mutex);
  int served = 0;
  int unanswered = 0;
  int lost = 0;
  for (const Attempt& attempt : observed.attempts) {
    if (attempt.status == 200) ++served;
    if (attempt.status != 0 || attempt.refused_connection) continue;
    ++unanswered;
    for (const auto& stop : observed.stops[attempt.machine]) {
      if (!is_lost(attempt, observed, stop)) continue;
      ++lost;
      const auto run = observed.runs.find(attempt.id);
      const auto after = [&](Clock::time_point time) {
        return std::to_string(std::chrono::duration_cast<Milliseconds>(time - stop).count()) + " ms";
      };
      record.line("LOST: attempt " + attempt.id + " at " + machines[attempt.machine].name +
                  ", after its SIGTERM: sent " + after(attempt.sent) + ", " +
                  (run == observed.runs.end() ? "not passed on" : "server began at " + after(run->second.first)) +
                  ", connection ended without an answer at " + after(attempt.ended));
    }
  }
  record.line("requests: " + std::to_string(observed.attempts.size()) + ", served: " + std::to_string(served) +
              ", connection ended without an answer: " + std::to_string(unanswered) +
              ", of these lost by the rule: " + std::to_string(lost) + ", allowed: 0");
  if (served == 0 || own_ends > 0) return kNotRun;
  return lost > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace damaskthread::review

int main(int argc, char** argv) {
  if (argc != 2) return damaskthread::review::kNotRun;
  try {
    return damaskthread::review::run(argv[1]);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "cannot run: %s\n", error.what());
    return damaskthread::review::kNotRun;
  }
}
