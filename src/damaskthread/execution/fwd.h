#ifndef DAMASKTHREAD_EXECUTION_FWD_H_
#define DAMASKTHREAD_EXECUTION_FWD_H_

#include <cstdint>

namespace damaskthread::execution {

struct ExecutionToken;
struct StoredAnswer;
struct TableOptions;
enum class Begin : std::uint8_t;
struct BeginResult;
class ExecutionTable;
enum class Onward : std::uint8_t;
struct OnwardResult;
class OnwardTokens;

}  // namespace damaskthread::execution

#endif  // DAMASKTHREAD_EXECUTION_FWD_H_
