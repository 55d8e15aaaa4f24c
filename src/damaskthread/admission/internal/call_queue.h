#ifndef DAMASKTHREAD_ADMISSION_INTERNAL_CALL_QUEUE_H_
#define DAMASKTHREAD_ADMISSION_INTERNAL_CALL_QUEUE_H_

/// @file
/// @brief Preallocated records of running and queued calls with intrusive queue links.

#include <array>
#include <cstdint>
#include <vector>

#include "damaskthread/admission/arrival.h"
#include "damaskthread/core/types.h"

namespace damaskthread::admission::internal {

enum class CallState : std::uint8_t { kFree, kQueued, kRunning };

struct CallRecord {
  Arrival arrival;
  core::TimePoint expires;
  std::uint32_t generation = 1;
  CallState state = CallState::kFree;
  std::int32_t previous = -1;
  std::int32_t next = -1;
};

/// @brief Priority queue with one FIFO list per rank. The rank is the pair of importance and `continued`.
class CallQueue {
 public:
  static constexpr int kRankCount = core::kImportanceCount * 2;

  explicit CallQueue(int capacity);

  [[nodiscard]] static int rank_of(const Arrival& arrival) noexcept {
    return static_cast<int>(arrival.importance) * 2 + (arrival.continued ? 1 : 0);
  }

  /// @brief Allocates a record.
  /// @return Its index, or -1 if none is free.
  [[nodiscard]] std::int32_t acquire(const Arrival& arrival) noexcept;
  void release(std::int32_t index) noexcept;

  void push(std::int32_t index) noexcept;
  void remove(std::int32_t index) noexcept;

  /// @brief Next call to start, from the highest rank.
  /// @param newest Whether to take the newest call of the rank instead of the oldest.
  /// @return Its index, or -1 if nothing is queued.
  [[nodiscard]] std::int32_t first(bool newest) const noexcept;
  /// @brief Call to displace first: the oldest of the lowest rank, which has the least time left.
  [[nodiscard]] std::int32_t least_important() const noexcept;
  /// @brief Oldest call of a rank, or -1 if there is none.
  [[nodiscard]] std::int32_t oldest(int rank) const noexcept { return heads_[static_cast<std::size_t>(rank)]; }
  [[nodiscard]] int count(int rank) const noexcept { return counts_[static_cast<std::size_t>(rank)]; }
  /// @brief Number of queued calls of higher ranks.
  [[nodiscard]] int count_above(int rank) const noexcept;
  [[nodiscard]] int size() const noexcept { return size_; }

  [[nodiscard]] CallRecord& operator[](std::int32_t index) noexcept {
    return records_[static_cast<std::size_t>(index)];
  }
  [[nodiscard]] Ticket ticket(std::int32_t index) const noexcept;
  /// @return The index of a ticket, or -1 if it is stale or invalid.
  [[nodiscard]] std::int32_t find(Ticket ticket) const noexcept;

 private:
  std::vector<CallRecord> records_;
  std::int32_t free_ = -1;
  std::array<std::int32_t, kRankCount> heads_{};
  std::array<std::int32_t, kRankCount> tails_{};
  std::array<int, kRankCount> counts_{};
  int size_ = 0;
};

}  // namespace damaskthread::admission::internal

#endif  // DAMASKTHREAD_ADMISSION_INTERNAL_CALL_QUEUE_H_
