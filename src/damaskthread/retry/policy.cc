#include "damaskthread/retry/policy.h"

#include <algorithm>
#include <chrono>
#include <random>

namespace damaskthread::retry {
namespace {

constexpr std::int64_t kUnitsPerRetry = 1'000'000;
constexpr core::Duration kInitialBackoff = std::chrono::milliseconds(10);
constexpr core::Duration kMaxBackoff = std::chrono::seconds(1);

}  // namespace

RetryBudget::RetryBudget(RetryBudgetOptions options) noexcept
    : units_per_call_(static_cast<std::int64_t>(options.ratio * kUnitsPerRetry)),
      capacity_(std::int64_t{options.burst} * kUnitsPerRetry),
      balance_(capacity_) {}

void RetryBudget::on_call() noexcept {
  // A full budget is not written, so that threads do not contend while no retries are made.
  std::int64_t balance = balance_.load(std::memory_order_relaxed);
  while (balance < capacity_ && !balance_.compare_exchange_weak(balance, std::min(capacity_, balance + units_per_call_),
                                                                std::memory_order_relaxed)) {
  }
}

bool RetryBudget::allow() noexcept {
  std::int64_t balance = balance_.load(std::memory_order_relaxed);
  while (balance >= kUnitsPerRetry) {
    if (balance_.compare_exchange_weak(balance, balance - kUnitsPerRetry, std::memory_order_relaxed)) return true;
  }
  return false;
}

std::optional<core::Duration> backoff(int attempt, core::Duration time_left, core::Random& random) {
  if (time_left <= core::Duration::zero()) return std::nullopt;
  const core::Duration exponential = kInitialBackoff * (std::int64_t{1} << std::clamp(attempt, 0, 10));
  const core::Duration upper_bound = std::min({exponential, kMaxBackoff, time_left / 2});
  return core::Duration(std::uniform_int_distribution<core::Duration::rep>(0, upper_bound.count())(random));
}

bool is_retryable(core::Cause cause) noexcept {
  switch (cause) {
    case core::Cause::kNone:
    case core::Cause::kOverload:
    case core::Cause::kNoServer:
    case core::Cause::kLeaving:
    case core::Cause::kConnection:
    case core::Cause::kIncomplete:
    case core::Cause::kCrashed:
      return true;
    case core::Cause::kFullEverywhere:
    case core::Cause::kDeadline:
    case core::Cause::kQuarantined:
    case core::Cause::kRetryBound:
    case core::Cause::kTokenRequired:
    case core::Cause::kTokenExpired:
    case core::Cause::kServerGone:
    case core::Cause::kDuplicate:
    case core::Cause::kCancelled:
    case core::Cause::kBadRequest:
    case core::Cause::kUnauthorized:
    case core::Cause::kQuota:
      return false;
  }
  return false;
}

RetryDecision decide_retry(const core::Verdict& verdict, const RetryContext& context, core::TimePoint now,
                           core::Random& random) {
  if (verdict.execution == core::Execution::kRan) return {.reason = RetryReason::kRan};
  if (!is_retryable(verdict.cause)) return {.reason = RetryReason::kNonRetryableCause};
  if (verdict.execution == core::Execution::kMayHaveRun && !context.idempotent) {
    return {.reason = RetryReason::kMayHaveRun};
  }
  const core::Duration time_left = context.deadline - now - context.min_attempt_time;
  // The retry_after of a refusal applies only to the server that sent it. An attempt at another server waits for the
  // jittered backoff instead.
  const std::optional<core::Duration> wait = backoff(context.attempt, time_left, random);
  if (!wait) return {.reason = RetryReason::kDeadline};
  // The first retry after a server that is leaving or unreachable goes to another server without delay, since waiting
  // would gain nothing.
  const bool immediate = context.attempt == 0 && verdict.execution == core::Execution::kNotRun &&
                         (verdict.cause == core::Cause::kLeaving || verdict.cause == core::Cause::kConnection);
  return {.retry = true, .reason = RetryReason::kAllowed, .delay = immediate ? core::Duration{0} : *wait};
}

}  // namespace damaskthread::retry
