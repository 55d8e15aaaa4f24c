#ifndef DAMASKTHREAD_RETRY_LEDGER_H_
#define DAMASKTHREAD_RETRY_LEDGER_H_

/// @file
/// @brief Retry allowance of the calls that run beside one daemon.

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <unordered_map>

#include "damaskthread/config/config.h"
#include "damaskthread/core/types.h"

namespace damaskthread::retry {

/// Largest allowance that a declaration may give; also bounds the shares of one entry that are out at once.
inline constexpr int kMaxAllowance = 8;

/// Part of an allowance that was handed to a child call.
struct Share {
  std::uint64_t id = 0;  ///< Valid within the entry it was split from; zero if the share is empty.
  int amount = 0;
  bool operator==(const Share&) const = default;
};

struct LedgerOptions {
  std::size_t capacity = 65536;  ///< Entries, closed ones included, over all shards.
};

/// @brief Holds the allowance of requests that run here. Thread-safe.
///
/// For each entry, what is left, what is out in shares and what was spent add up to at most the opened allowance.
/// A share returns at most once and never more than it held, so that messages which are lost, duplicated, reordered or
/// late can only reduce the number of retries.
class RetryLedger {
 public:
  explicit RetryLedger(LedgerOptions options = {});

  /// @brief Opens an entry. The key must be the one of the attempt that carried the allowance, so that a second
  /// delivery of the same attempt meets the first entry.
  /// @param key Key of the running call, or of the request at its home daemon.
  /// @param allowance Retries that may be spent; clamped to [0, kMaxAllowance].
  /// @param expires When the entry ends; nothing can be spent afterwards.
  /// @param now Current time.
  /// @return False if the key is known, open or closed, or the ledger is full; the call then has no retries.
  bool open(core::RequestKey key, int allowance, core::TimePoint expires, core::TimePoint now);

  /// @brief Spends one retry.
  /// @return True if there was one left.
  [[nodiscard]] bool spend(core::RequestKey key, core::TimePoint now) noexcept;

  /// @brief Splits off the share of one child call: half of what is left, rounded down.
  /// @return The share; empty for an unknown, closed or expired key.
  [[nodiscard]] Share split(core::RequestKey key, core::TimePoint now) noexcept;

  /// @brief Returns what a child call did not spend. Only the first return of a share counts.
  /// @param key The entry that the share was split from.
  /// @param share_id Number of the share.
  /// @param unspent What is left of it; clamped to the amount of the share.
  /// @param now Current time.
  void give_back(core::RequestKey key, std::uint64_t share_id, int unspent, core::TimePoint now) noexcept;

  /// @brief Closes an entry. The key stays known until it expires, so that it cannot be opened again.
  /// @return What was left; zero for an unknown, closed or expired key.
  int close(core::RequestKey key, core::TimePoint now) noexcept;

  /// @return What is left of an entry, without what is out in shares.
  [[nodiscard]] int left(core::RequestKey key, core::TimePoint now) const noexcept;
  /// @return Number of entries held, closed ones included.
  [[nodiscard]] std::size_t size() const noexcept;

 private:
  struct Entry {
    core::TimePoint expires;
    std::uint64_t next_share = 1;
    int left = 0;
    bool closed = false;
    // A share of at least one per element and a sum of at most kMaxAllowance bound the number of elements.
    std::array<Share, kMaxAllowance> out{};
  };
  struct alignas(DAMASKTHREAD_CACHE_LINE_BYTES) Shard {
    mutable std::mutex mutex;
    std::unordered_map<core::RequestKey, Entry> entries;
    std::multimap<core::TimePoint, core::RequestKey> by_expiry;
    // Latest time seen. A caller that was paused may pass an older one, for which entries are already forgotten.
    core::TimePoint latest = core::TimePoint::min();
  };

  Shard& shard_of(core::RequestKey key) noexcept;
  const Shard& shard_of(core::RequestKey key) const noexcept;
  static Entry* find_open(Shard& shard, core::RequestKey key, core::TimePoint now) noexcept;

  std::size_t shard_capacity_;
  std::array<Shard, DAMASKTHREAD_SHARD_COUNT> shards_;
};

}  // namespace damaskthread::retry

#endif  // DAMASKTHREAD_RETRY_LEDGER_H_
