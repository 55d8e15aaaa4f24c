#ifndef DAMASKTHREAD_RETRY_MINTED_ID_H_
#define DAMASKTHREAD_RETRY_MINTED_ID_H_

/// @file
/// @brief Request ids minted by a daemon, and the counting of a caller's repeats at the daemon that minted the id.

#include <atomic>
#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "damaskthread/core/mac.h"
#include "damaskthread/core/types.h"
#include "damaskthread/core/verdict.h"
#include "damaskthread/retry/ledger.h"

namespace damaskthread::retry {

/// Longest text form of a minted id.
inline constexpr std::size_t kMaxIdText = 80;

/// Id of a request, bound to the daemon that holds its retry allowance.
struct MintedId {
  core::ServerId home{};
  core::Incarnation incarnation{};
  std::uint64_t sequence = 0;
  core::Mac mac{};

  bool operator==(const MintedId&) const = default;
};

/// @brief Key of the request in the ledger.
[[nodiscard]] core::RequestKey key_of(const MintedId& id) noexcept;
/// @brief Text form for the `Damask-Request-Id` header.
[[nodiscard]] std::string to_string(const MintedId& id);
/// @brief Parses the text form and checks its code.
/// @param text The header's value.
/// @param key The shared key.
/// @return The id, or a `core::Error` that says whether the text is malformed or the code is wrong.
[[nodiscard]] boost::leaf::result<MintedId> parse_minted_id(std::string_view text, const core::MacKey& key);

/// @brief Mints request ids. Thread-safe.
class IdMinter {
 public:
  IdMinter(core::ServerId home, core::Incarnation incarnation, const core::MacKey& key) noexcept;
  /// @return A new id, different from all others of this incarnation.
  [[nodiscard]] MintedId mint() noexcept;

 private:
  core::ServerId home_;
  core::Incarnation incarnation_;
  core::MacKey key_;
  std::atomic<std::uint64_t> next_{1};
};

/// Where a caller's repeat has to be counted.
enum class RepeatPlace : std::uint8_t {
  kHere,      ///< This daemon minted the id.
  kHome,      ///< Another daemon did; it has to confirm the repeat.
  kHomeGone,  ///< An earlier life of this daemon did; its ledger is lost.
};

/// Answer of the home daemon to a repeat.
struct RepeatGrant {
  bool granted = false;
  Share share{};            ///< Allowance for the calls of the repeat; to be given back to the home.
  core::Verdict verdict{};  ///< Valid if not granted.
};

/// @brief Counts the repeats of requests that this daemon minted the ids of. Thread-safe if the ledger is.
class RepeatGuard {
 public:
  RepeatGuard(core::ServerId self, core::Incarnation incarnation, RetryLedger& ledger) noexcept;

  /// @brief Where a repeat with this id is counted.
  [[nodiscard]] RepeatPlace place(const MintedId& id) const noexcept;
  /// @brief Counts one repeat at the home daemon, for a caller here or for another daemon that asks.
  /// @return A grant that has cost one retry; otherwise a verdict of not run with cause `retry-bound`.
  [[nodiscard]] RepeatGrant count_repeat(const MintedId& id, core::TimePoint now) noexcept;
  /// @brief Verdict on a repeat that the home daemon cannot confirm: it is gone, out of reach or unknown.
  [[nodiscard]] static core::Verdict unconfirmed() noexcept;

 private:
  core::ServerId self_;
  core::Incarnation incarnation_;
  RetryLedger* ledger_;
};

}  // namespace damaskthread::retry

#endif  // DAMASKTHREAD_RETRY_MINTED_ID_H_
