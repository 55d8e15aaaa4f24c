#ifndef TEST_MESHFLEET_SERVER_H_
#define TEST_MESHFLEET_SERVER_H_

/// @file
/// @brief Stand-in for a backend server: sends heartbeats, executes requests, calls other services, crashes and leaves.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "damaskthread/mesh/http_connection.h"
#include "damaskthread/mesh/http_listener.h"

namespace damaskthread::meshfleet {

using Clock = std::chrono::steady_clock;

/// Executions at all servers, and violations of the daemons' guarantees.
struct ExecutionLog {
  /// Number of executions by attempt id.
  std::map<std::string, int> runs;
  /// Service in the caller header of the last execution, by attempt id.
  std::map<std::string, std::string> caller_services;
  /// Headers of the last execution, by attempt id.
  std::map<std::string, http::Headers> headers;
  /// Tenant headers of all executions, by attempt id; an execution without the header adds an empty name.
  std::map<std::string, std::set<std::string>> tenants;
  /// Server crashes caused by requests whose path contains "poison".
  int poison_crashes = 0;
  std::vector<std::string> violations;
};

/// Requests that a server runs at the same time, if a service sets no other number.
constexpr int kDefaultCapacity = 20;

/// Upper bound of the size of a response body, if a service sets none.
constexpr std::size_t kDefaultMaxResponseBytes = 20'000;

/// Loopback ports of one VM.
struct VmPorts {
  std::uint16_t server_port = 0;
  std::uint16_t caller_port = 0;
  std::uint16_t control_port = 0;
  /// Port of a proxy through which the daemon reaches the server; 0 without one.
  std::uint16_t server_proxy_port = 0;
  /// @return The port at which the daemon reaches the server.
  [[nodiscard]] std::uint16_t local_server() const noexcept {
    return server_proxy_port == 0 ? server_port : server_proxy_port;
  }
};

/// @brief Backend server of one VM; can be started again after a crash or departure.
class Server {
 public:
  /// @param callee Host of the route that each execution calls once; empty if none.
  Server(boost::asio::io_context& io, std::string service, const VmPorts& ports, std::string callee,
         ExecutionLog& execution_log, unsigned seed, std::size_t max_response_bytes = kDefaultMaxResponseBytes);

  /// @brief Starts the server with a new instance id.
  void start();
  /// @brief Starts the server under the instance id that it had before.
  void start_under_same_id();
  /// @brief Stops at once: connections break and nothing is announced.
  void crash();
  /// @brief Announces the departure; the server goes on serving until it is stopped by `crash`.
  void leave();
  [[nodiscard]] bool running() const noexcept { return listener_ != nullptr; }
  /// @return Whether the daemon acknowledged the departure.
  [[nodiscard]] bool leave_acknowledged() const noexcept { return leave_acknowledged_ != Clock::time_point::max(); }
  /// @brief Sets the status of all further responses.
  void set_status(int status) noexcept { status_ = status; }
  /// @brief Sets how long each further request runs in addition to a random time below 70 ms.
  void set_run_time(std::chrono::milliseconds time) noexcept { run_time_ = time; }
  /// @brief Sets the capacity in further heartbeats.
  void set_capacity(int capacity) noexcept { capacity_ = capacity; }
  /// @brief Sets the share of further requests that the server rejects without running them.
  void set_rejected_share(double share) noexcept { rejected_share_ = share; }

  /// @brief Expected response body for an attempt.
  [[nodiscard]] static std::string response_body(const std::string& attempt_id, std::size_t max_bytes);

 private:
  void listen();
  void handle(const std::shared_ptr<mesh::CallerRequest>& request);
  void run(const std::shared_ptr<mesh::CallerRequest>& request, const std::string& attempt);
  void finish(const std::shared_ptr<mesh::CallerRequest>& request, const std::string& attempt, int status);
  void send_heartbeat();
  void schedule_heartbeat();

  boost::asio::io_context& io_;
  std::string service_;
  VmPorts ports_;
  std::string callee_;
  ExecutionLog& execution_log_;
  std::mt19937 random_;
  std::size_t max_response_bytes_;
  std::unique_ptr<mesh::HttpListener> listener_;
  boost::asio::steady_timer heartbeat_timer_;
  std::shared_ptr<mesh::HttpConnection> control_;
  std::set<std::shared_ptr<mesh::HttpConnection>> calls_;
  std::string id_;
  int generation_ = 0;
  std::int64_t sequence_ = 0;
  std::int64_t started_at_ms_ = 0;
  bool leaving_ = false;
  int status_ = 200;
  double rejected_share_ = 0;
  std::chrono::milliseconds run_time_{0};
  int capacity_ = kDefaultCapacity;
  /// Time at which the daemon acknowledged the departure.
  Clock::time_point leave_acknowledged_ = Clock::time_point::max();
};

}  // namespace damaskthread::meshfleet

#endif  // TEST_MESHFLEET_SERVER_H_
