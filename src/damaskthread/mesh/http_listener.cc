#include "damaskthread/mesh/http_listener.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>
#include <vector>

#include "damaskthread/mesh/clock.h"

namespace damaskthread::mesh {
namespace {

namespace asio = boost::asio;

// Reading pauses when a caller pipelines more than this while its request runs.
constexpr std::size_t kMaxPipelinedBytes = std::size_t{64} << 10U;
constexpr core::Duration kFirstRequestDelay = std::chrono::milliseconds{100};
constexpr int kBadRequest = 400;
constexpr int kTimeout = 408;
constexpr int kBodyTooLarge = 413;
constexpr int kHeaderTooLarge = 431;

int error_status(ReadState state) {
  if (state == ReadState::kHeaderTooLarge) return kHeaderTooLarge;
  return state == ReadState::kBodyTooLarge ? kBodyTooLarge : kBadRequest;
}

}  // namespace

void CallerRequest::answer(const http::Response& response) {
  if (done_) return;
  done_ = true;
  disconnect_callback_ = nullptr;
  const auto send = std::exchange(send_response_, nullptr);
  if (send) send(response);
}

Session::Session(HttpListener& listener, Stream::Socket socket)
    : listener_(listener),
      stream_(std::make_shared<Stream>(std::move(socket), StreamTimeouts{})),
      reader_(listener.caller_limits_.header_bytes, listener.caller_limits_.body_bytes),
      last_activity_(now()) {}

void Session::start() { stream_->start(this); }

void Session::on_bytes(std::string_view bytes) {
  const auto self = shared_from_this();
  last_activity_ = now();
  if (current_request_ != nullptr) {
    // Data of a pipelined request; it is parsed when the current request is answered.
    pipelined_bytes_.append(bytes);
    if (pipelined_bytes_.size() > kMaxPipelinedBytes) stream_->pause();
    return;
  }
  handle(reader_.add(bytes));
}

void Session::handle(ReadState state) {
  if (state == ReadState::kDone) {
    dispatch();
    return;
  }
  if (state != ReadState::kNeedMore) {
    reject(error_status(state));
    return;
  }
  if (!continue_sent_ && reader_.header_complete() && reader_.expects_continue()) {
    continue_sent_ = true;
    stream_->write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void Session::dispatch() {
  continue_sent_ = false;
  current_request_ = std::make_shared<CallerRequest>(reader_.take(), last_activity_);
  const auto request = current_request_;
  request->send_response_ = [weak = weak_from_this()](const http::Response& response) {
    if (const auto self = weak.lock()) self->send(response);
  };
  listener_.handler_(request);
}

void Session::send(const http::Response& response) {
  if (current_request_ == nullptr) return;
  current_request_.reset();
  last_activity_ = now();
  const bool close = listener_.draining_ || !reader_.keep_alive();
  stream_->write(to_bytes(response, close));
  if (close) {
    listener_.close_after_response(shared_from_this(), stream_);
    return;
  }
  stream_->resume();
  if (reader_.pending_bytes() == 0 && pipelined_bytes_.empty()) return;
  // Deferred, so that the handler of the answered request is not re-entered.
  asio::post(listener_.io_, [self = shared_from_this()] {
    if (self->current_request_ != nullptr || !self->stream_->open()) return;
    self->handle(self->reader_.add(std::exchange(self->pipelined_bytes_, {})));
  });
}

void Session::reject(int status) {
  http::Response response;
  response.status = status;
  stream_->write(to_bytes(response, true));
  listener_.close_after_response(shared_from_this(), stream_);
}

void Session::close_if_idle() {
  const auto self = shared_from_this();
  stream_->read_available();
  if (idle() && stream_->open()) listener_.close_after_response(self, stream_);
}

void Session::on_end(StreamCloseReason /*reason*/) { drop(); }

void Session::drop() {
  const auto self = shared_from_this();
  stream_->close();
  listener_.sessions_.erase(self);
  const auto request = std::exchange(current_request_, nullptr);
  if (request == nullptr) return;
  request->done_ = true;
  const auto on_disconnect = std::exchange(request->disconnect_callback_, nullptr);
  if (on_disconnect) on_disconnect();
}

void Session::sweep(core::TimePoint now) {
  if (current_request_ != nullptr) return;
  const core::Duration idle_time = now - last_activity_;
  if (idle()) {
    if (idle_time > listener_.caller_limits_.idle_time) close_if_idle();
    return;
  }
  if (idle_time > listener_.caller_limits_.header_time) reject(kTimeout);
}

HttpListener::HttpListener(asio::io_context& io, const http::Endpoint& endpoint, std::size_t max_sessions,
                           RequestHandler handler)
    : io_(io),
      max_sessions_(max_sessions),
      handler_(std::move(handler)),
      acceptor_(io, endpoint, [this](Stream::Socket socket) { add_session(std::move(socket)); }) {}

HttpListener::~HttpListener() { close(); }

void HttpListener::add_session(Stream::Socket socket) {
  if (sessions_.size() >= max_sessions_) return;
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  sessions_.insert(session);
  session->start();
}

void HttpListener::sweep(core::TimePoint now) {
  const std::vector<std::shared_ptr<Session>> sessions(sessions_.begin(), sessions_.end());
  for (const auto& session : sessions) session->sweep(now);
  std::erase_if(closing_streams_, [](const auto& stream) { return !stream->open() || stream->unsent_bytes() == 0; });
}

void HttpListener::close_after_response(const std::shared_ptr<Session>& session,
                                        const std::shared_ptr<Stream>& stream) {
  stream->close_after_write();
  if (stream->unsent_bytes() > 0) closing_streams_.push_back(stream);
  sessions_.erase(session);
}

void HttpListener::close() {
  acceptor_.close();
  const std::vector<std::shared_ptr<Session>> sessions(sessions_.begin(), sessions_.end());
  for (const auto& session : sessions) session->drop();
}

void HttpListener::stop_accepting(core::TimePoint now) {
  acceptor_.accept_pending();
  acceptor_.close();
  const std::vector<std::shared_ptr<Session>> sessions(sessions_.begin(), sessions_.end());
  for (const auto& session : sessions) {
    // A new connection is spared: its first request is expected immediately.
    if (session->idle() && now - session->last_activity() > kFirstRequestDelay) session->close_if_idle();
  }
}

std::size_t HttpListener::busy_sessions() const {
  const auto busy =
      std::count_if(sessions_.begin(), sessions_.end(), [](const auto& session) { return !session->idle(); });
  const auto sending = std::count_if(closing_streams_.begin(), closing_streams_.end(),
                                     [](const auto& stream) { return stream->open() && stream->unsent_bytes() > 0; });
  return static_cast<std::size_t>(busy + sending);
}

}  // namespace damaskthread::mesh
