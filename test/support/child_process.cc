#include "support/child_process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <stdexcept>
#include <thread>
#include <utility>

namespace damaskthread::support {
namespace {

constexpr std::chrono::milliseconds kPollInterval{5};

sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

struct SocketGuard {
  int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ~SocketGuard() { close(descriptor); }
};

}  // namespace

std::string program_path(const std::string& name) {
  const char* directory = std::getenv("DAMASKTHREAD_BIN");
  return std::string(directory == nullptr ? "build" : directory) + "/" + name;
}

std::uint16_t free_port() {
  // Ports below the ephemeral range are not taken by outgoing connections between this check and the listen.
  constexpr unsigned kFirst = 20'000;
  constexpr unsigned kCount = 12'000;
  static std::atomic<unsigned> next{static_cast<unsigned>(getpid()) * 37U};
  for (unsigned i = 0; i < kCount; ++i) {
    const auto port = static_cast<std::uint16_t>(kFirst + next++ % kCount);
    const SocketGuard guard;
    const sockaddr_in address = loopback(port);
    if (bind(guard.descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) return port;
  }
  throw std::runtime_error("no free port");
}

bool wait_for_port(std::uint16_t port, std::chrono::milliseconds timeout) {
  const sockaddr_in address = loopback(port);
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (std::chrono::steady_clock::now() < deadline) {
    const SocketGuard guard;
    if (connect(guard.descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) return true;
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

ChildProcess::ChildProcess(const std::string& program, std::vector<std::string> arguments, const std::string& output) {
  arguments.insert(arguments.begin(), program);
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (std::string& argument : arguments) argv.push_back(argument.data());
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.empty() ? "/dev/null" : output.c_str(),
                                   O_WRONLY | O_CREAT | O_TRUNC, 0600);
  // A child that inherits the sockets of this process would keep its ports in use.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const int failure = posix_spawn(&pid_, program.c_str(), &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failure != 0) throw std::runtime_error("cannot start " + program);
}

ChildProcess::~ChildProcess() {
  signal(SIGKILL);
  if (!status_) waitpid(pid_, nullptr, 0);
}

void ChildProcess::signal(int number) noexcept {
  // The process is reaped by wait() only, so until then its id cannot belong to another process.
  if (!status_) kill(pid_, number);
}

std::optional<int> ChildProcess::wait(std::chrono::milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (!status_) {
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) {
      status_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
      break;
    }
    if (std::chrono::steady_clock::now() >= deadline) break;
    std::this_thread::sleep_for(kPollInterval);
  }
  return status_;
}

}  // namespace damaskthread::support
