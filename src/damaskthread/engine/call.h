#ifndef DAMASKTHREAD_ENGINE_CALL_H_
#define DAMASKTHREAD_ENGINE_CALL_H_

/// @file
/// @brief Value types exchanged between the engine and the host, which performs the I/O.

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

/// Reason why an exchange with a server failed, and whether anything was sent.
enum class Failure : std::uint8_t {
  kNone,
  kNoAddress,  ///< The server is no longer known; nothing was sent.
  kConnect,    ///< No byte was sent.
  kExchange,   ///< The connection failed after the first byte was written.
  kIncomplete,
  kTimeout,
  kCancelled,
  kCrashed,  ///< The server process exited during the call.
};

/// A call received on the call port.
struct CallRequest {
  std::string service;
  std::string method;
  std::string target;
  /// Fingerprint of service, method, target and body.
  std::uint64_t fingerprint = 0;
  context::CallContext context;
};

/// Next action of the host for an outbound call, and the method that takes its result.
enum class OutboundAction : std::uint8_t {
  kSend,           ///< Send the call to `server` with `context`; then call `attempt_finished`.
  kObtainToken,    ///< Request a token from `server`; then call `token_obtained`.
  kConfirmRepeat,  ///< Ask the daemon `server` to count a repeat of `request_id`; then call
                   ///< `repeat_confirmed`.
  kWait,           ///< Wait for `delay`; then call `resume`.
  kForwardAnswer,  ///< Forward the answer of the last attempt to the caller.
  kRefuse,         ///< Answer the caller with `verdict`.
};

struct OutboundStep {
  OutboundAction kind = OutboundAction::kRefuse;
  core::ServerId server;
  context::CallContext context;
  core::Duration timeout{0};
  core::Duration delay{0};
  core::Verdict verdict;
  /// Token for the caller; set if the cause of the verdict is `token-required`.
  std::string token;
  std::string request_id;
  /// The exchange must not reuse an idle connection.
  bool fresh_connection = false;
};

/// Result of one attempt sent to another daemon.
struct AttemptResult {
  Failure failure = Failure::kNone;
  /// Verdict reported in the answer; valid only if `failure` is `kNone`.
  core::Verdict verdict{core::Execution::kRan, core::Cause::kNone, core::Duration{0}};
  admission::Level level;
  int unspent = 0;
  core::Duration latency{0};
};

/// An attempt received on the peer port.
struct PeerRequest {
  std::string method;
  std::string target;
  std::uint64_t fingerprint = 0;
  context::CallContext context;
  /// Unique key of each attempt sent by a daemon. A duplicate delivery of an attempt has the same key.
  core::RequestKey attempt;
};

enum class InboundAction : std::uint8_t {
  kRun,     ///< Pass the call to the local server with `context`; then call `finish`.
  kQueued,  ///< Wait until `ticket` starts or is dropped.
  kRefuse,  ///< Answer with the verdict, or with the stored answer of an earlier run.
};

struct InboundStep {
  InboundAction kind = InboundAction::kRefuse;
  core::Verdict verdict;
  std::shared_ptr<const execution::StoredAnswer> stored;
  admission::Ticket ticket;
  context::CallContext context;
  /// The call runs under an execution token. Not part of the context, because servers copy the context to their own
  /// calls, which are at-most-once only if declared so.
  bool at_most_once = false;
  core::Duration timeout{0};
};

/// Result of a call at the local server.
struct LocalResult {
  Failure failure = Failure::kNone;
  int status = 200;
  /// The server reported that it refused the call without running it.
  bool reported_not_run = false;
  core::Duration latency{0};
  /// Answer to store for repeats of an at-most-once call.
  std::optional<execution::StoredAnswer> answer;
};

/// Metadata of the answer to the calling daemon.
struct InboundOutcome {
  core::Verdict verdict;
  admission::Level level;
  int unspent = 0;
  /// The host delays the answer by this time.
  core::Duration answer_delay{0};
};

}  // namespace damaskthread::engine

#endif  // DAMASKTHREAD_ENGINE_CALL_H_
