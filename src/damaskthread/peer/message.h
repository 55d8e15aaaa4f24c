#ifndef DAMASKTHREAD_PEER_MESSAGE_H_
#define DAMASKTHREAD_PEER_MESSAGE_H_

/// @file
/// @brief Messages exchanged between two daemons. A daemon opens one connection to each peer selected by its link plan
/// (overlay/link_plan.h); requests flow in one direction, results and status in the other.

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
#include "damaskthread/quota/credit.h"

namespace damaskthread::peer {

/// Protocol version; a daemon closes a connection whose first message carries another version.
inline constexpr std::uint64_t kProtocolVersion = 3;

/// Identity of a daemon.
struct Member {
  /// `ip:port` at which it accepts connections of other daemons; identifies the daemon.
  std::string endpoint;
  std::string zone;
  /// Service of its local server; empty if unknown.
  std::string service;
};

/// First message in both directions.
struct Hello {
  std::uint64_t protocol = kProtocolVersion;
  core::Incarnation incarnation;
  Member self;
  std::vector<Member> members;
};

/// Asks a daemon to run a request at its local server.
struct Execute {
  /// Unique within one incarnation of the sender.
  std::uint64_t stream = 0;
  /// Attempt id set by the caller.
  std::string attempt_id;
  std::string service;
  /// Name of the route; requests of one route have similar run times.
  std::string kind;
  /// Service of the VM at which the request originated.
  std::string caller_service;
  bool idempotent = false;
  int priority = 0;
  /// Made by another request during its run.
  bool nested = false;
  /// The request was sent to a server before, or the run that made it is itself a repeat.
  bool repeat = false;
  /// Expected number of calls that the call tree of the request still has to make, this one included.
  int calls_left = 1;
  core::Duration time_left{0};
  core::Duration max_wait{0};
  /// Send time by the sender's clock, to detect requests delayed in transit. The clocks of two daemons differ.
  core::TimePoint sent_at;
  /// Its body is empty; see `body`.
  http::Request request;
  http::SharedBody body;
  /// The receiver had no room for the body and did not keep it; the request must be refused. Not transmitted.
  bool body_dropped = false;
};

/// Final result of a request.
struct Result {
  std::uint64_t stream = 0;
  core::Verdict verdict;
  /// The request was sent to the server.
  bool reached_server = false;
  /// `response` is the server's answer; otherwise only the verdict is valid.
  bool answered = false;
  /// The run failed because one of its calls was refused for lack of capacity.
  bool call_refused = false;
  core::Duration run_time{0};
  gate::Load load;
  http::Response response;
};

/// Cancels a request whose result is no longer needed.
struct Cancel {
  std::uint64_t stream = 0;
};

/// Asks for the result of a request after its connection was lost. A daemon that has not received the request refuses
/// it from then on.
struct Resume {
  std::uint64_t stream = 0;
  bool idempotent = false;
};

/// State of a daemon; sent to a daemon that connects, at every change, and periodically.
struct Status {
  std::uint64_t configuration_version = 0;
  /// Service of the local server; empty if there is none.
  std::string service;
  std::string server_id;
  bool ready = false;
  /// The daemon watches the store for a new configuration, and the store answers.
  bool watching = false;
  /// Era of the store as last seen; zero if unknown.
  std::uint64_t store_era = 0;
  gate::Load load;
  /// Pairs of a request kind and a kind of call that its runs were observed to make at the local server.
  std::vector<std::pair<std::string, std::string>> calls;

  /// @return Whether all fields except the load are equal.
  [[nodiscard]] bool equal_except_load(const Status& other) const {
    return configuration_version == other.configuration_version && service == other.service &&
           server_id == other.server_id && ready == other.ready && watching == other.watching &&
           store_era == other.store_era && calls == other.calls;
  }
};

/// Periodic heartbeat, sent when only the load has changed.
struct LoadUpdate {
  std::uint64_t configuration_version = 0;
  gate::Load load;
};

/// Asks for the configuration in force.
struct ConfigurationRequest {
  /// Version in force at the sender, 0 if none.
  std::uint64_t version = 0;
};

/// Configuration document as written by the operator; the answer to a `ConfigurationRequest`.
struct Configuration {
  std::uint64_t version = 0;
  std::string document;
};

/// Notification of a crashed server.
struct CrashNotice {
  quarantine::CrashReport report;
};

/// Asks the coordinator of the quotas for credits. Sent only if a configuration declares quotas: daemons of earlier
/// versions close a connection on which they receive it.
struct QuotaReport {
  quota::Report report;
};

/// The answer to a `QuotaReport`.
struct QuotaGrant {
  quota::Grant grant;
};

using Message = std::variant<Hello, Execute, Result, Cancel, Resume, Status, Configuration, CrashNotice, LoadUpdate,
                             ConfigurationRequest, QuotaReport, QuotaGrant>;

}  // namespace damaskthread::peer

#endif  // DAMASKTHREAD_PEER_MESSAGE_H_
