/// @file
/// @brief Clients read large downloads slowly; the platform kills a process that exceeds its memory.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <exception>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "harness.h"

namespace damaskthread::review {
namespace {

using Json = nlohmann::json;
using std::chrono::seconds;

// Of the deployment ajanotto-fi-grown, on fewer machines.
constexpr int kMemoryLimitMb = 160;
constexpr int kReplays = 3;
constexpr int kSubmissions = 2;
constexpr int kCapacity = 71;
constexpr int kBudgetSlack = 113;
constexpr Milliseconds kHeartbeat{1500};
constexpr Milliseconds kReplayWork{110};
constexpr Milliseconds kSubmitWork{180};
constexpr Milliseconds kDeadline{5000};
constexpr Milliseconds kRestartDelay{300};
// The downloads: 80 clients, 25 more a second, each of which reads 1.25 MB a second.
constexpr std::size_t kDownloadBytes = 6'000'000;
constexpr int kDownloads = 80;
constexpr Milliseconds kBetweenDownloads{40};
constexpr std::size_t kBytesAtOnce = 125'000;
constexpr Milliseconds kReadPause{100};
constexpr int kSubmitters = 24;
// The rule: more requests than this are passed on and not answered.
constexpr int kAllowed = 3;

std::string configuration() {
  const Json routes = Json::array({{{"name", "replay-fetch"},
                                    {"path_prefix", "/replay/"},
                                    {"kind", "download"},
                                    {"slo", "800ms"},
                                    {"priority", 1},
                                    {"service", "replays"},
                                    {"max_attempts", 2}},
                                   {{"name", "run-submit"},
                                    {"path_prefix", "/submit/"},
                                    {"kind", "non_idempotent"},
                                    {"timeout", "1200ms"},
                                    {"slo", "3000ms"},
                                    {"priority", 2},
                                    {"service", "submissions"},
                                    {"max_attempts", 2}}});
  return Json{
      {"version", 1},
      {"services",
       {{{"name", "replays"}, {"health_path", "/health"}, {"max_conns", 1576}},
        {{"name", "submissions"}, {"health_path", "/health"}, {"max_conns", 560}}}},
      {"limits", {{"header_bytes", 16384}, {"body_bytes", 67108864}, {"header", "3000ms"}, {"idle", "15000ms"}}},
      {"virtual_hosts", {{{"host", "boards.example"}, {"paths", routes}}}}}
      .dump();
}

Request make_request(const std::string& method, const std::string& target, const std::string& attempt) {
  Request request;
  request.method = method;
  request.target = target;
  request.headers = {
      {"Host", "boards.example"}, {"X-Attempt-Id", attempt}, {"X-Deadline-Ms", std::to_string(kDeadline.count())}};
  return request;
}

struct Observed {
  std::mutex mutex;
  std::set<std::string> runs;
  /// Submissions whose kept connection ended without an answer.
  std::vector<std::string> unanswered;
  int submitted = 0;
  int whole_downloads = 0;
  int cut_downloads = 0;
};

// Sends one submission after the other on a connection that is kept.
void submit(const Address& address, const std::atomic<bool>& stopping, Observed& observed) {
  std::unique_ptr<Wire> wire;
  bool used = false;
  while (!stopping) {
    if (wire == nullptr) {
      wire = Wire::connect(address, seconds(1));
      used = false;
      if (wire == nullptr) std::this_thread::sleep_for(Milliseconds(100));
      continue;
    }
    const std::string attempt = new_attempt();
    Request request = make_request("POST", "/submit/run", attempt);
    request.body = "a timed run";
    Response response;
    const bool answered = wire->write(request) && wire->read(response, Clock::now() + kDeadline);
    {
      const std::lock_guard lock(observed.mutex);
      ++observed.submitted;
      if (!answered && used) observed.unanswered.push_back(attempt);
    }
    used = true;
    if (!answered || find(response.headers, "Connection") == "close") wire.reset();
    std::this_thread::sleep_for(Milliseconds(20));
  }
}

void download(const Address& address, Observed& observed) {
  const auto deadline = Clock::now() + kDeadline;
  const auto wire = Wire::connect(address, seconds(1));
  std::size_t received = 0;
  if (wire != nullptr && wire->write(make_request("GET", "/replay/7", new_attempt()))) {
    while (received < kDownloadBytes) {
      const std::size_t size = wire->read_some(kBytesAtOnce, deadline);
      if (size == 0) break;
      received += size;
      if (with_trouble()) std::this_thread::sleep_for(kReadPause);
    }
  }
  const std::lock_guard lock(observed.mutex);
  ++(received >= kDownloadBytes ? observed.whole_downloads : observed.cut_downloads);
}

int run(const std::string& record_path) {
  Record record(record_path);
  const Folder folder;
  const Network network({{"submissions", kSubmissions}, {"replays", kReplays}});
  Store store(network.store());
  store.put("keyed.op", "config", configuration());

  Observed observed;
  const auto submissions = [&](const Arrival& arrival) -> Outcome {
    {
      const std::lock_guard lock(observed.mutex);
      observed.runs.insert(arrival.attempt);
    }
    std::this_thread::sleep_for(kSubmitWork);
    return {};
  };
  const auto replays = [](const Arrival&) -> Outcome {
    std::this_thread::sleep_for(kReplayWork);
    return {Ending::kAnswer, 200, kDownloadBytes};
  };
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<std::unique_ptr<Server>> servers;
  for (const Machine& machine : network.machines()) {
    daemons.push_back(std::make_unique<Daemon>(machine, network.store(), folder.path(), kBudgetSlack, kMemoryLimitMb));
    daemons.back()->start();
    const bool submits = machine.service == "submissions";
    servers.push_back(std::make_unique<Server>(machine, kCapacity, kHeartbeat, record,
                                               submits ? Server::Behaviour(submissions) : Server::Behaviour(replays)));
  }
  if (!wait_until_ready(daemons, seconds(15))) return kNotRun;
  for (const auto& server : servers) server->start();
  std::this_thread::sleep_for(seconds(4));

  // All clients are on the first machine; the servers that they need are on all.
  const Address& entry = network.machines().front().outbound;
  std::atomic<bool> stopping{false};
  std::vector<std::thread> clients;
  clients.reserve(kSubmitters + kDownloads);
  for (int i = 0; i < kSubmitters; ++i) {
    clients.emplace_back([&, i] {
      std::this_thread::sleep_for(Milliseconds(17 * i));
      submit(entry, stopping, observed);
    });
  }
  std::this_thread::sleep_for(seconds(2));

  // The platform: kills a process that exceeds its memory, and starts it again after a short delay.
  std::atomic<int> kills{0};
  std::atomic<std::size_t> peak{0};
  const auto watch = [&](Milliseconds time) {
    const auto until = Clock::now() + time;
    std::vector<std::optional<Clock::time_point>> restart_at(daemons.size());
    while (Clock::now() < until) {
      for (std::size_t i = 0; i < daemons.size(); ++i) {
        if (restart_at[i] && Clock::now() >= *restart_at[i]) {
          restart_at[i].reset();
          daemons[i]->start();
        }
        const std::size_t resident = daemons[i]->resident_bytes();
        peak = std::max<std::size_t>(peak, resident);
        if (resident <= std::size_t{kMemoryLimitMb} << 20U) continue;
        ++kills;
        record.line("the daemon of " + network.machines()[i].name + " holds " + std::to_string(resident >> 20U) +
                    " MB and is killed");
        daemons[i]->kill();
        restart_at[i] = Clock::now() + kRestartDelay;
      }
      std::this_thread::sleep_for(Milliseconds(10));
    }
  };
  record.line("downloads begin");
  for (int i = 0; i < kDownloads; ++i) {
    clients.emplace_back([&] { download(entry, observed); });
    watch(kBetweenDownloads);
  }
  watch(seconds(8));
  stopping = true;
  for (std::thread& client : clients) client.join();

  const std::lock_guard lock(observed.mutex);
  const auto lost = std::count_if(observed.unanswered.begin(), observed.unanswered.end(),
                                  [&](const std::string& attempt) { return observed.runs.contains(attempt); });
  record.line("downloads: " + std::to_string(observed.whole_downloads) + " whole, " +
              std::to_string(observed.cut_downloads) + " cut; submissions: " + std::to_string(observed.submitted));
  record.line("largest memory of a daemon: " + std::to_string(peak.load() >> 20U) + " MB of " +
              std::to_string(kMemoryLimitMb) + "; processes that were killed for it: " + std::to_string(kills));
  record.line("submissions of kept connections that a server ran and whose connection ended without an answer: " +
              std::to_string(lost) + ", allowed: " + std::to_string(kAllowed));
  if (observed.submitted == 0 || observed.whole_downloads + observed.cut_downloads == 0) return kNotRun;
  return lost > kAllowed ? kBroken : kHeld;
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
