#ifndef DAMASKTHREAD_RETRY_LEDGER_H_
#define DAMASKTHREAD_RETRY_LEDGER_H_

/// @file
/// @brief Per-request retry allowances held by one daemon.

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <unordered_map>

#include "damaskthread/config/config.h"
#include "damaskthread/core/types.h"

namespace damaskthread::retry {

/// Largest allowance that a service declaration may grant. Also bounds the outstanding shares of one entry.
inline constexpr int kMaxAllowance = 8;

/// Part of a retry allowance delegated to a child call.
struct AllowanceShare {
  std::uint64_t id = 0;  ///< Unique within the parent entry; zero for an empty share.
  int amount = 0;
  bool operator==(const AllowanceShare&) const = default;
};

struct RetryLedgerOptions {
  std::size_t capacity = 65536;  ///< Maximum number of entries over all shards, including closed ones.
};

/// @brief Tracks the retry allowance of requests that run here. Thread-safe.
///
/// For each entry, the sum of the remaining allowance, the outstanding shares and the spent retries never exceeds the
/// initial allowance. A share is returned at most once and never exceeds its amount, so lost, duplicated, reordered or
/// delayed messages can only reduce the number of retries.
class RetryLedger {
 public:
  explicit RetryLedger(RetryLedgerOptions options = {});

  /// @brief Opens an entry. The key must be that of the attempt that carried the allowance, so that a duplicate
  /// delivery of the attempt finds the existing entry.
  /// @param key Key of the running call, or of the request at its home daemon.
  /// @param allowance Retries that may be spent; clamped to [0, kMaxAllowance].
  /// @param expires Expiry of the entry; no retries can be spent afterwards.
  /// @param now Current time.
  /// @return False if the key already exists (open or closed), has expired, or the ledger is full; the call then has no
  /// retries.
  bool open(core::RequestKey key, int allowance, core::TimePoint expires, core::TimePoint now);

  /// @brief Spends one retry.
  /// @return True if a retry was available.
  [[nodiscard]] bool spend(core::RequestKey key, core::TimePoint now) noexcept;

  /// @brief Splits off the share of one child call: half of the remaining allowance, rounded down.
  /// @return The share; empty for an unknown, closed or expired key, or if fewer than two retries remain.
  [[nodiscard]] AllowanceShare split(core::RequestKey key, core::TimePoint now) noexcept;

  /// @brief Returns the unspent part of a child call's share. Only the first return of a share has an effect.
  /// @param key Key of the entry that the share was split from.
  /// @param share_id Id of the share.
  /// @param unspent Unspent retries; clamped to the amount of the share.
  /// @param now Current time.
  void return_share(core::RequestKey key, std::uint64_t share_id, int unspent, core::TimePoint now) noexcept;

  /// @brief Closes an entry. The key is kept until it expires, so that it cannot be reopened.
  /// @return The remaining allowance; zero for an unknown, closed or expired key.
  int close(core::RequestKey key, core::TimePoint now) noexcept;

  /// @return The remaining allowance of an entry, excluding outstanding shares.
  [[nodiscard]] int remaining(core::RequestKey key, core::TimePoint now) const noexcept;
  /// @return Number of entries held, closed ones included.
  [[nodiscard]] std::size_t size() const noexcept;

 private:
  struct Entry {
    core::TimePoint expires;
    std::uint64_t next_share_id = 1;
    int remaining = 0;
    bool closed = false;
    // Each share holds at least one retry and all shares together at most kMaxAllowance, so the array cannot overflow.
    std::array<AllowanceShare, kMaxAllowance> outstanding{};
  };
  struct alignas(DAMASKTHREAD_CACHE_LINE_BYTES) Shard {
    mutable std::mutex mutex;
    std::unordered_map<core::RequestKey, Entry> entries;
    std::multimap<core::TimePoint, core::RequestKey> by_expiry;
    // Latest time seen. A paused thread may pass an older time, for which entries were already removed.
    core::TimePoint latest_time = core::TimePoint::min();
  };

  Shard& shard_of(core::RequestKey key) noexcept;
  const Shard& shard_of(core::RequestKey key) const noexcept;
  static Entry* find_open_entry(Shard& shard, core::RequestKey key, core::TimePoint now) noexcept;

  std::size_t shard_capacity_;
  std::array<Shard, DAMASKTHREAD_SHARD_COUNT> shards_;
};

}  // namespace damaskthread::retry

#endif  // DAMASKTHREAD_RETRY_LEDGER_H_
