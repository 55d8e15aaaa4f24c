#ifndef DAMASKTHREAD_EXECUTION_ONWARD_H_
#define DAMASKTHREAD_EXECUTION_ONWARD_H_

/// @file
/// @brief Tokens of the calls that the local server makes while it runs an at-most-once request.

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

enum class Onward : std::uint8_t {
  kReserved,  ///< First call: obtain a token, then call `store` or `abandon`.
  kPending,   ///< The token is being obtained by another call with the same key.
  kFound,     ///< Use the token, also if it has expired: its issuer alone knows whether it was used.
  kFull,      ///< No room to remember a token; refuse the call as not run.
};

struct OnwardResult {
  Onward onward = Onward::kFull;
  std::uint64_t reservation = 0;  ///< To be passed to `store` or `abandon`; valid with kReserved.
  std::optional<ExecutionToken> token{};
};

/// @brief Maps (root request, call key or fingerprint) to the token of the onward call. Thread-safe.
///
/// A server that repeats a call of its own inside one run meets the token of the first try, so that the repeat cannot
/// run twice at another server.
class OnwardTokens {
 public:
  explicit OnwardTokens(std::size_t capacity = 65536);

  /// @brief Looks up the token of an onward call or reserves its place.
  /// @param root Key of the root request.
  /// @param call Hash of `Damask-Call-Key`, or the fingerprint of the call if there is none.
  /// @param keep_until When the parent can no longer be running; the entry is kept until then.
  /// @param now Current time.
  [[nodiscard]] OnwardResult find_or_reserve(core::RequestKey root, std::uint64_t call, core::TimePoint keep_until,
                                             core::TimePoint now);
  /// @brief Stores the token obtained for a reservation.
  void store(core::RequestKey root, std::uint64_t call, std::uint64_t reservation,
             const ExecutionToken& token) noexcept;
  /// @brief Gives up a reservation for which no token was used.
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

#endif  // DAMASKTHREAD_EXECUTION_ONWARD_H_
