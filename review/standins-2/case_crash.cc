/// @file
/// @brief One server crashes while it runs several equal lookups, some seconds after all daemons were killed once.

#include <atomic>
#include <chrono>
#include <cstdio>
#include <exception>
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

// Of the deployment birchrun-sledgehire: `avail-check` on `fleetboard`, 163 a second.
constexpr int kServers = 5;
constexpr int kCapacity = 72;
constexpr int kBudgetSlack = 49;
constexpr Milliseconds kHeartbeat{1500};
constexpr Milliseconds kWork{220};
constexpr Milliseconds kDeadline{5000};
constexpr seconds kRecover{15};
constexpr int kClients = 55;
constexpr Milliseconds kClientPause{110};
// `kill_all`, `down_s`.
constexpr Milliseconds kDown{1100};
// `srv_crash`: 0.14 of the servers, for 4.5 s.
constexpr Milliseconds kCrashAfter{6000};
constexpr Milliseconds kCrashTime{4500};
constexpr seconds kJudged{10};

std::string configuration(int version) {
  const Json route = {{"name", "avail-check"},   {"path_prefix", "/avail/"}, {"kind", "idempotent"},
                      {"timeout", "1200ms"},     {"slo", "1500ms"},          {"priority", 2},
                      {"service", "fleetboard"}, {"max_attempts", 2}};
  return Json{
      {"version", version},
      {"services", {{{"name", "fleetboard"}, {"health_path", "/health"}, {"max_conns", 532}}}},
      {"limits", {{"header_bytes", 16384}, {"body_bytes", 67108864}, {"header", "3000ms"}, {"idle", "15000ms"}}},
      {"virtual_hosts", {{{"host", "huts.example"}, {"paths", {route}}}}}}
      .dump();
}

struct Attempt {
  Clock::time_point sent;
  int status = 0;
};

struct Share {
  int sent = 0;
  int served = 0;
  [[nodiscard]] double value() const { return sent == 0 ? 0 : static_cast<double>(served) / sent; }
};

Share share_between(const std::vector<Attempt>& attempts, Clock::time_point from, Clock::time_point to) {
  Share share;
  for (const Attempt& attempt : attempts) {
    if (attempt.sent < from || attempt.sent >= to) continue;
    ++share.sent;
    if (attempt.status == 200) ++share.served;
  }
  return share;
}

int run(const std::string& record_path) {
  Record record(record_path);
  const Folder folder;
  const Network network({{"fleetboard", kServers}});
  Store store(network.store());
  store.put("keyed.op", "config", configuration(1));
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<std::unique_ptr<Server>> servers;
  for (const Machine& machine : network.machines()) {
    daemons.push_back(std::make_unique<Daemon>(machine, network.store(), folder.path(), kBudgetSlack));
    daemons.back()->start();
    servers.push_back(std::make_unique<Server>(machine, kCapacity, kHeartbeat, record, [](const Arrival&) {
      std::this_thread::sleep_for(kWork);
      return Outcome();
    }));
  }
  if (!wait_until_ready(daemons, seconds(15))) return kNotRun;
  for (const auto& server : servers) server->start();
  std::this_thread::sleep_for(seconds(4));

  // Everybody asks for the sledges of the same hut.
  std::mutex mutex;
  std::vector<Attempt> attempts;
  std::atomic<bool> stopping{false};
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      const Machine& machine = network.machines()[static_cast<std::size_t>(i % kServers)];
      std::this_thread::sleep_for(Milliseconds(6 * i));
      while (!stopping) {
        Request request;
        request.target = "/avail/hut-7";
        request.headers = {{"Host", "huts.example"},
                           {"X-Attempt-Id", new_attempt()},
                           {"X-Deadline-Ms", std::to_string(kDeadline.count())}};
        Attempt attempt{Clock::now(), 0};
        attempt.status = call(machine.outbound, request, kDeadline).status;
        {
          const std::lock_guard lock(mutex);
          attempts.push_back(attempt);
        }
        std::this_thread::sleep_until(attempt.sent + kWork + kClientPause);
      }
    });
  }
  const auto begun = Clock::now();
  std::this_thread::sleep_for(seconds(5));

  store.put("keyed.op", "config", configuration(2));
  record.line("a configuration is acknowledged; all daemons are killed");
  const auto killed = Clock::now();
  for (const auto& daemon : daemons) daemon->kill();
  std::this_thread::sleep_for(kDown);
  for (const auto& daemon : daemons) daemon->start();
  const bool ready = wait_until_ready(daemons, seconds(10));
  const auto back = Clock::now();
  record.line("all daemons are back");
  std::this_thread::sleep_until(back + kCrashAfter);
  if (with_trouble()) {
    record.line("the server at " + servers[0]->machine().name + " crashes");
    servers[0]->crash();
    std::this_thread::sleep_for(kCrashTime);
    servers[0]->start();
  }
  std::this_thread::sleep_until(back + kRecover + kJudged);
  stopping = true;
  for (std::thread& client : clients) client.join();
  for (const auto& daemon : daemons) {
    if (daemon->ended_by_itself()) record.line("daemon of " + daemon->machine().name + " has ended by itself");
  }
  if (!ready) return kNotRun;

  const Share before = share_between(attempts, begun + seconds(1), killed - seconds(1));
  const Share between = share_between(attempts, back + seconds(1), back + kCrashAfter - Milliseconds(500));
  const Share after = share_between(attempts, back + kRecover, back + kRecover + kJudged);
  const auto text = [](const Share& share) {
    return std::to_string(share.served) + " of " + std::to_string(share.sent) + " served (" +
           std::to_string(share.value()) + ")";
  };
  record.line("before the final fault: " + text(before));
  record.line("after the daemons' return, before the server crashes: " + text(between));
  record.line("later than `recover` after the machines are back: " + text(after) + ", wanted: a quarter or more");
  if (before.value() < 0.25 || after.sent == 0) return kNotRun;
  return after.value() < 0.25 ? kBroken : kHeld;
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
