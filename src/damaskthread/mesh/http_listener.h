#ifndef DAMASKTHREAD_MESH_HTTP_LISTENER_H_
#define DAMASKTHREAD_MESH_HTTP_LISTENER_H_

/// @file
/// @brief Takes HTTP requests of callers and answers each exactly once.

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

/// @brief One request that was read whole. Held by whoever answers it.
class CallerRequest {
 public:
  CallerRequest(http::Request&& message, core::TimePoint received_at)
      : request(std::move(message)), received(received_at) {}

  /// @brief Sends the answer. Calls after the first one, and calls when the caller is gone, do nothing.
  void answer(const http::Response& response);
  /// @brief Sets what happens when the caller closes its connection before it has its answer.
  void on_gone(std::function<void()> callback) { gone_callback_ = std::move(callback); }
  [[nodiscard]] bool done() const noexcept { return done_; }

  http::Request request;
  core::TimePoint received;

 private:
  friend class Session;
  std::function<void(const http::Response&)> send_;
  std::function<void()> gone_callback_;
  bool done_ = false;
};

using RequestHandler = std::function<void(const std::shared_ptr<CallerRequest>&)>;

/// @brief One connection of a caller.
class Session : public StreamHandler, public std::enable_shared_from_this<Session> {
 public:
  Session(HttpListener& listener, Stream::Socket socket);

  void start();
  void on_bytes(std::string_view bytes) override;
  void on_end(StreamEnd end) override;
  /// @brief Closes the connection if it has been idle, or a header incomplete, for too long.
  void sweep(core::TimePoint now);
  /// @brief Closes the connection now; a request in progress counts as abandoned.
  void drop();
  /// @brief Closes the connection unless a request has arrived. What the caller has still to read is sent.
  void close_idle();
  [[nodiscard]] core::TimePoint last_activity() const noexcept { return last_activity_; }
  [[nodiscard]] bool idle() const noexcept { return current_ == nullptr && !reader_.begun(); }

 private:
  void handle(ReadState state);
  void dispatch();
  void send(const http::Response& response);
  void reject(int status);

  HttpListener& listener_;
  std::shared_ptr<Stream> stream_;
  RequestReader reader_;
  std::shared_ptr<CallerRequest> current_;
  core::TimePoint last_activity_;
  bool continued_ = false;
  std::string early_bytes_;
};

/// @brief Listens at one address.
class HttpListener {
 public:
  /// @param max_sessions Connections held at most; those beyond are closed as they come.
  HttpListener(boost::asio::io_context& io, const http::Endpoint& endpoint, std::size_t max_sessions,
               RequestHandler handler);
  ~HttpListener();

  /// @brief Bounds for new connections, and times for all.
  void set_bounds(const route::CallerLimits& bounds) { bounds_ = bounds; }
  /// @brief From now on every answer asks its caller to use another connection.
  void drain() noexcept { draining_ = true; }
  /// @brief Takes no new connections and closes idle ones. Requests under way are still answered, also those that have
  /// arrived and were not read yet. To be called several times a second from then on.
  void stop_accepting(core::TimePoint now);
  /// @brief Closes what has been idle for too long; to be called several times a second.
  void sweep(core::TimePoint now);
  /// @brief Stops accepting and closes all connections.
  void close();
  /// @return Connections on which a request is being read or answered, or an answer was not sent whole yet.
  [[nodiscard]] std::size_t busy_sessions() const;
  /// @return The port that is listened at.
  [[nodiscard]] std::uint16_t port() const { return acceptor_.port(); }

 private:
  friend class Session;
  void take(Stream::Socket socket);
  /// Forgets a session whose connection closes once its last answer was sent.
  void finish(const std::shared_ptr<Session>& session, const std::shared_ptr<Stream>& stream);

  boost::asio::io_context& io_;
  std::size_t max_sessions_;
  RequestHandler handler_;
  route::CallerLimits bounds_;
  bool draining_ = false;
  std::unordered_set<std::shared_ptr<Session>> sessions_;
  /// Connections without a session that are still sending.
  std::vector<std::shared_ptr<Stream>> finishing_;
  Acceptor acceptor_;
};

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_HTTP_LISTENER_H_
