#ifndef DAMASKTHREAD_MESH_STREAM_H_
#define DAMASKTHREAD_MESH_STREAM_H_

/// @file
/// @brief A TCP connection that reads data as it arrives and writes without blocking.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "damaskthread/core/types.h"
#include "damaskthread/http/message.h"

namespace damaskthread::mesh {

/// Why a connection ended.
enum class StreamCloseReason : std::uint8_t {
  kEndOfStream,     ///< The peer closed its side after its last byte.
  kConnectionLost,  ///< The connection was reset, or the peer was unreachable for too long.
};

/// Outcome of a connection attempt.
enum class ConnectResult : std::uint8_t {
  kConnected,
  kRefused,  ///< The VM answered that nothing listens on the port: the process is gone.
  kUnreachable,
};

/// Receives the events of a stream.
class StreamHandler {
 public:
  virtual ~StreamHandler() = default;
  virtual void on_bytes(std::string_view bytes) = 0;
  /// @brief Called once; nothing more is read afterwards.
  virtual void on_end(StreamCloseReason reason) = 0;
};

/// Times without an acknowledgement after which a peer counts as unreachable.
struct StreamTimeouts {
  core::Duration connect = std::chrono::seconds{1};
  core::Duration unacknowledged = std::chrono::seconds{3};
};

/// @brief Non-blocking TCP stream. All streams of an event loop share one read buffer, so that idle connections hold
/// no memory.
class Stream : public std::enable_shared_from_this<Stream> {
 public:
  using Socket = boost::asio::ip::tcp::socket;

  /// @brief Wraps an accepted connection.
  Stream(Socket socket, const StreamTimeouts& timeouts);
  /// @brief Creates an unconnected stream; `connect` opens the connection.
  Stream(boost::asio::io_context& io, const StreamTimeouts& timeouts);
  ~Stream();

  /// @brief Opens the connection.
  /// @param on_connected Called with the result, never from within this call.
  void connect(const http::Endpoint& endpoint, std::function<void(ConnectResult)> on_connected);
  /// @brief Starts reading. The handler must live until `close` or its `on_end`.
  void start(StreamHandler* handler);
  /// @brief Queues bytes and sends as many as the socket accepts immediately.
  void write(std::string_view bytes);
  /// @brief The same for a shared body, which is not copied.
  void write(http::SharedBody body);
  /// @brief Stops reading until `resume`, which applies backpressure to the sender. If a write fails meanwhile, the
  /// stream closes without a call to the handler, which has to check `open` after writing.
  void pause() noexcept { paused_ = true; }
  void resume();
  /// @brief Delivers data that has already arrived, without waiting for the event loop.
  void read_available();
  /// @brief Closes after the queued bytes were sent, without a reset that would discard data the peer has yet to read.
  void close_after_write();
  /// @brief Closes immediately, without a further call to the handler.
  void close();

  [[nodiscard]] bool open() const noexcept { return open_; }
  /// @return Bytes queued and not yet accepted by the socket.
  [[nodiscard]] std::size_t unsent_bytes() const noexcept { return unsent_bytes_; }

 private:
  // Queued bytes: either copied ones or a shared body.
  struct Chunk {
    std::string copied;
    http::SharedBody shared;
    [[nodiscard]] std::string_view bytes() const noexcept { return shared == nullptr ? copied : *shared; }
  };

  void set_socket_options();
  void wait_read();
  void on_readable();
  void flush();
  void drop_unsent();
  void wait_write();
  void shut_down_send();
  void close_and_notify(StreamCloseReason reason);

  Socket socket_;
  StreamTimeouts timeouts_;
  boost::asio::steady_timer connect_timer_;
  StreamHandler* handler_ = nullptr;
  std::deque<Chunk> chunks_;
  /// Bytes of the first chunk that were sent.
  std::size_t written_ = 0;
  std::size_t unsent_bytes_ = 0;
  bool open_ = false;
  bool read_pending_ = false;
  bool write_pending_ = false;
  bool paused_ = false;
  bool closing_after_write_ = false;
};

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_STREAM_H_
