#ifndef DAMASKTHREAD_DAEMON_DATA_PLANE_H_
#define DAMASKTHREAD_DAEMON_DATA_PLANE_H_

/// @file
/// @brief Data plane of one daemon: executes the engine's steps over HTTP for the call port, the peer port and the
/// local server.

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/daemon/directory.h"
#include "damaskthread/daemon/peer_headers.h"
#include "damaskthread/daemon/queue_event_dispatcher.h"
#include "damaskthread/engine/inbound_call.h"
#include "damaskthread/engine/node.h"
#include "damaskthread/engine/outbound_call.h"
#include "damaskthread/http/client.h"
#include "damaskthread/http/message.h"
#include "damaskthread/http/server.h"
#include "damaskthread/wire/authenticator.h"

namespace damaskthread::daemon {

/// Summary of one completed call at the call port, for metrics and objectives.
struct CallReport {
  std::string service;
  core::Importance importance = core::Importance::kNormal;
  core::Verdict verdict;
  int status = 200;
  core::Duration latency{0};
  int attempts = 0;
  bool at_most_once = false;
  /// Whether the call came from an external caller rather than from the local server.
  bool root = true;
};

using CallObserver = std::function<void(const CallReport&)>;
/// Called when the local server has crashed, before the calls that ran during the crash are answered:
/// accuses them and sends the crash marks to other daemons.
using CrashObserver = std::function<void()>;

/// Handles calls at the call port and the peer port. Runs on the threads of the HTTP servers.
class DataPlane {
 public:
  DataPlane(engine::Node& node, const Directory& directory, const wire::Authenticator& authenticator, wire::Sender self,
            http::Endpoint local_server, CallObserver observer, CrashObserver crash_observer);

  /// @brief Handles a call from an external caller or from the local server.
  [[nodiscard]] http::Response handle_call(http::Request&& request, const http::ConnectionInfo& arrival);
  /// @brief Handles a request from another daemon.
  [[nodiscard]] http::Response handle_peer(http::Request&& request, const http::ConnectionInfo& arrival);

  /// @brief Runs the periodic work of the node and posts its queue events to the waiting threads.
  void tick(core::TimePoint now);
  /// @brief Number of calls in progress at the call port and the peer port.
  [[nodiscard]] int in_progress() const noexcept { return in_progress_.load(); }
  /// @brief Refuses new calls from external callers from now on, with the reason that the daemon is leaving.
  void refuse_callers() noexcept { refusing_callers_.store(true); }
  /// @brief Whether the local server process was down at the last exchange.
  [[nodiscard]] bool server_down() const noexcept { return server_down_.load(); }
  [[nodiscard]] std::uint64_t crashes_seen() const noexcept { return crashes_seen_.load(); }

 private:
  struct Exchange {
    engine::AttemptResult result;
    std::optional<http::Response> response;
  };

  http::Response process_call(http::Request&& request, const http::ConnectionInfo& arrival, CallReport& report);
  Exchange send_attempt(const engine::OutboundStep& step, const http::Request& request,
                        http::Cancellation& cancellation);
  std::optional<std::string> send_peer_request(const engine::OutboundStep& step, PeerOperation operation,
                                               const std::string& body, core::Verdict& verdict,
                                               http::Cancellation& cancellation);
  http::Response run_peer_call(http::Request&& request, const PeerHeaders& peer, http::Cancellation& caller_gone);
  engine::InboundStep wait_in_queue(engine::InboundCall& call, const engine::InboundStep& step,
                                    http::Cancellation& caller_gone);
  engine::LocalResult run_local(const engine::InboundStep& step, http::Request&& request,
                                http::Cancellation& caller_gone, std::optional<http::Response>& response);
  void check_crash(core::TimePoint now);
  void post(std::vector<admission::QueueEvent>& events);

  engine::Node& node_;
  const Directory& directory_;
  const wire::Authenticator& authenticator_;
  const wire::Sender self_;
  const http::Endpoint local_server_;
  CallObserver observer_;
  CrashObserver crash_observer_;
  http::Client client_;
  QueueEventDispatcher queue_events_;
  std::atomic<int> in_progress_{0};
  std::atomic<bool> refusing_callers_{false};
  std::atomic<bool> server_down_{false};
  std::atomic<std::uint64_t> crashes_seen_{0};
  std::mutex crash_mutex_;
};

}  // namespace damaskthread::daemon

#endif  // DAMASKTHREAD_DAEMON_DATA_PLANE_H_
