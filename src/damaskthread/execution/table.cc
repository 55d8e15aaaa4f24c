#include "damaskthread/execution/table.h"

#include <algorithm>

namespace damaskthread::execution {
namespace {

BeginResult refuse(BeginStatus status, core::Verdict verdict) noexcept {
  return {.status = status, .verdict = verdict};
}

}  // namespace

std::size_t StoredAnswer::bytes() const noexcept {
  std::size_t bytes = sizeof(StoredAnswer) + body.size();
  for (const auto& [name, value] : headers) bytes += name.size() + value.size();
  return bytes;
}

ExecutionTable::ExecutionTable(core::ServerId self, core::Incarnation incarnation, const core::MacKey& key,
                               ExecutionTableOptions options)
    : self_(self),
      incarnation_(incarnation),
      key_(key),
      options_(options),
      shard_capacity_(std::max<std::size_t>(1, options.capacity / DAMASKTHREAD_SHARD_COUNT)) {}

ExecutionTable::Shard& ExecutionTable::shard_of(std::uint64_t sequence) noexcept {
  return shards_[sequence % DAMASKTHREAD_SHARD_COUNT];
}

void ExecutionTable::release_answer(Entry& entry) noexcept {
  if (!entry.answer) return;
  answer_bytes_.fetch_sub(entry.answer->bytes(), std::memory_order_relaxed);
  entry.answer.reset();
}

// Removes entries of expired tokens and returns the latest time seen. A thread that was paused after reading the clock
// may pass a time at which a removed token was still valid; the latest time seen under the lock is used instead, so
// that the token is still refused.
core::TimePoint ExecutionTable::remove_expired(Shard& shard, core::TimePoint now) noexcept {
  shard.latest_time = std::max(shard.latest_time, now);
  while (!shard.by_expiry.empty() && shard.by_expiry.begin()->first <= shard.latest_time) {
    const auto found = shard.entries.find(shard.by_expiry.begin()->second);
    if (found != shard.entries.end()) {
      release_answer(found->second);
      shard.entries.erase(found);
    }
    shard.by_expiry.erase(shard.by_expiry.begin());
  }
  return shard.latest_time;
}

std::optional<ExecutionToken> ExecutionTable::issue(std::uint64_t fingerprint, core::TimePoint now) {
  const std::uint64_t sequence = next_sequence_.fetch_add(1, std::memory_order_relaxed);
  Shard& shard = shard_of(sequence);
  {
    const std::lock_guard lock(shard.mutex);
    now = remove_expired(shard, now);
    if (shard.entries.size() >= shard_capacity_) return std::nullopt;
  }
  ExecutionToken token{.server = self_,
                       .incarnation = incarnation_,
                       .sequence = sequence,
                       .fingerprint = fingerprint,
                       .expiry = now + options_.validity};
  token.mac = compute_token_mac(token, key_);
  return token;
}

BeginResult ExecutionTable::begin(const ExecutionToken& token, std::uint64_t fingerprint, core::TimePoint now) {
  if (!core::equal_constant_time(token.mac, compute_token_mac(token, key_))) {
    return refuse(BeginStatus::kInvalidMac, core::not_run(core::Cause::kBadRequest));
  }
  // Another incarnation of this daemon, or the previous owner of its address, may have run the request.
  if (token.server != self_ || token.incarnation != incarnation_) {
    return refuse(BeginStatus::kOtherIssuer, core::may_have_run(core::Cause::kServerGone));
  }
  if (token.fingerprint != fingerprint) {
    return refuse(BeginStatus::kOtherRequest, core::not_run(core::Cause::kBadRequest));
  }
  Shard& shard = shard_of(token.sequence);
  const std::lock_guard lock(shard.mutex);
  if (remove_expired(shard, now) >= token.expiry) {
    return refuse(BeginStatus::kExpired, core::may_have_run(core::Cause::kTokenExpired));
  }
  const auto found = shard.entries.find(token.sequence);
  if (found != shard.entries.end()) {
    const Entry& entry = found->second;
    if (!entry.finished) return refuse(BeginStatus::kInProgress, core::may_have_run(core::Cause::kDuplicate));
    return {.status = BeginStatus::kFinished, .verdict = entry.verdict, .answer = entry.answer};
  }
  if (shard.entries.size() >= shard_capacity_) {
    return refuse(BeginStatus::kFull, core::not_run(core::Cause::kOverload));
  }
  Entry entry;
  entry.run = shard.next_run++;
  const std::uint64_t run = entry.run;
  shard.by_expiry.emplace(token.expiry, token.sequence);
  shard.entries.emplace(token.sequence, std::move(entry));
  return {.status = BeginStatus::kRun, .run = run};
}

void ExecutionTable::finish(const ExecutionToken& token, std::uint64_t run, std::optional<StoredAnswer> answer,
                            core::Verdict verdict, core::TimePoint now) {
  if (token.server != self_ || token.incarnation != incarnation_) return;
  Shard& shard = shard_of(token.sequence);
  const std::lock_guard lock(shard.mutex);
  remove_expired(shard, now);
  const auto found = shard.entries.find(token.sequence);
  if (found == shard.entries.end()) return;
  Entry& entry = found->second;
  if (entry.finished || entry.run != run) return;
  if (verdict.execution == core::Execution::kNotRun) {
    // Erase the entry from both maps, because a later run of the same token inserts it again; otherwise a token that is
    // refused many times would grow the expiry index.
    const auto [first, last] = shard.by_expiry.equal_range(token.expiry);
    const auto position = std::find_if(first, last, [&](const auto& item) { return item.second == token.sequence; });
    if (position != last) shard.by_expiry.erase(position);
    shard.entries.erase(found);
    return;
  }
  entry.finished = true;
  entry.verdict = verdict;
  if (!answer) return;
  const std::size_t bytes = answer->bytes();
  const bool fits = bytes <= options_.max_answer_bytes;
  if (fits && answer_bytes_.fetch_add(bytes, std::memory_order_relaxed) + bytes <= options_.answer_budget_bytes) {
    entry.answer = std::make_shared<const StoredAnswer>(std::move(*answer));
    return;
  }
  if (fits) answer_bytes_.fetch_sub(bytes, std::memory_order_relaxed);
  dropped_answers_.fetch_add(1, std::memory_order_relaxed);
}

std::size_t ExecutionTable::size() const noexcept {
  std::size_t size = 0;
  for (const Shard& shard : shards_) {
    const std::lock_guard lock(shard.mutex);
    size += shard.entries.size();
  }
  return size;
}

std::size_t ExecutionTable::answer_bytes() const noexcept { return answer_bytes_.load(std::memory_order_relaxed); }

std::uint64_t ExecutionTable::dropped_answers() const noexcept {
  return dropped_answers_.load(std::memory_order_relaxed);
}

}  // namespace damaskthread::execution
