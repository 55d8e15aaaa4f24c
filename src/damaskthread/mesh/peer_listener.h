#ifndef DAMASKTHREAD_MESH_PEER_LISTENER_H_
#define DAMASKTHREAD_MESH_PEER_LISTENER_H_

/// @file
/// @brief Accepts connections of other daemons, which execute requests at the local server.

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_set>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/mesh/acceptor.h"
#include "damaskthread/mesh/local_executor.h"
#include "damaskthread/mesh/stream.h"
#include "damaskthread/peer/frame.h"
#include "damaskthread/peer/message.h"
#include "damaskthread/quarantine/crash_counter.h"

namespace damaskthread::mesh {

/// @brief Serves the connections of all peers and broadcasts this daemon's messages to them.
class PeerListener {
 public:
  struct Hooks {
    /// Creates the first message to a peer that connects.
    std::function<peer::Hello()> make_hello;
    std::function<peer::Status()> make_status;
    /// Crash reports for a peer that may have just started.
    std::function<std::vector<quarantine::CrashReport>()> recent_crashes;
    std::function<void(const peer::Hello&)> on_hello;
    /// Returns the configuration in force, if any; sent to peers that request it.
    std::function<std::optional<peer::Configuration>()> current_configuration;
    std::function<void(const peer::CrashNotice&)> on_crash_notice;
    /// Processes a report of the quotas of a peer, as their coordinator.
    std::function<quota::Grant(const std::string& endpoint, const quota::Report&)> on_quota_report;
    /// Reserves memory for the body of a peer's request; all are accepted if unset.
    peer::ReserveBody reserve_body{};
  };

  PeerListener(boost::asio::io_context& io, const http::Endpoint& endpoint, LocalExecutor& gate, Hooks hooks);
  ~PeerListener();

  /// @brief Sends a message to all connected peers.
  void broadcast(const peer::Message& message);
  void close();
  /// @return The port that the listener is bound to.
  [[nodiscard]] std::uint16_t port() const { return acceptor_.port(); }
  /// @return Bytes queued for all peers, including results.
  [[nodiscard]] std::size_t unsent_bytes() const;

 private:
  class PeerSession;

  void add_session(Stream::Socket socket);
  /// Returns whether the peer of a closed session has another connection.
  [[nodiscard]] bool reconnected(const PeerSession& session) const;

  LocalExecutor& gate_;
  Hooks hooks_;
  std::unordered_set<std::shared_ptr<PeerSession>> sessions_;
  Acceptor acceptor_;
};

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_PEER_LISTENER_H_
