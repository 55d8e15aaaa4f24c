#ifndef DAMASKTHREAD_ENGINE_FWD_H_
#define DAMASKTHREAD_ENGINE_FWD_H_

#include <cstdint>

namespace damaskthread::engine {

enum class Failure : std::uint8_t;
enum class OutboundAction : std::uint8_t;
struct CallRequest;
struct OutboundStep;
struct AttemptResult;
struct PeerRequest;
struct InboundStep;
struct LocalResult;
struct InboundOutcome;
struct RunningCall;
struct NodeOptions;
class RunningTable;
class Node;
class OutboundCall;
class InboundCall;

}  // namespace damaskthread::engine

#endif  // DAMASKTHREAD_ENGINE_FWD_H_
