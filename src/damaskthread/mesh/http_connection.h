#ifndef DAMASKTHREAD_MESH_HTTP_CONNECTION_H_
#define DAMASKTHREAD_MESH_HTTP_CONNECTION_H_

/// @file
/// @brief A persistent connection to an HTTP server that carries one request at a time.

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/http/message.h"
#include "damaskthread/mesh/http_codec.h"
#include "damaskthread/mesh/response_memory_limit.h"
#include "damaskthread/mesh/stream.h"

namespace damaskthread::mesh {

/// Outcome of a request to a server.
enum class ExchangeOutcome : std::uint8_t {
  kCompleted,
  kNotConnected,    ///< The connection could not be opened; the server did not see the request.
  kConnectionLost,  ///< The connection ended before a complete response; the server may have seen the request.
  kMalformed,       ///< The server sent data that is not a response to this request.
};

/// Outcome of a request and the response, if any.
struct ExchangeResult {
  ExchangeOutcome outcome = ExchangeOutcome::kConnectionLost;
  http::Response response;
  /// Whether the connection was used before; its loss may then mean that the server closed it while it was idle.
  bool reused = false;
};

/// @brief HTTP client connection, opened by the first request. Data that arrives while no request is pending belongs to
/// no request and closes the connection.
class HttpConnection : public StreamHandler, public std::enable_shared_from_this<HttpConnection> {
 public:
  using Callback = std::function<void(ExchangeResult)>;

  HttpConnection(boost::asio::io_context& io, http::Endpoint endpoint, const StreamTimeouts& timeouts);
  ~HttpConnection() override;

  /// @brief Accepts only responses that echo this header of the request. A failure without the header is accepted only
  /// on a new connection: on a reused one it may be a late copy of an earlier response.
  void match_responses_by(std::string header) { match_header_ = std::move(header); }
  /// @brief Applies a memory limit that several connections share.
  void limit_response_memory(std::shared_ptr<ResponseMemoryLimit> memory_limit) noexcept {
    memory_limit_ = std::move(memory_limit);
  }

  /// @brief Sends a request. Requires `usable`.
  /// @param body The body that is sent instead of that in `request`.
  /// @param callback Called once, never from within this call; not called after `close`.
  void send(const http::Request& request, http::SharedBody body, Callback callback);
  /// @brief Sends a request with its own body.
  void send(const http::Request& request, Callback callback);
  /// @brief Closes the connection and drops a request in progress without invoking its callback.
  void close();

  /// @return Whether a request can be sent now.
  [[nodiscard]] bool usable(core::TimePoint now) const noexcept;
  /// @return Whether a request with this value of the matched header was sent on this connection. Another one must not
  /// be: a late copy of the response to the first would be taken for the response to the second.
  [[nodiscard]] bool has_sent(std::string_view match_value) const noexcept;
  [[nodiscard]] bool busy() const noexcept { return callback_ != nullptr; }

  void on_bytes(std::string_view bytes) override;
  void on_end(StreamCloseReason reason) override;

 private:
  void on_connected(bool connected);
  void process_responses(ReadState state);
  void finish(ExchangeOutcome outcome, http::Response response);
  /// @return Whether the memory limit admits the response that is being read.
  [[nodiscard]] bool reserve_response_memory();
  void release_memory() noexcept;
  void update_idle_timeout(const http::Response& response);

  http::Endpoint endpoint_;
  std::shared_ptr<Stream> stream_;
  ResponseReader reader_;
  std::string match_header_;
  std::string match_value_;
  /// Hashes of the values sent so far.
  std::vector<std::uint64_t> sent_values_;
  std::shared_ptr<ResponseMemoryLimit> memory_limit_;
  std::size_t reserved_bytes_ = 0;
  std::string queued_head_;
  http::SharedBody queued_body_;
  Callback callback_;
  bool connecting_ = false;
  bool connected_ = false;
  bool reusable_ = true;
  bool used_before_ = false;
  core::Duration idle_timeout_;
  core::TimePoint idle_since_;
};

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_HTTP_CONNECTION_H_
