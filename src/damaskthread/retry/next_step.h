#ifndef DAMASKTHREAD_RETRY_NEXT_STEP_H_
#define DAMASKTHREAD_RETRY_NEXT_STEP_H_

/// @file
/// @brief Decision of the ingress daemon after a placement of a request has completed or failed.

#include <cstdint>
#include <string_view>

#include "damaskthread/core/types.h"
#include "damaskthread/core/verdict.h"

namespace damaskthread::retry {

/// Result of one placement, together with the state of its request.
struct PlacementOutcome {
  bool idempotent = false;
  core::Verdict verdict;
  /// The server answered, with HTTP status `status`.
  bool answered = false;
  int status = 0;
  /// The run failed because one of its calls was refused for lack of capacity.
  bool call_refused = false;
  /// Distinct servers that received the request, including this one.
  int servers_reached = 0;
  /// Number of times the request was sent to a server.
  int sends = 0;
  int max_servers = 1;
  /// Refusals by daemons before the request reached a server.
  int refusals = 0;
  /// Time left until the caller's deadline.
  core::Duration time_left{0};
  /// Typical duration of a run; zero if unknown.
  core::Duration typical_run{0};
  /// The services that the request needs are overloaded: another run would displace the first run of another request.
  bool overloaded = false;
  /// Another eligible server is reachable.
  bool other_server_available = false;
};

enum class NextStep : std::uint8_t {
  kPassOn,      ///< Forward the server's answer to the caller.
  kPlaceAgain,  ///< Send the request to another server.
  kRefuse,      ///< Reject: the request did not run; tell the caller when to retry.
  kFail,        ///< Report to the caller that the request may have run.
};

[[nodiscard]] std::string_view to_string(NextStep step) noexcept;

/// @brief Decides the next step.
///
/// Handled cases:
/// - a server that is leaving, full or gone: the request moves to another server at no cost to the servers;
/// - a crash or a lost answer: an idempotent request runs again while the deadline allows;
/// - a server that fails requests although its health check passes: the same;
/// - servers that refuse part of their requests at random: the request is sent again, within the servers it may use
///   and the repeat budget; a daemon without budget for it, such as one that restarted and lost its counts, is passed
///   over for another one;
/// - overload: nothing runs twice, and the caller is told at once;
/// - lack of capacity deeper in the call tree: the failed run is not repeated. The refused call was already retried
///   where it was refused, and another run would repeat all of its calls for the same capacity.
[[nodiscard]] NextStep next_step(const PlacementOutcome& outcome) noexcept;

/// @brief Decides whether to hedge a request whose daemon stopped reporting, by also sending it to another server. The
/// first run is not cancelled: a machine that is only slow to report may still answer, and the first answer is used.
/// @param outcome `verdict`, `answered` and `status` are ignored.
[[nodiscard]] bool should_hedge(const PlacementOutcome& outcome) noexcept;

}  // namespace damaskthread::retry

#endif  // DAMASKTHREAD_RETRY_NEXT_STEP_H_
