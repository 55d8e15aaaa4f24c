#ifndef DAMASKTHREAD_ENGINE_CALL_H_
#define DAMASKTHREAD_ENGINE_CALL_H_

/// @file
/// @brief Values that pass between the engine and the host that does the I/O.

#include <cstdint>
#include <memory>
#include <string>

#include "damaskthread/admission/arrival.h"
#include "damaskthread/admission/level.h"
#include "damaskthread/context/call_context.h"
#include "damaskthread/core/types.h"
#include "damaskthread/core/verdict.h"
#include "damaskthread/engine/fwd.h"
#include "damaskthread/execution/table.h"

namespace damaskthread::engine {

/// How far an exchange with a server came before it failed.
enum class Failure : std::uint8_t {
  kNone,
  kNoAddress,  ///< The server is not known any more; nothing was sent.
  kConnect,    ///< No byte was sent.
  kExchange,   ///< The connection broke after the first byte was written.
  kIncomplete,
  kTimeout,
  kCancelled,
  kCrashed,  ///< The server's process ended while the call ran.
};

/// A call as it arrives at the call port.
struct CallRequest {
  std::string service;
  std::string method;
  std::string target;
  /// Fingerprint of service, method, target and body.
  std::uint64_t fingerprint = 0;
  context::CallContext context;
};

/// What the host does next for an outbound call.
enum class StepKind : std::uint8_t {
  kSend,           ///< Send the call to `server` with `context`; then `attempt_finished`.
  kObtainToken,    ///< Ask `server` for a token; then `token_obtained`.
  kConfirmRepeat,  ///< Ask the daemon `server` to count a repeat of `request_id`; then `repeat_confirmed`.
  kWait,           ///< Wait for `delay`; then `resume`.
  kPassAnswer,     ///< Pass the answer of the last attempt on to the caller.
  kRefuse,         ///< Tell the caller the verdict.
};

struct Step {
  StepKind kind = StepKind::kRefuse;
  core::ServerId server;
  context::CallContext context;
  core::Duration timeout{0};
  core::Duration delay{0};
  core::Verdict verdict;
  /// Token for the caller, with a verdict of cause `token-required`.
  std::string token;
  std::string request_id;
  /// The exchange may not use an idle connection.
  bool fresh_connection = false;
};

/// Outcome of one attempt at another daemon.
struct AttemptResult {
  Failure failure = Failure::kNone;
  /// Verdict that the answer carries; valid without failure.
  core::Verdict verdict{core::Execution::kRan, core::Cause::kNone, core::Duration{0}};
  admission::Level level;
  int unspent = 0;
  core::Duration latency{0};
};

/// An attempt as it arrives at the peer port.
struct PeerRequest {
  std::string method;
  std::string target;
  std::uint64_t fingerprint = 0;
  context::CallContext context;
  /// Unique for each attempt that a daemon sends; a second delivery of one attempt has the same key.
  core::RequestKey attempt;
};

enum class InboundKind : std::uint8_t {
  kRun,     ///< Give the call to the local server with `context`; then `finish`.
  kQueued,  ///< Wait until the ticket starts or is dropped.
  kRefuse,  ///< Answer with the verdict, or with the stored answer of an earlier run.
};

struct InboundStep {
  InboundKind kind = InboundKind::kRefuse;
  core::Verdict verdict;
  std::shared_ptr<const execution::StoredAnswer> stored;
  admission::Ticket ticket;
  context::CallContext context;
  /// The call runs under a token. Not part of the context: a server copies that to its own calls, which are
  /// at-most-once only if their own declaration says so.
  bool at_most_once = false;
  core::Duration timeout{0};
};

/// Outcome of a call at the local server.
struct LocalResult {
  Failure failure = Failure::kNone;
  int status = 200;
  /// The server states itself that it refused the call and did not run it.
  bool states_not_run = false;
  core::Duration latency{0};
  /// Answer to keep for repeats of an at-most-once call.
  std::optional<execution::StoredAnswer> answer;
};

/// What the answer to the calling daemon carries.
struct InboundOutcome {
  core::Verdict verdict;
  admission::Level level;
  int unspent = 0;
  /// The host sends the answer only after this time.
  core::Duration hold{0};
};

}  // namespace damaskthread::engine

#endif  // DAMASKTHREAD_ENGINE_CALL_H_
