#ifndef TEST_MESHFLEET_FLEET_H_
#define TEST_MESHFLEET_FLEET_H_

/// @file
/// @brief A fleet of VMs on one machine: daemon processes, stand-ins for their servers and for the store, and proxies
/// that inject faults into the connections between daemons and to the store.

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <cstddef>
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

/// A service with a single route, at host NAME.example.
struct ServiceSpec {
  std::string name;
  bool idempotent = true;
  int vms = 3;
  /// Service that each execution calls once; empty if none.
  std::string callee;
  /// Whether the daemons reach their servers through proxies, which can repeat responses.
  bool server_proxies = false;
  /// Upper bound of the size of a response body.
  std::size_t max_response_bytes = kDefaultMaxResponseBytes;
  /// Whether the route is of the kind `download`; only for idempotent services.
  bool download = false;
  /// Requests that a server runs at the same time.
  int capacity = kDefaultCapacity;
};

/// Ports and processes of one VM.
struct Vm {
  std::string name;
  std::string service;
  VmPorts ports;
  std::uint16_t peer_port = 0;
  std::uint16_t readiness_port = 0;
  std::uint16_t admin_port = 0;
  std::uint16_t peer_proxy_port = 0;
  std::uint16_t store_proxy_port = 0;
  std::unique_ptr<Server> server;
  std::unique_ptr<Proxy> peer_proxy;
  std::unique_ptr<Proxy> store_proxy;
  /// Null if the service has no server proxies.
  std::unique_ptr<Proxy> server_proxy;
  std::unique_ptr<support::ChildProcess> daemon;
  std::string settings_path;
};

/// Limits in the settings of all daemons and in the configuration.
struct FleetLimits {
  std::uint32_t memory_mb = 160;
  std::uint32_t max_descriptors = 4096;
  std::size_t body_bytes = 1000000;
  /// Timeout of all routes.
  std::chrono::milliseconds timeout{1500};
};

/// A tenant in the configuration.
struct TenantSpec {
  std::string name;
  std::vector<std::string> keys;
};

/// @brief Runs the VMs of several services and a store, whose configuration routes to all of them.
class Fleet {
 public:
  /// @param logs Folder for the settings and logs of the daemons.
  /// @param tenants Tenants of every configuration version; without any, requests need no key.
  Fleet(std::vector<ServiceSpec> services, std::string logs, const FleetLimits& limits = {},
        std::vector<TenantSpec> tenants = {});
  /// Kills the daemons.
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// @brief Starts all daemons and servers.
  /// @return Whether every daemon is listening.
  [[nodiscard]] bool start();
  /// @brief Starts a daemon with a log file of its own for this start.
  void start_daemon(Vm& vm);
  /// @brief Kills a daemon with SIGKILL and waits for its end.
  static void kill_daemon(Vm& vm);
  /// @brief Writes the next configuration version to the store. Besides its constant host, each service has a host that
  /// exists only in this version, which shows whether a daemon has the version in force.
  void publish();
  /// @brief Sets the tenants of the configurations published from now on. Without tenants requests need no key.
  void set_tenants(std::vector<TenantSpec> tenants) { tenants_ = std::move(tenants); }
  /// @brief Writes the newest version to the store again, as the operator does after the store was restored.
  void publish_again();
  /// @return The host that exists only in the newest version.
  [[nodiscard]] std::string newest_host(const std::string& service) const;
  [[nodiscard]] int version() const noexcept { return version_; }

  /// @brief Runs an action on the thread of the stand-ins and waits for its end.
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
  /// @brief To be accessed only on the thread of the stand-ins.
  [[nodiscard]] ExecutionLog& execution_log() noexcept { return execution_log_; }
  [[nodiscard]] const std::string& logs() const noexcept { return logs_; }

 private:
  // Thread that runs the event loop of the stand-ins until destruction.
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
  FleetLimits limits_;
  std::vector<TenantSpec> tenants_;
  boost::asio::io_context io_;
  std::vector<ReservedPort> ports_;
  ExecutionLog execution_log_;
  std::unique_ptr<Store> store_;
  std::vector<std::unique_ptr<Vm>> vms_;
  std::atomic<int> version_{0};
  int starts_ = 0;
  std::unique_ptr<LoopThread> loop_;
};

}  // namespace damaskthread::meshfleet

#endif  // TEST_MESHFLEET_FLEET_H_
