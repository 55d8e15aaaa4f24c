#ifndef DAMASKTHREAD_MESH_ACCEPTOR_H_
#define DAMASKTHREAD_MESH_ACCEPTOR_H_

/// @file
/// @brief Listens on a TCP address and passes accepted connections to a handler.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "damaskthread/http/message.h"
#include "damaskthread/mesh/stream.h"

namespace damaskthread::mesh {

/// @brief Accepts connections until it is closed. When the process is out of file descriptors, connections stay in the
/// kernel's queue and accepting is retried after a delay.
class Acceptor {
 public:
  using Handler = std::function<void(Stream::Socket)>;

  /// @param endpoint Address to listen on; port 0 selects a free port.
  /// @throws boost::system::system_error if listening on the address fails.
  Acceptor(boost::asio::io_context& io, const http::Endpoint& endpoint, Handler handler);

  /// @brief Accepts all connections in the kernel's queue. Closing the listening socket would reset them together with
  /// the requests already sent on them.
  void accept_pending();
  void close();
  /// @return The port that the acceptor is bound to; valid until `close`.
  [[nodiscard]] std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

 private:
  void accept();
  void retry_accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_timer_;
  /// Null after `close`.
  std::shared_ptr<Handler> handler_;
};

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_ACCEPTOR_H_
