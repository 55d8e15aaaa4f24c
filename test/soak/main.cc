// Randomised soak test: faults are injected into a fleet of daemon processes while callers check the daemons'
// guarantees: complete responses in request order, each to its own request, true "not run" statuses, single runs of
// non-idempotent requests, and keys that decide who may enter and that no server or log shows. The same seed draws the
// same sequence of faults; their timing depends on the machine.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
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
// Faults that affect a VM or the store may show for this long after their end.
constexpr seconds kAftermath{6};
// Large enough to arrive in many reads and to be cut by the faults.
constexpr std::size_t kMaxDownloadBytes = 600'000;
constexpr std::size_t kMaxPipelined = 5;
constexpr int kOtherEntries = 20;
// Up to the time that a request takes, so that requests arrive before, with and after responses in front of them.
constexpr milliseconds kMaxPause{40};
// Shared by all keys, so that a search for it in the logs finds any of them.
constexpr std::string_view kKeyMarker = "soak-key-";
constexpr const char* kForgedTenant = "forged";

const std::vector<meshfleet::ServiceSpec> services = {{"lookup", true, 3, "pricing"},
                                                      {"payment", false, 3, "", true},
                                                      {"pricing", true, 3, ""},
                                                      {"replay", true, 2, "", false, kMaxDownloadBytes, true}};

const std::vector<meshfleet::TenantSpec> tenants = {
    {"north", {"soak-key-north"}}, {"south", {"soak-key-south"}}, {"west", {"soak-key-west"}}};

// Values of Authorization headers that must get 401; a request with several credentials counts as one with none.
const std::vector<std::vector<std::string>> invalid_credentials = {{},
                                                                   {"Bearer soak-key-unknown"},
                                                                   {"Bearer "},
                                                                   {"Basic soak-key-north"},
                                                                   {"Bearer soak-key-north", "Bearer soak-key-south"}};

// A request that a caller sends.
struct Attempt {
  std::string id;
  const meshfleet::ServiceSpec* service = nullptr;
  // Tenant that holds the key of the request; null without a valid key.
  const meshfleet::TenantSpec* tenant = nullptr;
  // Configuration version in force when the request was made.
  int version = 0;
  // The host of the request exists only in that version.
  bool on_new_route = false;
  // The response states that the request has not run.
  bool reported_not_run = false;
};

std::int64_t now_ms() { return std::chrono::duration_cast<milliseconds>(Clock::now().time_since_epoch()).count(); }

// Set by a signal handler; the soak test then ends its daemons and reports.
volatile std::sig_atomic_t interrupted = 0;

// Injects faults into a fleet while callers send requests, and collects violations.
class Soak {
 public:
  Soak(unsigned seed, const std::string& logs) : seed_(seed), random_(seed), fleet_(services, logs, {}, tenants) {
    if (!fleet_.start()) report_violation("a daemon failed to start");
    std::this_thread::sleep_for(seconds(3));
    fleet_.on_loop([&] { fleet_.store().back_up(); });
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
    disturbed_until_ms_[vm.name] = time_after(length + kAftermath);
    if (random_() % 4 == 0) fleet_.on_loop([&] { fleet_.store().back_up(); });
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
    store_disturbed_until_ms_ = time_after(length + kAftermath);
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
  // The store returns from the last backup, in half of the cases after it was away, and the operator writes the
  // configuration and other entries again.
  void restore_store(Vm& vm, milliseconds length) {
    // Failed calls make daemons read everything again, so that only a restore without them tests the era.
    if (random_() % 2 == 0) refuse_store(vm, length / 4);
    fleet_.on_loop([&] { fleet_.store().restore(); });
    std::this_thread::sleep_for(length / 4);
    changed_at_ms_ = now_ms();
    if (random_() % 2 == 0) {
      fleet_.publish();
    } else {
      fleet_.publish_again();
    }
    // Enough to reach the offsets that were assigned before the restore.
    fleet_.on_loop([&] {
      for (int i = 0; i < kOtherEntries; ++i) fleet_.store().write_as_operator("other", "x");
    });
    changed_at_ms_ = now_ms();
    store_disturbed_until_ms_ = time_after(kAftermath);
  }
  // The departure of a server is recorded after the backup, and its daemon must record it again before it is killed.
  void replace_server_of_restored_store(Vm& vm, milliseconds length) {
    fleet_.on_loop([&] { fleet_.store().back_up(); });
    fleet_.on_loop([&] { vm.server->leave(); });
    std::this_thread::sleep_for(milliseconds(500));
    const std::string recorded = member_entry(vm);
    restore_store(vm, length);
    const std::int64_t end = time_after(kAftermath);
    while (member_entry(vm) != recorded && now_ms() < end) std::this_thread::sleep_for(milliseconds(50));
    if (member_entry(vm) != recorded) report_violation(vm.name + " did not record the departure of its server again");
    disturbed_until_ms_[vm.name] = time_after(length + kAftermath);
    kill_daemon(vm, length);
    std::this_thread::sleep_for(seconds(3));
    fleet_.on_loop([&] { vm.server->crash(); });
    fleet_.on_loop([&] { vm.server->start(); });
  }
  std::string member_entry(const Vm& vm) {
    std::string entry;
    fleet_.on_loop([&] { entry = fleet_.store().member("127.0.0.1:" + std::to_string(vm.peer_proxy_port)); });
    return entry;
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

  // Time in milliseconds at which a duration that begins now ends.
  static std::int64_t time_after(milliseconds duration) { return now_ms() + duration.count(); }

  [[nodiscard]] bool disturbed(const Vm& vm, std::int64_t time_ms) const {
    return time_ms < disturbed_until_ms_.at(vm.name) || time_ms < store_disturbed_until_ms_;
  }

  void report_violation(const std::string& text) {
    const std::scoped_lock lock(mutex_);
    violations_.push_back(text);
    std::cout << "VIOLATION " << text << std::endl;
  }

  // Runs one caller, which reuses its connection until the daemon closes it or a call fails, and then connects to a
  // randomly chosen daemon.
  void run_caller(int caller_number) {
    std::mt19937 random(seed_ * kCallers + static_cast<unsigned>(caller_number));
    std::uint64_t count = 0;
    std::size_t vm_index = static_cast<std::size_t>(caller_number) % fleet_.vms().size();
    auto caller = std::make_unique<support::HttpCaller>("127.0.0.1", fleet_.vms()[vm_index]->ports.caller_port);
    while (!stopping_) {
      const std::size_t pipelined = random() % 4 == 0 ? 2 + random() % (kMaxPipelined - 1) : 1;
      std::vector<Attempt> attempts;
      std::vector<support::HttpCall> requests;
      for (std::size_t i = 0; i < pipelined; ++i) {
        Attempt attempt;
        attempt.id = std::to_string(caller_number) + "x" + std::to_string(++count);
        requests.push_back(make_request(attempt, random));
        attempts.push_back(std::move(attempt));
      }
      const Vm& vm = *fleet_.vms()[vm_index];
      const std::int64_t sent = now_ms();
      const std::vector<support::HttpAnswer> answers =
          caller->call_pipelined(requests, milliseconds(random() % kMaxPause.count()));
      bool reusable = true;
      bool closed = false;
      for (std::size_t i = 0; i < pipelined; ++i) {
        // The daemon has not forwarded what is queued behind a response that closes the connection.
        attempts[i].reported_not_run = closed;
        check(attempts[i], vm, sent, answers[i]);
        count_outcome(attempts[i], answers[i]);
        closed = closed || answers[i].header("Connection") == "close";
        reusable = reusable && !closed && answers[i].exchange == support::Exchange::kWhole;
      }
      record(attempts);
      if (!reusable) {
        vm_index = random() % fleet_.vms().size();
        caller = std::make_unique<support::HttpCaller>("127.0.0.1", fleet_.vms()[vm_index]->ports.caller_port);
      }
      std::this_thread::sleep_for(milliseconds(random() % 30));
    }
  }

  // Draws a request with the id of the attempt.
  support::HttpCall make_request(Attempt& attempt, std::mt19937& random) const {
    attempt.service = &services[random() % services.size()];
    attempt.version = fleet_.version();
    attempt.on_new_route = random() % 8 == 0;
    support::HttpCall request;
    request.method = attempt.service->idempotent ? "GET" : "POST";
    request.target = "/" + attempt.id;
    const std::string& service = attempt.service->name;
    request.headers = {{"Host", attempt.on_new_route ? fleet_.newest_host(service) : service + ".example"},
                       {"X-Attempt-Id", attempt.id},
                       {"X-Deadline-Ms", "2500"}};
    request.timeout = milliseconds(2700);
    if (random() % 16 == 0) {
      for (const std::string& value : invalid_credentials[random() % invalid_credentials.size()])
        request.headers.emplace_back("Authorization", value);
    } else {
      attempt.tenant = &tenants[random() % tenants.size()];
      request.headers.emplace_back("Authorization", "Bearer " + attempt.tenant->keys.front());
    }
    if (random() % 4 == 0) request.headers.emplace_back("X-Tenant", kForgedTenant);
    return request;
  }

  void check_in_force(const Vm& vm, std::int64_t sent, const std::string& attempt) {
    const std::int64_t bound = changed_at_ms_ + std::chrono::duration_cast<milliseconds>(kMaxPropagationTime).count();
    if (sent < bound || disturbed(vm, sent)) return;
    report_violation("attempt " + attempt + " got 404 from " + vm.name + " after the bound for its new route");
  }

  // Checks what holds for a response by itself; what its request did at the servers is checked at the end.
  void check(Attempt& attempt, const Vm& vm, std::int64_t sent, const support::HttpAnswer& answer) {
    const std::string name = "attempt " + attempt.id + " at " + vm.name;
    if (answer.exchange == support::Exchange::kMalformed) report_violation(name + " got a malformed response");
    // Only a daemon that is killed or exceeds its grace period may cut a response.
    if (answer.exchange == support::Exchange::kPartial && now_ms() >= disturbed_until_ms_.at(vm.name))
      report_violation(name + " got part of a response");
    if (answer.exchange != support::Exchange::kWhole) return;
    const int status = answer.status;
    attempt.reported_not_run = status == 503 || status == 429 || status == 408 || status == 421 || status == 401;
    if (status == 404 && attempt.on_new_route) {
      if (attempt.version == fleet_.version()) check_in_force(vm, sent, attempt.id);
    } else if (status == 403 || status == 404) {
      report_violation(name + " got " + std::to_string(status) + " although its route is in every version");
    } else if (attempt.tenant == nullptr) {
      // A daemon without a configuration knows no keys.
      if (status != 401 && (status != 503 || !disturbed(vm, sent)))
        report_violation(name + " without a valid key got " + std::to_string(status));
    } else if (status == 401) {
      report_violation(name + " with a valid key got 401");
    }
    if (status != 200) return;
    const bool correct = answer.body == Server::response_body(attempt.id, attempt.service->max_response_bytes) &&
                         !answer.header("X-Server-Seal").empty() && answer.header("X-Attempt-Id") == attempt.id;
    if (!correct) report_violation(name + " got a truncated, unsealed or foreign response");
  }

  void count_outcome(const Attempt& attempt, const support::HttpAnswer& answer) {
    const int expected = attempt.tenant == nullptr ? 401 : 200;
    const bool served = answer.exchange == support::Exchange::kWhole &&
                        (answer.status == expected || (answer.status == 404 && attempt.on_new_route));
    ++requests_;
    if (served) ++served_;
    if (!checking_) return;
    ++requests_at_end_;
    if (served) ++served_at_end_;
  }

  void record(const std::vector<Attempt>& attempts) {
    const std::scoped_lock lock(mutex_);
    attempts_.insert(attempts_.end(), attempts.begin(), attempts.end());
  }

  // Checks what a request did at the servers.
  void check_executions(const Attempt& attempt) {
    const int runs = fleet_.execution_log().runs[attempt.id];
    if (runs > 1 && !attempt.service->idempotent) report_violation("payment " + attempt.id + " ran more than once");
    if (runs > 0 && attempt.reported_not_run)
      report_violation(attempt.service->name + " " + attempt.id + " ran although it was refused as not run");
    if (runs > 0 && attempt.tenant == nullptr) report_violation("attempt " + attempt.id + " ran without a valid key");
    for (const std::string& name : fleet_.execution_log().tenants[attempt.id]) {
      if (attempt.tenant != nullptr && name != attempt.tenant->name)
        report_violation("attempt " + attempt.id + " ran for the tenant '" + name + "'");
    }
    // The call that its execution makes carries no key.
    for (const std::string& name : fleet_.execution_log().tenants[attempt.id + ".1"]) {
      if (!name.empty()) report_violation("the call of attempt " + attempt.id + " ran for the tenant '" + name + "'");
    }
  }

  // No log of a daemon may contain a key.
  void check_logs() {
    for (const auto& entry : std::filesystem::directory_iterator(fleet_.logs())) {
      std::stringstream text;
      text << std::ifstream(entry.path()).rdbuf();
      if (text.str().find(kKeyMarker) != std::string::npos) report_violation("a key is in " + entry.path().string());
    }
  }

  int report() {
    fleet_.on_loop([&] {
      for (const std::string& text : fleet_.execution_log().violations) report_violation(text);
      for (const Attempt& attempt : attempts_) check_executions(attempt);
    });
    check_logs();
    const double served_share_at_end =
        static_cast<double>(served_at_end_) / static_cast<double>(std::max<std::uint64_t>(1, requests_at_end_));
    if (served_share_at_end < kMinServedShare)
      report_violation("served at the end: " + std::to_string(served_share_at_end));
    const auto count = [this](auto predicate) { return std::count_if(attempts_.begin(), attempts_.end(), predicate); };
    std::cout << "asked " << requests_ << ", served " << served_ << ", payments "
              << count([](const Attempt& attempt) { return !attempt.service->idempotent; }) << ", downloads "
              << count([](const Attempt& attempt) { return attempt.service->download; }) << ", without a valid key "
              << count([](const Attempt& attempt) { return attempt.tenant == nullptr; }) << ", reported as not run "
              << count([](const Attempt& attempt) { return attempt.reported_not_run; }) << ", served at the end "
              << served_share_at_end << ", violations " << violations_.size() << ", logs in " << fleet_.logs()
              << std::endl;
    return violations_.empty() ? 0 : 1;
  }

  const unsigned seed_;
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
  std::vector<Attempt> attempts_;
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
    {"restore-store", &Soak::restore_store},
    {"replace-server-of-restored-store", &Soak::replace_server_of_restored_store},
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
