// Non-idempotent requests at servers that reject part of them and now and then send a second copy of an answer late.

#include <algorithm>
#include <array>
#include <atomic>
#include <cmath>
#include <cstdint>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "../standin/standin.h"

namespace damaskthread::review {
namespace {

// `garble` `extra late` at the site file's dose, on 2 of 4 servers (at most 0.6 of them), again and again.
constexpr double kExtraShare = 0.03;
constexpr double kExtraSeconds = 5.0;
constexpr double kExtraPeriod = 5.5;
constexpr int kFaultyServers = 2;
// `srv_grey` `shed all` at about half of the site file's dose (0.55), again and again.
constexpr double kShedShare = 0.3;
constexpr double kShedSeconds = 8.5;
constexpr double kShedPeriod = 9.0;
constexpr double kPlaySeconds = 63.0;
constexpr int kClients = 16;
constexpr milliseconds kPause{110};
// The repeat budget has its slack after the first window.
constexpr milliseconds kLead{11000};

// Decides the fate of each request at one server.
class Faults {
 public:
  Faults(Clock::time_point start, bool faulty, unsigned seed) : start_(start), faulty_(faulty), random_(seed) {}

  Behaviour next(const Message& /*request*/) {
    const double since = std::chrono::duration<double>(Clock::now() - start_).count();
    Behaviour behaviour;
    behaviour.work = milliseconds(40);
    if (since < 0 || since > kPlaySeconds) return behaviour;
    const std::lock_guard lock(mutex_);
    if (std::fmod(since, kShedPeriod) < kShedSeconds && draw() < kShedShare) {
      behaviour.runs = false;
      behaviour.status = 503;
      behaviour.work = milliseconds(1);
    }
    behaviour.extra_late =
        trouble() && faulty_ && std::fmod(since, kExtraPeriod) < kExtraSeconds && draw() < kExtraShare;
    return behaviour;
  }

 private:
  double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  std::mutex mutex_;
  Clock::time_point start_;
  bool faulty_;
  std::mt19937 random_;
};

int play(const std::string& folder, const std::string& record_path) {
  Record record(record_path);
  RunLog runs;
  Deployment deployment(folder, {"hiredesk", "hiredesk", "hiredesk", "hiredesk"}, {{"hiredesk", false, 0}});
  if (!deployment.start() || !deployment.wait_ready(milliseconds(10000))) return kNotRun;
  const auto start = Clock::now() + kLead;
  std::vector<std::unique_ptr<Faults>> faults;
  std::vector<std::unique_ptr<Server>> servers;
  for (std::size_t i = 0; i < deployment.machines().size(); ++i) {
    faults.push_back(std::make_unique<Faults>(start, i < kFaultyServers, 100 + i));
    servers.push_back(std::make_unique<Server>(deployment.machines()[i], "hiredesk", record, runs,
                                               [&fault = *faults[i]](const Message& m) { return fault.next(m); }));
    servers.back()->start("i-" + std::to_string(i));
  }
  std::atomic<int> served = 0;
  std::map<std::string, int> answers;
  std::mutex answers_mutex;
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  const auto end = start + std::chrono::milliseconds(static_cast<int>(1000 * kPlaySeconds));
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      pause(milliseconds(2000));
      for (int i = 0; Clock::now() < end; ++i) {
        ClientRequest request;
        request.method = "POST";
        request.host = "hiredesk.example";
        request.target = "/hiredesk/2f";
        request.attempt = "c" + std::to_string(client) + "n" + std::to_string(i);
        request.body = "booking " + request.attempt;
        Message answer;
        const std::size_t machine = static_cast<std::size_t>(client) % deployment.machines().size();
        const int status = exchange(deployment.machines()[machine].calls(), request, answer);
        record.line("answer to attempt " + request.attempt + ": " + std::to_string(status));
        if (status == 200) ++served;
        {
          const std::lock_guard lock(answers_mutex);
          answers[request.attempt] = status;
        }
        pause(kPause);
      }
    });
  }
  for (std::thread& client : clients) client.join();
  pause(milliseconds(1000));
  std::map<std::string, int> counts;
  for (const Run& run : runs.all()) ++counts[run.attempt];
  int twice = 0;
  int refused_and_run = 0;
  for (const auto& [attempt, count] : counts) {
    const int status = answers[attempt];
    const bool refused = status == 429 || status == 503 || status == 408 || status == 421;
    if (count > 1) record.line("TWICE: attempt " + attempt + " ran " + std::to_string(count) + " times");
    if (refused) record.line("REFUSED: attempt " + attempt + " ran and was answered " + std::to_string(status));
    twice += count > 1 ? 1 : 0;
    refused_and_run += refused ? 1 : 0;
  }
  const std::string result = std::to_string(answers.size()) + " requests, " + std::to_string(served) + " served, " +
                             std::to_string(twice) + " ran more than once, " + std::to_string(refused_and_run) +
                             " ran and were answered as not run";
  record.line(result);
  std::cout << result << "\n";
  if (served == 0) return kNotRun;
  return twice > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace damaskthread::review

int main(int argc, char** argv) { return argc == 3 ? damaskthread::review::play(argv[1], argv[2]) : 2; }
