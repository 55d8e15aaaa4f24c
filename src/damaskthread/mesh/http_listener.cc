#include "damaskthread/mesh/http_listener.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>
#include <vector>

#include "damaskthread/mesh/clock.h"

namespace damaskthread::mesh {
namespace {

namespace asio = boost::asio;

// A caller that sends ahead while its request runs is held back beyond this.
constexpr std::size_t kMaxWaitingBytes = std::size_t{64} << 10U;
constexpr core::Duration kFirstRequest = std::chrono::milliseconds{100};
constexpr int kBadRequest = 400;
constexpr int kTimeout = 408;
constexpr int kTooLarge = 413;
constexpr int kHeaderTooLarge = 431;

int status_of(ReadState state) {
  if (state == ReadState::kHeaderTooLarge) return kHeaderTooLarge;
  return state == ReadState::kBodyTooLarge ? kTooLarge : kBadRequest;
}

}  // namespace

void CallerRequest::answer(const http::Response& response) {
  if (done_) return;
  done_ = true;
  gone_callback_ = nullptr;
  const auto send = std::exchange(send_, nullptr);
  if (send) send(response);
}

Session::Session(HttpListener& listener, Stream::Socket socket)
    : listener_(listener),
      stream_(std::make_shared<Stream>(std::move(socket), StreamTimings{})),
      reader_(listener.bounds_.header_bytes, listener.bounds_.body_bytes),
      last_activity_(now()) {}

void Session::start() { stream_->start(this); }

void Session::on_bytes(std::string_view bytes) {
  const auto self = shared_from_this();
  last_activity_ = now();
  if (current_ != nullptr) {
    // The next request of a caller that does not wait for its answer; it is read when this one is done.
    early_bytes_.append(bytes);
    if (early_bytes_.size() > kMaxWaitingBytes) stream_->pause();
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
    reject(status_of(state));
    return;
  }
  if (!continued_ && reader_.header_done() && reader_.expects_continue()) {
    continued_ = true;
    stream_->write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void Session::dispatch() {
  continued_ = false;
  current_ = std::make_shared<CallerRequest>(reader_.take(), last_activity_);
  const auto request = current_;
  request->send_ = [weak = weak_from_this()](const http::Response& response) {
    if (const auto self = weak.lock()) self->send(response);
  };
  listener_.handler_(request);
}

void Session::send(const http::Response& response) {
  if (current_ == nullptr) return;
  current_.reset();
  last_activity_ = now();
  const bool close = listener_.draining_ || !reader_.keep_alive();
  stream_->write(to_bytes(response, close));
  if (close) {
    listener_.finish(shared_from_this(), stream_);
    return;
  }
  stream_->resume();
  if (reader_.waiting_bytes() == 0 && early_bytes_.empty()) return;
  // Not from within the handler of the request that was just answered.
  asio::post(listener_.io_, [self = shared_from_this()] {
    if (self->current_ != nullptr || !self->stream_->open()) return;
    self->handle(self->reader_.add(std::exchange(self->early_bytes_, {})));
  });
}

void Session::reject(int status) {
  http::Response response;
  response.status = status;
  stream_->write(to_bytes(response, true));
  listener_.finish(shared_from_this(), stream_);
}

void Session::close_idle() {
  const auto self = shared_from_this();
  stream_->read_now();
  if (idle() && stream_->open()) listener_.finish(self, stream_);
}

void Session::on_end(StreamEnd /*end*/) { drop(); }

void Session::drop() {
  const auto self = shared_from_this();
  stream_->close();
  listener_.sessions_.erase(self);
  const auto request = std::exchange(current_, nullptr);
  if (request == nullptr) return;
  request->done_ = true;
  const auto gone = std::exchange(request->gone_callback_, nullptr);
  if (gone) gone();
}

void Session::sweep(core::TimePoint now) {
  if (current_ != nullptr) return;
  const core::Duration silent = now - last_activity_;
  if (idle()) {
    if (silent > listener_.bounds_.idle_time) close_idle();
    return;
  }
  if (silent > listener_.bounds_.header_time) reject(kTimeout);
}

HttpListener::HttpListener(asio::io_context& io, const http::Endpoint& endpoint, std::size_t max_sessions,
                           RequestHandler handler)
    : io_(io),
      max_sessions_(max_sessions),
      handler_(std::move(handler)),
      acceptor_(io, endpoint, [this](Stream::Socket socket) { take(std::move(socket)); }) {}

HttpListener::~HttpListener() { close(); }

void HttpListener::take(Stream::Socket socket) {
  if (sessions_.size() >= max_sessions_) return;
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  sessions_.insert(session);
  session->start();
}

void HttpListener::sweep(core::TimePoint now) {
  const std::vector<std::shared_ptr<Session>> sessions(sessions_.begin(), sessions_.end());
  for (const auto& session : sessions) session->sweep(now);
  std::erase_if(finishing_, [](const auto& stream) { return !stream->open() || stream->unsent_bytes() == 0; });
}

void HttpListener::finish(const std::shared_ptr<Session>& session, const std::shared_ptr<Stream>& stream) {
  stream->close_after_write();
  if (stream->unsent_bytes() > 0) finishing_.push_back(stream);
  sessions_.erase(session);
}

void HttpListener::close() {
  acceptor_.close();
  const std::vector<std::shared_ptr<Session>> sessions(sessions_.begin(), sessions_.end());
  for (const auto& session : sessions) session->drop();
}

void HttpListener::stop_accepting(core::TimePoint now) {
  acceptor_.take_waiting();
  acceptor_.close();
  const std::vector<std::shared_ptr<Session>> sessions(sessions_.begin(), sessions_.end());
  for (const auto& session : sessions) {
    // The first request of a connection follows right behind it.
    if (session->idle() && now - session->last_activity() > kFirstRequest) session->close_idle();
  }
}

std::size_t HttpListener::busy_sessions() const {
  const auto busy =
      std::count_if(sessions_.begin(), sessions_.end(), [](const auto& session) { return !session->idle(); });
  const auto sending = std::count_if(finishing_.begin(), finishing_.end(),
                                     [](const auto& stream) { return stream->open() && stream->unsent_bytes() > 0; });
  return static_cast<std::size_t>(busy + sending);
}

}  // namespace damaskthread::mesh
