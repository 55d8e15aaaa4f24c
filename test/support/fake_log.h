#ifndef TEST_SUPPORT_FAKE_LOG_H_
#define TEST_SUPPORT_FAKE_LOG_H_

/// @file
/// @brief The log service in memory, with its limits and faults. The caller passes the time.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>

#include "damaskthread/core/types.h"
#include "damaskthread/resource/log_record.h"

namespace damaskthread::test {

struct FakeLogOptions {
  std::size_t appends_per_second = 400;
  std::size_t retention_records = 100'000;
  core::Duration retention_time = std::chrono::hours{24};
};

/// What an append answers.
enum class AppendStatus : std::uint8_t {
  kTaken,
  kRefused,  ///< Nothing was done.
  kLost,     ///< The record was taken, and the answer is lost.
};

struct AppendReply {
  AppendStatus status = AppendStatus::kRefused;
  std::uint64_t offset = 0;
};

class FakeLog {
 public:
  explicit FakeLog(FakeLogOptions options = {}) : options_(options) {}

  AppendReply append(std::string record, core::TimePoint now) {
    expire(now);
    if (in_outage(now)) return {};
    if (now - window_start_ >= std::chrono::seconds{1}) {
      window_start_ = now;
      window_appends_ = 0;
    }
    if (window_appends_ >= options_.appends_per_second) return {};
    ++window_appends_;
    entries_.push_back({{next_, std::move(record)}, now});
    const std::uint64_t offset = next_++;
    expire(now);
    if (lost_answers_ == 0) return {AppendStatus::kTaken, offset};
    --lost_answers_;
    return {AppendStatus::kLost, offset};
  }

  /// @return Nothing during an outage.
  std::optional<resource::LogSlice> read(std::uint64_t from, std::size_t max, core::TimePoint now) {
    expire(now);
    if (in_outage(now)) return std::nullopt;
    resource::LogSlice slice{first(), next_, {}};
    if (from >= next_) return slice;
    const std::uint64_t start = std::max(from, first());
    for (std::uint64_t i = start; i < next_ && slice.entries.size() < max; ++i) {
      slice.entries.push_back(entries_[i - first()].entry);
    }
    return slice;
  }

  void outage(core::TimePoint now, core::Duration duration) { outage_until_ = now + duration; }
  void lose_answers(std::uint64_t count) { lost_answers_ = count; }
  /// Drops the records below an offset.
  void truncate_before(std::uint64_t offset) {
    while (!entries_.empty() && entries_.front().entry.offset < offset) entries_.pop_front();
  }
  /// Ends all faults and drops all records; offsets go on.
  void reset() {
    entries_.clear();
    outage_until_ = {};
    lost_answers_ = 0;
  }

  [[nodiscard]] bool in_outage(core::TimePoint now) const { return now < outage_until_; }
  [[nodiscard]] std::uint64_t first() const { return entries_.empty() ? next_ : entries_.front().entry.offset; }
  [[nodiscard]] std::uint64_t next() const { return next_; }

 private:
  struct Stored {
    resource::LogEntry entry;
    core::TimePoint at;
  };

  void expire(core::TimePoint now) {
    while (!entries_.empty() &&
           (entries_.size() > options_.retention_records || now - entries_.front().at > options_.retention_time)) {
      entries_.pop_front();
    }
  }

  FakeLogOptions options_;
  std::deque<Stored> entries_;
  std::uint64_t next_ = 0;
  core::TimePoint window_start_{};
  std::size_t window_appends_ = 0;
  core::TimePoint outage_until_{};
  std::uint64_t lost_answers_ = 0;
};

}  // namespace damaskthread::test

#endif  // TEST_SUPPORT_FAKE_LOG_H_
