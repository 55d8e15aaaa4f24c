#ifndef DAMASKTHREAD_HTTP_CLIENT_H_
#define DAMASKTHREAD_HTTP_CLIENT_H_

/// @file
/// @brief HTTP client that never sends a request twice and never shows a cut answer as whole.
///
/// The client of cxxtools repeats a request by itself when a reused connection breaks, and reports a chunked answer
/// that was cut as status 200. Both break promises (P5, P3), so messages are written and parsed by Boost.Beast here.

#include <cstdint>
#include <memory>
#include <variant>

#include "damaskthread/core/types.h"
#include "damaskthread/http/message.h"

namespace damaskthread::http {

/// How far an exchange came before it failed.
enum class Stage : std::uint8_t {
  kConnect,     ///< No byte of the request was sent.
  kExchange,    ///< The connection broke after the first byte was written.
  kIncomplete,  ///< The answer ended early, is malformed or too large, or its end cannot be checked.
  kTimeout,
  kCancelled,
};

struct Failure {
  Stage stage = Stage::kConnect;
};

using ExchangeResult = std::variant<Response, Failure>;

/// Lets another thread end a running exchange. Shared by the exchange and whoever may cancel it.
class Cancellation {
 public:
  Cancellation();
  ~Cancellation();
  Cancellation(const Cancellation&) = delete;
  Cancellation& operator=(const Cancellation&) = delete;

  /// @brief Ends the running exchange, if any, and every later one that is given this object.
  void cancel();
  /// @brief Whether cancel() was called.
  [[nodiscard]] bool cancelled() const noexcept;

 private:
  friend class Client;
  struct State;
  std::unique_ptr<State> state_;
};

/// Whether an exchange may use a connection that already carried another one.
enum class Reuse : std::uint8_t {
  kAllowed,
  kNever,  ///< For at-most-once calls: a connection closed while idle would leave "may have run" behind.
};

struct ClientOptions {
  std::size_t max_idle_per_endpoint = 64;
  /// Shorter than the keep-alive time of the servers, so that a reused connection is rarely found closed.
  core::Duration idle_timeout = std::chrono::seconds(5);
  std::size_t max_body_bytes = 32U << 20U;
};

/// Thread-safe client with a pool of connections for each endpoint.
class Client {
 public:
  explicit Client(ClientOptions options = {});
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// @brief Sends one request once and waits for the whole answer.
  /// @param endpoint The peer.
  /// @param request The request; framing headers are written by the client.
  /// @param timeout Time for connecting, sending and receiving together.
  /// @param reuse Whether an idle connection may be used.
  /// @param cancellation Ends the exchange early when cancelled; may be null.
  /// @return The whole response, or how far the exchange came.
  [[nodiscard]] ExchangeResult send(const Endpoint& endpoint, const Request& request, core::Duration timeout,
                                    Reuse reuse = Reuse::kAllowed, Cancellation* cancellation = nullptr);

  /// @brief Connections opened so far.
  [[nodiscard]] std::uint64_t connections_opened() const noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace damaskthread::http

#endif  // DAMASKTHREAD_HTTP_CLIENT_H_
