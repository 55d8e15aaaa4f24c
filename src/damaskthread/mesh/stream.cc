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

#include "damaskthread/core/buffer.h"

namespace damaskthread::mesh {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::size_t kReadBytes = std::size_t{64} << 10U;
// Reads in a row before other connections get their turn.
constexpr int kReadsInARow = 4;
// A side that was told of the end of the connection has this long to close its own.
constexpr auto kLinger = std::chrono::seconds(2);

std::array<char, kReadBytes>& read_buffer() {
  thread_local std::array<char, kReadBytes> buffer;
  return buffer;
}

void set_integer_option(int descriptor, int level, int option, int value) {
  // Each of these only shortens the time until a dead peer is noticed; without them requests still time out.
  (void)::setsockopt(descriptor, level, option, &value, sizeof value);
}

int to_seconds(core::Duration time) {
  return std::max(1, static_cast<int>(std::chrono::duration_cast<std::chrono::seconds>(time).count()));
}

}  // namespace

Stream::Stream(Socket socket, const StreamTimings& timings)
    : socket_(std::move(socket)), timings_(timings), connect_timer_(socket_.get_executor()), open_(true) {
  set_options();
}

Stream::Stream(asio::io_context& io, const StreamTimings& timings)
    : socket_(io), timings_(timings), connect_timer_(io) {}

Stream::~Stream() = default;

void Stream::set_options() {
  error_code ignored;
  socket_.non_blocking(true, ignored);
  const int descriptor = socket_.native_handle();
  set_integer_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  set_integer_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  set_integer_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, 1);
  set_integer_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, 1);
  set_integer_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, to_seconds(timings_.unacknowledged));
  const auto unacknowledged = std::chrono::duration_cast<std::chrono::milliseconds>(timings_.unacknowledged).count();
  set_integer_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(unacknowledged));
}

void Stream::connect(const http::Endpoint& endpoint, std::function<void(ConnectEnd)> done) {
  error_code error;
  const auto address = asio::ip::make_address(endpoint.host, error);
  if (error) {
    asio::post(socket_.get_executor(), [done = std::move(done)] { done(ConnectEnd::kNoAnswer); });
    return;
  }
  auto shared_done = std::make_shared<std::function<void(ConnectEnd)>>(std::move(done));
  const auto finish = [self = shared_from_this(), shared_done](ConnectEnd end) {
    if (!*shared_done) return;
    self->connect_timer_.cancel();
    const auto callback = std::exchange(*shared_done, nullptr);
    self->open_ = end == ConnectEnd::kConnected;
    if (self->open_) self->set_options();
    callback(end);
  };
  connect_timer_.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(timings_.connect));
  connect_timer_.async_wait([self = shared_from_this(), finish](const error_code& timer_error) {
    if (timer_error) return;
    error_code ignored;
    self->socket_.close(ignored);
    finish(ConnectEnd::kNoAnswer);
  });
  socket_.async_connect({address, endpoint.port}, [finish](const error_code& failure) {
    if (!failure) return finish(ConnectEnd::kConnected);
    finish(failure == asio::error::connection_refused ? ConnectEnd::kRefused : ConnectEnd::kNoAnswer);
  });
}

void Stream::start(StreamHandler* handler) {
  handler_ = handler;
  wait_read();
}

void Stream::wait_read() {
  if (reading_ || paused_ || !open_) return;
  reading_ = true;
  socket_.async_wait(Socket::wait_read, [self = shared_from_this()](const error_code& error) {
    self->reading_ = false;
    if (error || !self->open_) return;
    self->on_readable();
  });
}

void Stream::on_readable() {
  for (int i = 0; i < kReadsInARow && !paused_ && open_; ++i) {
    error_code error;
    const std::size_t size = socket_.read_some(asio::buffer(read_buffer()), error);
    if (error == asio::error::would_block || error == asio::error::interrupted) break;
    if (error) {
      end(error == asio::error::eof ? StreamEnd::kOrderly : StreamEnd::kBroken);
      return;
    }
    if (handler_ != nullptr && !closing_) handler_->on_bytes({read_buffer().data(), size});
    if (size < kReadBytes) break;
  }
  wait_read();
}

void Stream::read_now() {
  if (open_ && !paused_ && handler_ != nullptr) on_readable();
}

void Stream::resume() {
  paused_ = false;
  wait_read();
}

void Stream::write(std::string_view bytes) {
  if (!open_ || closing_) return;
  unsent_.append(bytes);
  if (!writing_) flush();
}

void Stream::flush() {
  while (sent_ < unsent_.size()) {
    error_code error;
    sent_ += socket_.write_some(asio::buffer(unsent_.data() + sent_, unsent_.size() - sent_), error);
    if (error == asio::error::would_block) {
      wait_write();
      return;
    }
    if (error) {
      // The reading side reports the end, with what the peer sent before it.
      unsent_.clear();
      sent_ = 0;
      if (handler_ == nullptr || paused_) close();
      return;
    }
  }
  unsent_.clear();
  sent_ = 0;
  core::release_spare(unsent_);
  if (closing_) finish_writing();
}

void Stream::wait_write() {
  writing_ = true;
  socket_.async_wait(Socket::wait_write, [self = shared_from_this()](const error_code& error) {
    self->writing_ = false;
    if (error || !self->open_) return;
    self->flush();
  });
}

void Stream::close_after_write() {
  if (!open_ || closing_) return;
  closing_ = true;
  handler_ = nullptr;
  if (unsent_bytes() == 0) finish_writing();
}

void Stream::finish_writing() {
  error_code ignored;
  socket_.shutdown(Socket::shutdown_send, ignored);
  paused_ = false;
  wait_read();
  connect_timer_.expires_after(kLinger);
  connect_timer_.async_wait([self = shared_from_this()](const error_code& error) {
    if (!error) self->close();
  });
}

void Stream::end(StreamEnd reason) {
  StreamHandler* const handler = handler_;
  close();
  if (handler != nullptr) handler->on_end(reason);
}

void Stream::close() {
  handler_ = nullptr;
  open_ = false;
  connect_timer_.cancel();
  error_code ignored;
  socket_.close(ignored);
}

}  // namespace damaskthread::mesh
