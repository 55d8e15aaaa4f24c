#ifndef DAMASKTHREAD_EXECUTION_OUTBOUND_TOKEN_TABLE_H_
#define DAMASKTHREAD_EXECUTION_OUTBOUND_TOKEN_TABLE_H_

/// @file
/// @brief Execution tokens of the calls that the local server makes while it runs an at-most-once request.

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <unordered_map>

#include "damaskthread/config/config.h"
#include "damaskthread/core/types.h"
#include "damaskthread/execution/token.h"

namespace damaskthread::execution {

enum class OutboundTokenState : std::uint8_t {
  kReserved,  ///< First attempt: obtain a token, then call `store` or `abandon`.
  kPending,   ///< Another attempt with the same key is obtaining the token.
  kFound,     ///< Use the token, even if it has expired: only its issuer knows whether it was used.
  kFull,      ///< The table is full; refuse the call as not run.
};

struct OutboundTokenLookup {
  OutboundTokenState state = OutboundTokenState::kFull;
  std::uint64_t reservation = 0;  ///< Argument for `store` or `abandon`; valid with kReserved.
  std::optional<ExecutionToken> token{};
};

/// @brief Maps (root request, call key or fingerprint) to the token of an outbound call. Thread-safe.
///
/// If a server repeats an outbound call within one run, the repeat reuses the token of the first attempt, so that it
/// cannot run a second time at another server.
class OutboundTokenTable {
 public:
  explicit OutboundTokenTable(std::size_t capacity = 65536);

  /// @brief Looks up the token of an outbound call, or reserves an entry for it.
  /// @param root Key of the root request.
  /// @param call Hash of `Damask-Call-Key`, or the fingerprint of the call if there is none.
  /// @param keep_until Time after which the parent request can no longer be running; the entry is removed then.
  /// @param now Current time.
  [[nodiscard]] OutboundTokenLookup find_or_reserve(core::RequestKey root, std::uint64_t call,
                                                    core::TimePoint keep_until, core::TimePoint now);
  /// @brief Stores the token obtained for a reservation.
  void store(core::RequestKey root, std::uint64_t call, std::uint64_t reservation,
             const ExecutionToken& token) noexcept;
  /// @brief Releases a reservation whose call used no token.
  void abandon(core::RequestKey root, std::uint64_t call, std::uint64_t reservation) noexcept;
  [[nodiscard]] std::size_t size() const noexcept;

 private:
  struct Key {
    core::RequestKey root;
    std::uint64_t call = 0;
    bool operator==(const Key&) const = default;
  };
  struct KeyHash {
    std::size_t operator()(const Key& key) const noexcept;
  };
  struct Entry {
    std::uint64_t reservation = 0;
    std::optional<ExecutionToken> token;
    std::multimap<core::TimePoint, Key>::iterator expiry;
  };
  struct alignas(DAMASKTHREAD_CACHE_LINE_BYTES) Shard {
    mutable std::mutex mutex;
    std::unordered_map<Key, Entry, KeyHash> entries;
    std::multimap<core::TimePoint, Key> by_expiry;
    std::uint64_t next_reservation = 1;
  };

  Shard& shard_of(core::RequestKey root) noexcept;

  std::size_t shard_capacity_;
  std::array<Shard, DAMASKTHREAD_SHARD_COUNT> shards_;
};

}  // namespace damaskthread::execution

#endif  // DAMASKTHREAD_EXECUTION_OUTBOUND_TOKEN_TABLE_H_
