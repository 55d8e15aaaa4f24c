#ifndef DAMASKTHREAD_MESH_HTTP_LISTENER_H_
#define DAMASKTHREAD_MESH_HTTP_LISTENER_H_

/// @file
/// @brief HTTP server for callers that sends exactly one response per request.

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/http/message.h"
#include "damaskthread/mesh/acceptor.h"
#include "damaskthread/mesh/http_codec.h"
#include "damaskthread/mesh/stream.h"
#include "damaskthread/route/route_table.h"

namespace damaskthread::mesh {

class HttpListener;

/// @brief A complete request from a caller. Owned by the component that will answer it.
class CallerRequest {
 public:
  CallerRequest(http::Request&& message, core::TimePoint received_at)
      : request(std::move(message)), received(received_at) {}

  /// @brief Sends the response. Has no effect after the first call or once the caller has disconnected.
  void answer(const http::Response& response);
  /// @brief Sets the callback for a caller that disconnects before it has received the response.
  void on_disconnect(std::function<void()> callback) { disconnect_callback_ = std::move(callback); }
  [[nodiscard]] bool done() const noexcept { return done_; }

  http::Request request;
  core::TimePoint received;

 private:
  friend class Session;
  std::function<void(const http::Response&)> send_response_;
  std::function<void()> disconnect_callback_;
  bool done_ = false;
};

/// Called with each complete request; must answer it eventually.
using RequestHandler = std::function<void(const std::shared_ptr<CallerRequest>&)>;

/// @brief A connection of a caller.
class Session : public StreamHandler, public std::enable_shared_from_this<Session> {
 public:
  Session(HttpListener& listener, Stream::Socket socket);

  void start();
  void on_bytes(std::string_view bytes) override;
  void on_end(StreamCloseReason reason) override;
  /// @brief Closes the connection if it has been idle, or a request incomplete, for too long.
  void sweep(core::TimePoint now);
  /// @brief Closes the connection immediately; a request in progress counts as abandoned by its caller.
  void drop();
  /// @brief Closes the connection unless a request has arrived. Queued data is still sent.
  void close_if_idle();
  [[nodiscard]] core::TimePoint last_activity() const noexcept { return last_activity_; }
  [[nodiscard]] bool idle() const noexcept { return current_request_ == nullptr && !reader_.started(); }

 private:
  void handle(ReadState state);
  void dispatch();
  void send(const http::Response& response);
  void reject(int status);

  HttpListener& listener_;
  std::shared_ptr<Stream> stream_;
  RequestReader reader_;
  std::shared_ptr<CallerRequest> current_request_;
  core::TimePoint last_activity_;
  bool continue_sent_ = false;
  std::string pipelined_bytes_;
};

/// @brief Listens on one address and manages the sessions of its callers.
class HttpListener {
 public:
  /// @param max_sessions Maximum number of connections; further ones are closed immediately.
  HttpListener(boost::asio::io_context& io, const http::Endpoint& endpoint, std::size_t max_sessions,
               RequestHandler handler);
  ~HttpListener();

  /// @brief Sets the size limits of new connections and the timeouts of all connections.
  void set_caller_limits(const route::CallerLimits& limits) { caller_limits_ = limits; }
  /// @brief From now on every response closes its connection.
  void drain() noexcept { draining_ = true; }
  /// @brief Stops accepting connections and closes idle ones. Requests in progress are still answered, including those
  /// that have arrived but were not read yet. Must be called several times per second from then on.
  void stop_accepting(core::TimePoint now);
  /// @brief Closes connections that exceeded a timeout. Must be called several times per second.
  void sweep(core::TimePoint now);
  /// @brief Stops accepting and closes all connections.
  void close();
  /// @return Connections with a request in progress or a response that is not completely sent.
  [[nodiscard]] std::size_t busy_sessions() const;
  /// @return The port that the listener is bound to.
  [[nodiscard]] std::uint16_t port() const { return acceptor_.port(); }

 private:
  friend class Session;
  void add_session(Stream::Socket socket);
  /// Removes a session; its connection closes once the queued response is sent.
  void close_after_response(const std::shared_ptr<Session>& session, const std::shared_ptr<Stream>& stream);

  boost::asio::io_context& io_;
  std::size_t max_sessions_;
  RequestHandler handler_;
  route::CallerLimits caller_limits_;
  bool draining_ = false;
  std::unordered_set<std::shared_ptr<Session>> sessions_;
  /// Connections of removed sessions that are still sending.
  std::vector<std::shared_ptr<Stream>> closing_streams_;
  Acceptor acceptor_;
};

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_HTTP_LISTENER_H_
