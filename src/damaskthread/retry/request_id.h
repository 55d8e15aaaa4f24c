#ifndef DAMASKTHREAD_RETRY_REQUEST_ID_H_
#define DAMASKTHREAD_RETRY_REQUEST_ID_H_

/// @file
/// @brief Request ids issued by a daemon, and authorization of client retries by the daemon that issued the id.

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

/// Maximum length of an encoded request id.
inline constexpr std::size_t kMaxRequestIdLength = 80;

/// Authenticated request id, bound to the daemon that holds the request's retry allowance (its home daemon).
struct RequestId {
  core::ServerId home{};
  core::Incarnation incarnation{};
  std::uint64_t sequence = 0;
  core::Mac mac{};

  bool operator==(const RequestId&) const = default;
};

/// @brief Key of the request in the ledger.
[[nodiscard]] core::RequestKey key_of(const RequestId& id) noexcept;
/// @brief Text form for the `Damask-Request-Id` header.
[[nodiscard]] std::string to_string(const RequestId& id);
/// @brief Parses the text form and verifies its MAC.
/// @param text The header's value.
/// @param key The shared key.
/// @return The id, or a `core::Error` that tells a malformed text from an invalid MAC.
[[nodiscard]] boost::leaf::result<RequestId> parse_request_id(std::string_view text, const core::MacKey& key);

/// @brief Generates request ids. Thread-safe.
class RequestIdGenerator {
 public:
  RequestIdGenerator(core::ServerId home, core::Incarnation incarnation, const core::MacKey& key) noexcept;
  /// @return A new id, unique within this incarnation.
  [[nodiscard]] RequestId generate() noexcept;

 private:
  core::ServerId home_;
  core::Incarnation incarnation_;
  core::MacKey key_;
  std::atomic<std::uint64_t> next_sequence_{1};
};

/// Which daemon issued a request id and has to count its repeats.
enum class RequestIdOrigin : std::uint8_t {
  kThisIncarnation,     ///< Issued by this incarnation of this daemon.
  kOtherDaemon,         ///< Issued by another daemon, which has to authorize the repeat.
  kEarlierIncarnation,  ///< Issued before this daemon restarted; that ledger is lost.
};

/// Answer of the home daemon to a repeat.
struct RepeatGrant {
  bool granted = false;
  AllowanceShare share{};   ///< Allowance for the calls of the repeat; to be returned to the home daemon.
  core::Verdict verdict{};  ///< Valid if not granted.
};

/// @brief Authorizes repeats of requests whose ids this daemon issued. Thread-safe if the ledger is.
class RepeatAuthorizer {
 public:
  RepeatAuthorizer(core::ServerId self, core::Incarnation incarnation, RetryLedger& ledger) noexcept;

  /// @brief Determines which daemon counts repeats with this id.
  [[nodiscard]] RequestIdOrigin origin_of(const RequestId& id) const noexcept;
  /// @brief Authorizes one repeat at the home daemon, for a local caller or on behalf of another daemon.
  /// @return A grant, which spends one retry; otherwise a not-run verdict with cause `retry-bound`.
  [[nodiscard]] RepeatGrant authorize_repeat(const RequestId& id, core::TimePoint now) noexcept;
  /// @brief Verdict on a repeat whose home daemon is gone, unreachable or unknown.
  [[nodiscard]] static core::Verdict unconfirmed() noexcept;

 private:
  core::ServerId self_;
  core::Incarnation incarnation_;
  RetryLedger* ledger_;
};

}  // namespace damaskthread::retry

#endif  // DAMASKTHREAD_RETRY_REQUEST_ID_H_
