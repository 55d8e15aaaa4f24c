#include "damaskthread/engine/running_table.h"

#include <utility>

namespace damaskthread::engine {

void RunningCall::record_child_execution(core::Execution execution) noexcept {
  core::Execution current = child_execution_.load(std::memory_order_relaxed);
  while (current < execution &&
         !child_execution_.compare_exchange_weak(current, execution, std::memory_order_relaxed)) {
  }
}

void RunningCall::raise_level(admission::Level level) noexcept {
  std::uint16_t current = level_.load(std::memory_order_relaxed);
  while (current < level.value && !level_.compare_exchange_weak(current, level.value, std::memory_order_relaxed)) {
  }
}

void RunningCall::child_started(core::TimePoint now) noexcept {
  const std::lock_guard lock(mutex_);
  if (active_children_++ == 0) active_since_ = now;
}

void RunningCall::child_finished(core::TimePoint now) noexcept {
  const std::lock_guard lock(mutex_);
  if (--active_children_ == 0) downstream_time_ += now - active_since_;
}

core::Duration RunningCall::downstream_time(core::TimePoint now) const noexcept {
  const std::lock_guard lock(mutex_);
  return active_children_ > 0 ? downstream_time_ + (now - active_since_) : downstream_time_;
}

void RunningCall::cancel() {
  std::map<std::uint64_t, std::function<void()>> handlers;
  {
    const std::lock_guard lock(mutex_);
    cancelled_.store(true, std::memory_order_relaxed);
    handlers.swap(cancel_handlers_);
    // Handlers run under the lock, so that remove_cancel_handler() returns only after a running handler has ended.
    for (const auto& [handler_id, handler] : handlers) handler();
  }
}

std::uint64_t RunningCall::add_cancel_handler(std::function<void()> handler) {
  const std::lock_guard lock(mutex_);
  if (cancelled()) {
    handler();
    return 0;
  }
  const std::uint64_t handler_id = next_handler_id_++;
  cancel_handlers_.emplace(handler_id, std::move(handler));
  return handler_id;
}

void RunningCall::remove_cancel_handler(std::uint64_t handler_id) {
  const std::lock_guard lock(mutex_);
  cancel_handlers_.erase(handler_id);
}

const RunningTable::Shard& RunningTable::shard_of(core::RequestKey key) const noexcept {
  return shards_[std::hash<core::RequestKey>{}(key) % shards_.size()];
}

RunningTable::Shard& RunningTable::shard_of(core::RequestKey key) noexcept {
  return shards_[std::hash<core::RequestKey>{}(key) % shards_.size()];
}

void RunningTable::add(const std::shared_ptr<RunningCall>& running) {
  Shard& shard = shard_of(running->key);
  const std::lock_guard lock(shard.mutex);
  shard.calls.emplace(running->key, running);
}

void RunningTable::remove(core::RequestKey key) noexcept {
  Shard& shard = shard_of(key);
  const std::lock_guard lock(shard.mutex);
  shard.calls.erase(key);
}

std::shared_ptr<RunningCall> RunningTable::find(core::RequestKey key) const {
  const Shard& shard = shard_of(key);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.calls.find(key);
  return found == shard.calls.end() ? nullptr : found->second;
}

std::vector<std::uint64_t> RunningTable::fingerprints() const {
  std::vector<std::uint64_t> result;
  for (const Shard& shard : shards_) {
    const std::lock_guard lock(shard.mutex);
    for (const auto& [key, running] : shard.calls) result.push_back(running->fingerprint);
  }
  return result;
}

std::size_t RunningTable::size() const noexcept {
  std::size_t total = 0;
  for (const Shard& shard : shards_) {
    const std::lock_guard lock(shard.mutex);
    total += shard.calls.size();
  }
  return total;
}

}  // namespace damaskthread::engine
