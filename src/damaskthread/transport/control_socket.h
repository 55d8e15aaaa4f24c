#ifndef DAMASKTHREAD_TRANSPORT_CONTROL_SOCKET_H_
#define DAMASKTHREAD_TRANSPORT_CONTROL_SOCKET_H_

/// @file
/// @brief Sends and receives control messages over nng sockets.

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "damaskthread/transport/fwd.h"

namespace damaskthread::transport {

/// Message and connection counters of a ControlSocket.
struct ControlSocketCounters {
  std::uint64_t sent = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received = 0;
  std::uint64_t received_bytes = 0;
  std::uint64_t dropped = 0;  ///< Messages not queued: the peer's queue was full or its address was invalid.
  std::uint64_t evicted = 0;  ///< Peer sockets closed to stay within Options::max_peers.
};

/// Endpoint for control messages: one listening pull socket, and one push socket per peer.
class ControlSocket {
 public:
  /// Callback for one received message. Called on the receiving thread only; `bytes` is valid only during the call.
  using Receiver = std::function<void(std::string_view bytes)>;

  struct Options {
    /// Address to listen on, as `ip:port`. Port 0 selects a free port.
    std::string listen_address;
    /// Maximum number of open peer sockets. Fits the ring neighbours and the random peers of a few seconds.
    std::size_t max_peers = 256;
    /// Maximum number of messages queued for a peer, for example while it is being connected to.
    int queue_messages = 64;
    /// Maximum size of a received message. Larger messages are rejected by the receiver.
    std::size_t max_message_bytes = std::size_t{64} * 1024;
  };

  /// @brief Starts listening and starts the receiving thread.
  /// @throw std::runtime_error If a socket cannot be opened or cannot listen on the address.
  ControlSocket(const Options& options, Receiver receiver);
  /// Joins the receiving thread and closes all connections. The receiver is not called afterwards.
  ~ControlSocket();
  ControlSocket(const ControlSocket&) = delete;
  ControlSocket& operator=(const ControlSocket&) = delete;

  /// @brief Queues a message without blocking. Thread-safe. The message is dropped and counted if the peer's queue is
  /// full or the address is invalid.
  /// @param address `ip:port` of the peer's control socket.
  /// @return Whether the message was queued.
  bool send(const std::string& address, std::string_view bytes);

  /// Listening address, including the selected port.
  [[nodiscard]] std::string address() const;
  /// Number of open peer sockets.
  [[nodiscard]] std::size_t open_peers() const;
  [[nodiscard]] ControlSocketCounters counters() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace damaskthread::transport

#endif  // DAMASKTHREAD_TRANSPORT_CONTROL_SOCKET_H_
