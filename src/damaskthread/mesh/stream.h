#ifndef DAMASKTHREAD_MESH_STREAM_H_
#define DAMASKTHREAD_MESH_STREAM_H_

/// @file
/// @brief A TCP connection that reads as bytes arrive and writes without blocking.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "damaskthread/core/types.h"
#include "damaskthread/http/message.h"

namespace damaskthread::mesh {

/// How the other side ended a connection.
enum class StreamEnd : std::uint8_t {
  kOrderly,  ///< It closed its side after its last byte.
  kBroken,   ///< Reset, or out of reach for too long.
};

/// How an attempt to connect ended.
enum class ConnectEnd : std::uint8_t {
  kConnected,
  kRefused,  ///< The VM answered that nobody listens at the port: the process is gone.
  kNoAnswer,
};

/// Receives what happens on a stream.
class StreamHandler {
 public:
  virtual ~StreamHandler() = default;
  virtual void on_bytes(std::string_view bytes) = 0;
  /// @brief Called once; nothing more is read afterwards.
  virtual void on_end(StreamEnd end) = 0;
};

/// Time after which a peer that does not acknowledge counts as out of reach.
struct StreamTimings {
  core::Duration connect = std::chrono::seconds{1};
  core::Duration unacknowledged = std::chrono::seconds{3};
};

/// @brief Reads into one buffer shared by all streams of the event loop, so that idle connections hold no memory.
class Stream : public std::enable_shared_from_this<Stream> {
 public:
  using Socket = boost::asio::ip::tcp::socket;

  /// @brief Takes over an accepted connection.
  Stream(Socket socket, const StreamTimings& timings);
  /// @brief Prepares a connection that `connect` opens.
  Stream(boost::asio::io_context& io, const StreamTimings& timings);
  ~Stream();

  /// @brief Opens the connection.
  /// @param done Called with the outcome; never from within this call.
  void connect(const http::Endpoint& endpoint, std::function<void(ConnectEnd)> done);
  /// @brief Begins to read. The handler must live until `close` or its `on_end`.
  void start(StreamHandler* handler);
  /// @brief Queues bytes and sends what the connection takes at once.
  void write(std::string_view bytes);
  /// @brief Stops reading until `resume`, so that a sender that runs ahead is held back.
  void pause() noexcept { paused_ = true; }
  void resume();
  /// @brief Hands over what has arrived already, without waiting for the event loop.
  void read_now();
  /// @brief Closes after the queued bytes were sent, without resetting what the other side has still to read.
  void close_after_write();
  /// @brief Closes at once; the handler hears nothing more.
  void close();

  [[nodiscard]] bool open() const noexcept { return open_; }
  /// @return Bytes queued and not yet taken by the connection.
  [[nodiscard]] std::size_t unsent_bytes() const noexcept { return unsent_.size() - sent_; }

 private:
  void set_options();
  void wait_read();
  void on_readable();
  void flush();
  void wait_write();
  void finish_writing();
  void end(StreamEnd reason);

  Socket socket_;
  StreamTimings timings_;
  boost::asio::steady_timer connect_timer_;
  StreamHandler* handler_ = nullptr;
  std::string unsent_;
  std::size_t sent_ = 0;
  bool open_ = false;
  bool reading_ = false;
  bool writing_ = false;
  bool paused_ = false;
  bool closing_ = false;
};

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_STREAM_H_
