#ifndef DAMASKTHREAD_RETRY_POLICY_H_
#define DAMASKTHREAD_RETRY_POLICY_H_

/// @file
/// @brief Whether a call may be tried again, how often per service, and after what wait.

#include <atomic>
#include <cstdint>
#include <optional>

#include "damaskthread/core/types.h"
#include "damaskthread/core/verdict.h"

namespace damaskthread::retry {

struct RatioOptions {
  double ratio = 0.1;  ///< Retries per first attempt.
  int burst = 10;      ///< Retries that may follow each other without a first attempt between them.
};

/// @brief Bounds the retries towards one service to a share of its calls. Thread-safe.
///
/// Retries never exceed the burst plus the ratio times the calls.
class RetryRatio {
 public:
  explicit RetryRatio(RatioOptions options = {}) noexcept;
  /// @brief Counts a first attempt.
  void on_call() noexcept;
  /// @brief Takes one retry from the budget.
  /// @return True if the budget allows it.
  [[nodiscard]] bool allow() noexcept;

 private:
  std::int64_t earned_per_call_;
  std::int64_t full_;
  std::atomic<std::int64_t> budget_;  // In millionths of a retry.
};

/// @brief Wait before a retry: exponential with full jitter, inside the deadline.
/// @param attempt Number of retries already made; 0 for the first retry.
/// @param time_left Time left to the deadline.
/// @param random Random source.
/// @return The wait, at most half of the time left; nothing if no time is left.
[[nodiscard]] std::optional<core::Duration> backoff(int attempt, core::Duration time_left, core::Random& random);

/// Why a retry is allowed or not.
enum class RetryReason : std::uint8_t {
  kAllowed,
  kRan,         ///< The request ran.
  kMayHaveRun,  ///< The request may have run and is not idempotent.
  kFinalCause,  ///< The same attempt elsewhere or later ends the same way.
  kDeadline,    ///< No time is left for another attempt.
};

struct RetryDecision {
  bool retry = false;
  RetryReason reason = RetryReason::kFinalCause;
  core::Duration delay{0};  ///< Wait before the retry.
};

struct RetryContext {
  bool idempotent = false;
  int attempt = 0;  ///< Retries already made for this call.
  core::TimePoint deadline;
  core::Duration least_attempt{0};  ///< Shortest time in which an attempt can succeed.
};

/// @brief Whether a cause leaves hope for another attempt.
/// @param cause The cause of the failed attempt.
/// @return False if another attempt is pointless or harmful.
[[nodiscard]] bool retryable(core::Cause cause) noexcept;

/// @brief Decides if a failed attempt may be repeated. The allowance and the ratio are to be asked afterwards, so that
/// neither is charged for a retry that is not made.
/// @param verdict Verdict on the attempt.
/// @param context What is known about the call.
/// @param now Current time.
/// @param random Random source of the jitter.
/// @return The decision.
[[nodiscard]] RetryDecision decide(const core::Verdict& verdict, const RetryContext& context, core::TimePoint now,
                                   core::Random& random);

}  // namespace damaskthread::retry

#endif  // DAMASKTHREAD_RETRY_POLICY_H_
