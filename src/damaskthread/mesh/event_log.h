#ifndef DAMASKTHREAD_MESH_EVENT_LOG_H_
#define DAMASKTHREAD_MESH_EVENT_LOG_H_

/// @file
/// @brief Structured log: one JSON object per line, written by a separate thread.

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <initializer_list>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <variant>

#include "damaskthread/core/types.h"

namespace damaskthread::mesh {

/// Class of a log line, which determines its rate limit.
enum class LogClass : std::uint8_t {
  kStateChange,  ///< A change of the daemon's state or view of the fleet. Not rate-limited; dropped only if the buffer
                 ///< is full.
  kFailedRequest,  ///< A refused or failed request.
  kServedRequest,  ///< A successful request.
};

/// A field of a log line.
struct LogField {
  std::string_view name;
  std::variant<std::string_view, std::int64_t, double, bool> value;
};

/// @brief Log that never blocks its caller: lines beyond the rate limit or the buffer are dropped, and the next line
/// reports their number.
class EventLog {
 public:
  struct Options {
    std::size_t max_buffered_lines = 4096;
    /// Rate limits of the request classes.
    int failed_lines_per_second = 100;
    int served_lines_per_second = 10;
  };

  /// @param name Name of the process, included in every line.
  EventLog(std::string name, const Options& options);
  ~EventLog();

  /// @brief Flushes all lines and stops the writer. Must be the last call.
  void finish();

  /// @brief Queues a line.
  void line(LogClass log_class, std::string_view event, std::initializer_list<LogField> fields);

 private:
  [[nodiscard]] bool within_rate_limit(LogClass log_class, core::TimePoint now);
  void run_writer();

  std::string name_;
  Options options_;
  core::TimePoint rate_window_start_;
  int failed_in_window_ = 0;
  int served_in_window_ = 0;
  std::int64_t dropped_lines_ = 0;

  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::string> lines_;
  bool stopping_ = false;
  std::thread writer_;
};

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_EVENT_LOG_H_
