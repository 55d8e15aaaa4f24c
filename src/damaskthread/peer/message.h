#ifndef DAMASKTHREAD_PEER_MESSAGE_H_
#define DAMASKTHREAD_PEER_MESSAGE_H_

/// @file
/// @brief The messages between two daemons. A daemon opens one connection to each daemon of its plan
/// (overlay/link_plan.h); requests go one way on it, results and status the other.

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/core/verdict.h"
#include "damaskthread/gate/server_gate.h"
#include "damaskthread/http/message.h"
#include "damaskthread/quarantine/crash_counter.h"

namespace damaskthread::peer {

/// Version of these messages; a daemon drops a connection whose first message carries another one.
inline constexpr std::uint64_t kProtocolVersion = 3;

/// A daemon as others know it.
struct Member {
  /// `ip:port` at which it takes connections of other daemons; names it.
  std::string endpoint;
  std::string zone;
  /// Service of the server beside it; empty if unknown.
  std::string service;
};

/// First message in both directions.
struct Hello {
  std::uint64_t protocol = kProtocolVersion;
  core::Incarnation incarnation;
  Member self;
  std::vector<Member> members;
};

/// Asks the daemon to have its server run a request.
struct Execute {
  /// Unique within one incarnation of the sender.
  std::uint64_t stream = 0;
  /// Identifier that the caller gave this attempt.
  std::string attempt_id;
  std::string service;
  /// Name of the route; requests of one route take similar time.
  std::string kind;
  /// Service of the VM at which the request began.
  std::string caller_service;
  bool idempotent = false;
  int priority = 0;
  /// Sent by a running request.
  bool inner = false;
  /// The request was handed to a server before, or the run that made it was itself a repeat.
  bool repeat = false;
  /// Another daemon refused it, or its server turned it away, a moment ago.
  bool moved = false;
  core::Duration time_left{0};
  core::Duration patience{0};
  /// Time by the sender's clock, to notice a request that was held up on its way. Clocks of two daemons differ.
  core::TimePoint sent;
  http::Request request;
};

/// Ends a request.
struct Result {
  std::uint64_t stream = 0;
  core::Verdict verdict;
  /// The request was handed to the server.
  bool reached_server = false;
  /// The response is the server's own; otherwise only the verdict counts.
  bool answered = false;
  /// A call that the run made was turned away for lack of capacity, which is why the run failed.
  bool call_refused = false;
  core::Duration run_time{0};
  gate::Load load;
  http::Response response;
};

/// Nobody waits for the request any more.
struct Cancel {
  std::uint64_t stream = 0;
};

/// Asks what became of a request whose connection broke. A daemon that never saw it will refuse it from then on.
struct Resume {
  std::uint64_t stream = 0;
  bool idempotent = false;
};

/// Tells what a daemon believes; sent to a daemon that connects, at every change, and now and then.
struct Status {
  std::uint64_t configuration_version = 0;
  /// Service of the server beside the daemon; empty if there is none.
  std::string service;
  std::string server_id;
  bool ready = false;
  /// It watches the store for a new configuration, and the store answers.
  bool watching = false;
  gate::Load load;
  /// Kinds of requests and kinds of calls that their runs were seen to make at its server.
  std::vector<std::pair<std::string, std::string>> calls;

  /// @return Whether everything but the load is the same.
  [[nodiscard]] bool same_but_load(const Status& other) const {
    return configuration_version == other.configuration_version && service == other.service &&
           server_id == other.server_id && ready == other.ready && watching == other.watching && calls == other.calls;
  }
};

/// Sign of life at short intervals, when nothing but the load has changed.
struct Pulse {
  std::uint64_t configuration_version = 0;
  gate::Load load;
};

/// Asks for the configuration in force.
struct ConfigurationRequest {
  /// Version that the sender has, 0 if none.
  std::uint64_t version = 0;
};

/// A configuration as the operator wrote it, for a daemon that asked for it.
struct Configuration {
  std::uint64_t version = 0;
  std::string document;
};

/// News of a crashed server.
struct Crash {
  quarantine::CrashReport report;
};

using Message =
    std::variant<Hello, Execute, Result, Cancel, Resume, Status, Configuration, Crash, Pulse, ConfigurationRequest>;

}  // namespace damaskthread::peer

#endif  // DAMASKTHREAD_PEER_MESSAGE_H_
