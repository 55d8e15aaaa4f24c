#ifndef DAMASKTHREAD_MESH_PEER_LISTENER_H_
#define DAMASKTHREAD_MESH_PEER_LISTENER_H_

/// @file
/// @brief Takes the connections of other daemons that use the server beside this one.

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

class PeerListener {
 public:
  struct Hooks {
    /// Makes the first message to a daemon that connects.
    std::function<peer::Hello()> greeting;
    std::function<peer::Status()> status;
    /// Crashes that a daemon which has just started has to know.
    std::function<std::vector<quarantine::CrashReport>()> crashes;
    std::function<void(const peer::Hello&)> greeted;
    /// The configuration in force, for a daemon that asks for it; nothing if there is none.
    std::function<std::optional<peer::Configuration>()> configuration;
    std::function<void(const peer::CrashNotice&)> crash;
  };

  PeerListener(boost::asio::io_context& io, const http::Endpoint& endpoint, LocalExecutor& gate, Hooks hooks);
  ~PeerListener();

  /// @brief Sends a message to every daemon that is connected.
  void broadcast(const peer::Message& message);
  void close();
  /// @return The port that is listened at.
  [[nodiscard]] std::uint16_t port() const { return acceptor_.port(); }
  /// @return Bytes that daemons have still to be sent, results among them.
  [[nodiscard]] std::size_t unsent() const;

 private:
  class Guest;

  void take(Stream::Socket socket);
  /// Whether the daemon at the other end has opened another connection since.
  [[nodiscard]] bool replaced(const Guest& guest) const;

  LocalExecutor& gate_;
  Hooks hooks_;
  std::unordered_set<std::shared_ptr<Guest>> guests_;
  Acceptor acceptor_;
};

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_PEER_LISTENER_H_
