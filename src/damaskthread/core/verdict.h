#ifndef DAMASKTHREAD_CORE_VERDICT_H_
#define DAMASKTHREAD_CORE_VERDICT_H_

/// @file
/// @brief Outcome of a call: whether it may have run, the cause of a failure, and when to retry.

#include <cstdint>
#include <optional>
#include <string_view>

#include "damaskthread/core/types.h"

namespace damaskthread::core {

/// Whether the request ran anywhere in its call tree, in ascending order of certainty that it did.
enum class Execution : std::uint8_t { kNotRun = 0, kMayHaveRun = 1, kRan = 2 };

/// Why a call received no regular answer.
enum class Cause : std::uint8_t {
  kNone,
  kOverload,        ///< Refused by admission control; other servers may have capacity.
  kFullEverywhere,  ///< All servers of the service refuse this level; a retry elsewhere cannot succeed.
  kDeadline,
  kNoServer,
  kLeaving,
  kQuarantined,
  kRetryBound,
  kTokenRequired,
  kTokenExpired,
  kServerGone,  ///< The incarnation that the token is bound to no longer exists.
  kDuplicate,   ///< The same at-most-once request is in progress.
  kConnection,
  kIncomplete,  ///< The answer was truncated.
  kCancelled,
  kBadRequest,
  kUnauthorized,
  kCrashed,  ///< The server process exited during the call.
  kQuota,    ///< The caller's tenant is at its limit.
};

/// Outcome of a call as reported to its caller.
struct Verdict {
  Execution execution = Execution::kNotRun;
  Cause cause = Cause::kNone;
  /// Minimum delay before a retry; zero if a retry is pointless or needs no delay.
  Duration retry_after{0};

  bool operator==(const Verdict&) const = default;
};

/// @brief Returns a verdict for a request that did not run anywhere.
/// @param cause Why it was refused.
/// @param retry_after Minimum delay before a retry.
/// @return The verdict.
[[nodiscard]] constexpr Verdict not_run(Cause cause, Duration retry_after = Duration{0}) noexcept {
  return {Execution::kNotRun, cause, retry_after};
}

/// @brief Returns a verdict for a request that may have run.
/// @param cause Why the call failed.
/// @return The verdict.
[[nodiscard]] constexpr Verdict may_have_run(Cause cause) noexcept {
  return {Execution::kMayHaveRun, cause, Duration{0}};
}

/// @brief Combines the verdict of a call with the execution state of the other calls of the same request.
/// @param verdict The verdict of one call.
/// @param others Execution state of the other calls.
/// @return The verdict with the larger execution state, since "not run" must hold for the whole call tree.
[[nodiscard]] constexpr Verdict raise_execution(Verdict verdict, Execution others) noexcept {
  if (verdict.execution < others) verdict.execution = others;
  return verdict;
}

/// @brief Name of an execution state in the `Damask-Verdict` header.
[[nodiscard]] std::string_view to_string(Execution execution) noexcept;
/// @brief Name of a cause in the `Damask-Cause` header.
[[nodiscard]] std::string_view to_string(Cause cause) noexcept;
/// @brief Parses the value of a `Damask-Verdict` header.
[[nodiscard]] std::optional<Execution> parse_execution(std::string_view text) noexcept;
/// @brief Parses the value of a `Damask-Cause` header.
[[nodiscard]] std::optional<Cause> parse_cause(std::string_view text) noexcept;

/// @brief HTTP status code for a verdict, for clients that ignore the `Damask-` headers.
/// @param verdict A verdict with a cause other than `none`.
/// @return A status code of 400 or above.
[[nodiscard]] int http_status(const Verdict& verdict) noexcept;

}  // namespace damaskthread::core

#endif  // DAMASKTHREAD_CORE_VERDICT_H_
