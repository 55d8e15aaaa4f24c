// A randomized soak: real daemons as separate processes, with faults injected from outside them, while callers check
// what they are promised. The same seed draws the same faults; their timing depends on the machine.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <exception>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "meshfleet/fleet.h"
#include "support/child_process.h"
#include "support/http_caller.h"

ABSL_FLAG(unsigned, seed, 1, "Seed of the faults.");
ABSL_FLAG(double, minutes, 0.5, "Time under faults.");
ABSL_FLAG(std::string, logs, "", "Folder that keeps the daemons' logs; default: a folder below /tmp.");

namespace damaskthread::soak {
namespace {

using meshfleet::Clock;
using meshfleet::Fleet;
using meshfleet::Proxy;
using meshfleet::Server;
using meshfleet::Store;
using meshfleet::Vm;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kCallers = 12;
// Time without faults at the end, after which everything has to be served again.
constexpr seconds kCalmBeforeCheck{6};
constexpr seconds kChecked{4};
constexpr double kServedAtTheEnd = 0.99;
// A configuration is in force everywhere after this, where nothing harms the daemon asked.
constexpr seconds kConfigurationBound{2};

const std::vector<meshfleet::ServiceSpec> services = {
    {"lookup", true, 3, "pricing"}, {"payment", false, 3, ""}, {"pricing", true, 3, ""}};

std::int64_t now_ms() { return std::chrono::duration_cast<milliseconds>(Clock::now().time_since_epoch()).count(); }

// Set by a signal; the soak then ends its daemons and reports.
volatile std::sig_atomic_t interrupted = 0;

class Soak {
 public:
  Soak(unsigned seed, const std::string& logs) : random_(seed), fleet_(services, logs) {
    if (!fleet_.start()) violation("a daemon does not start");
    std::this_thread::sleep_for(seconds(3));
  }

  int run(std::chrono::duration<double> time) {
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int i = 0; i < kCallers; ++i) callers.emplace_back([this, i] { call(i); });
    const auto end = Clock::now() + time;
    while (Clock::now() < end && interrupted == 0) {
      inject();
      std::this_thread::sleep_for(milliseconds(300 + random_() % 1200));
    }
    heal();
    std::this_thread::sleep_for(kCalmBeforeCheck);
    checking_ = true;
    std::this_thread::sleep_for(kChecked);
    stopping_ = true;
    for (std::thread& caller : callers) caller.join();
    return report();
  }

 private:
  [[nodiscard]] std::map<std::string, std::atomic<std::int64_t>> harmed_never() const {
    std::map<std::string, std::atomic<std::int64_t>> times;
    for (const auto& vm : fleet_.vms()) times[vm->name] = 0;
    return times;
  }

  void inject() {
    Vm& vm = *fleet_.vms()[random_() % fleet_.vms().size()];
    const milliseconds length(500 + random_() % 2500);
    const unsigned fault = random_() % fault_kinds.size();
    log_fault(fault_kinds[fault].name, vm, length);
    harmed_until_ms_[vm.name] = now_ms() + length.count() + 6000;
    (this->*fault_kinds[fault].inject)(vm, length);
  }

  void kill_daemon(Vm& vm, milliseconds length) {
    Fleet::kill_daemon(vm);
    std::this_thread::sleep_for(length / 4);
    fleet_.start_daemon(vm);
  }
  void stop_daemon(Vm& vm, milliseconds /*length*/) {
    vm.daemon->signal(SIGTERM);
    const auto status = vm.daemon->wait(seconds(8));
    if (!status) violation(vm.name + " does not stop within its grace");
    fleet_.start_daemon(vm);
  }
  void freeze_daemon(Vm& vm, milliseconds length) {
    vm.daemon->signal(SIGSTOP);
    std::this_thread::sleep_for(length);
    vm.daemon->signal(SIGCONT);
  }
  void reset_connections(Vm& vm, milliseconds /*length*/) {
    fleet_.on_loop([&] { vm.peer_proxy->reset_all(); });
  }
  void harm_connections(Vm& vm, milliseconds length, Proxy::Mode mode) {
    fleet_.on_loop([&] { vm.peer_proxy->set_mode(mode); });
    std::this_thread::sleep_for(length);
    fleet_.on_loop([&] { vm.peer_proxy->set_mode(Proxy::Mode::kPass); });
  }
  void silence_store_of_one(Vm& vm, milliseconds length) {
    fleet_.on_loop([&] { vm.store_proxy->set_mode(Proxy::Mode::kSilent); });
    std::this_thread::sleep_for(length);
    fleet_.on_loop([&] { vm.store_proxy->set_mode(Proxy::Mode::kPass); });
  }
  void delay_connections(Vm& vm, milliseconds length) { harm_connections(vm, length, Proxy::Mode::kDelay); }
  void silence_connections(Vm& vm, milliseconds length) { harm_connections(vm, length, Proxy::Mode::kSilent); }
  void cut_one_way(Vm& vm, milliseconds length) { harm_connections(vm, length, Proxy::Mode::kOneWay); }
  void store_fault(milliseconds length, Store::Fault fault) {
    store_harmed_until_ms_ = now_ms() + length.count() + 6000;
    fleet_.on_loop([&] { fleet_.store().set_fault(fault); });
    std::this_thread::sleep_for(length);
    fleet_.on_loop([&] { fleet_.store().set_fault(Store::Fault::kNone); });
  }
  void refuse_store(Vm& /*vm*/, milliseconds length) { store_fault(length, Store::Fault::kRefuse); }
  void silence_store(Vm& /*vm*/, milliseconds length) { store_fault(length, Store::Fault::kSilent); }
  void lose_store_answers(Vm& /*vm*/, milliseconds length) { store_fault(length, Store::Fault::kLoseAnswers); }
  void forget_history(Vm& /*vm*/, milliseconds /*length*/) {
    fleet_.on_loop([&] { fleet_.store().forget_history(); });
  }
  void change_configuration(Vm& /*vm*/, milliseconds /*length*/) {
    // Callers learn of the version while it is being written.
    changed_at_ms_ = now_ms();
    fleet_.publish();
    changed_at_ms_ = now_ms();
  }
  void crash_server(Vm& vm, milliseconds length) {
    fleet_.on_loop([&] { vm.server->crash(); });
    std::this_thread::sleep_for(length);
    fleet_.on_loop([&] { vm.server->start(); });
  }
  void replace_server(Vm& vm, milliseconds /*length*/) {
    fleet_.on_loop([&] { vm.server->leave(); });
    std::this_thread::sleep_for(seconds(3));
    fleet_.on_loop([&] { vm.server->crash(); });
    fleet_.on_loop([&] { vm.server->start(); });
  }
  void replace_server_of_killed_daemon(Vm& vm, milliseconds length) {
    fleet_.on_loop([&] { vm.server->leave(); });
    std::this_thread::sleep_for(milliseconds(200));
    kill_daemon(vm, length);
    std::this_thread::sleep_for(seconds(3));
    fleet_.on_loop([&] { vm.server->crash(); });
    fleet_.on_loop([&] { vm.server->start(); });
  }

  struct FaultKind {
    const char* name;
    void (Soak::*inject)(Vm&, milliseconds);
  };
  static const std::vector<FaultKind> fault_kinds;

  void heal() {
    for (const auto& vm : fleet_.vms()) {
      fleet_.on_loop([&] {
        vm->peer_proxy->set_mode(Proxy::Mode::kPass);
        if (!vm->server->running()) vm->server->start();
      });
    }
  }

  void log_fault(const char* name, const Vm& vm, milliseconds length) {
    std::cout << now_ms() - started_ms_ << " ms: " << name << " " << vm.name << " " << length.count() << " ms"
              << std::endl;
  }

  void violation(const std::string& text) {
    const std::scoped_lock lock(mutex_);
    violations_.push_back(text);
    std::cout << "VIOLATION " << text << std::endl;
  }

  // One caller: keeps its connection as long as the daemon does, and moves to another daemon when it cannot connect.
  void call(int number) {
    std::mt19937 random(static_cast<unsigned>(number));
    std::uint64_t count = 0;
    std::size_t at = static_cast<std::size_t>(number) % fleet_.vms().size();
    auto caller = std::make_unique<support::HttpCaller>("127.0.0.1", fleet_.vms()[at]->ports.calls);
    while (!stopping_) {
      const std::string& service = services[random() % services.size()].name;
      const std::string attempt = std::to_string(number) + "x" + std::to_string(++count);
      support::HttpCall request;
      request.method = service == "payment" ? "POST" : "GET";
      const int version = fleet_.version();
      const bool on_new_route = random() % 8 == 0;
      const std::string host = on_new_route ? fleet_.newest_host(service) : service + ".example";
      request.target = "/" + attempt;
      request.headers = {{"Host", host}, {"X-Attempt-Id", attempt}, {"X-Deadline-Ms", "2500"}};
      request.timeout = milliseconds(2700);
      const std::int64_t sent = now_ms();
      const support::HttpAnswer answer = caller->call(request);
      check(attempt, service, answer);
      if (answer.status == 404 && on_new_route && version == fleet_.version())
        check_in_force(*fleet_.vms()[at], sent, attempt);
      count_outcome(answer, on_new_route);
      if (answer.exchange != support::Exchange::kWhole || answer.header("Connection") == "close") {
        at = random() % fleet_.vms().size();
        caller = std::make_unique<support::HttpCaller>("127.0.0.1", fleet_.vms()[at]->ports.calls);
      }
      std::this_thread::sleep_for(milliseconds(random() % 30));
    }
  }

  void check_in_force(const Vm& vm, std::int64_t sent, const std::string& attempt) {
    const std::int64_t bound = changed_at_ms_ + std::chrono::duration_cast<milliseconds>(kConfigurationBound).count();
    if (sent < bound || sent < harmed_until_ms_.at(vm.name) || sent < store_harmed_until_ms_) return;
    violation("attempt " + attempt + " got 404 from " + vm.name + " long after its route was added");
  }

  void check(const std::string& attempt, const std::string& service, const support::HttpAnswer& answer) {
    if (answer.exchange != support::Exchange::kWhole) return;
    if (answer.status == 200) {
      const bool right = answer.body == Server::body_of(attempt) && !answer.header("X-Server-Seal").empty() &&
                         answer.header("X-Attempt-Id") == attempt;
      if (!right) violation("attempt " + attempt + " got an answer that is not its own or not whole");
    }
    const bool promised = answer.status == 503 || answer.status == 429 || answer.status == 408 || answer.status == 421;
    if (promised && service == "payment") {
      const std::scoped_lock lock(mutex_);
      refused_payments_.push_back(attempt);
    }
    if (service == "payment") {
      const std::scoped_lock lock(mutex_);
      payments_.push_back(attempt);
    }
  }

  void count_outcome(const support::HttpAnswer& answer, bool on_new_route) {
    const bool served = answer.exchange == support::Exchange::kWhole &&
                        (answer.status == 200 || (answer.status == 404 && on_new_route));
    ++asked_;
    if (served) ++served_;
    if (!checking_) return;
    ++asked_at_end_;
    if (served) ++served_at_end_;
  }

  int report() {
    fleet_.on_loop([&] {
      for (const std::string& text : fleet_.ledger().violations) violation(text);
      for (const std::string& attempt : payments_) {
        if (fleet_.ledger().runs[attempt] > 1) violation("payment " + attempt + " ran more than once");
      }
      for (const std::string& attempt : refused_payments_) {
        if (fleet_.ledger().runs[attempt] > 0) violation("payment " + attempt + " was refused as not run, and ran");
      }
    });
    const double at_end =
        static_cast<double>(served_at_end_) / static_cast<double>(std::max<std::uint64_t>(1, asked_at_end_));
    if (at_end < kServedAtTheEnd) violation("served at the end: " + std::to_string(at_end));
    std::cout << "asked " << asked_ << ", served " << served_ << ", payments " << payments_.size()
              << ", refused payments " << refused_payments_.size() << ", served at the end " << at_end
              << ", violations " << violations_.size() << ", logs in " << fleet_.logs() << std::endl;
    return violations_.empty() ? 0 : 1;
  }

  std::mt19937 random_;
  Fleet fleet_;
  // Until when something harms a VM. All keys are there from the start, so that callers may read beside the injector.
  std::map<std::string, std::atomic<std::int64_t>> harmed_until_ms_ = harmed_never();
  const std::int64_t started_ms_ = now_ms();
  std::atomic<std::int64_t> changed_at_ms_{0};
  std::atomic<std::int64_t> store_harmed_until_ms_{0};
  std::atomic<bool> stopping_{false};
  std::atomic<bool> checking_{false};
  std::atomic<std::uint64_t> asked_{0};
  std::atomic<std::uint64_t> served_{0};
  std::atomic<std::uint64_t> asked_at_end_{0};
  std::atomic<std::uint64_t> served_at_end_{0};
  std::mutex mutex_;
  std::vector<std::string> payments_;
  std::vector<std::string> refused_payments_;
  std::vector<std::string> violations_;
};

const std::vector<Soak::FaultKind> Soak::fault_kinds = {
    {"kill-daemon", &Soak::kill_daemon},
    {"stop-daemon", &Soak::stop_daemon},
    {"freeze-daemon", &Soak::freeze_daemon},
    {"reset-connections", &Soak::reset_connections},
    {"delay-connections", &Soak::delay_connections},
    {"silence-connections", &Soak::silence_connections},
    {"cut-one-way", &Soak::cut_one_way},
    {"refuse-store", &Soak::refuse_store},
    {"silence-store", &Soak::silence_store},
    {"silence-store-of-one", &Soak::silence_store_of_one},
    {"lose-store-answers", &Soak::lose_store_answers},
    {"forget-history", &Soak::forget_history},
    {"change-configuration", &Soak::change_configuration},
    {"crash-server", &Soak::crash_server},
    {"replace-server", &Soak::replace_server},
    {"replace-server-of-killed-daemon", &Soak::replace_server_of_killed_daemon},
};

}  // namespace
}  // namespace damaskthread::soak

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  signal(SIGPIPE, SIG_IGN);
  const unsigned seed = absl::GetFlag(FLAGS_seed);
  std::string logs = absl::GetFlag(FLAGS_logs);
  if (logs.empty()) logs = "/tmp/damaskthread-soak-" + std::to_string(seed);
  std::cout << "seed " << seed << std::endl;
  for (const int number : {SIGINT, SIGTERM}) {
    std::signal(number, [](int) { damaskthread::soak::interrupted = 1; });
  }
  try {
    damaskthread::soak::Soak soak(seed, logs);
    return soak.run(std::chrono::duration<double>(60 * absl::GetFlag(FLAGS_minutes)));
  } catch (const std::exception& error) {
    std::cerr << "the soak cannot run: " << error.what() << std::endl;
    return 2;
  }
}
