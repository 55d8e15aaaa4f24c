#ifndef DAMASKTHREAD_DAEMON_PEER_HEADERS_H_
#define DAMASKTHREAD_DAEMON_PEER_HEADERS_H_

/// @file
/// @brief Headers of HTTP calls between daemons: who sends, what is wanted, and a code over the whole request.

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

/// What a daemon asks of another one at its peer port.
enum class PeerOperation : std::uint8_t { kCall, kToken, kRepeat };

/// The checked headers of a peer request.
struct PeerHeaders {
  PeerOperation operation = PeerOperation::kCall;
  core::RequestKey attempt;
};

/// @brief Adds `Damask-Peer` with operation, sender, a number unique to this attempt, and the code.
/// @param request The complete request apart from this header.
/// @param operation What is asked.
/// @param sender This daemon.
/// @param attempt Number of the attempt.
/// @param authenticator Holds the shared key.
void sign(http::Request& request, PeerOperation operation, const wire::Sender& sender, core::RequestKey attempt,
          const wire::Authenticator& authenticator);

/// @brief Checks `Damask-Peer` and removes it.
/// @return What is asked, or nothing if the header is missing, malformed or made with another key.
[[nodiscard]] std::optional<PeerHeaders> verify(http::Request& request, const wire::Authenticator& authenticator);

/// @brief Adds verdict, level and unspent retries to the answer for another daemon.
void append_outcome(const engine::InboundOutcome& outcome, http::Headers& headers);

/// @brief Reads and removes what append_outcome wrote.
/// @return False if the answer carries no verdict; it then does not come from a daemon.
[[nodiscard]] bool take_outcome(http::Headers& headers, engine::InboundOutcome& outcome);

/// @brief Adds the verdict that a caller outside reads, with `Retry-After` in whole seconds and in milliseconds.
void append_verdict(const core::Verdict& verdict, http::Headers& headers);

}  // namespace damaskthread::daemon

#endif  // DAMASKTHREAD_DAEMON_PEER_HEADERS_H_
