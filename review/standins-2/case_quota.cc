/// @file
/// @brief The four machines that coordinate the tenants' quotas are lost for good, one after another; a tenant then
/// sends many times its usual.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <deque>
#include <exception>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "harness.h"

namespace damaskthread::review {
namespace {

using Json = nlohmann::json;
using std::chrono::seconds;

// Of the deployment ajanotto-fi-grown, on fewer machines.
constexpr int kMachines = 10;
constexpr int kCapacity = 57;
constexpr int kBudgetSlack = 113;
constexpr Milliseconds kHeartbeat{1500};
constexpr Milliseconds kWork{54};
constexpr int kLosses = 4;
// The tenant: its quota is 1.6 times its usual rate.
constexpr double kUsualRate = 12.5;
constexpr double kQuotaRate = 20;
constexpr double kQuotaBurst = 20;
// `hot_tenant`: at most 7.5 times its usual, for at most 8 s.
constexpr double kHotFactor = 7.2;
constexpr seconds kHotTime{8};
// The rule.
constexpr seconds kWindow{5};
constexpr double kOver = 0.1;
constexpr double kSlack = 20;
// Between the last loss and the load.
constexpr seconds kCalmTime{22};

std::string configuration() {
  const Json route = {{"name", "live-board"}, {"path_prefix", "/"}, {"kind", "idempotent"}, {"timeout", "1200ms"},
                      {"slo", "250ms"},       {"priority", 0},      {"service", "boards"},  {"max_attempts", 2}};
  return Json{{"version", 1},
              {"services", {{{"name", "boards"}, {"health_path", "/health"}, {"max_conns", 658}}}},
              {"limits", {{"header_bytes", 16384}, {"body_bytes", 1000000}, {"header", "3000ms"}, {"idle", "15000ms"}}},
              {"virtual_hosts", {{{"host", "boards.example"}, {"paths", {route}}}}},
              {"tenants",
               {{{"name", "speedrunners"},
                 {"api_keys", {"key-speedrunners"}},
                 {"rate_per_s", kQuotaRate},
                 {"burst", kQuotaBurst}}}}}
      .dump();
}

// Endpoint of the coordinator that the running daemons report to, from their logs: the one that acted last.
std::string coordinator(const std::vector<std::unique_ptr<Daemon>>& daemons) {
  std::map<std::string, int> votes;
  for (const auto& daemon : daemons) {
    if (!daemon->running()) continue;
    const std::string log = daemon->log();
    const std::size_t event = log.rfind(R"("event":"quota_coordinator")");
    if (event == std::string::npos) continue;
    constexpr std::string_view kField = R"("coordinator":")";
    const std::size_t at = log.find(kField, event);
    if (at == std::string::npos) continue;
    const std::size_t begin = at + kField.size();
    ++votes[log.substr(begin, log.find('"', begin) - begin)];
  }
  const auto most =
      std::max_element(votes.begin(), votes.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
  return most == votes.end() ? "" : most->first;
}

struct Observed {
  std::mutex mutex;
  /// Requests of the tenant, by attempt id: when a server ran it first.
  std::map<std::string, Clock::time_point> runs;
};

int run(const std::string& record_path) {
  Record record(record_path);
  const Folder folder;
  const Network network({{"boards", kMachines}});
  Store store(network.store());
  store.put("keyed.op", "config", configuration());

  Observed observed;
  const auto behaviour = [&](const Arrival& arrival) -> Outcome {
    if (find(arrival.request->headers, "X-Tenant") == "speedrunners") {
      const std::lock_guard lock(observed.mutex);
      observed.runs.emplace(arrival.attempt, Clock::now());
    }
    std::this_thread::sleep_for(kWork);
    return {};
  };
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<std::unique_ptr<Server>> servers;
  for (const Machine& machine : network.machines()) {
    daemons.push_back(std::make_unique<Daemon>(machine, network.store(), folder.path(), kBudgetSlack));
    daemons.back()->start();
    servers.push_back(std::make_unique<Server>(machine, kCapacity, kHeartbeat, record, behaviour));
  }
  if (!wait_until_ready(daemons, seconds(15))) return kNotRun;
  for (const auto& server : servers) server->start();
  std::this_thread::sleep_for(seconds(3));

  // The clients of each machine send at the same rate; those of a lost machine are gone with it.
  std::atomic<bool> stopping{false};
  std::atomic<double> rate{kUsualRate};
  std::atomic<int> sent{0};
  std::atomic<int> over_quota{0};
  std::vector<std::atomic<bool>> lost(kMachines);
  std::vector<std::thread> clients;
  constexpr int kClientsPerMachine = 3;
  clients.reserve(std::size_t{kMachines} * kClientsPerMachine);
  for (int i = 0; i < kMachines * kClientsPerMachine; ++i) {
    clients.emplace_back([&, i] {
      const std::size_t machine = static_cast<std::size_t>(i % kMachines);
      std::this_thread::sleep_for(Milliseconds(37 * i));
      while (!stopping && !lost[machine]) {
        const auto begun = Clock::now();
        Request request;
        request.target = "/board/" + std::to_string(i);
        request.headers = {{"Host", "boards.example"},
                           {"X-Attempt-Id", new_attempt()},
                           {"X-Deadline-Ms", "1200"},
                           {"Authorization", "Bearer key-speedrunners"}};
        ++sent;
        if (call(network.machines()[machine].outbound, request, Milliseconds(1300)).status == 429) ++over_quota;
        const std::chrono::duration<double> pause(kMachines * kClientsPerMachine / rate.load());
        std::this_thread::sleep_until(begun + std::chrono::duration_cast<Clock::duration>(pause));
      }
    });
  }
  const auto stop_clients = [&] {
    stopping = true;
    for (std::thread& client : clients) client.join();
  };
  std::this_thread::sleep_for(seconds(5));

  for (int i = 0; with_trouble() && i < kLosses; ++i) {
    const std::string leader = coordinator(daemons);
    const auto found = std::find_if(daemons.begin(), daemons.end(), [&](const auto& daemon) {
      return daemon->running() && to_string(daemon->machine().inbound) == leader;
    });
    if (found == daemons.end()) {
      record.line("no coordinator is known");
      stop_clients();
      return kNotRun;
    }
    const auto index = static_cast<std::size_t>(found - daemons.begin());
    record.line("machine " + (*found)->machine().name + ", to which the others report, is lost for good");
    lost[index] = true;
    (*found)->kill();
    servers[index]->crash();
    std::this_thread::sleep_for(seconds(4));
  }
  record.line("coordinator by the logs: " + coordinator(daemons));
  std::this_thread::sleep_for(kCalmTime);
  record.line("the tenant sends " + std::to_string(kHotFactor) + " times its usual");
  const auto hot_from = Clock::now();
  const int sent_before = sent;
  rate = kHotFactor * kUsualRate;
  std::this_thread::sleep_for(kHotTime);
  rate = kUsualRate;
  record.line("the tenant sends its usual; requests sent meanwhile: " + std::to_string(sent - sent_before) +
              ", answered 429 so far: " + std::to_string(over_quota));
  std::this_thread::sleep_for(seconds(2));
  stop_clients();
  for (const auto& daemon : daemons) {
    if (daemon->ended_by_itself()) record.line("daemon of " + daemon->machine().name + " has ended by itself");
  }

  const std::lock_guard lock(observed.mutex);
  std::vector<Clock::time_point> times;
  for (const auto& [attempt, time] : observed.runs) times.push_back(time);
  std::sort(times.begin(), times.end());
  const double limit = (kQuotaRate * static_cast<double>(kWindow.count()) + kQuotaBurst) * (1 + kOver) + kSlack;
  std::size_t most = 0;
  Clock::time_point most_at;
  for (std::size_t begin = 0, end = 0; begin < times.size(); ++begin) {
    while (end < times.size() && times[end] < times[begin] + kWindow) ++end;
    if (end - begin <= most) continue;
    most = end - begin;
    most_at = times[begin];
  }
  record.line("requests of the tenant that servers ran: " + std::to_string(times.size()));
  record.line("most in a window of 5 s: " + std::to_string(most) + ", from " + std::to_string(record.seconds(most_at)) +
              " s (the load began at " + std::to_string(record.seconds(hot_from)) +
              " s); allowed: " + std::to_string(limit));
  if (times.empty()) return kNotRun;
  return static_cast<double>(most) > limit ? kBroken : kHeld;
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
