#ifndef TEST_SUPPORT_FAKE_LOG_H_
#define TEST_SUPPORT_FAKE_LOG_H_

/// @file
/// @brief In-memory log service with limits and injected faults. The caller passes the current time.

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

/// Result of an append.
enum class AppendStatus : std::uint8_t {
  kAppended,
  kRefused,    ///< Nothing was done.
  kReplyLost,  ///< The record was appended, but the reply is lost.
};

struct AppendReply {
  AppendStatus status = AppendStatus::kRefused;
  std::uint64_t offset = 0;
};

class FakeLog {
 public:
  explicit FakeLog(FakeLogOptions options = {}) : options_(options) {}

  AppendReply append(std::string record, core::TimePoint now) {
    drop_expired(now);
    if (in_outage(now)) return {};
    if (now - window_start_ >= std::chrono::seconds{1}) {
      window_start_ = now;
      window_appends_ = 0;
    }
    if (window_appends_ >= options_.appends_per_second) return {};
    ++window_appends_;
    entries_.push_back({{next_, std::move(record)}, now});
    const std::uint64_t offset = next_++;
    drop_expired(now);
    if (replies_to_drop_ == 0) return {AppendStatus::kAppended, offset};
    --replies_to_drop_;
    return {AppendStatus::kReplyLost, offset};
  }

  /// @return Empty during an outage.
  std::optional<resource::LogSlice> read(std::uint64_t from, std::size_t max, core::TimePoint now) {
    drop_expired(now);
    if (in_outage(now)) return std::nullopt;
    resource::LogSlice slice{first(), next_, {}};
    if (from >= next_) return slice;
    const std::uint64_t start = std::max(from, first());
    for (std::uint64_t i = start; i < next_ && slice.entries.size() < max; ++i) {
      slice.entries.push_back(entries_[i - first()].entry);
    }
    return slice;
  }

  void start_outage(core::TimePoint now, core::Duration duration) { outage_until_ = now + duration; }
  void drop_replies(std::uint64_t count) { replies_to_drop_ = count; }
  /// Drops the records below an offset.
  void truncate_before(std::uint64_t offset) {
    while (!entries_.empty() && entries_.front().entry.offset < offset) entries_.pop_front();
  }
  /// Clears all faults and records; offsets continue.
  void reset() {
    entries_.clear();
    outage_until_ = {};
    replies_to_drop_ = 0;
  }

  [[nodiscard]] bool in_outage(core::TimePoint now) const { return now < outage_until_; }
  [[nodiscard]] std::uint64_t first() const { return entries_.empty() ? next_ : entries_.front().entry.offset; }
  [[nodiscard]] std::uint64_t next() const { return next_; }

 private:
  struct TimestampedEntry {
    resource::LogEntry entry;
    core::TimePoint appended_at;
  };

  void drop_expired(core::TimePoint now) {
    while (!entries_.empty() && (entries_.size() > options_.retention_records ||
                                 now - entries_.front().appended_at > options_.retention_time)) {
      entries_.pop_front();
    }
  }

  FakeLogOptions options_;
  std::deque<TimestampedEntry> entries_;
  std::uint64_t next_ = 0;
  core::TimePoint window_start_{};
  std::size_t window_appends_ = 0;
  core::TimePoint outage_until_{};
  std::uint64_t replies_to_drop_ = 0;
};

}  // namespace damaskthread::test

#endif  // TEST_SUPPORT_FAKE_LOG_H_
