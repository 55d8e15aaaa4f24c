#ifndef DAMASKTHREAD_CLIENT_EXPLAIN_H_
#define DAMASKTHREAD_CLIENT_EXPLAIN_H_

/// @file
/// @brief Tells the story of one request from the collected log lines of many mesh daemons.

#include <cstddef>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include "damaskthread/core/types.h"

namespace damaskthread::client {

/// One decision on a request or on one of its calls.
struct StoryLine {
  core::WallTime time;
  std::string node;
  std::string attempt;
  std::string event;
  /// The line as it was logged.
  std::string json;
  /// Fields besides those above, as `name=value`.
  std::string details;
};

/// @brief Collects the lines on a request and on the calls below it.
class Story {
 public:
  explicit Story(std::string attempt_id) : attempt_id_(std::move(attempt_id)) {}

  /// @brief Takes every line of a log. Text before the object, such as a collector's time stamp, is passed over; lines
  /// that are no objects are counted.
  void read(std::istream& log);
  /// @brief Writes the lines in the order of their times, calls indented below their requests.
  void print(std::ostream& out, bool json) const;

  [[nodiscard]] bool empty() const noexcept { return lines_.empty(); }
  [[nodiscard]] std::size_t unreadable() const noexcept { return unreadable_; }

 private:
  std::string attempt_id_;
  std::vector<StoryLine> lines_;
  std::size_t unreadable_ = 0;
};

}  // namespace damaskthread::client

#endif  // DAMASKTHREAD_CLIENT_EXPLAIN_H_
