#include "damaskthread/retry/policy.h"

#include <algorithm>
#include <chrono>
#include <random>

namespace damaskthread::retry {
namespace {

constexpr std::int64_t kWhole = 1'000'000;
constexpr core::Duration kFirstWait = std::chrono::milliseconds(10);
constexpr core::Duration kLongestWait = std::chrono::seconds(1);

}  // namespace

RetryRatio::RetryRatio(RatioOptions options) noexcept
    : earned_per_call_(static_cast<std::int64_t>(options.ratio * kWhole)),
      full_(std::int64_t{options.burst} * kWhole),
      budget_(full_) {}

void RetryRatio::on_call() noexcept {
  // At full budget there is nothing to write, so that threads do not contend while no retries are made.
  std::int64_t budget = budget_.load(std::memory_order_relaxed);
  while (budget < full_ && !budget_.compare_exchange_weak(budget, std::min(full_, budget + earned_per_call_),
                                                          std::memory_order_relaxed)) {
  }
}

bool RetryRatio::allow() noexcept {
  std::int64_t budget = budget_.load(std::memory_order_relaxed);
  while (budget >= kWhole) {
    if (budget_.compare_exchange_weak(budget, budget - kWhole, std::memory_order_relaxed)) return true;
  }
  return false;
}

std::optional<core::Duration> backoff(int attempt, core::Duration time_left, core::Random& random) {
  if (time_left <= core::Duration::zero()) return std::nullopt;
  const core::Duration grown = kFirstWait * (std::int64_t{1} << std::clamp(attempt, 0, 10));
  const core::Duration longest = std::min({grown, kLongestWait, time_left / 2});
  return core::Duration(std::uniform_int_distribution<core::Duration::rep>(0, longest.count())(random));
}

bool retryable(core::Cause cause) noexcept {
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
      return false;
  }
  return false;
}

RetryDecision decide(const core::Verdict& verdict, const RetryContext& context, core::TimePoint now,
                     core::Random& random) {
  if (verdict.execution == core::Execution::kRan) return {.reason = RetryReason::kRan};
  if (!retryable(verdict.cause)) return {.reason = RetryReason::kFinalCause};
  if (verdict.execution == core::Execution::kMayHaveRun && !context.idempotent) {
    return {.reason = RetryReason::kMayHaveRun};
  }
  const core::Duration time_left = context.deadline - now - context.least_attempt;
  // A refusal by one server says nothing about the others, so that its retry_after is a lower bound only for the same
  // server; the wait before an attempt elsewhere is the jittered one.
  const std::optional<core::Duration> wait = backoff(context.attempt, time_left, random);
  if (!wait) return {.reason = RetryReason::kDeadline};
  // Another server can be tried at once when this one is leaving or out of reach; waiting gains nothing.
  const bool immediate = context.attempt == 0 && verdict.execution == core::Execution::kNotRun &&
                         (verdict.cause == core::Cause::kLeaving || verdict.cause == core::Cause::kConnection);
  return {.retry = true, .reason = RetryReason::kAllowed, .delay = immediate ? core::Duration{0} : *wait};
}

}  // namespace damaskthread::retry
