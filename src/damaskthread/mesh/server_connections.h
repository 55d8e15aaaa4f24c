#ifndef DAMASKTHREAD_MESH_SERVER_CONNECTIONS_H_
#define DAMASKTHREAD_MESH_SERVER_CONNECTIONS_H_

/// @file
/// @brief Kept connections to the server beside the daemon.

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/http/message.h"
#include "damaskthread/mesh/http_connection.h"

namespace damaskthread::mesh {

class ServerConnections {
 public:
  /// @param match_header Header by which answers are told apart.
  ServerConnections(boost::asio::io_context& io, std::string match_header)
      : io_(io), match_header_(std::move(match_header)) {}

  /// @brief Sets the server's address. Connections to an earlier one are closed.
  void set_endpoint(const http::Endpoint& endpoint);
  /// @brief A connection for one request: the one used last, which is the least likely to have been closed since.
  /// @param fresh Whether only a connection that was used a moment ago or a new one will do.
  [[nodiscard]] std::shared_ptr<HttpConnection> acquire(core::TimePoint now, bool fresh);
  /// @brief Gives a connection back after its request.
  void release(std::shared_ptr<HttpConnection> connection, core::TimePoint now);
  /// @brief Closes all idle connections.
  void close_idle();
  /// @brief Drops idle connections that can no longer be used.
  void sweep(core::TimePoint now);

 private:
  struct Idle {
    std::shared_ptr<HttpConnection> connection;
    core::TimePoint since;
  };

  boost::asio::io_context& io_;
  std::string match_header_;
  http::Endpoint endpoint_;
  std::vector<Idle> idle_;
};

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_SERVER_CONNECTIONS_H_
