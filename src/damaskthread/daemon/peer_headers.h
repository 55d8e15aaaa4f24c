#ifndef DAMASKTHREAD_DAEMON_PEER_HEADERS_H_
#define DAMASKTHREAD_DAEMON_PEER_HEADERS_H_

/// @file
/// @brief Headers of HTTP calls between daemons: sender, operation, and an authentication tag over the whole request.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "damaskthread/core/types.h"
#include "damaskthread/core/verdict.h"
#include "damaskthread/engine/call.h"
#include "damaskthread/http/message.h"
#include "damaskthread/wire/authenticator.h"

namespace damaskthread::daemon {

/// Operation that a daemon requests at the peer port of another.
enum class PeerOperation : std::uint8_t { kCall, kToken, kRepeat };

/// Verified headers of a peer request.
struct PeerHeaders {
  PeerOperation operation = PeerOperation::kCall;
  core::RequestKey attempt;
};

/// @brief Adds `Damask-Peer` with operation, sender, a number unique to this attempt, and the tag.
/// @param request The complete request apart from this header.
/// @param operation The requested operation.
/// @param sender This daemon.
/// @param attempt Unique number of the attempt.
/// @param authenticator Holds the shared key.
void sign(http::Request& request, PeerOperation operation, const wire::Sender& sender, core::RequestKey attempt,
          const wire::Authenticator& authenticator);

/// @brief Verifies `Damask-Peer` and removes it.
/// @return The operation and attempt, or `std::nullopt` if the header is missing, malformed or signed with another key.
[[nodiscard]] std::optional<PeerHeaders> verify(http::Request& request, const wire::Authenticator& authenticator);

/// @brief Adds verdict, level and unspent retries to a response to another daemon.
void append_outcome(const engine::InboundOutcome& outcome, http::Headers& headers);

/// @brief Reads and removes what append_outcome wrote.
/// @return False if the response has no verdict and thus does not come from a daemon.
[[nodiscard]] bool extract_outcome(http::Headers& headers, engine::InboundOutcome& outcome);

/// @brief Adds the verdict for external callers, with `Retry-After` in whole seconds and in milliseconds.
void append_verdict(const core::Verdict& verdict, http::Headers& headers);

}  // namespace damaskthread::daemon

#endif  // DAMASKTHREAD_DAEMON_PEER_HEADERS_H_
