#include "damaskthread/mesh/peer_link.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <utility>
#include <variant>
#include <vector>

#include "damaskthread/core/error.h"
#include "damaskthread/mesh/clock.h"

namespace damaskthread::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr StreamTimeouts kLinkTimeouts{milliseconds{700}, seconds{2}};
constexpr core::Duration kInitialBackoff = milliseconds{100};
constexpr core::Duration kMaxBackoff = seconds{2};
// Two and a half load update intervals. No requests are sent to a peer that is silent for longer.
constexpr core::Duration kSilenceTimeout = milliseconds{1000};
// A connection silent for this long is reopened: it may be dead while the peer is alive.
constexpr core::Duration kReconnectTimeout = milliseconds{2000};

}  // namespace

PeerLink::PeerLink(boost::asio::io_context& io, std::string endpoint, const Hooks& hooks)
    : io_(io), endpoint_(std::move(endpoint)), hooks_(hooks), backoff_(kInitialBackoff) {}

PeerLink::~PeerLink() {
  if (stream_ != nullptr) stream_->close();
}

void PeerLink::connect_stream(core::TimePoint /*now*/) {
  http::Endpoint address;
  if (!http::parse_endpoint(endpoint_, address)) return;
  connecting_ = true;
  reader_ = peer::FrameReader();
  stream_ = std::make_shared<Stream>(io_, kLinkTimeouts);
  stream_->connect(address, [weak = weak_from_this()](ConnectResult result) {
    if (const auto self = weak.lock()) self->on_connected(result);
  });
}

void PeerLink::on_connected(ConnectResult result) {
  connecting_ = false;
  if (result != ConnectResult::kConnected) {
    if (result == ConnectResult::kRefused) fail_pending();
    next_connect_ = now() + backoff_;
    backoff_ = std::min(2 * backoff_, kMaxBackoff);
    return;
  }
  connected_ = true;
  last_received_ = now();
  stream_->start(this);
  std::string bytes;
  peer::append_frame(bytes, hooks_.make_hello());
  stream_->write(bytes);
}

void PeerLink::tick(core::TimePoint now) {
  if (!connected_) {
    if (!connecting_ && now >= next_connect_) connect_stream(now);
    return;
  }
  const core::Duration silence = now - last_received_;
  if (silence > kReconnectTimeout) {
    disconnect();
    return;
  }
  if (handshake_done_) set_silent(silence > kSilenceTimeout);
}

void PeerLink::set_silent(bool silent) {
  if (silent == silent_) return;
  silent_ = silent;
  hooks_.on_reachability_changed(*this);
  if (silent) interrupt_pending();
}

void PeerLink::execute(const peer::Execute& execute, RequestObserver observer) {
  pending_[execute.stream] = {execute.idempotent, std::move(observer)};
  if (!handshake_done_) return;
  std::string head;
  peer::append_frame_head(head, execute);
  stream_->write(head);
  stream_->write(execute.body);
}

void PeerLink::cancel(std::uint64_t stream) {
  if (pending_.erase(stream) > 0) send(peer::Cancel{stream});
}

void PeerLink::send(const peer::Message& message) {
  if (!handshake_done_) return;
  std::string bytes;
  peer::append_frame(bytes, message);
  stream_->write(bytes);
}

void PeerLink::on_bytes(std::string_view bytes) {
  const auto self = shared_from_this();
  last_received_ = now();
  reader_.add(bytes);
  while (connected_) {
    const auto message = boost::leaf::try_handle_all([this]() { return reader_.next(); },
                                                     [this](const core::Error&) {
                                                       disconnect();
                                                       return std::optional<peer::Message>();
                                                     },
                                                     [this] {
                                                       disconnect();
                                                       return std::optional<peer::Message>();
                                                     });
    if (!message) return;
    on_message(peer::Message(*message));
  }
}

void PeerLink::on_message(peer::Message&& message) {
  if (const auto* hello = std::get_if<peer::Hello>(&message)) return on_hello(*hello);
  if (!handshake_done_) return disconnect();
  set_silent(false);
  if (const auto* result = std::get_if<peer::Result>(&message)) return on_result(*result);
  if (auto* status = std::get_if<peer::Status>(&message)) {
    status_ = std::move(*status);
    status_received_ = true;
    hooks_.on_status(*this, status_);
    return;
  }
  if (const auto* load_update = std::get_if<peer::LoadUpdate>(&message)) {
    status_.configuration_version = load_update->configuration_version;
    status_.load = load_update->load;
    return hooks_.on_load_update(*this, *load_update);
  }
  if (const auto* configuration = std::get_if<peer::Configuration>(&message)) {
    return hooks_.on_configuration(*configuration);
  }
  if (const auto* grant = std::get_if<peer::QuotaGrant>(&message)) return hooks_.on_quota_grant(*this, *grant);
  if (const auto* crash = std::get_if<peer::CrashNotice>(&message)) hooks_.on_crash_notice(*crash);
}

void PeerLink::on_hello(const peer::Hello& hello) {
  if (hello.protocol != peer::kProtocolVersion) return disconnect();
  if (hello.incarnation != incarnation_) fail_pending();
  incarnation_ = hello.incarnation;
  zone_ = hello.self.zone;
  handshake_done_ = true;
  silent_ = false;
  backoff_ = kInitialBackoff;
  for (const auto& [stream, pending] : pending_) send(peer::Resume{stream, pending.idempotent});
  hooks_.on_hello(*this, hello);
  hooks_.on_reachability_changed(*this);
}

void PeerLink::on_result(const peer::Result& result) {
  const auto found = pending_.extract(result.stream);
  if (!found.empty()) found.mapped().observer.on_result(result);
}

void PeerLink::fail_pending() {
  const auto pending = std::exchange(pending_, {});
  for (const auto& [stream, request] : pending) {
    peer::Result result;
    result.stream = stream;
    result.verdict = core::may_have_run(core::Cause::kCrashed);
    result.reached_server = true;
    result.load = status_.load;
    request.observer.on_result(result);
  }
}

void PeerLink::interrupt_pending() {
  std::vector<std::function<void()>> callbacks;
  for (const auto& [stream, request] : pending_) {
    if (request.idempotent && request.observer.on_interrupted) callbacks.push_back(request.observer.on_interrupted);
  }
  for (const auto& callback : callbacks) callback();
}

void PeerLink::on_end(StreamCloseReason /*reason*/) { disconnect(); }

void PeerLink::disconnect() {
  const auto self = shared_from_this();
  if (stream_ != nullptr) stream_->close();
  const bool was_reachable = reachable();
  connected_ = false;
  handshake_done_ = false;
  silent_ = false;
  next_connect_ = now();
  if (was_reachable) hooks_.on_reachability_changed(*this);
  interrupt_pending();
}

void PeerLink::close() {
  if (stream_ != nullptr) stream_->close();
  pending_.clear();
  connected_ = false;
  handshake_done_ = false;
  next_connect_ = core::TimePoint::max();
}

}  // namespace damaskthread::mesh
