#include "damaskthread/mesh/stream.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <utility>

namespace damaskthread::mesh {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::size_t kReadBufferBytes = std::size_t{64} << 10U;
// Limits consecutive reads, so that one connection cannot starve the others.
constexpr int kMaxConsecutiveReads = 4;
// A chunk of copied bytes is freed once all of it was sent. Appending without end to one chunk would keep the sent
// bytes for as long as the peer lags behind.
constexpr std::size_t kMaxChunkBytes = std::size_t{64} << 10U;
// How long a peer has to close its side after the send side was shut down.
constexpr auto kLingerTimeout = std::chrono::seconds(2);

std::array<char, kReadBufferBytes>& read_buffer() {
  thread_local std::array<char, kReadBufferBytes> buffer;
  return buffer;
}

void set_integer_option(int descriptor, int level, int option, int value) {
  // Failures are ignored: these options only speed up the detection of dead peers, and requests time out anyway.
  (void)::setsockopt(descriptor, level, option, &value, sizeof value);
}

int to_seconds(core::Duration time) {
  return std::max(1, static_cast<int>(std::chrono::duration_cast<std::chrono::seconds>(time).count()));
}

}  // namespace

Stream::Stream(Socket socket, const StreamTimeouts& timeouts)
    : socket_(std::move(socket)), timeouts_(timeouts), connect_timer_(socket_.get_executor()), open_(true) {
  set_socket_options();
}

Stream::Stream(asio::io_context& io, const StreamTimeouts& timeouts)
    : socket_(io), timeouts_(timeouts), connect_timer_(io) {}

Stream::~Stream() = default;

void Stream::set_socket_options() {
  error_code ignored;
  socket_.non_blocking(true, ignored);
  const int descriptor = socket_.native_handle();
  set_integer_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  set_integer_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  set_integer_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, 1);
  set_integer_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, 1);
  set_integer_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, to_seconds(timeouts_.unacknowledged));
  const auto unacknowledged = std::chrono::duration_cast<std::chrono::milliseconds>(timeouts_.unacknowledged).count();
  set_integer_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(unacknowledged));
}

void Stream::connect(const http::Endpoint& endpoint, std::function<void(ConnectResult)> on_connected) {
  error_code error;
  const auto address = asio::ip::make_address(endpoint.host, error);
  if (error) {
    asio::post(socket_.get_executor(),
               [on_connected = std::move(on_connected)] { on_connected(ConnectResult::kUnreachable); });
    return;
  }
  auto shared_callback = std::make_shared<std::function<void(ConnectResult)>>(std::move(on_connected));
  const auto finish = [self = shared_from_this(), shared_callback](ConnectResult result) {
    if (!*shared_callback) return;
    self->connect_timer_.cancel();
    const auto callback = std::exchange(*shared_callback, nullptr);
    self->open_ = result == ConnectResult::kConnected;
    if (self->open_) self->set_socket_options();
    callback(result);
  };
  connect_timer_.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(timeouts_.connect));
  connect_timer_.async_wait([self = shared_from_this(), finish](const error_code& timer_error) {
    if (timer_error) return;
    error_code ignored;
    self->socket_.close(ignored);
    finish(ConnectResult::kUnreachable);
  });
  socket_.async_connect({address, endpoint.port}, [finish](const error_code& failure) {
    if (!failure) return finish(ConnectResult::kConnected);
    finish(failure == asio::error::connection_refused ? ConnectResult::kRefused : ConnectResult::kUnreachable);
  });
}

void Stream::start(StreamHandler* handler) {
  handler_ = handler;
  wait_read();
}

void Stream::wait_read() {
  if (read_pending_ || paused_ || !open_) return;
  read_pending_ = true;
  socket_.async_wait(Socket::wait_read, [self = shared_from_this()](const error_code& error) {
    self->read_pending_ = false;
    if (error || !self->open_) return;
    self->on_readable();
  });
}

void Stream::on_readable() {
  for (int i = 0; i < kMaxConsecutiveReads && !paused_ && open_; ++i) {
    error_code error;
    const std::size_t size = socket_.read_some(asio::buffer(read_buffer()), error);
    if (error == asio::error::would_block || error == asio::error::interrupted) break;
    if (error) {
      close_and_notify(error == asio::error::eof ? StreamCloseReason::kEndOfStream
                                                 : StreamCloseReason::kConnectionLost);
      return;
    }
    if (handler_ != nullptr && !closing_after_write_) handler_->on_bytes({read_buffer().data(), size});
    if (size < kReadBufferBytes) break;
  }
  wait_read();
}

void Stream::read_available() {
  if (open_ && !paused_ && handler_ != nullptr) on_readable();
}

void Stream::resume() {
  paused_ = false;
  wait_read();
}

void Stream::write(std::string_view bytes) {
  if (!open_ || closing_after_write_ || bytes.empty()) return;
  const bool appendable =
      !chunks_.empty() && chunks_.back().shared == nullptr && chunks_.back().copied.size() < kMaxChunkBytes;
  if (!appendable) chunks_.emplace_back();
  chunks_.back().copied.append(bytes);
  unsent_bytes_ += bytes.size();
  if (!write_pending_) flush();
}

void Stream::write(http::SharedBody body) {
  if (!open_ || closing_after_write_ || body == nullptr) return;
  unsent_bytes_ += body->size();
  chunks_.push_back({{}, std::move(body)});
  if (!write_pending_) flush();
}

void Stream::flush() {
  while (!chunks_.empty()) {
    const std::string_view bytes = chunks_.front().bytes().substr(written_);
    error_code error;
    const std::size_t size = socket_.write_some(asio::buffer(bytes.data(), bytes.size()), error);
    written_ += size;
    unsent_bytes_ -= size;
    if (error == asio::error::would_block) {
      wait_write();
      return;
    }
    if (error) {
      // The next read reports the end of the connection, after the data that the peer sent before it.
      drop_unsent();
      if (handler_ == nullptr || paused_) close();
      return;
    }
    if (size < bytes.size()) continue;
    chunks_.pop_front();
    written_ = 0;
  }
  if (closing_after_write_) shut_down_send();
}

void Stream::drop_unsent() {
  chunks_.clear();
  written_ = 0;
  unsent_bytes_ = 0;
}

void Stream::wait_write() {
  write_pending_ = true;
  socket_.async_wait(Socket::wait_write, [self = shared_from_this()](const error_code& error) {
    self->write_pending_ = false;
    if (error || !self->open_) return;
    self->flush();
  });
}

void Stream::close_after_write() {
  if (!open_ || closing_after_write_) return;
  closing_after_write_ = true;
  handler_ = nullptr;
  if (unsent_bytes() == 0) shut_down_send();
}

void Stream::shut_down_send() {
  error_code ignored;
  socket_.shutdown(Socket::shutdown_send, ignored);
  paused_ = false;
  wait_read();
  connect_timer_.expires_after(kLingerTimeout);
  connect_timer_.async_wait([self = shared_from_this()](const error_code& error) {
    if (!error) self->close();
  });
}

void Stream::close_and_notify(StreamCloseReason reason) {
  StreamHandler* const handler = handler_;
  close();
  if (handler != nullptr) handler->on_end(reason);
}

void Stream::close() {
  handler_ = nullptr;
  open_ = false;
  drop_unsent();
  connect_timer_.cancel();
  error_code ignored;
  socket_.close(ignored);
}

}  // namespace damaskthread::mesh
