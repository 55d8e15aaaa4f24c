#include "damaskthread/mesh/http_connection.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "damaskthread/mesh/clock.h"

namespace damaskthread::mesh {
namespace {

// Used until the server announces its own timeout.
constexpr core::Duration kDefaultIdleTimeout = std::chrono::seconds(4);
// A connection is no longer used this long before the server would close it.
constexpr core::Duration kIdleMargin = std::chrono::milliseconds(1500);
constexpr int kFirstNonSuccessStatus = 300;
// Bounds the memory for the values sent on one connection.
constexpr std::size_t kMaxMatchedRequests = 1024;

std::uint64_t hash_of(std::string_view value) noexcept { return XXH3_64bits(value.data(), value.size()); }

}  // namespace

HttpConnection::HttpConnection(boost::asio::io_context& io, http::Endpoint endpoint, const StreamTimeouts& timeouts)
    : endpoint_(std::move(endpoint)),
      stream_(std::make_shared<Stream>(io, timeouts)),
      idle_timeout_(kDefaultIdleTimeout) {}

HttpConnection::~HttpConnection() {
  release_memory();
  stream_->close();
}

void HttpConnection::send(const http::Request& request, Callback callback) {
  send(request, request.body.empty() ? nullptr : std::make_shared<const std::string>(request.body),
       std::move(callback));
}

void HttpConnection::send(const http::Request& request, http::SharedBody body, Callback callback) {
  callback_ = std::move(callback);
  if (!match_header_.empty()) {
    match_value_ = http::find(request.headers, match_header_);
    sent_values_.push_back(hash_of(match_value_));
    if (sent_values_.size() >= kMaxMatchedRequests) reusable_ = false;
  }
  std::string head = head_to_bytes(request, http::view(body).size());
  if (connected_) {
    stream_->write(head);
    stream_->write(std::move(body));
    return;
  }
  queued_head_ = std::move(head);
  queued_body_ = std::move(body);
  if (connecting_) return;
  connecting_ = true;
  stream_->connect(endpoint_, [weak = weak_from_this()](ConnectResult result) {
    if (const auto self = weak.lock()) self->on_connected(result == ConnectResult::kConnected);
  });
}

void HttpConnection::on_connected(bool connected) {
  connecting_ = false;
  if (!connected) {
    reusable_ = false;
    finish(ExchangeOutcome::kNotConnected, {});
    return;
  }
  connected_ = true;
  stream_->start(this);
  stream_->write(std::exchange(queued_head_, {}));
  stream_->write(std::exchange(queued_body_, nullptr));
}

bool HttpConnection::usable(core::TimePoint now) const noexcept {
  if (busy() || !reusable_) return false;
  return !connected_ || now - idle_since_ < idle_timeout_;
}

bool HttpConnection::has_sent(std::string_view match_value) const noexcept {
  return std::find(sent_values_.begin(), sent_values_.end(), hash_of(match_value)) != sent_values_.end();
}

void HttpConnection::on_bytes(std::string_view bytes) {
  const auto self = shared_from_this();
  if (!busy()) {
    reusable_ = false;
    stream_->close();
    return;
  }
  process_responses(reader_.add(bytes));
}

void HttpConnection::process_responses(ReadState state) {
  while (state == ReadState::kDone) {
    http::Response response = reader_.take();
    if (!reader_.keep_alive() || reader_.pending_bytes() > 0 || stream_->unsent_bytes() > 0) reusable_ = false;
    const std::string_view echoed = http::find(response.headers, match_header_);
    const bool failure_without_id = echoed.empty() && response.status >= kFirstNonSuccessStatus && !used_before_;
    const bool matches_request = match_header_.empty() || echoed == match_value_ || failure_without_id;
    if (matches_request) {
      update_idle_timeout(response);
      finish(ExchangeOutcome::kCompleted, std::move(response));
      return;
    }
    // A late duplicate response to an earlier request; the response to this one follows it.
    reusable_ = false;
    if (!stream_->open()) break;
    state = reader_.parse_pending();
  }
  if (state == ReadState::kNeedMore && reserve_response_memory()) return;
  reusable_ = false;
  finish(ExchangeOutcome::kMalformed, {});
}

bool HttpConnection::reserve_response_memory() {
  if (memory_limit_ == nullptr) return true;
  const std::size_t before = std::exchange(reserved_bytes_, reader_.held_bytes());
  return memory_limit_->grow(before, reserved_bytes_);
}

void HttpConnection::release_memory() noexcept {
  if (memory_limit_ != nullptr) memory_limit_->release(std::exchange(reserved_bytes_, 0));
}

void HttpConnection::update_idle_timeout(const http::Response& response) {
  const std::string_view value = http::find(response.headers, "Keep-Alive");
  const std::size_t position = value.find("timeout=");
  if (position == std::string_view::npos) return;
  int seconds = 0;
  const std::string_view number = value.substr(position + std::string_view("timeout=").size());
  const auto parsed = std::from_chars(number.data(), number.data() + number.size(), seconds);
  if (parsed.ec != std::errc() || seconds <= 0) return;
  idle_timeout_ = std::max<core::Duration>(core::Duration::zero(), std::chrono::seconds(seconds) - kIdleMargin);
}

void HttpConnection::on_end(StreamCloseReason reason) {
  const auto self = shared_from_this();
  reusable_ = false;
  if (!busy()) return;
  if (reason == StreamCloseReason::kEndOfStream && reader_.end() == ReadState::kDone) {
    process_responses(ReadState::kDone);
    if (!busy()) return;
  }
  finish(ExchangeOutcome::kConnectionLost, {});
}

void HttpConnection::finish(ExchangeOutcome outcome, http::Response response) {
  const Callback callback = std::exchange(callback_, nullptr);
  const bool reused = used_before_;
  used_before_ = true;
  idle_since_ = now();
  release_memory();
  if (!reusable_) stream_->close();
  if (callback) callback({outcome, std::move(response), reused});
}

void HttpConnection::close() {
  callback_ = nullptr;
  reusable_ = false;
  queued_body_.reset();
  release_memory();
  stream_->close();
}

}  // namespace damaskthread::mesh
