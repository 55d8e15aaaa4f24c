#ifndef DAMASKTHREAD_DAEMON_TICKET_BOARD_H_
#define DAMASKTHREAD_DAEMON_TICKET_BOARD_H_

/// @file
/// @brief Hands queue events to the threads whose calls wait in the queue.

#include <array>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <span>
#include <unordered_map>

#include "damaskthread/admission/arrival.h"
#include "damaskthread/config/config.h"
#include "damaskthread/core/types.h"

namespace damaskthread::daemon {

/// An event may be posted before its thread waits for it. Sharded by ticket.
class TicketBoard {
 public:
  /// @brief Posts events; each ticket gets at most one.
  void post(std::span<const admission::QueueEvent> events);

  /// @brief Waits for a ticket's event.
  /// @param ticket The queued call.
  /// @param timeout How long to wait.
  /// @param interrupted Checked every few milliseconds; true ends the wait.
  /// @return The event, or nothing when the time is over or the wait was interrupted.
  [[nodiscard]] std::optional<admission::QueueEvent> wait(admission::Ticket ticket, core::Duration timeout,
                                                          const std::function<bool()>& interrupted);

 private:
  struct alignas(DAMASKTHREAD_CACHE_LINE_BYTES) Shard {
    std::mutex mutex;
    std::condition_variable changed;
    std::unordered_map<std::uint64_t, admission::QueueEvent> events;
  };
  Shard& shard_of(admission::Ticket ticket) { return shards_[ticket.value % shards_.size()]; }

  std::array<Shard, DAMASKTHREAD_SHARD_COUNT> shards_;
};

}  // namespace damaskthread::daemon

#endif  // DAMASKTHREAD_DAEMON_TICKET_BOARD_H_
