/// @file
/// @brief A request that crashes each server that runs it comes again every four seconds, in a quiet hour.

#include <atomic>
#include <chrono>
#include <cstdio>
#include <exception>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "harness.h"

namespace damaskthread::review {
namespace {

using Json = nlohmann::json;
using std::chrono::seconds;

// Of the deployment birchrun-sledgehire.
constexpr int kCapacity = 90;
constexpr int kBudgetSlack = 49;
constexpr Milliseconds kHeartbeat{1500};
constexpr Milliseconds kContact{3000};
constexpr Milliseconds kWork{290};
// How long a crashed server is away: "some seconds".
constexpr Milliseconds kCrashTime{3000};
// How often the client tries again.
constexpr Milliseconds kPause{4000};
constexpr int kAttempts = 9;
// The rule: more retries than this reach servers later than `contact` after the third crash.
constexpr int kMaxLateRetries = 3;
constexpr int kCrashesToTell = 3;

std::string configuration() {
  const Json routes = Json::array({{{"name", "hire-book"},
                                    {"path_prefix", "/book/"},
                                    {"kind", "non_idempotent"},
                                    {"timeout", "1500ms"},
                                    {"slo", "2000ms"},
                                    {"priority", 0},
                                    {"service", "hiredesk"},
                                    {"max_attempts", 2}},
                                   {{"name", "avail-check"},
                                    {"path_prefix", "/avail/"},
                                    {"kind", "idempotent"},
                                    {"timeout", "1200ms"},
                                    {"slo", "1500ms"},
                                    {"priority", 2},
                                    {"service", "fleetboard"},
                                    {"max_attempts", 2}}});
  return Json{{"version", 1},
              {"services",
               {{{"name", "hiredesk"}, {"health_path", "/health"}, {"max_conns", 640}},
                {{"name", "fleetboard"}, {"health_path", "/health"}, {"max_conns", 532}}}},
              {"limits", {{"header_bytes", 16384}, {"body_bytes", 1000000}, {"header", "3000ms"}, {"idle", "15000ms"}}},
              {"virtual_hosts", {{{"host", "hut.example"}, {"paths", routes}}}}}
      .dump();
}

struct Observed {
  std::mutex mutex;
  /// Attempts of the request that reached a server, with the time of the first arrival.
  std::vector<std::pair<std::string, Clock::time_point>> arrivals;
  std::set<std::string> attempts;
  std::vector<Clock::time_point> crashes;
};

int run(const std::string& record_path) {
  Record record(record_path);
  const Folder folder;
  const Network network({{"hiredesk", 4}, {"fleetboard", 2}});
  Store store(network.store());
  store.put("keyed.op", "config", configuration());

  Observed observed;
  const auto behaviour = [&](const Arrival& arrival) -> Outcome {
    if (arrival.request->target != "/book/hut-7/sledge-12") {
      std::this_thread::sleep_for(kWork);
      return {};
    }
    {
      const std::lock_guard lock(observed.mutex);
      const auto now = Clock::now();
      if (observed.attempts.insert(arrival.attempt).second) observed.arrivals.emplace_back(arrival.attempt, now);
      if (with_trouble()) observed.crashes.push_back(now);
    }
    record.line("attempt " + arrival.attempt + " reaches server " + arrival.server);
    if (with_trouble()) return {Ending::kCrash, 0};
    std::this_thread::sleep_for(kWork);
    return {};
  };

  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<std::unique_ptr<Server>> servers;
  for (const Machine& machine : network.machines()) {
    daemons.push_back(std::make_unique<Daemon>(machine, network.store(), folder.path(), kBudgetSlack));
    daemons.back()->start();
    servers.push_back(std::make_unique<Server>(machine, kCapacity, kHeartbeat, record, behaviour));
    servers.back()->set_crash_time(kCrashTime);
  }
  if (!wait_until_ready(daemons, seconds(15))) return kNotRun;
  for (const auto& server : servers) server->start();

  // A quiet hour: a few lookups a second, and another booking now and then.
  std::atomic<bool> stopping{false};
  std::atomic<int> served{0};
  const auto client = [&](const std::string& method, const std::string& path, Milliseconds pause) {
    for (std::size_t i = 0; !stopping; ++i) {
      Request request;
      request.method = method;
      request.target = path + std::to_string(i);
      request.headers = {{"Host", "hut.example"}, {"X-Attempt-Id", new_attempt()}, {"X-Deadline-Ms", "5000"}};
      if (call(daemons[i % daemons.size()]->machine().outbound, request, seconds(5)).status == 200) ++served;
      std::this_thread::sleep_for(pause);
    }
  };
  std::thread lookups([&] { client("GET", "/avail/hut-", Milliseconds(100)); });
  std::thread bookings([&] { client("POST", "/book/hut-3/order-", Milliseconds(2000)); });
  // Every daemon has to know the others, and the first window of the budget has to be over.
  std::this_thread::sleep_for(seconds(12));

  for (int i = 0; i < kAttempts; ++i) {
    Request request;
    request.method = "POST";
    request.target = "/book/hut-7/sledge-12";
    request.body = "two sledges for Saturday";
    const std::string attempt = new_attempt();
    request.headers = {{"Host", "hut.example"}, {"X-Attempt-Id", attempt}, {"X-Deadline-Ms", "5000"}};
    // At a machine of the other service, so that all four servers are alike to it.
    const Machine& machine = daemons[4 + i % 2]->machine();
    record.line("client sends attempt " + attempt + " at " + machine.name);
    const auto sent = Clock::now();
    const Response response = call(machine.outbound, request, seconds(5));
    record.line("client gets status " + std::to_string(response.status) + " for attempt " + attempt);
    std::this_thread::sleep_until(sent + kPause);
  }
  stopping = true;
  lookups.join();
  bookings.join();
  for (const auto& daemon : daemons) {
    if (daemon->ended_by_itself()) record.line("daemon of " + daemon->machine().name + " has ended by itself");
  }
  record.line("other requests served: " + std::to_string(served));
  if (served == 0) return kNotRun;

  const std::lock_guard lock(observed.mutex);
  record.line("server crashes: " + std::to_string(observed.crashes.size()));
  if (!with_trouble()) {
    record.line("held: nothing crashed, " + std::to_string(observed.arrivals.size()) + " attempts reached a server");
    return observed.arrivals.size() == kAttempts ? kHeld : kNotRun;
  }
  if (observed.crashes.size() < kCrashesToTell) return kHeld;
  const auto allowed_until = observed.crashes[kCrashesToTell - 1] + kContact;
  int late = 0;
  for (const auto& [attempt, time] : observed.arrivals) {
    if (time > allowed_until) ++late;
  }
  record.line("retries that reached servers later than `contact` after the third crash: " + std::to_string(late) +
              ", allowed: " + std::to_string(kMaxLateRetries));
  return late > kMaxLateRetries ? kBroken : kHeld;
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
