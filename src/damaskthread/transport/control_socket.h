#ifndef DAMASKTHREAD_TRANSPORT_CONTROL_SOCKET_H_
#define DAMASKTHREAD_TRANSPORT_CONTROL_SOCKET_H_

/// @file
/// @brief Sends and receives control messages over nng.

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "damaskthread/transport/fwd.h"

namespace damaskthread::transport {

struct ControlSocketCounters {
  std::uint64_t sent = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received = 0;
  std::uint64_t received_bytes = 0;
  std::uint64_t dropped = 0;  ///< The peer's queue was full, or its address is no address.
  std::uint64_t evicted = 0;  ///< Connections closed to stay within the bound.
};

/// A pull socket that listens, and one push socket per peer.
class ControlSocket {
 public:
  /// Takes the bytes of one message; called on the receiving thread only. The bytes are valid during the call.
  using Receiver = std::function<void(std::string_view bytes)>;

  struct Options {
    /// `ip:port`; port 0 takes a free one.
    std::string listen_address;
    /// Connections to peers kept open. The ring's neighbours and a few seconds of random ones fit.
    std::size_t max_peers = 256;
    /// Messages that wait for a peer that is being connected to.
    int queue_messages = 64;
    /// Larger messages are refused by the receiving side.
    std::size_t max_message_bytes = std::size_t{64} * 1024;
  };

  /// @brief Listens and starts the receiving thread.
  /// @throw std::runtime_error If the address cannot be listened on.
  ControlSocket(const Options& options, Receiver receiver);
  /// Closes all connections and joins the thread; the receiver is not called afterwards.
  ~ControlSocket();
  ControlSocket(const ControlSocket&) = delete;
  ControlSocket& operator=(const ControlSocket&) = delete;

  /// @brief Sends without waiting; thread-safe. A message that does not fit the peer's queue is dropped and counted.
  /// @param address `ip:port` of the peer's control socket.
  /// @return Whether the message was queued.
  bool send(const std::string& address, std::string_view bytes);

  /// The address that is listened on, with the port that was taken.
  [[nodiscard]] std::string address() const;
  [[nodiscard]] std::size_t open_peers() const;
  [[nodiscard]] ControlSocketCounters counters() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace damaskthread::transport

#endif  // DAMASKTHREAD_TRANSPORT_CONTROL_SOCKET_H_
