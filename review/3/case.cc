// A heartbeat of another writer names a service that the configuration doesn't know.

#include <algorithm>
#include <chrono>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "../standin/standin.h"

namespace damaskthread::review {
namespace {

constexpr milliseconds kBefore{4000};
constexpr milliseconds kAfter{20000};
constexpr milliseconds kPause{100};

int play(const std::string& folder, const std::string& record_path) {
  Record record(record_path);
  RunLog runs;
  Deployment deployment(folder, {"fleetboard", "hiredesk", "hiredesk"}, {{"fleetboard", true}, {"hiredesk", false, 0}});
  if (!deployment.start() || !deployment.wait_ready(milliseconds(10000))) return kNotRun;
  const std::vector<Machine>& machines = deployment.machines();
  std::vector<std::unique_ptr<Server>> servers;
  for (std::size_t i = 0; i < machines.size(); ++i) {
    servers.push_back(std::make_unique<Server>(machines[i], machines[i].service, record, runs,
                                               [](const Message&) { return Behaviour{}; }));
    servers.back()->start("i-" + std::to_string(i));
  }
  int sent = 0;
  int served_before = 0;
  int served_after = 0;
  int other_after = 0;
  const auto call = [&](const std::string& service, int& served) {
    ClientRequest request;
    request.method = service == "hiredesk" ? "POST" : "GET";
    request.host = service + ".example";
    request.target = "/" + service + "/2f";
    request.attempt = "a" + std::to_string(++sent);
    Message answer;
    const int status = exchange(machines[0].calls(), request, answer);
    record.line("answer to attempt " + request.attempt + " " + request.target + ": " + std::to_string(status));
    if (status == 200) ++served;
  };
  const auto first_end = Clock::now() + kBefore;
  while (Clock::now() < first_end) {
    call("hiredesk", served_before);
    call("fleetboard", served_before);
    pause(kPause);
  }
  if (trouble()) {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const std::string body = Server::heartbeat(machines[0], "nosuchservice",
                                               std::chrono::duration_cast<milliseconds>(now).count(), 1, "ready");
    const int status = control_call(machines[0].control(), "/rpc?call=instances.heartbeat&of=i-stray", body);
    record.line("one heartbeat of another writer to " + machines[0].control().text() + ": " + body + " answered " +
                std::to_string(status));
  }
  const auto second_end = Clock::now() + kAfter;
  while (Clock::now() < second_end) {
    call("hiredesk", served_after);
    call("fleetboard", other_after);
    pause(kPause);
  }
  int wrong = 0;
  for (const Run& run : runs.all()) {
    // All clients of this case are on the first machine, whose service is fleetboard.
    if (run.caller_service == machines[0].service) continue;
    record.line("UNASKED: attempt " + run.attempt + " ran with X-Caller-Service " + run.caller_service);
    ++wrong;
  }
  const std::string result = "before: " + std::to_string(served_before) + " served; after: hiredesk " +
                             std::to_string(served_after) + ", fleetboard " + std::to_string(other_after) +
                             " served; " + std::to_string(wrong) + " ran with a wrong X-Caller-Service";
  record.line(result);
  std::cout << result << "\n";
  if (served_before < 10) return kNotRun;
  return wrong > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace damaskthread::review

int main(int argc, char** argv) { return argc == 3 ? damaskthread::review::play(argv[1], argv[2]) : 2; }
