#ifndef DAMASKTHREAD_TEST_SUPPORT_FAKE_CONFIG_H_
#define DAMASKTHREAD_TEST_SUPPORT_FAKE_CONFIG_H_

/// @file
/// @brief A log of configuration records and replicas of it, without any content.

#include <array>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
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

/// A replica that counts records. Records are `offset ` and then `axx;` or `rxx;` each, accepted or refused; the state
/// is `revision offset size ` and a filler of that size. Truncated text does not apply.
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
    return std::to_string(revision_) + ' ' + std::to_string(offset_) + ' ' + std::to_string(state_bytes) + ' ' +
           std::string(state_bytes, 's');
  }

  bool apply_records(std::string_view bytes) override {
    if (refuse_records) return false;
    std::uint64_t from = 0;
    const auto end = std::from_chars(bytes.data(), bytes.data() + bytes.size(), from).ptr;
    if (from != offset_ || (bytes.back() != ';' && bytes.back() != ' ')) return false;
    for (const char* at = end; at != bytes.data() + bytes.size(); ++at) {
      if (*at == 'a' || *at == 'r') move(revision_ + (*at == 'a' ? 1 : 0), offset_ + 1);
    }
    return true;
  }

  bool apply_state(std::string_view bytes) override {
    std::array<std::uint64_t, 3> heads{};
    const char* at = bytes.data();
    const char* last = at + bytes.size();
    for (std::uint64_t& head : heads) {
      const auto [end, error] = std::from_chars(at, last, head);
      if (error != std::errc{} || end == last) return false;
      at = end + 1;
    }
    const auto [revision, offset, size] = heads;
    if (static_cast<std::uint64_t>(last - at) != size) return false;
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
