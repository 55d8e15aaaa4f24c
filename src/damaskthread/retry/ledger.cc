#include "damaskthread/retry/ledger.h"

#include <algorithm>

namespace damaskthread::retry {

RetryLedger::RetryLedger(RetryLedgerOptions options)
    : shard_capacity_(std::max<std::size_t>(1, options.capacity / DAMASKTHREAD_SHARD_COUNT)) {}

RetryLedger::Shard& RetryLedger::shard_of(core::RequestKey key) noexcept {
  return shards_[std::hash<core::RequestKey>{}(key) % DAMASKTHREAD_SHARD_COUNT];
}

const RetryLedger::Shard& RetryLedger::shard_of(core::RequestKey key) const noexcept {
  return shards_[std::hash<core::RequestKey>{}(key) % DAMASKTHREAD_SHARD_COUNT];
}

RetryLedger::Entry* RetryLedger::find_open_entry(Shard& shard, core::RequestKey key, core::TimePoint now) noexcept {
  shard.latest_time = std::max(shard.latest_time, now);
  const auto found = shard.entries.find(key);
  if (found == shard.entries.end()) return nullptr;
  Entry& entry = found->second;
  return entry.closed || entry.expires <= shard.latest_time ? nullptr : &entry;
}

bool RetryLedger::open(core::RequestKey key, int allowance, core::TimePoint expires, core::TimePoint now) {
  Shard& shard = shard_of(key);
  const std::lock_guard lock(shard.mutex);
  shard.latest_time = std::max(shard.latest_time, now);
  while (!shard.by_expiry.empty() && shard.by_expiry.begin()->first <= shard.latest_time) {
    shard.entries.erase(shard.by_expiry.begin()->second);
    shard.by_expiry.erase(shard.by_expiry.begin());
  }
  if (expires <= shard.latest_time || shard.entries.size() >= shard_capacity_) return false;
  Entry entry;
  entry.expires = expires;
  entry.remaining = std::clamp(allowance, 0, kMaxAllowance);
  if (!shard.entries.emplace(key, entry).second) return false;
  shard.by_expiry.emplace(expires, key);
  return true;
}

bool RetryLedger::spend(core::RequestKey key, core::TimePoint now) noexcept {
  Shard& shard = shard_of(key);
  const std::lock_guard lock(shard.mutex);
  Entry* entry = find_open_entry(shard, key, now);
  if (entry == nullptr || entry->remaining == 0) return false;
  --entry->remaining;
  return true;
}

AllowanceShare RetryLedger::split(core::RequestKey key, core::TimePoint now) noexcept {
  Shard& shard = shard_of(key);
  const std::lock_guard lock(shard.mutex);
  Entry* entry = find_open_entry(shard, key, now);
  if (entry == nullptr || entry->remaining < 2) return {};
  const auto slot = std::ranges::find(entry->outstanding, 0, &AllowanceShare::amount);
  if (slot == entry->outstanding.end()) return {};
  *slot = {entry->next_share_id++, entry->remaining / 2};
  entry->remaining -= slot->amount;
  return *slot;
}

void RetryLedger::return_share(core::RequestKey key, std::uint64_t share_id, int unspent,
                               core::TimePoint now) noexcept {
  Shard& shard = shard_of(key);
  const std::lock_guard lock(shard.mutex);
  Entry* entry = find_open_entry(shard, key, now);
  if (entry == nullptr || share_id == 0) return;
  const auto slot = std::ranges::find(entry->outstanding, share_id, &AllowanceShare::id);
  if (slot == entry->outstanding.end()) return;
  entry->remaining += std::clamp(unspent, 0, slot->amount);
  *slot = {};
}

int RetryLedger::close(core::RequestKey key, core::TimePoint now) noexcept {
  Shard& shard = shard_of(key);
  const std::lock_guard lock(shard.mutex);
  Entry* entry = find_open_entry(shard, key, now);
  if (entry == nullptr) return 0;
  entry->closed = true;
  return entry->remaining;
}

int RetryLedger::remaining(core::RequestKey key, core::TimePoint now) const noexcept {
  const Shard& shard = shard_of(key);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.entries.find(key);
  if (found == shard.entries.end()) return 0;
  const Entry& entry = found->second;
  return entry.closed || entry.expires <= std::max(shard.latest_time, now) ? 0 : entry.remaining;
}

std::size_t RetryLedger::size() const noexcept {
  std::size_t size = 0;
  for (const Shard& shard : shards_) {
    const std::lock_guard lock(shard.mutex);
    size += shard.entries.size();
  }
  return size;
}

}  // namespace damaskthread::retry
