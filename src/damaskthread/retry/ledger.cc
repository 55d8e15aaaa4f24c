#include "damaskthread/retry/ledger.h"

#include <algorithm>

namespace damaskthread::retry {

RetryLedger::RetryLedger(LedgerOptions options)
    : shard_capacity_(std::max<std::size_t>(1, options.capacity / DAMASKTHREAD_SHARD_COUNT)) {}

RetryLedger::Shard& RetryLedger::shard_of(core::RequestKey key) noexcept {
  return shards_[std::hash<core::RequestKey>{}(key) % DAMASKTHREAD_SHARD_COUNT];
}

const RetryLedger::Shard& RetryLedger::shard_of(core::RequestKey key) const noexcept {
  return shards_[std::hash<core::RequestKey>{}(key) % DAMASKTHREAD_SHARD_COUNT];
}

RetryLedger::Entry* RetryLedger::find_open(Shard& shard, core::RequestKey key, core::TimePoint now) noexcept {
  shard.latest = std::max(shard.latest, now);
  const auto found = shard.entries.find(key);
  if (found == shard.entries.end()) return nullptr;
  Entry& entry = found->second;
  return entry.closed || entry.expires <= shard.latest ? nullptr : &entry;
}

bool RetryLedger::open(core::RequestKey key, int allowance, core::TimePoint expires, core::TimePoint now) {
  Shard& shard = shard_of(key);
  const std::lock_guard lock(shard.mutex);
  shard.latest = std::max(shard.latest, now);
  while (!shard.by_expiry.empty() && shard.by_expiry.begin()->first <= shard.latest) {
    shard.entries.erase(shard.by_expiry.begin()->second);
    shard.by_expiry.erase(shard.by_expiry.begin());
  }
  if (expires <= shard.latest || shard.entries.size() >= shard_capacity_) return false;
  Entry entry;
  entry.expires = expires;
  entry.left = std::clamp(allowance, 0, kMaxAllowance);
  if (!shard.entries.emplace(key, entry).second) return false;
  shard.by_expiry.emplace(expires, key);
  return true;
}

bool RetryLedger::spend(core::RequestKey key, core::TimePoint now) noexcept {
  Shard& shard = shard_of(key);
  const std::lock_guard lock(shard.mutex);
  Entry* entry = find_open(shard, key, now);
  if (entry == nullptr || entry->left == 0) return false;
  --entry->left;
  return true;
}

Share RetryLedger::split(core::RequestKey key, core::TimePoint now) noexcept {
  Shard& shard = shard_of(key);
  const std::lock_guard lock(shard.mutex);
  Entry* entry = find_open(shard, key, now);
  if (entry == nullptr || entry->left < 2) return {};
  const auto slot = std::ranges::find(entry->out, 0, &Share::amount);
  if (slot == entry->out.end()) return {};
  *slot = {entry->next_share++, entry->left / 2};
  entry->left -= slot->amount;
  return *slot;
}

void RetryLedger::give_back(core::RequestKey key, std::uint64_t share_id, int unspent, core::TimePoint now) noexcept {
  Shard& shard = shard_of(key);
  const std::lock_guard lock(shard.mutex);
  Entry* entry = find_open(shard, key, now);
  if (entry == nullptr || share_id == 0) return;
  const auto slot = std::ranges::find(entry->out, share_id, &Share::id);
  if (slot == entry->out.end()) return;
  entry->left += std::clamp(unspent, 0, slot->amount);
  *slot = {};
}

int RetryLedger::close(core::RequestKey key, core::TimePoint now) noexcept {
  Shard& shard = shard_of(key);
  const std::lock_guard lock(shard.mutex);
  Entry* entry = find_open(shard, key, now);
  if (entry == nullptr) return 0;
  entry->closed = true;
  return entry->left;
}

int RetryLedger::left(core::RequestKey key, core::TimePoint now) const noexcept {
  const Shard& shard = shard_of(key);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.entries.find(key);
  if (found == shard.entries.end()) return 0;
  const Entry& entry = found->second;
  return entry.closed || entry.expires <= std::max(shard.latest, now) ? 0 : entry.left;
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
