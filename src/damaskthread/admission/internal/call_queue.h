#ifndef DAMASKTHREAD_ADMISSION_INTERNAL_CALL_QUEUE_H_
#define DAMASKTHREAD_ADMISSION_INTERNAL_CALL_QUEUE_H_

/// @file
/// @brief Preallocated records of running and queued calls, with the queue threaded through them.

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

/// @brief One list by age for each pair of importance and `continued`; a higher rank is served first.
class CallQueue {
 public:
  static constexpr int kRanks = core::kImportanceCount * 2;

  explicit CallQueue(int capacity);

  [[nodiscard]] static int rank_of(const Arrival& arrival) noexcept {
    return static_cast<int>(arrival.importance) * 2 + (arrival.continued ? 1 : 0);
  }

  /// @brief Takes a free record.
  /// @return Its index, or -1 if none is free.
  [[nodiscard]] std::int32_t acquire(const Arrival& arrival) noexcept;
  void release(std::int32_t index) noexcept;

  void push(std::int32_t index) noexcept;
  void remove(std::int32_t index) noexcept;

  /// @brief The call to serve next.
  /// @param newest Whether the newest of a rank comes first.
  /// @return Its index, or -1 if nothing is queued.
  [[nodiscard]] std::int32_t first(bool newest) const noexcept;
  /// @brief The call to displace first: lowest rank, and in it the oldest, which has least time left.
  [[nodiscard]] std::int32_t least_important() const noexcept;
  /// @brief Oldest call of a rank, or -1.
  [[nodiscard]] std::int32_t oldest(int rank) const noexcept { return heads_[static_cast<std::size_t>(rank)]; }
  [[nodiscard]] int count(int rank) const noexcept { return counts_[static_cast<std::size_t>(rank)]; }
  /// @brief Queued calls of a higher rank.
  [[nodiscard]] int count_above(int rank) const noexcept;
  [[nodiscard]] int size() const noexcept { return size_; }

  [[nodiscard]] CallRecord& operator[](std::int32_t index) noexcept {
    return records_[static_cast<std::size_t>(index)];
  }
  [[nodiscard]] Ticket ticket(std::int32_t index) const noexcept;
  /// @return The index of a ticket, or -1 if it is stale or was never given out.
  [[nodiscard]] std::int32_t find(Ticket ticket) const noexcept;

 private:
  std::vector<CallRecord> records_;
  std::int32_t free_ = -1;
  std::array<std::int32_t, kRanks> heads_{};
  std::array<std::int32_t, kRanks> tails_{};
  std::array<int, kRanks> counts_{};
  int size_ = 0;
};

}  // namespace damaskthread::admission::internal

#endif  // DAMASKTHREAD_ADMISSION_INTERNAL_CALL_QUEUE_H_
