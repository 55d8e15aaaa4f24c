#include "damaskthread/http/socket_stream.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/error.hpp>
#include <cerrno>
#include <cstring>

namespace damaskthread::http::internal {
namespace {

using Clock = std::chrono::steady_clock;

// Waits for an event on a descriptor; returns 0 on success, else an errno value.
int poll_until(int descriptor, std::int16_t events, Clock::time_point deadline) noexcept {
  for (;;) {
    const auto remaining_ms = std::chrono::ceil<std::chrono::milliseconds>(deadline - Clock::now()).count();
    if (remaining_ms <= 0) return ETIMEDOUT;
    pollfd entry{descriptor, events, 0};
    const int ready = ::poll(&entry, 1, static_cast<int>(std::min<std::int64_t>(remaining_ms, 60'000)));
    if (ready > 0) return 0;
    if (ready < 0 && errno != EINTR) return errno;
  }
}

boost::system::error_code to_error(int errno_value) noexcept { return {errno_value, boost::system::system_category()}; }

bool parse_address(const Endpoint& endpoint, sockaddr_storage& storage, socklen_t& size) noexcept {
  auto* v4 = reinterpret_cast<sockaddr_in*>(&storage);
  if (::inet_pton(AF_INET, endpoint.host.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(endpoint.port);
    size = sizeof(sockaddr_in);
    return true;
  }
  auto* v6 = reinterpret_cast<sockaddr_in6*>(&storage);
  if (::inet_pton(AF_INET6, endpoint.host.c_str(), &v6->sin6_addr) != 1) return false;
  v6->sin6_family = AF_INET6;
  v6->sin6_port = htons(endpoint.port);
  size = sizeof(sockaddr_in6);
  return true;
}

}  // namespace

Socket& Socket::operator=(Socket&& other) noexcept {
  std::swap(descriptor_, other.descriptor_);
  return *this;
}

Socket::~Socket() {
  if (descriptor_ >= 0) ::close(descriptor_);
}

std::size_t SocketStream::receive(void* data, std::size_t size, boost::system::error_code& error) {
  for (;;) {
    const ssize_t count = ::recv(descriptor_, data, size, 0);
    if (count > 0) {
      error = {};
      return static_cast<std::size_t>(count);
    }
    if (count == 0) {
      error = boost::asio::error::eof;
      return 0;
    }
    if (errno == EINTR) continue;
    const int errno_value = errno == EAGAIN ? poll_until(descriptor_, POLLIN, deadline_) : errno;
    if (errno_value == 0) continue;
    error = to_error(errno_value);
    return 0;
  }
}

std::size_t SocketStream::send(const void* const* data, const std::size_t* sizes, std::size_t buffer_count,
                               boost::system::error_code& error) {
  iovec vectors[16];
  for (std::size_t i = 0; i < buffer_count; ++i) vectors[i] = {const_cast<void*>(data[i]), sizes[i]};
  msghdr message{};
  message.msg_iov = vectors;
  message.msg_iovlen = buffer_count;
  for (;;) {
    const ssize_t count = ::sendmsg(descriptor_, &message, MSG_NOSIGNAL);
    if (count >= 0) {
      error = {};
      return static_cast<std::size_t>(count);
    }
    if (errno == EINTR) continue;
    const int errno_value = errno == EAGAIN ? poll_until(descriptor_, POLLOUT, deadline_) : errno;
    if (errno_value == 0) continue;
    error = to_error(errno_value);
    return 0;
  }
}

Socket connect(const Endpoint& endpoint, Clock::time_point deadline) {
  sockaddr_storage storage{};
  socklen_t size = 0;
  if (!parse_address(endpoint, storage, size)) return Socket();
  Socket socket(::socket(storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!socket.valid()) return Socket();
  const int on = 1;
  ::setsockopt(socket.descriptor(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (::connect(socket.descriptor(), reinterpret_cast<const sockaddr*>(&storage), size) == 0) return socket;
  if (errno != EINPROGRESS || poll_until(socket.descriptor(), POLLOUT, deadline) != 0) return Socket();
  int error = 0;
  socklen_t error_size = sizeof(error);
  if (::getsockopt(socket.descriptor(), SOL_SOCKET, SO_ERROR, &error, &error_size) != 0 || error != 0) return Socket();
  return socket;
}

bool closes_within(const Socket& socket, std::chrono::milliseconds time) noexcept {
  return poll_until(socket.descriptor(), POLLIN | POLLRDHUP, Clock::now() + time) == 0 && is_stale(socket);
}

bool is_stale(const Socket& socket) noexcept {
  char byte = 0;
  const ssize_t count = ::recv(socket.descriptor(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return !(count < 0 && errno == EAGAIN);
}

}  // namespace damaskthread::http::internal
