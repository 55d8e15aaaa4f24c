#ifndef DAMASKTHREAD_HTTP_DISCONNECT_MONITOR_H_
#define DAMASKTHREAD_HTTP_DISCONNECT_MONITOR_H_

/// @file
/// @brief Detects callers that close their connection while their call runs.

#include <cstdint>
#include <mutex>
#include <thread>
#include <unordered_map>

#include "damaskthread/http/client.h"

namespace damaskthread::http::internal {

/// Monitors the sockets of the calls in progress on one thread. A half-closed connection counts as closed, because
/// HTTP clients that wait for a response keep their side open.
class DisconnectMonitor {
 public:
  DisconnectMonitor();
  ~DisconnectMonitor();
  DisconnectMonitor(const DisconnectMonitor&) = delete;
  DisconnectMonitor& operator=(const DisconnectMonitor&) = delete;

  /// Monitors one socket during its lifetime.
  class Registration {
   public:
    Registration(DisconnectMonitor* monitor, int descriptor, Cancellation& cancellation);
    ~Registration();
    Registration(const Registration&) = delete;
    Registration& operator=(const Registration&) = delete;

   private:
    DisconnectMonitor* monitor_;
    int descriptor_;
    std::uint64_t id_ = 0;
  };

 private:
  void run();
  std::uint64_t add(int descriptor, Cancellation& cancellation);
  void remove(int descriptor, std::uint64_t id);

  int epoll_;
  int wake_event_;
  std::mutex mutex_;
  std::uint64_t next_id_ = 1;
  std::unordered_map<std::uint64_t, Cancellation*> registrations_;
  std::thread thread_;
};

}  // namespace damaskthread::http::internal

#endif  // DAMASKTHREAD_HTTP_DISCONNECT_MONITOR_H_
