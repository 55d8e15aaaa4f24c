// Randomised soak test: faults are injected into a fleet of daemon processes while callers check the daemons'
// guarantees. The same seed draws the same sequence of faults; their timing depends on the machine.

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

ABSL_FLAG(unsigned, seed, 1, "Seed of the fault sequence.");
ABSL_FLAG(double, minutes, 0.5, "Duration of fault injection in minutes.");
ABSL_FLAG(std::string, logs, "", "Folder for the daemons' logs; default: a folder below /tmp.");

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
// Time after the last fault within which full service must be restored.
constexpr seconds kRecoveryTime{6};
constexpr seconds kCheckDuration{4};
constexpr double kMinServedShare = 0.99;
// A configuration must be in force within this time at every daemon that no fault affects.
constexpr seconds kMaxPropagationTime{2};

const std::vector<meshfleet::ServiceSpec> services = {
    {"lookup", true, 3, "pricing"}, {"payment", false, 3, "", true}, {"pricing", true, 3, ""}};

std::int64_t now_ms() { return std::chrono::duration_cast<milliseconds>(Clock::now().time_since_epoch()).count(); }

// Set by a signal handler; the soak test then ends its daemons and reports.
volatile std::sig_atomic_t interrupted = 0;

// Injects faults into a fleet while callers send requests, and collects violations.
class Soak {
 public:
  Soak(unsigned seed, const std::string& logs) : random_(seed), fleet_(services, logs) {
    if (!fleet_.start()) report_violation("a daemon failed to start");
    std::this_thread::sleep_for(seconds(3));
  }

  int run(std::chrono::duration<double> time) {
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int i = 0; i < kCallers; ++i) callers.emplace_back([this, i] { run_caller(i); });
    const auto end = Clock::now() + time;
    while (Clock::now() < end && interrupted == 0) {
      inject();
      std::this_thread::sleep_for(milliseconds(300 + random_() % 1200));
    }
    clear_faults();
    std::this_thread::sleep_for(kRecoveryTime);
    checking_ = true;
    std::this_thread::sleep_for(kCheckDuration);
    stopping_ = true;
    for (std::thread& caller : callers) caller.join();
    return report();
  }

 private:
  [[nodiscard]] std::map<std::string, std::atomic<std::int64_t>> initial_disturbance_times() const {
    std::map<std::string, std::atomic<std::int64_t>> times;
    for (const auto& vm : fleet_.vms()) times[vm->name] = 0;
    return times;
  }

  void inject() {
    Vm& vm = *fleet_.vms()[random_() % fleet_.vms().size()];
    const milliseconds length(500 + random_() % 2500);
    const unsigned fault = random_() % fault_kinds.size();
    log_fault(fault_kinds[fault].name, vm, length);
    disturbed_until_ms_[vm.name] = now_ms() + length.count() + 6000;
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
    if (!status) report_violation(vm.name + " did not stop within its grace period");
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
  void disturb_connections(Vm& vm, milliseconds length, Proxy::Mode mode) {
    fleet_.on_loop([&] { vm.peer_proxy->set_mode(mode); });
    std::this_thread::sleep_for(length);
    fleet_.on_loop([&] { vm.peer_proxy->set_mode(Proxy::Mode::kPass); });
  }
  void silence_store_of_one(Vm& vm, milliseconds length) {
    fleet_.on_loop([&] { vm.store_proxy->set_mode(Proxy::Mode::kSilent); });
    std::this_thread::sleep_for(length);
    fleet_.on_loop([&] { vm.store_proxy->set_mode(Proxy::Mode::kPass); });
  }
  void delay_connections(Vm& vm, milliseconds length) { disturb_connections(vm, length, Proxy::Mode::kDelay); }
  void silence_connections(Vm& vm, milliseconds length) { disturb_connections(vm, length, Proxy::Mode::kSilent); }
  void cut_one_way(Vm& vm, milliseconds length) { disturb_connections(vm, length, Proxy::Mode::kOneWay); }
  void store_fault(milliseconds length, Store::Fault fault) {
    store_disturbed_until_ms_ = now_ms() + length.count() + 6000;
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
    // Set twice, since callers see the new version while it is being written.
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

  // Servers reject part of the requests and send each response once more.
  void repeat_responses(Vm& /*vm*/, milliseconds length) {
    set_repeated_responses(true);
    std::this_thread::sleep_for(length);
    set_repeated_responses(false);
  }
  void set_repeated_responses(bool on) {
    fleet_.on_loop([&] {
      for (const auto& vm : fleet_.vms()) {
        if (vm->server_proxy == nullptr) continue;
        vm->server->set_rejected_share(on ? 0.3 : 0);
        vm->server_proxy->set_mode(on ? Proxy::Mode::kRepeatResponses : Proxy::Mode::kPass);
      }
    });
  }

  struct FaultKind {
    const char* name;
    void (Soak::*inject)(Vm&, milliseconds);
  };
  static const std::vector<FaultKind> fault_kinds;

  void clear_faults() {
    for (const auto& vm : fleet_.vms()) {
      fleet_.on_loop([&] {
        vm->peer_proxy->set_mode(Proxy::Mode::kPass);
        if (!vm->server->running()) vm->server->start();
      });
    }
  }

  void log_fault(const char* name, const Vm& vm, milliseconds length) {
    std::cout << now_ms() - start_ms_ << " ms: " << name << " " << vm.name << " " << length.count() << " ms"
              << std::endl;
  }

  void report_violation(const std::string& text) {
    const std::scoped_lock lock(mutex_);
    violations_.push_back(text);
    std::cout << "VIOLATION " << text << std::endl;
  }

  // Runs one caller, which reuses its connection until the daemon closes it or a call fails, and then connects to a
  // randomly chosen daemon.
  void run_caller(int caller_number) {
    std::mt19937 random(static_cast<unsigned>(caller_number));
    std::uint64_t count = 0;
    std::size_t vm_index = static_cast<std::size_t>(caller_number) % fleet_.vms().size();
    auto caller = std::make_unique<support::HttpCaller>("127.0.0.1", fleet_.vms()[vm_index]->ports.caller_port);
    while (!stopping_) {
      const std::string& service = services[random() % services.size()].name;
      const std::string attempt = std::to_string(caller_number) + "x" + std::to_string(++count);
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
        check_in_force(*fleet_.vms()[vm_index], sent, attempt);
      count_outcome(answer, on_new_route);
      if (answer.exchange != support::Exchange::kWhole || answer.header("Connection") == "close") {
        vm_index = random() % fleet_.vms().size();
        caller = std::make_unique<support::HttpCaller>("127.0.0.1", fleet_.vms()[vm_index]->ports.caller_port);
      }
      std::this_thread::sleep_for(milliseconds(random() % 30));
    }
  }

  void check_in_force(const Vm& vm, std::int64_t sent, const std::string& attempt) {
    const std::int64_t bound = changed_at_ms_ + std::chrono::duration_cast<milliseconds>(kMaxPropagationTime).count();
    if (sent < bound || sent < disturbed_until_ms_.at(vm.name) || sent < store_disturbed_until_ms_) return;
    report_violation("attempt " + attempt + " got 404 from " + vm.name + " after the bound for its new route");
  }

  void check(const std::string& attempt, const std::string& service, const support::HttpAnswer& answer) {
    if (answer.exchange != support::Exchange::kWhole) return;
    if (answer.status == 200) {
      const bool correct = answer.body == Server::response_body(attempt) && !answer.header("X-Server-Seal").empty() &&
                           answer.header("X-Attempt-Id") == attempt;
      if (!correct) report_violation("attempt " + attempt + " got a truncated, unsealed or foreign response");
    }
    const bool reported_not_run =
        answer.status == 503 || answer.status == 429 || answer.status == 408 || answer.status == 421;
    if (reported_not_run && service == "payment") {
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
    ++requests_;
    if (served) ++served_;
    if (!checking_) return;
    ++requests_at_end_;
    if (served) ++served_at_end_;
  }

  int report() {
    fleet_.on_loop([&] {
      for (const std::string& text : fleet_.execution_log().violations) report_violation(text);
      for (const std::string& attempt : payments_) {
        if (fleet_.execution_log().runs[attempt] > 1) report_violation("payment " + attempt + " ran more than once");
      }
      for (const std::string& attempt : refused_payments_) {
        if (fleet_.execution_log().runs[attempt] > 0)
          report_violation("payment " + attempt + " ran although it was refused as not run");
      }
    });
    const double served_share_at_end =
        static_cast<double>(served_at_end_) / static_cast<double>(std::max<std::uint64_t>(1, requests_at_end_));
    if (served_share_at_end < kMinServedShare)
      report_violation("served at the end: " + std::to_string(served_share_at_end));
    std::cout << "asked " << requests_ << ", served " << served_ << ", payments " << payments_.size()
              << ", refused payments " << refused_payments_.size() << ", served at the end " << served_share_at_end
              << ", violations " << violations_.size() << ", logs in " << fleet_.logs() << std::endl;
    return violations_.empty() ? 0 : 1;
  }

  std::mt19937 random_;
  Fleet fleet_;
  // Time until which a fault may affect a VM. All keys exist from the start, so that callers can read concurrently with
  // the injection.
  std::map<std::string, std::atomic<std::int64_t>> disturbed_until_ms_ = initial_disturbance_times();
  const std::int64_t start_ms_ = now_ms();
  std::atomic<std::int64_t> changed_at_ms_{0};
  std::atomic<std::int64_t> store_disturbed_until_ms_{0};
  std::atomic<bool> stopping_{false};
  std::atomic<bool> checking_{false};
  std::atomic<std::uint64_t> requests_{0};
  std::atomic<std::uint64_t> served_{0};
  std::atomic<std::uint64_t> requests_at_end_{0};
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
    {"repeat-responses", &Soak::repeat_responses},
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
    std::cerr << "soak test failed to run: " << error.what() << std::endl;
    return 2;
  }
}
