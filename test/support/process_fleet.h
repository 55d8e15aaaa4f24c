#ifndef TEST_SUPPORT_PROCESS_FLEET_H_
#define TEST_SUPPORT_PROCESS_FLEET_H_

/// @file
/// @brief Real processes on loopback for focused failure tests: the log stand-in, backend servers and their daemons.

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "damaskthread/http/client.h"
#include "damaskthread/http/message.h"
#include "support/child_process.h"

namespace damaskthread::support {

/// Ports and processes of one backend server with its daemon.
struct Member {
  std::string name;
  std::string service;
  std::string zone;
  std::uint16_t call = 0;
  std::uint16_t peer = 0;
  std::uint16_t admin = 0;
  std::uint16_t control = 0;
  std::uint16_t server = 0;
  std::vector<std::string> server_arguments;
  std::unique_ptr<ChildProcess> daemon_process;
  std::unique_ptr<ChildProcess> server_process;
};

class ProcessFleet {
 public:
  explicit ProcessFleet(const std::vector<std::string>& log_arguments = {});
  ~ProcessFleet();
  ProcessFleet(const ProcessFleet&) = delete;
  ProcessFleet& operator=(const ProcessFleet&) = delete;

  /// @brief Adds a server and its daemon and starts both.
  Member& add(const std::string& service, const std::string& zone, const std::vector<std::string>& server_arguments);
  void start_daemon(Member& member);
  void start_server(Member& member);
  /// @brief Waits until every running daemon sees as many living members as there are daemons.
  [[nodiscard]] bool wait_joined();
  /// @brief Declares a service and waits until the declaration is in force at every running daemon.
  [[nodiscard]] bool declare(const std::string& service, const std::string& operations);

  [[nodiscard]] http::ExchangeResult send(std::uint16_t port, const http::Request& request,
                                          std::chrono::milliseconds timeout = std::chrono::seconds(10));
  /// @brief A GET that has to be answered with 200.
  /// @return The body, or an empty text.
  [[nodiscard]] std::string get(std::uint16_t port, const std::string& target);
  /// @brief An operator's request at an admin port, with the write token.
  [[nodiscard]] http::ExchangeResult admin(std::uint16_t port, const std::string& method, const std::string& target,
                                           const std::string& body, http::Headers headers = {});
  void control_log(const std::string& json);
  /// @brief Executions of an operation key at all servers of a service.
  [[nodiscard]] int executions(const std::string& service, const std::string& key);

  [[nodiscard]] std::vector<std::unique_ptr<Member>>& members() noexcept { return members_; }
  [[nodiscard]] const std::filesystem::path& directory() const noexcept { return directory_; }
  /// @brief File with the operators' write token.
  [[nodiscard]] const std::string& token_file() const noexcept { return token_file_; }

 private:
  [[nodiscard]] std::string settings_of(const Member& member) const;

  std::filesystem::path directory_;
  std::string token_file_;
  std::uint16_t log_port_ = 0;
  std::unique_ptr<ChildProcess> log_;
  http::Client client_;
  std::vector<std::unique_ptr<Member>> members_;
};

/// @brief Checks a condition until it holds.
/// @return False if it does not hold within the timeout.
[[nodiscard]] bool eventually(const std::function<bool()>& condition,
                              std::chrono::milliseconds timeout = std::chrono::seconds(30));

/// @brief Processor time that a process has used, user and system.
[[nodiscard]] std::chrono::milliseconds cpu_time(const ChildProcess& process);

/// @brief Whether a process has not ended yet.
[[nodiscard]] bool running(ChildProcess& process);

}  // namespace damaskthread::support

#endif  // TEST_SUPPORT_PROCESS_FLEET_H_
