#ifndef DAMASKTHREAD_RETRY_FWD_H_
#define DAMASKTHREAD_RETRY_FWD_H_

#include <cstdint>

namespace damaskthread::retry {

struct Share;
struct LedgerOptions;
class RetryLedger;
struct RatioOptions;
class RetryRatio;
enum class RetryReason : std::uint8_t;
struct RetryDecision;
struct RetryContext;
struct MintedId;
class IdMinter;
enum class RepeatPlace : std::uint8_t;
struct RepeatGrant;
class RepeatGuard;

}  // namespace damaskthread::retry

#endif  // DAMASKTHREAD_RETRY_FWD_H_
