// Runs both deployments of example/ at a reduced size on loopback, with real processes: a surge, a server that leaves,
// one that crashes, and a configuration change under way. Prints what callers got and fails if a promise was broken.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "support/child_process.h"
#include "support/process_fleet.h"

ABSL_FLAG(std::string, examples, "example", "folder with the declarations of both deployments");
ABSL_FLAG(double, seconds, 12, "length of the load");
ABSL_FLAG(std::string, hold, "", "start the deployments, write this file when they are ready, and run until SIGTERM");

namespace damaskthread::demo {
namespace {

using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;
using support::ChildProcess;
using support::eventually;
using support::Member;
using support::ProcessFleet;

struct Service {
  const char* name;
  int servers;
  std::vector<std::string> arguments;
};

struct Deployment {
  const char* name;
  std::vector<Service> services;
};

const std::vector<Deployment>& deployments() {
  static const std::vector<Deployment> all = {
      {"birchrun",
       {{"fleet", 2, {"--service_ms=8", "--slots=40", "--calls=pricing:GET:/quotes"}},
        {"booking", 2, {"--service_ms=15", "--slots=40", "--calls=fleet:GET:/availability"}},
        {"documents", 2, {"--service_ms=10", "--slots=40"}},
        {"pricing", 3, {"--service_ms=5", "--slots=40", "--allow_crash"}}}},
      {"lindqvist",
       {{"berth", 2, {"--service_ms=12", "--slots=40"}},
        {"orders", 2, {"--service_ms=15", "--slots=40", "--calls=berth:GET:/schedules,stock:GET:/levels"}},
        {"archive", 2, {"--service_ms=10", "--slots=40"}},
        {"stock", 2, {"--service_ms=5", "--slots=40"}}}}};
  return all;
}

// One kind of caller; `mix` and `phases` as load_caller takes them.
struct Caller {
  const char* service;
  const char* mix;
  double rate;
  double surge;
  std::vector<std::string> more;
};

const std::vector<Caller>& callers() {
  static const std::vector<Caller> all = {
      {"booking", "critical:3:POST:/payments,critical:2:GET:/bookings,sheddable:3:GET:/history", 60, 4, {}},
      {"fleet", "high:4:GET:/availability,sheddable:3:GET:/usage", 120, 5, {}},
      {"documents", "high:1:GET:/waivers", 6, 1, {"--bytes=300000"}},
      {"orders", "critical:3:POST:/orders,critical:2:GET:/orders,sheddable:3:GET:/reports", 60, 4, {}},
      {"stock", "high:3:GET:/levels,sheddable:3:GET:/forecasts", 120, 5, {}},
      {"archive", "normal:1:GET:/notes", 20, 1, {}}};
  return all;
}

class Demo {
 public:
  explicit Demo(std::string examples) : examples_(std::move(examples)) {}

  void start() {
    for (const Deployment& deployment : deployments()) {
      for (const Service& service : deployment.services) {
        for (int i = 0; i < service.servers; ++i) {
          const std::string zone = std::string(deployment.name) + "-" + static_cast<char>('a' + i);
          fleet_.add(service.name, zone, service.arguments);
        }
      }
    }
    check(fleet_.wait_joined(), "every daemon knows every other one");
    for (const Deployment& deployment : deployments()) publish(deployment.name);
    check(in_force(8), "the example declarations are in force everywhere");
  }

  void run(double seconds) {
    const auto begin = Clock::now();
    start_callers(seconds);
    const auto at = [&](double share) { std::this_thread::sleep_until(begin + share * seconds * kSecond); };
    at(0.25);
    change_configuration();
    at(0.4);
    Member& leaver = find("fleet", 1);
    leaver.daemon_process->signal(SIGTERM);
    at(0.55);
    crash_servers();
    finish_callers();
    check(leaver.daemon_process->wait(std::chrono::seconds(40)) == 0, "the server that left finished its calls");
    report();
  }

  [[nodiscard]] Member& first() { return *fleet_.members().front(); }
  [[nodiscard]] const std::string& token_file() { return fleet_.token_file(); }
  [[nodiscard]] bool failed() const noexcept { return failed_; }

 private:
  static constexpr std::chrono::duration<double> kSecond{1};

  void check(bool holds, const std::string& what) {
    std::printf("%s  %s\n", holds ? "ok    " : "FAILED", what.c_str());
    failed_ = failed_ || !holds;
  }

  Member& find(const std::string& service, int number) {
    for (const auto& member : fleet_.members()) {
      if (member->service == service && number-- == 0) return *member;
    }
    throw std::runtime_error("no such server: " + service);
  }

  void publish(const std::string& deployment) {
    ChildProcess control(support::program_path("damaskctl"),
                         {"apply", "-f", examples_ + "/" + deployment, "--server", admin_address(first()),
                          "--token-file", fleet_.token_file()},
                         fleet_.directory() / "apply.out");
    check(control.wait(std::chrono::seconds(30)) == 0, "damaskctl apply -f " + examples_ + "/" + deployment);
  }

  static std::string admin_address(const Member& member) { return "127.0.0.1:" + std::to_string(member.admin); }

  [[nodiscard]] bool in_force(std::uint64_t revision) {
    return eventually([&] {
      for (const auto& member : fleet_.members()) {
        if (!support::running(*member->daemon_process)) continue;
        const std::string line = "damaskthread_configuration_revision " + std::to_string(revision) + "\n";
        if (fleet_.get(member->admin, "/metrics").find(line) == std::string::npos) return false;
      }
      return true;
    });
  }

  void start_callers(double seconds) {
    for (const Caller& caller : callers()) {
      // Calls enter through daemons of another service of the same deployment, as those of phones do.
      std::string daemons;
      std::string journals;
      for (const auto& member : fleet_.members()) {
        if (member->service == caller.service) journals += "127.0.0.1:" + std::to_string(member->server) + ",";
        if (member->service == caller.service || member->service == "fleet") continue;
        if (daemons.size() < 60) daemons += "127.0.0.1:" + std::to_string(member->call) + ",";
      }
      daemons.pop_back();
      journals.pop_back();
      std::ostringstream phases;
      phases << seconds * 0.3 << ":" << caller.rate << "," << seconds * 0.3 << ":" << caller.rate * caller.surge << ","
             << seconds * 0.4 << ":" << caller.rate;
      std::vector<std::string> arguments = {"--daemons=" + daemons,
                                            std::string("--service=") + caller.service,
                                            std::string("--mix=") + caller.mix,
                                            "--phases=" + phases.str(),
                                            "--threads=200",
                                            "--retries=3",
                                            "--retry_delay_ms=50",
                                            "--good_within_ms=1500",
                                            "--timeout_ms=4000",
                                            "--journals=" + journals,
                                            std::string("--prefix=") + caller.service};
      arguments.insert(arguments.end(), caller.more.begin(), caller.more.end());
      outputs_.push_back(fleet_.directory() / (std::string(caller.service) + ".load.json"));
      loads_.push_back(
          std::make_unique<ChildProcess>(support::program_path("test/load_caller"), arguments, outputs_.back()));
    }
  }

  void change_configuration() {
    const auto begin = Clock::now();
    const auto result = fleet_.admin(first().admin, "PUT", "/v1/resources/services/weather",
                                     R"({"kind": "Service", "name": "weather", "operations": []})",
                                     {{"If-None-Match", "*"}, {"Operation-Id", "demo-change"}});
    const auto* response = std::get_if<http::Response>(&result);
    check(response != nullptr && response->status / 100 == 2, "a change of configuration is accepted during the surge");
    const bool everywhere = in_force(9);
    const std::chrono::duration<double> time = Clock::now() - begin;
    std::printf("        in force at every daemon after %.2f s\n", time.count());
    check(everywhere && time.count() <= 12, "the change is in force everywhere within 12 s");
  }

  void crash_servers() {
    for (int i = 0; i < 10; ++i) {
      Member& entry = *fleet_.members()[static_cast<std::size_t>(i) % 2 + 4];
      (void)fleet_.send(entry.call, {"GET", "/svc/pricing/crash", {}, ""}, std::chrono::seconds(3));
    }
    int crashed = 0;
    for (const auto& member : fleet_.members()) {
      if (member->service != "pricing" || support::running(*member->server_process)) continue;
      ++crashed;
      fleet_.start_server(*member);
    }
    std::printf("        a request sent 10 times took %d servers down\n", crashed);
    check(crashed >= 1 && crashed <= 3, "a request that crashes servers is held after at most 3");
  }

  void finish_callers() {
    std::printf("\n%-10s %-10s %8s %8s %8s %8s %8s %8s %8s\n", "service", "importance", "offered", "good", "late",
                "refused", "maybe", "wrong", "partial");
    std::uint64_t twice = 0;
    std::uint64_t false_not_run = 0;
    std::uint64_t broken = 0;
    for (std::size_t i = 0; i < loads_.size(); ++i) {
      loads_[i]->wait(std::chrono::seconds(120));
      std::ifstream file(outputs_[i]);
      const Json result = Json::parse(file, nullptr, false);
      if (!result.is_object()) {
        check(false, "a caller reports its results");
        continue;
      }
      print(result);
      broken += result.value("wrong", 0U) + result.value("partial", 0U);
      if (!result.contains("journal")) continue;
      twice += result["journal"].value("ran_twice", 0U);
      false_not_run += result["journal"].value("false_not_run", 0U);
      once_ += result["journal"].value("at_most_once", 0U);
    }
    std::printf("\n");
    check(broken == 0, "no caller got a wrong or partial answer");
    check(twice == 0, "none of " + std::to_string(once_) + " at-most-once requests ran twice");
    check(false_not_run == 0, "no request refused as not run had run");
  }

  static void print(const Json& result) {
    const std::string service = result.value("service", "");
    for (const auto& [importance, row] : result["by_importance"].items()) {
      std::printf("%-10s %-10s %8u %8u %8u %8u %8u %8u %8u\n", service.c_str(), importance.c_str(),
                  row.value("offered", 0U), row.value("good", 0U), row.value("late", 0U), row.value("refused", 0U),
                  row.value("may_have_run", 0U), row.value("wrong", 0U), row.value("partial", 0U));
    }
    std::printf("%-10s retries of callers %llu, attempts %llu, p50 %.1f ms, p99 %.1f ms\n", service.c_str(),
                result.value("retries", 0ULL), result.value("attempts", 0ULL), result["latency_ms"].value("p50", 0.0),
                result["latency_ms"].value("p99", 0.0));
  }

  void report() {
    ChildProcess control(support::program_path("damaskctl"),
                         {"report", "--server", admin_address(first()), "--token-file", fleet_.token_file()},
                         fleet_.directory() / "report.out");
    check(control.wait(std::chrono::seconds(30)) == 0, "damaskctl report");
    std::ifstream file(fleet_.directory() / "report.out");
    std::cout << "\n" << file.rdbuf();
  }

  std::string examples_;
  ProcessFleet fleet_;
  std::vector<std::unique_ptr<ChildProcess>> loads_;
  std::vector<std::filesystem::path> outputs_;
  std::uint64_t once_ = 0;
  bool failed_ = false;
};

int hold(Demo& demo, const std::string& ready_file) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::ofstream(ready_file) << "call 127.0.0.1:" << demo.first().call << "\nadmin 127.0.0.1:" << demo.first().admin
                            << "\ntoken-file " << demo.token_file() << "\n";
  int signal = 0;
  sigwait(&signals, &signal);
  return 0;
}

int run() {
  Demo demo(absl::GetFlag(FLAGS_examples));
  demo.start();
  const std::string ready_file = absl::GetFlag(FLAGS_hold);
  if (!ready_file.empty()) return hold(demo, ready_file);
  demo.run(absl::GetFlag(FLAGS_seconds));
  return demo.failed() ? 1 : 0;
}

}  // namespace
}  // namespace damaskthread::demo

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  setvbuf(stdout, nullptr, _IOLBF, 0);
  try {
    return damaskthread::demo::run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "demo: %s\n", error.what());
    return 1;
  }
}
