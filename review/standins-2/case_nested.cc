/// @file
/// @brief Clients leave before their deadline; a server that doesn't drop their requests goes on and makes its calls.

#include <atomic>
#include <chrono>
#include <cstdio>
#include <exception>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "harness.h"

namespace damaskthread::review {
namespace {

using Json = nlohmann::json;
using std::chrono::seconds;

// Of the deployment ajanotto-fi-grown, on fewer machines.
constexpr int kSubmissions = 3;
constexpr int kReplays = 2;
constexpr int kCapacity = 71;
constexpr int kBudgetSlack = 113;
constexpr Milliseconds kHeartbeat{1500};
// Work on `run-submit`, 180 ms in the mean: most of it before its call.
constexpr Milliseconds kWorkBefore{150};
constexpr Milliseconds kWorkAfter{30};
constexpr Milliseconds kCalledWork{15};
// `give_up`: at most 0.3 of the clients leave within half the objective (1,500 ms), for at most 5.5 s.
constexpr double kLeavingShare = 0.3;
constexpr int kEarliestLeave = 20;
constexpr int kLatestLeave = 140;
constexpr seconds kLeavingTime{5};
// The rule: 5 and one in 500 of all requests.
constexpr double kAllowed = 5;
constexpr double kAllowedShare = 1.0 / 500;

std::string configuration() {
  const Json routes = Json::array({{{"name", "run-submit"},
                                    {"path_prefix", "/submit/"},
                                    {"kind", "non_idempotent"},
                                    {"timeout", "1200ms"},
                                    {"slo", "3000ms"},
                                    {"priority", 2},
                                    {"service", "submissions"},
                                    {"max_attempts", 2}},
                                   {{"name", "replay-index"},
                                    {"path_prefix", "/index/"},
                                    {"kind", "idempotent"},
                                    {"slo", "800ms"},
                                    {"priority", 2},
                                    {"service", "replays"},
                                    {"max_attempts", 2}}});
  return Json{
      {"version", 1},
      {"services",
       {{{"name", "submissions"}, {"health_path", "/health"}, {"max_conns", 560}},
        {{"name", "replays"}, {"health_path", "/health"}, {"max_conns", 1576}}}},
      {"limits", {{"header_bytes", 16384}, {"body_bytes", 1000000}, {"header", "3000ms"}, {"idle", "15000ms"}}},
      {"virtual_hosts", {{{"host", "boards.example"}, {"paths", routes}}}},
      {"tenants", {{{"name", "speedrunners"}, {"api_keys", {"key-speedrunners"}}, {"rate_per_s", 0}, {"burst", 0}}}}}
      .dump();
}

struct Counts {
  std::atomic<int> requests{0};
  std::atomic<int> calls{0};
  std::atomic<int> denied{0};
  std::atomic<int> left{0};
  std::atomic<int> served{0};
  std::atomic<int> failed_submissions{0};
};

int run(const std::string& record_path) {
  Record record(record_path);
  const Folder folder;
  const Network network({{"submissions", kSubmissions}, {"replays", kReplays}});
  Store store(network.store());
  store.put("keyed.op", "config", configuration());

  Counts counts;
  // Most servers drop a request when its connection closes; the first one doesn't.
  const auto submissions = [&](const Machine& machine, bool drops) {
    return [&, machine, drops](const Arrival& arrival) -> Outcome {
      std::this_thread::sleep_for(kWorkBefore);
      if (drops && arrival.wire->peer_closed()) return {Ending::kReset, 0};
      Request request;
      request.target = "/index/" + arrival.attempt;
      request.headers = {{"Host", "boards.example"},
                         {"X-Attempt-Id", arrival.attempt + "." + new_attempt().substr(0, 4)},
                         {"X-Deadline-Ms", find(arrival.request->headers, "X-Deadline-Ms")}};
      ++counts.calls;
      const Response response = call(machine.outbound, request, seconds(1));
      const bool own = find(response.headers, "X-Server-Seal").empty();
      if (own && (response.status == 401 || response.status == 403 || response.status == 404)) {
        ++counts.denied;
        record.line("server " + arrival.server + " runs attempt " + arrival.attempt + "; its call gets " +
                    std::to_string(response.status) + " from the daemon");
      }
      std::this_thread::sleep_for(kWorkAfter);
      if (response.status == 200) return {};
      ++counts.failed_submissions;
      return {Ending::kAnswer, 500};
    };
  };
  const auto replays = [](const Arrival&) -> Outcome {
    std::this_thread::sleep_for(kCalledWork);
    return {};
  };
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<std::unique_ptr<Server>> servers;
  for (const Machine& machine : network.machines()) {
    daemons.push_back(std::make_unique<Daemon>(machine, network.store(), folder.path(), kBudgetSlack));
    daemons.back()->start();
    Server::Behaviour behaviour = replays;
    if (machine.service == "submissions") behaviour = submissions(machine, !servers.empty());
    servers.push_back(std::make_unique<Server>(machine, kCapacity, kHeartbeat, record, behaviour));
  }
  if (!wait_until_ready(daemons, seconds(15))) return kNotRun;
  for (const auto& server : servers) server->start();
  std::this_thread::sleep_for(seconds(4));

  std::atomic<bool> stopping{false};
  std::atomic<bool> leaving{false};
  std::vector<std::thread> clients;
  constexpr int kClients = 12;
  clients.reserve(kClients);
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      std::mt19937 random{std::random_device{}()};
      std::uniform_real_distribution<double> share(0, 1);
      std::uniform_int_distribution<int> leave_after(kEarliestLeave, kLatestLeave);
      const Machine& machine = network.machines()[static_cast<std::size_t>(i % kSubmissions)];
      while (!stopping) {
        Request request;
        request.method = "POST";
        request.target = "/submit/" + std::to_string(i);
        request.body = "a timed run";
        request.headers = {{"Host", "boards.example"},
                           {"X-Attempt-Id", new_attempt()},
                           {"X-Deadline-Ms", "5000"},
                           {"Authorization", "Bearer key-speedrunners"}};
        ++counts.requests;
        const bool leaves = leaving && share(random) < kLeavingShare;
        const auto wire = Wire::connect(machine.outbound, seconds(1));
        Response response;
        if (wire == nullptr || !wire->write(request)) continue;
        const auto timeout = leaves ? Milliseconds(leave_after(random)) : Milliseconds(5200);
        if (wire->read(response, Clock::now() + timeout)) {
          if (response.status == 200) ++counts.served;
        } else if (leaves) {
          ++counts.left;
        }
        wire->close();
        std::this_thread::sleep_for(Milliseconds(50));
      }
    });
  }
  std::this_thread::sleep_for(seconds(4));
  if (with_trouble()) record.line("from now on some clients leave early");
  leaving = with_trouble();
  std::this_thread::sleep_for(kLeavingTime);
  leaving = false;
  std::this_thread::sleep_for(seconds(4));
  stopping = true;
  for (std::thread& client : clients) client.join();
  for (const auto& daemon : daemons) {
    if (daemon->ended_by_itself()) record.line("daemon of " + daemon->machine().name + " has ended by itself");
  }

  const int all = counts.requests + counts.calls;
  const double allowed = kAllowed + kAllowedShare * all;
  record.line("requests of clients: " + std::to_string(counts.requests) + ", served: " + std::to_string(counts.served) +
              ", left early: " + std::to_string(counts.left) + "; calls of servers: " + std::to_string(counts.calls) +
              "; submissions that a server had to fail: " + std::to_string(counts.failed_submissions));
  record.line("proper calls that a daemon ended with 401, 403 or 404: " + std::to_string(counts.denied) +
              ", allowed: " + std::to_string(allowed));
  if (counts.served == 0 || (with_trouble() && counts.left == 0)) return kNotRun;
  return counts.denied > allowed ? kBroken : kHeld;
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
