// Servers are restarted one after the other in a planned way and keep their ids; later all daemons are killed.

#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "../standin/standin.h"

namespace damaskthread::review {
namespace {

constexpr milliseconds kLead{4000};
// A leaving server serves for `drain` (2 s) after the acknowledgement and a little longer.
constexpr milliseconds kServesOn{2500};
constexpr milliseconds kAway{1500};
constexpr milliseconds kGap{2500};
constexpr milliseconds kDown{1200};
// `recover` of the site file, and 2 s more.
constexpr milliseconds kRecover{17000};
constexpr milliseconds kMeasured{20000};
constexpr milliseconds kPause{100};

int play(const std::string& folder, const std::string& record_path) {
  Record record(record_path);
  RunLog runs;
  Deployment deployment(folder, {"fleetboard", "fleetboard", "fleetboard"}, {{"fleetboard", true}});
  if (!deployment.start() || !deployment.wait_ready(milliseconds(10000))) return kNotRun;
  const std::vector<Machine>& machines = deployment.machines();
  std::vector<std::unique_ptr<Server>> servers;
  for (std::size_t i = 0; i < machines.size(); ++i) {
    servers.push_back(
        std::make_unique<Server>(machines[i], "fleetboard", record, runs, [](const Message&) { return Behaviour{}; }));
    servers.back()->start("i-" + std::to_string(i));
  }
  int sent = 0;
  // Sends requests for a while and returns the share that is served.
  const auto send_for = [&](milliseconds time) {
    int asked = 0;
    int served = 0;
    const auto end = Clock::now() + time;
    while (Clock::now() < end) {
      ClientRequest request;
      request.host = "fleetboard.example";
      request.target = "/fleetboard/2f";
      request.attempt = "a" + std::to_string(++sent);
      Message answer;
      const int status = exchange(machines[static_cast<std::size_t>(sent) % machines.size()].calls(), request, answer);
      record.line("answer to attempt " + request.attempt + ": " + std::to_string(status));
      ++asked;
      served += status == 200 ? 1 : 0;
      pause(kPause);
    }
    return asked == 0 ? 0.0 : static_cast<double>(served) / asked;
  };
  pause(kLead);
  const double at_start = send_for(milliseconds(3000));
  for (std::size_t i = 0; i < machines.size(); ++i) {
    const bool acknowledged = servers[i]->deregister();
    record.line("server " + servers[i]->id() + " leaves, acknowledged: " + (acknowledged ? "yes" : "no"));
    (void)send_for(kServesOn);
    servers[i]->crash();
    (void)send_for(kAway);
    servers[i]->start("i-" + std::to_string(i));
    (void)send_for(kGap);
  }
  const double before = send_for(milliseconds(5000));
  if (trouble()) {
    record.line("a change of the configuration is acknowledged, then all daemons are killed");
    deployment.change_configuration();
    for (std::size_t i = 0; i < machines.size(); ++i) deployment.kill_daemon(i);
    pause(kDown);
    for (std::size_t i = 0; i < machines.size(); ++i) deployment.start_daemon(i);
    record.line("all daemons are started again");
    if (!deployment.wait_ready(milliseconds(10000))) return kNotRun;
  }
  (void)send_for(kRecover);
  const double after = send_for(kMeasured);
  const std::string result = "served: at the start " + std::to_string(at_start) +
                             ", after the restarts of the servers " + std::to_string(before) +
                             ", later than `recover` after the kill " + std::to_string(after);
  record.line(result);
  std::cout << result << "\n";
  if (at_start < 0.25 || before < 0.25) return kNotRun;
  return after < 0.25 ? kBroken : kHeld;
}

}  // namespace
}  // namespace damaskthread::review

int main(int argc, char** argv) { return argc == 3 ? damaskthread::review::play(argv[1], argv[2]) : 2; }
