#ifndef DAMASKTHREAD_HTTP_SERVER_H_
#define DAMASKTHREAD_HTTP_SERVER_H_

/// @file
/// @brief HTTP server over cxxtools: whole requests in, whole responses out, one thread for each call in progress.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "damaskthread/core/types.h"
#include "damaskthread/http/client.h"
#include "damaskthread/http/message.h"

namespace damaskthread::http {

/// What a handler is told about the connection that a request arrived on.
struct Arrival {
  /// Cancelled when the caller closes its connection while the handler runs.
  Cancellation& caller_gone;
  std::string peer;
};

/// Answers one request. Runs on a thread of the server. An exception becomes status 500 with verdict "may have run".
using Handler = std::function<Response(Request&&, const Arrival&)>;

struct ServerOptions {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  unsigned max_threads = 1000;
  std::size_t max_body_bytes = 32U << 20U;
  core::Duration read_timeout = std::chrono::seconds(20);
  core::Duration write_timeout = std::chrono::seconds(20);
  core::Duration keep_alive_timeout = std::chrono::seconds(30);
  /// Whether to watch for callers that close their connection while their call runs.
  bool watch_callers = true;
};

/// Listens from construction to destruction. Destruction waits for the handlers that run.
class Server {
 public:
  /// @brief Starts to listen.
  /// @param options Address and bounds.
  /// @param handler Answers every request.
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
