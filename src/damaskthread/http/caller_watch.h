#ifndef DAMASKTHREAD_HTTP_CALLER_WATCH_H_
#define DAMASKTHREAD_HTTP_CALLER_WATCH_H_

/// @file
/// @brief Notices that a caller closed its connection while its call runs.

#include <cstdint>
#include <mutex>
#include <thread>
#include <unordered_map>

#include "damaskthread/http/client.h"

namespace damaskthread::http::internal {

/// One thread that watches the sockets of the calls in progress. A half-closed connection counts as closed: HTTP
/// clients that still wait for an answer keep their side open.
class CallerWatch {
 public:
  CallerWatch();
  ~CallerWatch();
  CallerWatch(const CallerWatch&) = delete;
  CallerWatch& operator=(const CallerWatch&) = delete;

  /// Watches one socket for as long as it lives.
  class Registration {
   public:
    Registration(CallerWatch* watch, int descriptor, Cancellation& cancellation);
    ~Registration();
    Registration(const Registration&) = delete;
    Registration& operator=(const Registration&) = delete;

   private:
    CallerWatch* watch_;
    int descriptor_;
    std::uint64_t id_ = 0;
  };

 private:
  void run();
  std::uint64_t add(int descriptor, Cancellation& cancellation);
  void remove(int descriptor, std::uint64_t id);

  int epoll_;
  int wake_;
  std::mutex mutex_;
  std::uint64_t next_id_ = 1;
  std::unordered_map<std::uint64_t, Cancellation*> watched_;
  std::thread thread_;
};

}  // namespace damaskthread::http::internal

#endif  // DAMASKTHREAD_HTTP_CALLER_WATCH_H_
