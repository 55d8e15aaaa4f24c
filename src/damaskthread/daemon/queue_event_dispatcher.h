#ifndef DAMASKTHREAD_DAEMON_QUEUE_EVENT_DISPATCHER_H_
#define DAMASKTHREAD_DAEMON_QUEUE_EVENT_DISPATCHER_H_

/// @file
/// @brief Delivers queue events to the threads whose calls wait in the admission queue.

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

/// Delivers queue events by ticket. An event may be posted before its thread waits for it. Sharded by ticket.
class QueueEventDispatcher {
 public:
  /// @brief Posts events; each ticket gets at most one.
  void post(std::span<const admission::QueueEvent> events);

  /// @brief Waits for a ticket's event.
  /// @param ticket The queued call.
  /// @param timeout Maximum time to wait.
  /// @param interrupted Polled every few milliseconds; true ends the wait.
  /// @return The event, or `std::nullopt` after a timeout or an interrupt.
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

#endif  // DAMASKTHREAD_DAEMON_QUEUE_EVENT_DISPATCHER_H_
