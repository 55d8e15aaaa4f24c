#ifndef DAMASKTHREAD_MESH_HTTP_LISTENER_H_
#define DAMASKTHREAD_MESH_HTTP_LISTENER_H_

/// @file
/// @brief HTTP server for callers that sends exactly one response per request.

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/http/message.h"
#include "damaskthread/mesh/acceptor.h"
#include "damaskthread/mesh/caller_memory.h"
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
  /// Memory of the body in `request`; empty if the listener has no limit.
  CallerMemory::Reservation memory;
  /// The same for its header.
  CallerMemory::Reservation header_memory;

 private:
  friend class Session;
  std::function<void(const http::Response&)> send_response_;
  std::function<void()> disconnect_callback_;
  bool done_ = false;
};

/// Called with each complete request; must answer it eventually.
using RequestHandler = std::function<void(const std::shared_ptr<CallerRequest>&)>;
/// Returns whether a pipelined request may run before the requests in front of it are answered.
using PipeliningRule = std::function<bool(const http::Request&)>;

/// @brief A connection of a caller. Pipelined requests that the listener's rule allows run concurrently; all others
/// wait until they are first. Responses are sent in request order.
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
  /// @brief Rejects the request that is being read, which has not run, and closes the connection. Requests in progress
  /// are answered first.
  void evict();
  /// @return Whether any request is not answered, or its response not sent completely.
  [[nodiscard]] bool has_requests() const noexcept {
    return !exchanges_.empty() || waiting_request_.has_value() || stream_->unsent_bytes() > 0;
  }
  /// @brief Releases the memory of requests that are being read, when the connection ends.
  void release_memory() noexcept;
  /// @return Bytes of requests that are being read or wait for the requests in front of them.
  [[nodiscard]] std::size_t reading_bytes() const noexcept { return reading_bytes_; }
  [[nodiscard]] core::TimePoint last_activity() const noexcept { return last_activity_; }
  [[nodiscard]] bool idle() const noexcept { return exchanges_.empty() && !waiting_request_ && !reader_.started(); }

 private:
  // A dispatched request and, once it is answered, its response.
  struct Exchange {
    std::shared_ptr<CallerRequest> request;
    std::optional<http::Response> response;
    /// The caller asked to close the connection after this request.
    bool last = false;
  };
  // A complete request that must wait for the requests in front of it.
  struct WaitingRequest {
    http::Request message;
    core::TimePoint received;
    bool last = false;
  };

  /// Dispatches parsed requests until more input is needed or a request has to wait.
  void process(ReadState state);
  /// Takes the parsed request from the reader and dispatches it if it may run now.
  void accept_request();
  [[nodiscard]] bool may_dispatch(const http::Request& message) const;
  void dispatch(WaitingRequest&& waiting);
  /// Continues with requests that waited for a response.
  void resume();
  /// Sends the response, or keeps it until the requests in front are answered.
  void record_response(const CallerRequest* request, const http::Response& response);
  /// Sends the response to the first request in progress.
  /// @return Whether the connection stays open.
  [[nodiscard]] bool send_first(const http::Response& response);
  void reject(int status);
  /// Closes the connection after the queued responses. Requests that were not dispatched are dropped.
  void close_after_response();
  /// Takes the bytes of a request out of the limit for requests that are read, and reserves them for its run.
  /// @return Whether there is room.
  [[nodiscard]] bool reserve_memory(CallerRequest& request);
  /// Reports the bytes being read, and lets the listener reject the largest requests if they exceed the limit.
  void update_memory();

  HttpListener& listener_;
  std::shared_ptr<Stream> stream_;
  RequestReader reader_;
  /// Dispatched requests in the order of their arrival.
  std::deque<Exchange> exchanges_;
  std::optional<WaitingRequest> waiting_request_;
  core::TimePoint last_activity_;
  bool continue_sent_ = false;
  /// Status of the response to invalid input, sent after the responses to the requests before it.
  std::optional<int> reject_status_;
  /// No request is accepted any more: the last one was read, or the connection is closing.
  bool input_ended_ = false;
  /// The listener has removed this session; nothing may be dispatched or answered any more.
  bool closed_ = false;
  bool resume_pending_ = false;
  /// Bytes reported to the listener's memory limit.
  std::size_t reading_bytes_ = 0;
};

/// @brief Listens on one address and manages the sessions of its callers.
class HttpListener {
 public:
  /// @param max_sessions Maximum number of connections. A further one takes the place of the quietest one without a
  /// request in progress, or is closed immediately if there is none.
  HttpListener(boost::asio::io_context& io, const http::Endpoint& endpoint, std::size_t max_sessions,
               RequestHandler handler);
  ~HttpListener();

  /// @brief Sets the size limits of new connections and the timeouts of all connections.
  void set_caller_limits(const route::CallerLimits& limits) { caller_limits_ = limits; }
  /// @brief Lets pipelined requests run concurrently if a rule allows it; by default all run one after the other.
  void set_pipelining_rule(PipeliningRule rule) { pipelining_rule_ = std::move(rule); }
  /// @brief Applies a memory limit to the requests of all connections; it must outlive the listener.
  void limit_memory(CallerMemory* memory) noexcept { memory_ = memory; }
  /// @brief From now on a connection is closed by the response to the last of its requests that are in progress.
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
  /// Rejects requests that are being read, the largest first, until the memory limit holds.
  void enforce_memory_limit();
  /// Makes room for a new connection by closing the one that has been quiet for longest.
  void evict_quietest();

  boost::asio::io_context& io_;
  std::size_t max_sessions_;
  RequestHandler handler_;
  PipeliningRule pipelining_rule_;
  route::CallerLimits caller_limits_;
  CallerMemory* memory_ = nullptr;
  bool draining_ = false;
  std::unordered_set<std::shared_ptr<Session>> sessions_;
  /// Connections of removed sessions that the callers have not closed yet.
  std::vector<std::shared_ptr<Stream>> closing_streams_;
  Acceptor acceptor_;
};

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_HTTP_LISTENER_H_
