#ifndef DAMASKTHREAD_RETRY_POLICY_H_
#define DAMASKTHREAD_RETRY_POLICY_H_

/// @file
/// @brief Retry policy: whether a call may be retried, the retry budget per service, and the backoff.

#include <atomic>
#include <cstdint>
#include <optional>

#include "damaskthread/core/types.h"
#include "damaskthread/core/verdict.h"

namespace damaskthread::retry {

struct RetryBudgetOptions {
  double ratio = 0.1;  ///< Retries per first attempt.
  int burst = 10;      ///< Retries allowed in a row without a first attempt between them.
};

/// @brief Token bucket that bounds the retries to one service to a fraction of its calls. Thread-safe.
///
/// Retries never exceed `burst + ratio * calls`.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options = {}) noexcept;
  /// @brief Counts a first attempt.
  void on_call() noexcept;
  /// @brief Takes one retry from the budget.
  /// @return True if the budget allows it.
  [[nodiscard]] bool allow() noexcept;

 private:
  std::int64_t units_per_call_;
  std::int64_t capacity_;
  std::atomic<std::int64_t> balance_;  // In units of 1/kUnitsPerRetry of a retry.
};

/// @brief Exponential backoff with full jitter, bounded by the deadline.
/// @param attempt Number of retries already made; 0 for the first retry.
/// @param time_left Time left to the deadline.
/// @param random Random source.
/// @return The delay, at most half of the time left; nothing if no time is left.
[[nodiscard]] std::optional<core::Duration> backoff(int attempt, core::Duration time_left, core::Random& random);

/// Why a retry is allowed or not.
enum class RetryReason : std::uint8_t {
  kAllowed,
  kRan,                ///< The request ran.
  kMayHaveRun,         ///< The request may have run and is not idempotent.
  kNonRetryableCause,  ///< Another attempt would fail for the same reason.
  kDeadline,           ///< Not enough time is left for another attempt.
};

struct RetryDecision {
  bool retry = false;
  RetryReason reason = RetryReason::kNonRetryableCause;
  core::Duration delay{0};  ///< Delay before the retry.
};

struct RetryContext {
  bool idempotent = false;
  int attempt = 0;  ///< Retries already made for this call.
  core::TimePoint deadline;
  core::Duration min_attempt_time{0};  ///< Minimum duration of a successful attempt.
};

/// @brief Whether another attempt may succeed after a failure with this cause.
/// @param cause The cause of the failed attempt.
/// @return False if another attempt would be useless or harmful.
[[nodiscard]] bool is_retryable(core::Cause cause) noexcept;

/// @brief Decides whether a failed attempt may be retried. Check the allowance and the retry budget afterwards, so that
/// neither is charged for a retry that is not made.
/// @param verdict Verdict on the attempt.
/// @param context What is known about the call.
/// @param now Current time.
/// @param random Random source of the jitter.
/// @return The decision.
[[nodiscard]] RetryDecision decide_retry(const core::Verdict& verdict, const RetryContext& context, core::TimePoint now,
                                         core::Random& random);

}  // namespace damaskthread::retry

#endif  // DAMASKTHREAD_RETRY_POLICY_H_
