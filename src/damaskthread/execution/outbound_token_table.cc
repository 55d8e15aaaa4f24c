#include "damaskthread/execution/outbound_token_table.h"

#include <algorithm>

namespace damaskthread::execution {

std::size_t OutboundTokenTable::KeyHash::operator()(const Key& key) const noexcept {
  return std::hash<core::RequestKey>{}({key.root.high ^ key.call, key.root.low});
}

OutboundTokenTable::OutboundTokenTable(std::size_t capacity)
    : shard_capacity_(std::max<std::size_t>(1, capacity / DAMASKTHREAD_SHARD_COUNT)) {}

OutboundTokenTable::Shard& OutboundTokenTable::shard_of(core::RequestKey root) noexcept {
  return shards_[std::hash<core::RequestKey>{}(root) % DAMASKTHREAD_SHARD_COUNT];
}

OutboundTokenLookup OutboundTokenTable::find_or_reserve(core::RequestKey root, std::uint64_t call,
                                                        core::TimePoint keep_until, core::TimePoint now) {
  Shard& shard = shard_of(root);
  const std::lock_guard lock(shard.mutex);
  while (!shard.by_expiry.empty() && shard.by_expiry.begin()->first <= now) {
    shard.entries.erase(shard.by_expiry.begin()->second);
    shard.by_expiry.erase(shard.by_expiry.begin());
  }
  const Key key{root, call};
  const auto found = shard.entries.find(key);
  if (found != shard.entries.end()) {
    const Entry& entry = found->second;
    if (!entry.token) return {.state = OutboundTokenState::kPending};
    return {.state = OutboundTokenState::kFound, .token = entry.token};
  }
  if (shard.entries.size() >= shard_capacity_) return {.state = OutboundTokenState::kFull};
  Entry entry;
  entry.reservation = shard.next_reservation++;
  entry.expiry = shard.by_expiry.emplace(keep_until, key);
  shard.entries.emplace(key, entry);
  return {.state = OutboundTokenState::kReserved, .reservation = entry.reservation};
}

void OutboundTokenTable::store(core::RequestKey root, std::uint64_t call, std::uint64_t reservation,
                               const ExecutionToken& token) noexcept {
  Shard& shard = shard_of(root);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.entries.find({root, call});
  if (found == shard.entries.end() || found->second.reservation != reservation) return;
  found->second.token = token;
}

void OutboundTokenTable::abandon(core::RequestKey root, std::uint64_t call, std::uint64_t reservation) noexcept {
  Shard& shard = shard_of(root);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.entries.find({root, call});
  if (found == shard.entries.end()) return;
  const Entry& entry = found->second;
  if (entry.reservation != reservation || entry.token) return;
  shard.by_expiry.erase(entry.expiry);
  shard.entries.erase(found);
}

std::size_t OutboundTokenTable::size() const noexcept {
  std::size_t size = 0;
  for (const Shard& shard : shards_) {
    const std::lock_guard lock(shard.mutex);
    size += shard.entries.size();
  }
  return size;
}

}  // namespace damaskthread::execution
