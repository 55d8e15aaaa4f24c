#ifndef TEST_MESHFLEET_FLEET_H_
#define TEST_MESHFLEET_FLEET_H_

/// @file
/// @brief A fleet of VMs on one machine: real daemons as processes, stand-ins for their servers and the store, and
/// proxies that harm the connections between daemons and to the store.

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <cstdint>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "meshfleet/proxy.h"
#include "meshfleet/reserved_port.h"
#include "meshfleet/server.h"
#include "meshfleet/store.h"
#include "support/child_process.h"

namespace damaskthread::meshfleet {

/// A service and the only route to it, at host NAME.example.
struct ServiceSpec {
  std::string name;
  bool idempotent = true;
  int vms = 3;
  /// Service that each run calls once; empty if none.
  std::string callee;
};

struct Vm {
  std::string name;
  std::string service;
  VmPorts ports;
  std::uint16_t peers = 0;
  std::uint16_t ready = 0;
  std::uint16_t peer_proxy_port = 0;
  std::uint16_t store_proxy_port = 0;
  std::unique_ptr<Server> server;
  std::unique_ptr<Proxy> peer_proxy;
  std::unique_ptr<Proxy> store_proxy;
  std::unique_ptr<support::ChildProcess> daemon;
  std::string settings_path;
};

class Fleet {
 public:
  /// @param logs Folder that receives settings and logs of the daemons.
  Fleet(std::vector<ServiceSpec> services, std::string logs);
  /// Kills the daemons.
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// @brief Starts all daemons and servers.
  /// @return Whether every daemon listens.
  [[nodiscard]] bool start();
  void start_daemon(Vm& vm);
  /// @brief Kills a daemon without warning and waits for its end.
  static void kill_daemon(Vm& vm);
  /// @brief Writes the next configuration to the store. Besides its constant host, each service has one that only this
  /// version knows, by which a daemon shows what is in force.
  void publish();
  /// @return The host that only the newest version knows.
  [[nodiscard]] std::string newest_host(const std::string& service) const;
  [[nodiscard]] int version() const noexcept { return version_; }

  /// @brief Runs something on the thread of the stand-ins.
  template <typename Action>
  void on_loop(Action action) {
    std::promise<void> done;
    boost::asio::post(io_, [&] {
      action();
      done.set_value();
    });
    done.get_future().wait();
  }

  [[nodiscard]] const std::vector<std::unique_ptr<Vm>>& vms() const noexcept { return vms_; }
  [[nodiscard]] Vm& vm(const std::string& name) const;
  [[nodiscard]] Store& store() noexcept { return *store_; }
  /// @brief To be used on the thread of the stand-ins.
  [[nodiscard]] Ledger& ledger() noexcept { return ledger_; }
  [[nodiscard]] const std::string& logs() const noexcept { return logs_; }

 private:
  // Runs the loop of the stand-ins until it is destroyed.
  class LoopThread {
   public:
    explicit LoopThread(boost::asio::io_context& io)
        : io_(io), work_(boost::asio::make_work_guard(io)), thread_([&io] { io.run(); }) {}
    ~LoopThread() {
      io_.stop();
      thread_.join();
    }
    LoopThread(const LoopThread&) = delete;
    LoopThread& operator=(const LoopThread&) = delete;

   private:
    boost::asio::io_context& io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::thread thread_;
  };

  std::uint16_t reserve_port() { return ports_.emplace_back(io_).number(); }
  void add_vm(const ServiceSpec& service, int index, std::uint16_t store_port);
  [[nodiscard]] std::string configuration() const;

  std::vector<ServiceSpec> services_;
  std::string logs_;
  boost::asio::io_context io_;
  std::vector<ReservedPort> ports_;
  Ledger ledger_;
  std::unique_ptr<Store> store_;
  std::vector<std::unique_ptr<Vm>> vms_;
  std::atomic<int> version_{0};
  int starts_ = 0;
  std::unique_ptr<LoopThread> loop_;
};

}  // namespace damaskthread::meshfleet

#endif  // TEST_MESHFLEET_FLEET_H_
