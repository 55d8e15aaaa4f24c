#include "damaskthread/admission/internal/call_queue.h"

namespace damaskthread::admission::internal {

CallQueue::CallQueue(int capacity) : records_(static_cast<std::size_t>(capacity)) {
  heads_.fill(-1);
  tails_.fill(-1);
  for (std::int32_t i = capacity - 1; i >= 0; --i) {
    (*this)[i].next = free_;
    free_ = i;
  }
}

std::int32_t CallQueue::acquire(const Arrival& arrival) noexcept {
  const std::int32_t index = free_;
  if (index < 0) return -1;
  CallRecord& record = (*this)[index];
  free_ = record.next;
  record.arrival = arrival;
  record.next = -1;
  record.previous = -1;
  return index;
}

void CallQueue::release(std::int32_t index) noexcept {
  CallRecord& record = (*this)[index];
  record.state = CallState::kFree;
  ++record.generation;
  record.next = free_;
  free_ = index;
}

void CallQueue::push(std::int32_t index) noexcept {
  CallRecord& record = (*this)[index];
  const auto rank = static_cast<std::size_t>(rank_of(record.arrival));
  record.state = CallState::kQueued;
  record.previous = tails_[rank];
  record.next = -1;
  if (tails_[rank] >= 0) {
    (*this)[tails_[rank]].next = index;
  } else {
    heads_[rank] = index;
  }
  tails_[rank] = index;
  ++counts_[rank];
  ++size_;
}

void CallQueue::remove(std::int32_t index) noexcept {
  CallRecord& record = (*this)[index];
  const auto rank = static_cast<std::size_t>(rank_of(record.arrival));
  if (record.previous >= 0) {
    (*this)[record.previous].next = record.next;
  } else {
    heads_[rank] = record.next;
  }
  if (record.next >= 0) {
    (*this)[record.next].previous = record.previous;
  } else {
    tails_[rank] = record.previous;
  }
  record.previous = -1;
  record.next = -1;
  --counts_[rank];
  --size_;
}

std::int32_t CallQueue::first(bool newest) const noexcept {
  for (std::size_t rank = kRankCount; rank-- > 0;) {
    if (counts_[rank] > 0) return newest ? tails_[rank] : heads_[rank];
  }
  return -1;
}

std::int32_t CallQueue::least_important() const noexcept {
  for (std::size_t rank = 0; rank < kRankCount; ++rank) {
    if (counts_[rank] > 0) return heads_[rank];
  }
  return -1;
}

int CallQueue::count_above(int rank) const noexcept {
  int sum = 0;
  for (int above = rank + 1; above < kRankCount; ++above) sum += count(above);
  return sum;
}

Ticket CallQueue::ticket(std::int32_t index) const noexcept {
  const CallRecord& record = records_[static_cast<std::size_t>(index)];
  return Ticket{(static_cast<std::uint64_t>(record.generation) << 32U) | static_cast<std::uint32_t>(index)};
}

std::int32_t CallQueue::find(Ticket ticket) const noexcept {
  const auto index = static_cast<std::size_t>(ticket.value & 0xFFFFFFFFU);
  if (index >= records_.size()) return -1;
  const CallRecord& record = records_[index];
  if (record.state == CallState::kFree || record.generation != ticket.value >> 32U) return -1;
  return static_cast<std::int32_t>(index);
}

}  // namespace damaskthread::admission::internal
