#ifndef DAMASKTHREAD_TEST_SUPPORT_FAKE_CONFIG_H_
#define DAMASKTHREAD_TEST_SUPPORT_FAKE_CONFIG_H_

/// @file
/// @brief A log of configuration records and replicas of it, without any content.

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "damaskthread/replication/replication.h"

namespace damaskthread::test {

/// Stands in for the platform's log. A record is accepted or, like the loser of a conflict, only moves the offset.
struct FakeLog {
  struct Record {
    bool accepted = true;
    std::size_t bytes = 0;
  };
  std::vector<Record> records;
  std::uint64_t first_offset = 0;  ///< Records below are truncated.
  bool up = true;
};

/// A replica: counts records. Text is `accepted,size,` per record or `S revision offset filler` for the state.
class FakeConfig final : public replication::ConfigSource, public replication::ConfigSink {
 public:
  explicit FakeConfig(const FakeLog& log) : log_{&log} {}

  [[nodiscard]] std::uint64_t revision() const override { return revision_; }
  [[nodiscard]] std::uint64_t offset() const override { return offset_; }

  [[nodiscard]] std::optional<std::string> records_since(std::uint64_t offset, std::size_t max_bytes) const override {
    if (offset < retained_ || offset > offset_) return std::nullopt;
    std::string result = std::to_string(offset) + ' ';
    for (std::uint64_t i = offset; i < offset_; ++i) {
      const auto& record = log_->records[i];
      if (i > offset && result.size() + record.bytes + 2 > max_bytes) break;
      result += std::string{record.accepted ? 'a' : 'r'} + std::string(record.bytes, 'x') + ';';
    }
    return result;
  }

  [[nodiscard]] std::string state() const override {
    return std::to_string(revision_) + ' ' + std::to_string(offset_) + ' ' + std::string(state_bytes, 's');
  }

  bool apply_records(std::string_view bytes) override {
    if (refuse_records) return false;
    std::uint64_t from = 0;
    const auto end = std::from_chars(bytes.data(), bytes.data() + bytes.size(), from).ptr;
    if (from != offset_) return false;
    for (const char* at = end; at != bytes.data() + bytes.size(); ++at) {
      if (*at == 'a' || *at == 'r') move(revision_ + (*at == 'a' ? 1 : 0), offset_ + 1);
    }
    return true;
  }

  bool apply_state(std::string_view bytes) override {
    std::uint64_t revision = 0;
    std::uint64_t offset = 0;
    const char* last = bytes.data() + bytes.size();
    const auto middle = std::from_chars(bytes.data(), last, revision).ptr;
    if (middle == last) return false;
    std::from_chars(middle + 1, last, offset);
    move(revision, offset);
    retained_ = offset;
    return true;
  }

  /// @brief Replays what the log holds.
  void poll() {
    if (!log_->up || offset_ < log_->first_offset) return;
    for (; offset_ < log_->records.size(); ++offset_) revision_ += log_->records[offset_].accepted ? 1 : 0;
  }

  /// Set once a call moves the revision or the offset back.
  bool moved_back = false;
  bool refuse_records = false;
  std::size_t state_bytes = 16;

 private:
  void move(std::uint64_t revision, std::uint64_t offset) {
    moved_back = moved_back || revision < revision_ || offset < offset_;
    revision_ = revision;
    offset_ = offset;
  }

  const FakeLog* log_;
  std::uint64_t revision_ = 0;
  std::uint64_t offset_ = 0;
  std::uint64_t retained_ = 0;
};

}  // namespace damaskthread::test

#endif  // DAMASKTHREAD_TEST_SUPPORT_FAKE_CONFIG_H_
