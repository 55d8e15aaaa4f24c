#include "damaskthread/mesh/http_listener.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>
#include <vector>

#include "damaskthread/mesh/clock.h"

namespace damaskthread::mesh {
namespace {

namespace asio = boost::asio;

// Reading pauses when a caller pipelines more than this while its requests run.
constexpr std::size_t kMaxPipelinedBytes = std::size_t{64} << 10U;
// Requests of one connection that run concurrently; a connection must not occupy a server's slots alone.
constexpr std::size_t kMaxConcurrentRequests = 16;
constexpr core::Duration kFirstRequestDelay = std::chrono::milliseconds{100};
constexpr int kBadRequest = 400;
constexpr int kTimeout = 408;
constexpr int kBodyTooLarge = 413;
constexpr int kHeaderTooLarge = 431;
constexpr int kUnavailable = 503;
// Seconds; large requests that were refused for lack of memory should not come back at once.
constexpr const char* kMemoryRetryAfter = "1";

int error_status(ReadState state) {
  if (state == ReadState::kHeaderTooLarge) return kHeaderTooLarge;
  return state == ReadState::kBodyTooLarge ? kBodyTooLarge : kBadRequest;
}

http::Response unavailable() { return {kUnavailable, {{"Retry-After", kMemoryRetryAfter}}, {}}; }

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
  if (input_ended_) return;
  const auto self = shared_from_this();
  last_activity_ = now();
  process(reader_.add(bytes));
  update_memory();
}

void Session::update_memory() {
  if (listener_.memory_ == nullptr || input_ended_) return;
  const std::size_t waiting =
      waiting_request_ ? waiting_request_->message.body.size() + header_memory(waiting_request_->message) : 0;
  const std::size_t before = std::exchange(reading_bytes_, reader_.held_bytes() + waiting);
  listener_.memory_->resize_reading(before, reading_bytes_);
  listener_.enforce_memory_limit();
}

void Session::evict() {
  reader_.discard();
  waiting_request_.reset();
  input_ended_ = true;
  reject_status_ = kUnavailable;
  release_memory();
  if (exchanges_.empty()) reject(*reject_status_);
}

void Session::release_memory() noexcept {
  const std::size_t bytes = std::exchange(reading_bytes_, 0);
  if (listener_.memory_ != nullptr) listener_.memory_->resize_reading(bytes, 0);
}

bool Session::reserve_memory(CallerRequest& request) {
  if (listener_.memory_ == nullptr) return true;
  const std::size_t read = std::exchange(reading_bytes_, reader_.held_bytes());
  listener_.memory_->resize_reading(read, reading_bytes_);
  auto body = listener_.memory_->accept(request.request.body.size());
  if (!body) return false;
  auto header = listener_.memory_->accept_header(header_memory(request.request));
  if (!header) return false;
  request.memory = std::move(*body);
  request.header_memory = std::move(*header);
  return true;
}

void Session::process(ReadState state) {
  while (!input_ended_ && state == ReadState::kDone && !waiting_request_) {
    accept_request();
    if (input_ended_ || waiting_request_) return;
    state = reader_.parse_pending();
  }
  if (input_ended_) return;
  if (state != ReadState::kDone && state != ReadState::kNeedMore) {
    input_ended_ = true;
    reject_status_ = error_status(state);
    if (exchanges_.empty() && !waiting_request_) reject(*reject_status_);
    return;
  }
  if (!exchanges_.empty() || waiting_request_) {
    if (reader_.held_bytes() > kMaxPipelinedBytes) stream_->pause();
    return;
  }
  if (!continue_sent_ && reader_.header_complete() && reader_.expects_continue()) {
    continue_sent_ = true;
    stream_->write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void Session::accept_request() {
  continue_sent_ = false;
  WaitingRequest accepted{reader_.take(), last_activity_, !reader_.keep_alive()};
  if (may_dispatch(accepted.message)) {
    dispatch(std::move(accepted));
  } else {
    waiting_request_ = std::move(accepted);
  }
}

bool Session::may_dispatch(const http::Request& message) const {
  if (exchanges_.empty()) return true;
  return !listener_.draining_ && exchanges_.size() < kMaxConcurrentRequests && listener_.pipelining_rule_ &&
         listener_.pipelining_rule_(message);
}

void Session::dispatch(WaitingRequest&& waiting) {
  const auto request = std::make_shared<CallerRequest>(std::move(waiting.message), waiting.received);
  exchanges_.push_back({request, std::nullopt, waiting.last});
  if (waiting.last) input_ended_ = true;
  if (!reserve_memory(*request)) {
    request->request = {};
    return record_response(request.get(), unavailable());
  }
  request->send_response_ = [weak = weak_from_this(), key = request.get()](const http::Response& response) {
    if (const auto self = weak.lock()) self->record_response(key, response);
  };
  listener_.handler_(request);
}

void Session::resume() {
  resume_pending_ = false;
  if (closed_) return;
  if (!stream_->open()) return drop();
  if (waiting_request_ && may_dispatch(waiting_request_->message)) {
    WaitingRequest next = std::move(*waiting_request_);
    waiting_request_.reset();
    dispatch(std::move(next));
    if (closed_) return;
  }
  if (reject_status_ && exchanges_.empty() && !waiting_request_) return reject(*reject_status_);
  if (input_ended_) return;
  process(reader_.parse_pending());
  update_memory();
  if (input_ended_) return;
  if (exchanges_.empty() || reader_.held_bytes() <= kMaxPipelinedBytes) stream_->resume();
}

void Session::record_response(const CallerRequest* request, const http::Response& response) {
  const auto found = std::find_if(exchanges_.begin(), exchanges_.end(),
                                  [request](const Exchange& exchange) { return exchange.request.get() == request; });
  if (found == exchanges_.end()) return;
  if (found != exchanges_.begin()) {
    found->response = response;
    return;
  }
  if (!send_first(response)) return;
  while (!exchanges_.empty() && exchanges_.front().response) {
    const http::Response next = std::move(*exchanges_.front().response);
    if (!send_first(next)) return;
  }
  stream_->resume();
  // Includes a request of which only the header was read, whose caller may wait for `100 Continue`.
  const bool input_left = waiting_request_ || reject_status_ || reader_.started();
  if (resume_pending_ || (!input_left && stream_->open())) return;
  // Deferred, so that the handler of the answered request is not re-entered.
  resume_pending_ = true;
  asio::post(listener_.io_, [self = shared_from_this()] { self->resume(); });
}

bool Session::send_first(const http::Response& response) {
  const bool last = exchanges_.front().last;
  exchanges_.pop_front();
  last_activity_ = now();
  const bool drained = listener_.draining_ && exchanges_.empty();
  const bool close = last || drained;
  const bool refuse_waiting = drained && !last && waiting_request_.has_value();
  stream_->write(to_bytes(response, close && !refuse_waiting));
  if (!close) return true;
  if (refuse_waiting) {
    reject(kUnavailable);
  } else {
    close_after_response();
  }
  return false;
}

void Session::reject(int status) {
  http::Response response = status == kUnavailable ? unavailable() : http::Response{status, {}, {}};
  stream_->write(to_bytes(response, true));
  close_after_response();
}

void Session::close_after_response() {
  closed_ = true;
  input_ended_ = true;
  // Callers send requests again that were not answered.
  waiting_request_.reset();
  reject_status_.reset();
  reader_.discard();
  listener_.close_after_response(shared_from_this(), stream_);
}

void Session::close_if_idle() {
  if (closed_) return;
  const auto self = shared_from_this();
  stream_->read_available();
  if (idle() && !closed_) close_after_response();
}

void Session::on_end(StreamCloseReason /*reason*/) { drop(); }

void Session::drop() {
  const auto self = shared_from_this();
  stream_->close();
  closed_ = true;
  input_ended_ = true;
  waiting_request_.reset();
  release_memory();
  listener_.sessions_.erase(self);
  for (const Exchange& exchange : std::exchange(exchanges_, {})) {
    exchange.request->done_ = true;
    const auto on_disconnect = std::exchange(exchange.request->disconnect_callback_, nullptr);
    if (on_disconnect) on_disconnect();
  }
}

void Session::sweep(core::TimePoint now) {
  if (closed_ || !exchanges_.empty() || waiting_request_) return;
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
  if (sessions_.size() + closing_streams_.size() >= max_sessions_) {
    std::erase_if(closing_streams_, [](const auto& stream) { return !stream->open(); });
    if (sessions_.size() + closing_streams_.size() >= max_sessions_) evict_quietest();
    if (sessions_.size() + closing_streams_.size() >= max_sessions_) return;
  }
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  sessions_.insert(session);
  session->start();
}

void HttpListener::sweep(core::TimePoint now) {
  const std::vector<std::shared_ptr<Session>> sessions(sessions_.begin(), sessions_.end());
  for (const auto& session : sessions) session->sweep(now);
  std::erase_if(closing_streams_, [](const auto& stream) { return !stream->open(); });
}

void HttpListener::enforce_memory_limit() {
  while (memory_ != nullptr && memory_->exceeded()) {
    // Of equally large requests the one that has been quiet for longest is the least likely to end.
    const auto largest = std::max_element(sessions_.begin(), sessions_.end(), [](const auto& a, const auto& b) {
      return a->reading_bytes() != b->reading_bytes() ? a->reading_bytes() < b->reading_bytes()
                                                      : a->last_activity() > b->last_activity();
    });
    if (largest == sessions_.end() || (*largest)->reading_bytes() == 0) return;
    // The session leaves the set.
    const auto session = (*largest)->shared_from_this();
    session->evict();
  }
}

void HttpListener::evict_quietest() {
  std::shared_ptr<Session> quietest;
  for (const auto& session : sessions_) {
    if (session->has_requests()) continue;
    if (quietest == nullptr || session->last_activity() < quietest->last_activity()) quietest = session;
  }
  if (quietest != nullptr) quietest->drop();
}

void HttpListener::close_after_response(const std::shared_ptr<Session>& session,
                                        const std::shared_ptr<Stream>& stream) {
  session->release_memory();
  stream->close_after_write();
  if (stream->open()) closing_streams_.push_back(stream);
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
