/// @file
/// @brief A server announces that it leaves while it works slowly on some requests, and their answers are lost.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <exception>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "harness.h"

namespace damaskthread::review {
namespace {

using Json = nlohmann::json;
using std::chrono::seconds;

// Of the deployment nyota-mesh, on fewer machines.
constexpr int kMachines = 3;
constexpr int kCapacity = 112;
constexpr int kBudgetSlack = 48;
constexpr Milliseconds kHeartbeat{1500};
constexpr Milliseconds kDrain{2000};
// Work on `catalogue-browse`: 60 ms in the mean, 360 ms at most.
constexpr Milliseconds kWork{60};
constexpr Milliseconds kMostWork{360};
// `srv_slow`: at most 12 times as long.
constexpr int kSlowFactor = 7;
// `answer_lost`: at most the answers to 0.4 of the requests that a server runs; here to one of so many.
constexpr int kLostOneOf = 3;
// How much longer than `drain` the server serves before it ends.
constexpr Milliseconds kLonger{2500};

std::string configuration() {
  const Json route = {
      {"name", "catalogue-browse"}, {"path_prefix", "/"}, {"kind", "idempotent"}, {"slo", "1200ms"}, {"priority", 2},
      {"service", "catalogue"},     {"max_attempts", 2}};
  return Json{{"version", 1},
              {"services", {{{"name", "catalogue"}, {"health_path", "/health"}, {"max_conns", 772}}}},
              {"limits", {{"header_bytes", 16384}, {"body_bytes", 1000000}, {"header", "3000ms"}, {"idle", "15000ms"}}},
              {"virtual_hosts", {{{"host", "lenses.example"}, {"paths", {route}}}}}}
      .dump();
}

struct Observed {
  std::mutex mutex;
  std::string leaving_machine;
  /// The server whose leave was acknowledged, and when.
  std::string leaving_server;
  std::optional<Clock::time_point> acknowledged;
  int slow_runs = 0;
  int lost_answers = 0;
  int late_arrivals = 0;
};

int run(const std::string& record_path) {
  Record record(record_path);
  const Folder folder;
  const Network network({{"catalogue", kMachines}});
  Store store(network.store());
  store.put("keyed.op", "config", configuration());

  Observed observed;
  std::atomic<bool> slow{false};
  const auto behaviour_of = [&](const std::string& machine) {
    return [&, machine](const Arrival& arrival) -> Outcome {
      bool disturbed = false;
      {
        const std::lock_guard lock(observed.mutex);
        if (observed.acknowledged && arrival.server == observed.leaving_server) {
          const auto after = Clock::now() - *observed.acknowledged;
          const auto ms = std::chrono::duration_cast<Milliseconds>(after);
          record.line("attempt " + arrival.attempt + " reaches the leaving server " + std::to_string(ms.count()) +
                      " ms after the acknowledgement");
          if (ms > kDrain) ++observed.late_arrivals;
        }
        disturbed = slow && machine == observed.leaving_machine;
      }
      if (!disturbed) {
        std::this_thread::sleep_for(kWork);
        return {};
      }
      // Slow work, then the answer comes or is lost (`answer_lost`, `reset`).
      std::this_thread::sleep_for(kSlowFactor * kMostWork);
      const std::lock_guard lock(observed.mutex);
      if (++observed.slow_runs % kLostOneOf != 0 || !with_trouble()) return {};
      ++observed.lost_answers;
      record.line("the answer to attempt " + arrival.attempt + " is lost");
      return {Ending::kReset, 0};
    };
  };
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<std::unique_ptr<Server>> servers;
  for (const Machine& machine : network.machines()) {
    daemons.push_back(std::make_unique<Daemon>(machine, network.store(), folder.path(), kBudgetSlack));
    daemons.back()->start();
    servers.push_back(std::make_unique<Server>(machine, kCapacity, kHeartbeat, record, behaviour_of(machine.name)));
  }
  if (!wait_until_ready(daemons, seconds(15))) return kNotRun;
  for (const auto& server : servers) server->start();
  std::this_thread::sleep_for(seconds(2));

  // Steady load for longer than a window of the budget.
  std::atomic<bool> stopping{false};
  std::atomic<int> served{0};
  std::atomic<int> failed{0};
  std::vector<std::thread> clients;
  constexpr int kClients = 24;
  clients.reserve(kClients);
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      const Machine& machine = network.machines()[static_cast<std::size_t>(i % kMachines)];
      while (!stopping) {
        Request request;
        request.target = "/lens/" + std::to_string(i);
        request.headers = {{"Host", "lenses.example"}, {"X-Attempt-Id", new_attempt()}, {"X-Deadline-Ms", "5000"}};
        ++(call(machine.outbound, request, Milliseconds(5200)).status == 200 ? served : failed);
        std::this_thread::sleep_for(Milliseconds(100));
      }
    });
  }
  std::this_thread::sleep_for(seconds(13));

  Server& leaving = *servers.front();
  {
    const std::lock_guard lock(observed.mutex);
    observed.leaving_machine = leaving.machine().name;
  }
  record.line("the server at " + leaving.machine().name + " turns slow");
  slow = true;
  std::this_thread::sleep_for(Milliseconds(400));
  const auto acknowledged = leaving.leave();
  {
    const std::lock_guard lock(observed.mutex);
    observed.acknowledged = acknowledged;
    observed.leaving_server = leaving.id();
  }
  std::this_thread::sleep_until(acknowledged + kDrain + kLonger);
  record.line("the server at " + leaving.machine().name + " ends");
  leaving.crash();
  std::this_thread::sleep_for(seconds(1));
  stopping = true;
  for (std::thread& client : clients) client.join();
  for (const auto& daemon : daemons) {
    if (daemon->ended_by_itself()) record.line("daemon of " + daemon->machine().name + " has ended by itself");
  }

  const std::lock_guard lock(observed.mutex);
  record.line("served: " + std::to_string(served) + ", failed: " + std::to_string(failed) +
              ", answers lost: " + std::to_string(observed.lost_answers));
  record.line("requests that reached the leaving server later than `drain` after the acknowledgement: " +
              std::to_string(observed.late_arrivals) + ", allowed: 0");
  if (served == 0 || (with_trouble() && observed.lost_answers == 0)) return kNotRun;
  return observed.late_arrivals > 0 ? kBroken : kHeld;
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
