#ifndef DAMASKTHREAD_EXECUTION_FWD_H_
#define DAMASKTHREAD_EXECUTION_FWD_H_

#include <cstdint>

namespace damaskthread::execution {

struct ExecutionToken;
struct StoredAnswer;
struct ExecutionTableOptions;
enum class BeginStatus : std::uint8_t;
struct BeginResult;
class ExecutionTable;
enum class OutboundTokenState : std::uint8_t;
struct OutboundTokenLookup;
class OutboundTokenTable;

}  // namespace damaskthread::execution

#endif  // DAMASKTHREAD_EXECUTION_FWD_H_
