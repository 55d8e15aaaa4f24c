#ifndef DAMASKTHREAD_CORE_VERDICT_H_
#define DAMASKTHREAD_CORE_VERDICT_H_

/// @file
/// @brief The verdict on a call: whether it may have run, why it ended so, and when to try again.

#include <cstdint>
#include <optional>
#include <string_view>

#include "damaskthread/core/types.h"

namespace damaskthread::core {

/// Whether the request ran anywhere in the tree of its calls. Ordered from the least to the most that may have
/// happened.
enum class Execution : std::uint8_t { kNotRun = 0, kMayHaveRun = 1, kRan = 2 };

/// Why a call got no ordinary answer.
enum class Cause : std::uint8_t {
  kNone,
  kOverload,        ///< Refused by admission; other servers may have room.
  kFullEverywhere,  ///< The whole service refuses this level; a retry elsewhere cannot succeed.
  kDeadline,
  kNoServer,
  kLeaving,
  kQuarantined,
  kRetryBound,
  kTokenRequired,
  kTokenExpired,
  kServerGone,  ///< The incarnation that a token is bound to is gone.
  kDuplicate,   ///< The same at-most-once request is in progress.
  kConnection,
  kIncomplete,  ///< The answer ended before its end.
  kCancelled,
  kBadRequest,
  kUnauthorized,
  kCrashed,  ///< The server's process ended while the call ran.
};

/// The outcome of a call as its caller sees it.
struct Verdict {
  Execution execution = Execution::kNotRun;
  Cause cause = Cause::kNone;
  /// How long to wait before the next try; zero if a retry makes no sense or needs no wait.
  Duration retry_after{0};

  bool operator==(const Verdict&) const = default;
};

/// @brief A verdict that says the request did not run anywhere.
/// @param cause Why it was refused.
/// @param retry_after How long to wait before the next try.
/// @return The verdict.
[[nodiscard]] constexpr Verdict not_run(Cause cause, Duration retry_after = Duration{0}) noexcept {
  return {Execution::kNotRun, cause, retry_after};
}

/// @brief A verdict that says the request may have run.
/// @param cause What went wrong.
/// @return The verdict.
[[nodiscard]] constexpr Verdict may_have_run(Cause cause) noexcept {
  return {Execution::kMayHaveRun, cause, Duration{0}};
}

/// @brief Combines the verdict of a call with what else is known to have started in the same request.
/// @param verdict The verdict of one call.
/// @param others Whether anything else of the request may have run.
/// @return The verdict with the larger of both executions: "not run" holds only for the whole tree.
[[nodiscard]] constexpr Verdict raise(Verdict verdict, Execution others) noexcept {
  if (verdict.execution < others) verdict.execution = others;
  return verdict;
}

/// @brief Name of an execution state as the `Damask-Verdict` header spells it.
[[nodiscard]] std::string_view to_string(Execution execution) noexcept;
/// @brief Name of a cause as the `Damask-Cause` header spells it.
[[nodiscard]] std::string_view to_string(Cause cause) noexcept;
/// @brief Parses the value of a `Damask-Verdict` header.
[[nodiscard]] std::optional<Execution> parse_execution(std::string_view text) noexcept;
/// @brief Parses the value of a `Damask-Cause` header.
[[nodiscard]] std::optional<Cause> parse_cause(std::string_view text) noexcept;

/// @brief HTTP status that an ordinary client understands for a verdict.
/// @param verdict A verdict without an ordinary answer.
/// @return A status code of 400 or above.
[[nodiscard]] int http_status(const Verdict& verdict) noexcept;

}  // namespace damaskthread::core

#endif  // DAMASKTHREAD_CORE_VERDICT_H_
