#include "damaskthread/mesh/http_connection.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "damaskthread/mesh/clock.h"

namespace damaskthread::mesh {
namespace {

// Used until the server states its own time-out.
constexpr core::Duration kDefaultIdleLimit = std::chrono::seconds(4);
// A connection is not used any more this long before the server closes it.
constexpr core::Duration kIdleMargin = std::chrono::milliseconds(1500);
constexpr int kFirstFailureStatus = 300;

}  // namespace

HttpConnection::HttpConnection(boost::asio::io_context& io, http::Endpoint endpoint, const StreamTimings& timings)
    : endpoint_(std::move(endpoint)), stream_(std::make_shared<Stream>(io, timings)), idle_limit_(kDefaultIdleLimit) {}

HttpConnection::~HttpConnection() {
  release_memory();
  stream_->close();
}

void HttpConnection::send(const http::Request& request, Done done) {
  done_ = std::move(done);
  if (!match_header_.empty()) match_value_ = http::find(request.headers, match_header_);
  const std::string bytes = to_bytes(request);
  if (connected_) {
    stream_->write(bytes);
    return;
  }
  unsent_ = bytes;
  if (connecting_) return;
  connecting_ = true;
  stream_->connect(endpoint_, [weak = weak_from_this()](ConnectEnd end) {
    if (const auto self = weak.lock()) self->on_connected(end == ConnectEnd::kConnected);
  });
}

void HttpConnection::on_connected(bool connected) {
  connecting_ = false;
  if (!connected) {
    reusable_ = false;
    finish(ExchangeEnd::kNotConnected, {});
    return;
  }
  connected_ = true;
  stream_->start(this);
  stream_->write(std::exchange(unsent_, {}));
}

bool HttpConnection::usable(core::TimePoint now) const noexcept {
  if (busy() || !reusable_) return false;
  return !connected_ || now - idle_since_ < idle_limit_;
}

void HttpConnection::on_bytes(std::string_view bytes) {
  const auto self = shared_from_this();
  if (!busy()) {
    reusable_ = false;
    stream_->close();
    return;
  }
  take_answers(reader_.add(bytes));
}

void HttpConnection::take_answers(ReadState state) {
  while (state == ReadState::kDone) {
    http::Response response = reader_.take();
    if (!reader_.keep_alive() || reader_.waiting_bytes() > 0 || stream_->unsent_bytes() > 0) reusable_ = false;
    const std::string_view echoed = http::find(response.headers, match_header_);
    const bool unmarked_failure = echoed.empty() && response.status >= kFirstFailureStatus && !answered_before_;
    const bool matches = match_header_.empty() || echoed == match_value_ || unmarked_failure;
    if (matches) {
      note_keep_alive(response);
      finish(ExchangeEnd::kAnswered, std::move(response));
      return;
    }
    // A late second answer to an earlier request; the answer to this one is behind it.
    reusable_ = false;
    if (!stream_->open()) break;
    state = reader_.proceed();
  }
  if (state == ReadState::kNeedMore && hold_answer()) return;
  reusable_ = false;
  finish(ExchangeEnd::kMalformed, {});
}

bool HttpConnection::hold_answer() {
  if (memory_ == nullptr) return true;
  const std::size_t before = std::exchange(held_, reader_.held_bytes());
  return memory_->grow(before, held_);
}

void HttpConnection::release_memory() noexcept {
  if (memory_ != nullptr) memory_->release(std::exchange(held_, 0));
}

void HttpConnection::note_keep_alive(const http::Response& response) {
  const std::string_view value = http::find(response.headers, "Keep-Alive");
  const std::size_t at = value.find("timeout=");
  if (at == std::string_view::npos) return;
  int seconds = 0;
  const std::string_view number = value.substr(at + std::string_view("timeout=").size());
  const auto parsed = std::from_chars(number.data(), number.data() + number.size(), seconds);
  if (parsed.ec != std::errc() || seconds <= 0) return;
  idle_limit_ = std::max<core::Duration>(core::Duration::zero(), std::chrono::seconds(seconds) - kIdleMargin);
}

void HttpConnection::on_end(StreamEnd end) {
  const auto self = shared_from_this();
  reusable_ = false;
  if (!busy()) return;
  if (end == StreamEnd::kOrderly && reader_.end() == ReadState::kDone) {
    take_answers(ReadState::kDone);
    if (!busy()) return;
  }
  finish(ExchangeEnd::kLost, {});
}

void HttpConnection::finish(ExchangeEnd end, http::Response response) {
  const Done done = std::exchange(done_, nullptr);
  const bool reused = answered_before_;
  answered_before_ = true;
  idle_since_ = now();
  release_memory();
  if (!reusable_) stream_->close();
  if (done) done({end, std::move(response), reused});
}

void HttpConnection::close() {
  done_ = nullptr;
  reusable_ = false;
  release_memory();
  stream_->close();
}

}  // namespace damaskthread::mesh
