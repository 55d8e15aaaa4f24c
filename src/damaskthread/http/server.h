#ifndef DAMASKTHREAD_HTTP_SERVER_H_
#define DAMASKTHREAD_HTTP_SERVER_H_

/// @file
/// @brief HTTP server based on cxxtools. Buffers complete requests and responses; one thread per call in progress.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "damaskthread/core/types.h"
#include "damaskthread/http/client.h"
#include "damaskthread/http/message.h"

namespace damaskthread::http {

/// Connection on which a request was received.
struct ConnectionInfo {
  /// Cancelled when the caller closes its connection while the handler runs.
  Cancellation& caller_disconnected;
  std::string peer;
};

/// Handles one request on a server thread. An exception becomes status 500 with verdict "may have run".
using Handler = std::function<Response(Request&&, const ConnectionInfo&)>;

struct ServerOptions {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  unsigned max_threads = 1000;
  std::size_t max_body_bytes = 32U << 20U;
  core::Duration read_timeout = std::chrono::seconds(20);
  core::Duration write_timeout = std::chrono::seconds(20);
  core::Duration keep_alive_timeout = std::chrono::seconds(30);
  /// Whether to detect callers that close their connection while their call runs.
  bool detect_disconnects = true;
};

/// Listens during its lifetime. The destructor waits for running handlers.
class Server {
 public:
  /// @brief Starts listening.
  /// @param options Address and limits.
  /// @param handler Handles all requests.
  /// @throws std::runtime_error if the address cannot be bound.
  Server(const ServerOptions& options, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace damaskthread::http

#endif  // DAMASKTHREAD_HTTP_SERVER_H_
