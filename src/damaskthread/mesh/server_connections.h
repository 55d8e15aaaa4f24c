#ifndef DAMASKTHREAD_MESH_SERVER_CONNECTIONS_H_
#define DAMASKTHREAD_MESH_SERVER_CONNECTIONS_H_

/// @file
/// @brief Pool of persistent connections to the local server.

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/http/message.h"
#include "damaskthread/mesh/http_connection.h"
#include "damaskthread/mesh/response_memory_limit.h"

namespace damaskthread::mesh {

/// @brief Reuses idle connections to the local server and opens new ones on demand.
class ServerConnections {
 public:
  /// @param match_header Header that matches responses to requests.
  /// @param max_response_bytes Limit on the total size of all responses being read.
  ServerConnections(boost::asio::io_context& io, std::string match_header, std::size_t max_response_bytes)
      : io_(io),
        match_header_(std::move(match_header)),
        memory_limit_(std::make_shared<ResponseMemoryLimit>(max_response_bytes)) {}

  /// @brief Sets the server's address. Idle connections to the previous address are closed.
  void set_endpoint(const http::Endpoint& endpoint);
  /// @brief Returns a connection for one request: the most recently used one, since the server is least likely to have
  /// closed it. A connection that has carried the same match value is left for other requests.
  /// @param recently_used_only Whether to open a new connection if the most recently used one has been idle for long.
  /// @param match_value Value of the match header in the request.
  [[nodiscard]] std::shared_ptr<HttpConnection> acquire(core::TimePoint now, bool recently_used_only,
                                                        std::string_view match_value);
  /// @brief Returns a connection to the pool after its request.
  void release(std::shared_ptr<HttpConnection> connection, core::TimePoint now);
  /// @brief Closes all idle connections.
  void close_idle();
  /// @brief Closes idle connections that are no longer usable.
  void sweep(core::TimePoint now);

 private:
  struct IdleConnection {
    std::shared_ptr<HttpConnection> connection;
    core::TimePoint idle_since;
  };

  boost::asio::io_context& io_;
  std::string match_header_;
  std::shared_ptr<ResponseMemoryLimit> memory_limit_;
  http::Endpoint endpoint_;
  std::vector<IdleConnection> idle_;
};

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_SERVER_CONNECTIONS_H_
