#include "damaskthread/daemon/queue_event_dispatcher.h"

#include <algorithm>
#include <chrono>

namespace damaskthread::daemon {
namespace {

constexpr std::chrono::milliseconds kInterruptCheck{5};

}  // namespace

void QueueEventDispatcher::post(std::span<const admission::QueueEvent> events) {
  for (const admission::QueueEvent& event : events) {
    Shard& shard = shard_of(event.ticket);
    {
      const std::lock_guard lock(shard.mutex);
      shard.events[event.ticket.value] = event;
    }
    shard.changed.notify_all();
  }
}

std::optional<admission::QueueEvent> QueueEventDispatcher::wait(admission::Ticket ticket, core::Duration timeout,
                                                                const std::function<bool()>& interrupted) {
  Shard& shard = shard_of(ticket);
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  std::unique_lock lock(shard.mutex);
  for (;;) {
    const auto found = shard.events.find(ticket.value);
    if (found != shard.events.end()) {
      const admission::QueueEvent event = found->second;
      shard.events.erase(found);
      return event;
    }
    const auto now = std::chrono::steady_clock::now();
    if (now >= deadline || interrupted()) return std::nullopt;
    shard.changed.wait_until(lock, std::min(deadline, now + kInterruptCheck));
  }
}

}  // namespace damaskthread::daemon
