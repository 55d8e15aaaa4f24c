#ifndef TEST_SUPPORT_CHILD_PROCESS_H_
#define TEST_SUPPORT_CHILD_PROCESS_H_

/// @file
/// @brief Starts a program of the build for a test and ends it with the test.

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace damaskthread::support {

/// @brief Path of a program of the build directory, such as `test/backend_server`.
[[nodiscard]] std::string program_path(const std::string& name);

/// @brief A TCP port of 127.0.0.1 that was free a moment ago.
[[nodiscard]] std::uint16_t free_port();

/// @brief Waits until a TCP port of 127.0.0.1 accepts connections.
[[nodiscard]] bool wait_for_port(std::uint16_t port, std::chrono::milliseconds timeout = std::chrono::seconds(10));

class ChildProcess {
 public:
  /// @param output File that receives standard output; empty to discard it.
  /// @throws std::runtime_error if the program cannot be started.
  ChildProcess(const std::string& program, std::vector<std::string> arguments, const std::string& output = "");
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  [[nodiscard]] pid_t pid() const noexcept { return pid_; }
  /// @brief Sends a signal unless the process has ended.
  void signal(int number) noexcept;
  /// @return The exit status (128 plus the signal if one ended it), or nothing if it still runs after the timeout.
  std::optional<int> wait(std::chrono::milliseconds timeout);

 private:
  pid_t pid_ = -1;
  std::optional<int> status_;
};

}  // namespace damaskthread::support

#endif  // TEST_SUPPORT_CHILD_PROCESS_H_
