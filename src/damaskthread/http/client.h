#ifndef DAMASKTHREAD_HTTP_CLIENT_H_
#define DAMASKTHREAD_HTTP_CLIENT_H_

/// @file
/// @brief HTTP client that never resends a request and never reports a truncated response as complete.
///
/// The cxxtools client resends a request when a reused connection is lost, and reports a truncated chunked response
/// as status 200. Both break promises (P5, P3), so this client uses Boost.Beast.

#include <cstdint>
#include <memory>
#include <variant>

#include "damaskthread/core/types.h"
#include "damaskthread/http/message.h"

namespace damaskthread::http {

/// Why an exchange failed.
enum class FailureKind : std::uint8_t {
  kConnect,         ///< No byte of the request was sent.
  kConnectionLost,  ///< The connection was lost after the first byte was written.
  kIncomplete,      ///< The response is truncated, malformed or too large, or its end cannot be verified.
  kTimeout,
  kCancelled,
};

struct Failure {
  FailureKind kind = FailureKind::kConnect;
};

using ExchangeResult = std::variant<Response, Failure>;

/// Cancels a running exchange from another thread.
class Cancellation {
 public:
  Cancellation();
  ~Cancellation();
  Cancellation(const Cancellation&) = delete;
  Cancellation& operator=(const Cancellation&) = delete;

  /// @brief Cancels the running exchange, if any, and all later ones that use this object.
  void cancel();
  /// @brief Whether cancel() was called.
  [[nodiscard]] bool cancelled() const noexcept;

 private:
  friend class Client;
  struct State;
  std::unique_ptr<State> state_;
};

/// Whether an exchange may reuse an idle connection.
enum class ConnectionReuse : std::uint8_t {
  kAllowed,
  kNever,  ///< For at-most-once calls: if the peer closed an idle connection, the outcome would be unknown.
};

struct ClientOptions {
  std::size_t max_idle_per_endpoint = 64;
  /// Shorter than the keep-alive timeout of the servers, so that reused connections are rarely closed.
  core::Duration idle_timeout = std::chrono::seconds(5);
  std::size_t max_body_bytes = 32U << 20U;
};

/// Thread-safe client with a connection pool per endpoint.
class Client {
 public:
  explicit Client(ClientOptions options = {});
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// @brief Sends a request once and waits for the complete response.
  /// @param endpoint The peer.
  /// @param request The request; framing headers are written by the client.
  /// @param timeout Total time for connecting, sending and receiving.
  /// @param reuse Whether an idle connection may be used.
  /// @param cancellation Cancels the exchange; may be null.
  /// @return The complete response, or the kind of failure.
  [[nodiscard]] ExchangeResult send(const Endpoint& endpoint, const Request& request, core::Duration timeout,
                                    ConnectionReuse reuse = ConnectionReuse::kAllowed,
                                    Cancellation* cancellation = nullptr);

  /// @brief Number of connections opened.
  [[nodiscard]] std::uint64_t connections_opened() const noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace damaskthread::http

#endif  // DAMASKTHREAD_HTTP_CLIENT_H_
