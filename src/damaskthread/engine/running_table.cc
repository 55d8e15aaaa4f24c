#include "damaskthread/engine/running_table.h"

#include <utility>

namespace damaskthread::engine {

void Running::child_ran(core::Execution execution) noexcept {
  core::Execution known = children_.load(std::memory_order_relaxed);
  while (known < execution && !children_.compare_exchange_weak(known, execution, std::memory_order_relaxed)) {
  }
}

void Running::raise_level(admission::Level level) noexcept {
  std::uint16_t known = level_.load(std::memory_order_relaxed);
  while (known < level.value && !level_.compare_exchange_weak(known, level.value, std::memory_order_relaxed)) {
  }
}

void Running::child_started(core::TimePoint now) noexcept {
  const std::lock_guard lock(mutex_);
  if (active_++ == 0) active_since_ = now;
}

void Running::child_finished(core::TimePoint now) noexcept {
  const std::lock_guard lock(mutex_);
  if (--active_ == 0) downstream_ += now - active_since_;
}

core::Duration Running::downstream(core::TimePoint now) const noexcept {
  const std::lock_guard lock(mutex_);
  return active_ > 0 ? downstream_ + (now - active_since_) : downstream_;
}

void Running::cancel() {
  std::map<std::uint64_t, std::function<void()>> actions;
  {
    const std::lock_guard lock(mutex_);
    cancelled_.store(true, std::memory_order_relaxed);
    actions.swap(actions_);
    // The actions run under the lock, so that remove_cancel() returns only after a running action has ended.
    for (const auto& [number, action] : actions) action();
  }
}

std::uint64_t Running::on_cancel(std::function<void()> action) {
  const std::lock_guard lock(mutex_);
  if (cancelled()) {
    action();
    return 0;
  }
  const std::uint64_t number = next_action_++;
  actions_.emplace(number, std::move(action));
  return number;
}

void Running::remove_cancel(std::uint64_t number) {
  const std::lock_guard lock(mutex_);
  actions_.erase(number);
}

const RunningTable::Shard& RunningTable::shard_of(core::RequestKey key) const noexcept {
  return shards_[std::hash<core::RequestKey>{}(key) % shards_.size()];
}

RunningTable::Shard& RunningTable::shard_of(core::RequestKey key) noexcept {
  return shards_[std::hash<core::RequestKey>{}(key) % shards_.size()];
}

void RunningTable::add(const std::shared_ptr<Running>& running) {
  Shard& shard = shard_of(running->key);
  const std::lock_guard lock(shard.mutex);
  shard.calls.emplace(running->key, running);
}

void RunningTable::remove(core::RequestKey key) noexcept {
  Shard& shard = shard_of(key);
  const std::lock_guard lock(shard.mutex);
  shard.calls.erase(key);
}

std::shared_ptr<Running> RunningTable::find(core::RequestKey key) const {
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
