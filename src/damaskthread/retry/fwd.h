#ifndef DAMASKTHREAD_RETRY_FWD_H_
#define DAMASKTHREAD_RETRY_FWD_H_

#include <cstdint>

namespace damaskthread::retry {

struct AllowanceShare;
struct RetryLedgerOptions;
class RetryLedger;
struct RetryBudgetOptions;
class RetryBudget;
enum class RetryReason : std::uint8_t;
struct RetryDecision;
struct RetryContext;
struct RequestId;
class RequestIdGenerator;
enum class RequestIdOrigin : std::uint8_t;
struct RepeatGrant;
class RepeatAuthorizer;
struct RepeatPriority;
class RepeatBudget;
struct RepeatBudgetOptions;
class CallProgress;

}  // namespace damaskthread::retry

#endif  // DAMASKTHREAD_RETRY_FWD_H_
