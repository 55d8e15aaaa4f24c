#ifndef DAMASKTHREAD_HTTP_SOCKET_STREAM_H_
#define DAMASKTHREAD_HTTP_SOCKET_STREAM_H_

/// @file
/// @brief Blocking TCP stream with one deadline for all operations, usable with Boost.Beast.

#include <boost/asio/buffer.hpp>
#include <boost/system/error_code.hpp>
#include <boost/system/system_error.hpp>
#include <chrono>
#include <cstddef>
#include <utility>

#include "damaskthread/http/message.h"

namespace damaskthread::http::internal {

/// RAII wrapper for a socket descriptor.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int descriptor) noexcept : descriptor_(descriptor) {}
  Socket(Socket&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}
  Socket& operator=(Socket&& other) noexcept;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket();

  [[nodiscard]] int descriptor() const noexcept { return descriptor_; }
  [[nodiscard]] bool valid() const noexcept { return descriptor_ >= 0; }

 private:
  int descriptor_ = -1;
};

/// Boost.Beast SyncStream over a non-blocking socket.
class SocketStream {
 public:
  using Clock = std::chrono::steady_clock;

  SocketStream(int descriptor, Clock::time_point deadline) noexcept : descriptor_(descriptor), deadline_(deadline) {}

  template <typename MutableBuffers>
  std::size_t read_some(const MutableBuffers& buffers, boost::system::error_code& error) {
    const boost::asio::mutable_buffer buffer = *boost::asio::buffer_sequence_begin(buffers);
    return receive(buffer.data(), buffer.size(), error);
  }

  template <typename MutableBuffers>
  std::size_t read_some(const MutableBuffers& buffers) {
    boost::system::error_code error;
    const std::size_t size = read_some(buffers, error);
    if (error) throw boost::system::system_error(error);
    return size;
  }

  template <typename ConstBuffers>
  std::size_t write_some(const ConstBuffers& buffers, boost::system::error_code& error) {
    constexpr std::size_t kMaxParts = 16;
    const void* data[kMaxParts];
    std::size_t sizes[kMaxParts];
    std::size_t buffer_count = 0;
    const auto end = boost::asio::buffer_sequence_end(buffers);
    for (auto part = boost::asio::buffer_sequence_begin(buffers); part != end && buffer_count < kMaxParts; ++part) {
      const boost::asio::const_buffer buffer = *part;
      if (buffer.size() == 0) continue;
      data[buffer_count] = buffer.data();
      sizes[buffer_count++] = buffer.size();
    }
    return send(data, sizes, buffer_count, error);
  }

  template <typename ConstBuffers>
  std::size_t write_some(const ConstBuffers& buffers) {
    boost::system::error_code error;
    const std::size_t size = write_some(buffers, error);
    if (error) throw boost::system::system_error(error);
    return size;
  }

 private:
  std::size_t receive(void* data, std::size_t size, boost::system::error_code& error);
  std::size_t send(const void* const* data, const std::size_t* sizes, std::size_t buffer_count,
                   boost::system::error_code& error);

  int descriptor_;
  Clock::time_point deadline_;
};

/// @brief Connects to an endpoint.
/// @param endpoint IP address and port of the peer.
/// @param deadline Time limit.
/// @return The connected socket, or an invalid one.
[[nodiscard]] Socket connect(const Endpoint& endpoint, std::chrono::steady_clock::time_point deadline);

/// @brief Whether the peer closes a new connection, on which nothing was sent, within a time. When a process ends,
/// the kernel resets the connections in its accept queue.
[[nodiscard]] bool closes_within(const Socket& socket, std::chrono::milliseconds time) noexcept;

/// @brief Whether the peer has closed an idle connection, or has sent unsolicited bytes.
[[nodiscard]] bool is_stale(const Socket& socket) noexcept;

}  // namespace damaskthread::http::internal

#endif  // DAMASKTHREAD_HTTP_SOCKET_STREAM_H_
