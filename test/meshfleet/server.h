#ifndef TEST_MESHFLEET_SERVER_H_
#define TEST_MESHFLEET_SERVER_H_

/// @file
/// @brief Stand-in for a backend server: heartbeats, runs, calls onward, crashes and leaves.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
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

/// What all servers saw, and what broke a promise.
struct Ledger {
  /// Runs of each attempt.
  std::map<std::string, int> runs;
  /// Crashes of servers by a request whose path contains "poison".
  int poisoned = 0;
  std::vector<std::string> violations;
};

/// Addresses of one VM.
struct VmPorts {
  std::uint16_t app = 0;
  std::uint16_t calls = 0;
  std::uint16_t control = 0;
};

class Server {
 public:
  /// @param callee Host of the route that each run calls once; empty if none.
  Server(boost::asio::io_context& io, std::string service, const VmPorts& ports, std::string callee, Ledger& ledger,
         unsigned seed);

  /// @brief Begins a life under a new id.
  void start();
  /// @brief Ends at once: connections break, nothing is said.
  void crash();
  /// @brief Says that it leaves; it is gone some time after the acknowledgement.
  void leave();
  [[nodiscard]] bool running() const noexcept { return listener_ != nullptr; }
  /// @return Whether the daemon acknowledged that the server leaves.
  [[nodiscard]] bool leave_acknowledged() const noexcept { return leave_acknowledged_ != Clock::time_point::max(); }
  /// @brief From now on every run ends with this status.
  void set_status(int status) noexcept { status_ = status; }

  /// @brief The body that answers an attempt.
  [[nodiscard]] static std::string body_of(const std::string& attempt_id);

 private:
  void handle(const std::shared_ptr<mesh::CallerRequest>& request);
  void run(const std::shared_ptr<mesh::CallerRequest>& request, const std::string& attempt);
  void finish(const std::shared_ptr<mesh::CallerRequest>& request, const std::string& attempt, int status);
  void beat();
  void schedule_beat();

  boost::asio::io_context& io_;
  std::string service_;
  VmPorts ports_;
  std::string callee_;
  Ledger& ledger_;
  std::mt19937 random_;
  std::unique_ptr<mesh::HttpListener> listener_;
  boost::asio::steady_timer beat_timer_;
  std::shared_ptr<mesh::HttpConnection> control_;
  std::set<std::shared_ptr<mesh::HttpConnection>> calls_;
  std::string id_;
  int life_ = 0;
  std::int64_t sequence_ = 0;
  std::int64_t born_ = 0;
  bool leaving_ = false;
  int status_ = 200;
  /// When the daemon acknowledged that the server leaves.
  Clock::time_point leave_acknowledged_ = Clock::time_point::max();
};

}  // namespace damaskthread::meshfleet

#endif  // TEST_MESHFLEET_SERVER_H_
