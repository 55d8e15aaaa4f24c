// A randomized soak: real daemons as separate processes, with faults injected from outside them, while callers check
// what they are promised. The same seed draws the same faults; their timing depends on the machine.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <iostream>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "../support/child_process.h"
#include "../support/http_caller.h"
#include "proxy.h"
#include "server.h"
#include "store.h"

ABSL_FLAG(unsigned, seed, 1, "Seed of the faults.");
ABSL_FLAG(double, minutes, 0.5, "Time under faults.");
ABSL_FLAG(std::string, logs, "", "Folder that keeps the daemons' logs; default: a folder below /tmp.");

namespace damaskthread::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kVmsPerService = 3;
constexpr int kCallers = 12;
// Time without faults at the end, after which everything has to be served again.
constexpr seconds kCalmBeforeCheck{6};
constexpr seconds kChecked{4};
constexpr double kServedAtTheEnd = 0.99;
// A configuration is in force everywhere after this, where nothing harms the daemon asked.
constexpr seconds kConfigurationBound{2};

const std::vector<std::string> service_names = {"lookup", "payment", "pricing"};

struct Vm {
  std::string name;
  VmPorts ports;
  std::uint16_t peers = 0;
  std::uint16_t ready = 0;
  std::uint16_t proxy_port = 0;
  std::unique_ptr<Server> server;
  std::unique_ptr<Proxy> proxy;
  std::unique_ptr<support::ChildProcess> daemon;
  std::string settings_path;
  std::string log_path;
  /// Until when something harms it.
  std::atomic<std::int64_t> harmed_until_ms{0};
};

std::int64_t now_ms() { return std::chrono::duration_cast<milliseconds>(Clock::now().time_since_epoch()).count(); }

// Ports below those that the kernel gives to outgoing connections, which could take one while a daemon restarts.
std::uint16_t next_port() {
  constexpr int kFirst = 15'000;
  constexpr int kCount = 15'000;
  static int next = static_cast<int>(getpid()) * 61 % kCount;
  boost::asio::io_context io;
  for (;;) {
    next = (next + 1) % kCount;
    const auto port = static_cast<std::uint16_t>(kFirst + next);
    boost::asio::ip::tcp::acceptor acceptor(io);
    boost::system::error_code error;
    acceptor.open(boost::asio::ip::tcp::v4());
    acceptor.bind({boost::asio::ip::make_address("127.0.0.1"), port}, error);
    if (!error) return port;
  }
}

class Soak {
 public:
  Soak(unsigned seed, std::string logs) : random_(seed), logs_(std::move(logs)) {
    std::filesystem::create_directories(logs_);
    const std::uint16_t store_port = next_port();
    store_ = std::make_unique<Store>(io_, store_port);
    store_->operator_writes("config", configuration());
    for (std::size_t i = 0; i < service_names.size() * kVmsPerService; ++i) add_vm(i, store_port);
    loop_ = std::thread([this] {
      auto work = boost::asio::make_work_guard(io_);
      io_.run();
    });
    for (const auto& vm : vms_) start_daemon(*vm);
    for (const auto& vm : vms_) {
      if (!support::wait_for_port(vm->ports.control)) violation(vm->name + " does not start");
      on_loop([&] { vm->server->start(); });
    }
    std::this_thread::sleep_for(seconds(3));
  }

  ~Soak() {
    for (const auto& vm : vms_) vm->daemon->signal(SIGKILL);
    for (const auto& vm : vms_) vm->daemon.reset();
    io_.stop();
    loop_.join();
  }

  int run(std::chrono::duration<double> time) {
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int i = 0; i < kCallers; ++i) callers.emplace_back([this, i] { call(i); });
    const auto end = Clock::now() + time;
    while (Clock::now() < end) {
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
  void add_vm(std::size_t i, std::uint16_t store_port) {
    auto vm = std::make_unique<Vm>();
    const std::string& service = service_names[i % service_names.size()];
    vm->name = service + "-" + std::to_string(i / service_names.size());
    vm->ports = {next_port(), next_port(), next_port()};
    vm->peers = next_port();
    vm->ready = next_port();
    vm->proxy_port = next_port();
    vm->settings_path = logs_ + "/" + vm->name + ".json";
    vm->log_path = logs_ + "/" + vm->name + ".log";
    const auto at = [](std::uint16_t port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
    std::ofstream(vm->settings_path) << R"({"name":")" << vm->name << R"(","service":")" << service << R"(","zone":"z)"
                                     << i / service_names.size() << R"(","listen":{"calls":)" << at(vm->ports.calls)
                                     << R"(,"peers":)" << at(vm->peers) << R"(,"advertised":)" << at(vm->proxy_port)
                                     << R"(,"ready":)" << at(vm->ready) << R"(,"control":)" << at(vm->ports.control)
                                     << R"(},"local_server":)" << at(vm->ports.app) << R"(,"store":)" << at(store_port)
                                     << R"(,"heartbeat":"300ms","promises":{"grace":"6s","repeat_slack":50}})";
    vm->server = std::make_unique<Server>(io_, service, vm->ports, service == "lookup" ? "pricing.example" : "",
                                          ledger_, static_cast<unsigned>(i));
    vm->proxy = std::make_unique<Proxy>(io_, vm->proxy_port, vm->peers);
    vms_.push_back(std::move(vm));
  }

  void start_daemon(Vm& vm) {
    vm.daemon = std::make_unique<support::ChildProcess>(support::program_path("damaskthread_mesh"),
                                                        std::vector<std::string>{"--settings", vm.settings_path},
                                                        vm.log_path + std::to_string(++starts_));
  }

  // Runs something on the thread of the stand-ins.
  template <typename Action>
  void on_loop(Action action) {
    std::promise<void> done;
    boost::asio::post(io_, [&] {
      action();
      done.set_value();
    });
    done.get_future().wait();
  }

  // Each version has a route of its own, by which a daemon shows what is in force.
  std::string configuration() {
    ++version_;
    std::string hosts;
    for (const std::string& service : service_names) {
      const std::string kind = service == "payment" ? "non_idempotent" : "idempotent";
      const char* const rank = service == "payment" ? "0" : "2";
      const auto path = [&](const std::string& prefix) {
        std::string text = R"({"name":")";
        text.append(service).append(prefix).append(R"(","path_prefix":")").append(prefix);
        text.append(R"(","kind":")").append(kind).append(R"(","timeout":"1500ms","slo":"800ms","priority":)");
        return text.append(rank).append(R"(,"service":")").append(service).append(R"(","max_attempts":2})");
      };
      hosts.append(hosts.empty() ? "" : ",").append(R"({"host":")").append(service).append(R"(.example","paths":[)");
      hosts.append(path("/")).append(",").append(path("/v" + std::to_string(version_) + "/")).append("]}");
    }
    return R"({"version":)" + std::to_string(version_) +
           R"(,"services":[{"name":"lookup","health_path":"/health","max_conns":500},)"
           R"({"name":"payment","health_path":"/health","max_conns":500},)"
           R"({"name":"pricing","health_path":"/health","max_conns":500}],)"
           R"("limits":{"header_bytes":16384,"body_bytes":1000000,"header":"3000ms","idle":"15000ms"},)"
           R"("virtual_hosts":[)" +
           hosts + "]}";
  }

  void inject() {
    Vm& vm = *vms_[random_() % vms_.size()];
    const milliseconds length(500 + random_() % 2500);
    const unsigned fault = random_() % fault_kinds.size();
    log_fault(fault_kinds[fault].name, vm, length);
    vm.harmed_until_ms = now_ms() + length.count() + 6000;
    (this->*fault_kinds[fault].inject)(vm, length);
  }

  void kill_daemon(Vm& vm, milliseconds length) {
    vm.daemon->signal(SIGKILL);
    (void)vm.daemon->wait(seconds(5));
    std::this_thread::sleep_for(length / 4);
    start_daemon(vm);
  }
  void stop_daemon(Vm& vm, milliseconds /*length*/) {
    vm.daemon->signal(SIGTERM);
    const auto status = vm.daemon->wait(seconds(8));
    if (!status) violation(vm.name + " does not stop within its grace");
    start_daemon(vm);
  }
  void freeze_daemon(Vm& vm, milliseconds length) {
    vm.daemon->signal(SIGSTOP);
    std::this_thread::sleep_for(length);
    vm.daemon->signal(SIGCONT);
  }
  void reset_connections(Vm& vm, milliseconds /*length*/) {
    on_loop([&] { vm.proxy->reset_all(); });
  }
  void harm_connections(Vm& vm, milliseconds length, Proxy::Mode mode) {
    on_loop([&] { vm.proxy->set_mode(mode); });
    std::this_thread::sleep_for(length);
    on_loop([&] { vm.proxy->set_mode(Proxy::Mode::kPass); });
  }
  void delay_connections(Vm& vm, milliseconds length) { harm_connections(vm, length, Proxy::Mode::kDelay); }
  void silence_connections(Vm& vm, milliseconds length) { harm_connections(vm, length, Proxy::Mode::kSilent); }
  void cut_one_way(Vm& vm, milliseconds length) { harm_connections(vm, length, Proxy::Mode::kOneWay); }
  void store_fault(milliseconds length, Store::Fault fault) {
    store_harmed_until_ms_ = now_ms() + length.count() + 6000;
    on_loop([&] { store_->set_fault(fault); });
    std::this_thread::sleep_for(length);
    on_loop([&] { store_->set_fault(Store::Fault::kNone); });
  }
  void refuse_store(Vm& /*vm*/, milliseconds length) { store_fault(length, Store::Fault::kRefuse); }
  void silence_store(Vm& /*vm*/, milliseconds length) { store_fault(length, Store::Fault::kSilent); }
  void lose_store_answers(Vm& /*vm*/, milliseconds length) { store_fault(length, Store::Fault::kLoseAnswers); }
  void forget_history(Vm& /*vm*/, milliseconds /*length*/) {
    on_loop([&] { store_->forget_history(); });
  }
  void change_configuration(Vm& /*vm*/, milliseconds /*length*/) {
    on_loop([&] { store_->operator_writes("config", configuration()); });
    changed_at_ms_ = now_ms();
  }
  void crash_server(Vm& vm, milliseconds length) {
    on_loop([&] { vm.server->crash(); });
    std::this_thread::sleep_for(length);
    on_loop([&] { vm.server->start(); });
  }
  void replace_server(Vm& vm, milliseconds /*length*/) {
    on_loop([&] { vm.server->leave(); });
    std::this_thread::sleep_for(seconds(3));
    on_loop([&] { vm.server->crash(); });
    on_loop([&] { vm.server->start(); });
  }
  void replace_server_of_killed_daemon(Vm& vm, milliseconds length) {
    on_loop([&] { vm.server->leave(); });
    std::this_thread::sleep_for(milliseconds(200));
    kill_daemon(vm, length);
    std::this_thread::sleep_for(seconds(3));
    on_loop([&] { vm.server->crash(); });
    on_loop([&] { vm.server->start(); });
  }

  struct FaultKind {
    const char* name;
    void (Soak::*inject)(Vm&, milliseconds);
  };
  static const std::vector<FaultKind> fault_kinds;

  void heal() {
    for (const auto& vm : vms_) {
      on_loop([&] {
        vm->proxy->set_mode(Proxy::Mode::kPass);
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
    std::size_t at = static_cast<std::size_t>(number) % vms_.size();
    auto caller = std::make_unique<support::HttpCaller>("127.0.0.1", vms_[at]->ports.calls);
    while (!stopping_) {
      const std::string& service = service_names[random() % service_names.size()];
      const std::string attempt = std::to_string(number) + "x" + std::to_string(++count);
      support::HttpCall request;
      request.method = service == "payment" ? "POST" : "GET";
      const int version = version_;
      const bool on_new_route = random() % 8 == 0;
      request.target = on_new_route ? "/v" + std::to_string(version) + "/" + attempt : "/" + attempt;
      request.headers = {{"Host", service + ".example"}, {"X-Attempt-Id", attempt}, {"X-Deadline-Ms", "2500"}};
      request.timeout = milliseconds(2700);
      const std::int64_t sent = now_ms();
      const support::HttpAnswer answer = caller->call(request);
      check(attempt, service, answer);
      if (answer.status == 404 && on_new_route && version == version_) check_in_force(*vms_[at], sent, attempt);
      count_outcome(answer, on_new_route);
      if (answer.exchange != support::Exchange::kWhole || answer.header("Connection") == "close") {
        at = random() % vms_.size();
        caller = std::make_unique<support::HttpCaller>("127.0.0.1", vms_[at]->ports.calls);
      }
      std::this_thread::sleep_for(milliseconds(random() % 30));
    }
  }

  void check_in_force(const Vm& vm, std::int64_t sent, const std::string& attempt) {
    const std::int64_t bound = changed_at_ms_ + std::chrono::duration_cast<milliseconds>(kConfigurationBound).count();
    if (sent < bound || sent < vm.harmed_until_ms || sent < store_harmed_until_ms_) return;
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
    on_loop([&] {
      for (const std::string& text : ledger_.violations) violation(text);
      for (const std::string& attempt : payments_) {
        if (ledger_.runs[attempt] > 1) violation("payment " + attempt + " ran more than once");
      }
      for (const std::string& attempt : refused_payments_) {
        if (ledger_.runs[attempt] > 0) violation("payment " + attempt + " was refused as not run, and ran");
      }
    });
    const double at_end =
        static_cast<double>(served_at_end_) / static_cast<double>(std::max<std::uint64_t>(1, asked_at_end_));
    if (at_end < kServedAtTheEnd) violation("served at the end: " + std::to_string(at_end));
    std::cout << "asked " << asked_ << ", served " << served_ << ", payments " << payments_.size()
              << ", refused payments " << refused_payments_.size() << ", served at the end " << at_end
              << ", violations " << violations_.size() << ", logs in " << logs_ << std::endl;
    return violations_.empty() ? 0 : 1;
  }

  std::mt19937 random_;
  std::string logs_;
  boost::asio::io_context io_;
  Ledger ledger_;
  std::unique_ptr<Store> store_;
  std::vector<std::unique_ptr<Vm>> vms_;
  std::thread loop_;
  std::atomic<int> version_{0};
  int starts_ = 0;
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
  damaskthread::soak::Soak soak(seed, logs);
  return soak.run(std::chrono::duration<double>(60 * absl::GetFlag(FLAGS_minutes)));
}
