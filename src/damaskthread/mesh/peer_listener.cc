#include "damaskthread/mesh/peer_listener.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <numeric>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "damaskthread/core/error.h"

namespace damaskthread::mesh {
namespace {

namespace asio = boost::asio;

constexpr StreamTimeouts kSessionTimeouts{std::chrono::milliseconds{700}, std::chrono::seconds{2}};

// Many peers may request a large configuration at once. No further copy is queued while this much is unsent.
constexpr std::size_t kMaxUnsentBytesForConfiguration = std::size_t{2} << 20U;

}  // namespace

// One connection of a peer.
class PeerListener::PeerSession : public StreamHandler, public std::enable_shared_from_this<PeerSession> {
 public:
  PeerSession(PeerListener& owner, Stream::Socket socket)
      : owner_(owner),
        stream_(std::make_shared<Stream>(std::move(socket), kSessionTimeouts)),
        reader_(owner.hooks_.reserve_body) {}

  void start() {
    stream_->start(this);
    send(owner_.hooks_.make_hello());
    send(owner_.hooks_.make_status());
    for (const quarantine::CrashReport& report : owner_.hooks_.recent_crashes()) send(peer::CrashNotice{report});
  }

  void send(const peer::Message& message) {
    std::string bytes;
    peer::append_frame(bytes, message);
    write(bytes);
  }

  void write(std::string_view bytes) { stream_->write(bytes); }

  void on_bytes(std::string_view bytes) override {
    const auto self = shared_from_this();
    reader_.add(bytes);
    while (stream_->open()) {
      auto message = boost::leaf::try_handle_all([this]() { return reader_.next(); },
                                                 [this](const core::Error&) { return drop_on_error(); },
                                                 [this] { return drop_on_error(); });
      if (!message) return;
      on_message(std::move(*message));
    }
  }

  void on_end(StreamCloseReason /*reason*/) override { drop(); }

  void drop() {
    const auto self = shared_from_this();
    stream_->close();
    owner_.sessions_.erase(self);
    if (peer_incarnation_.value != 0 && !owner_.reconnected(*this)) owner_.gate_.detach(peer_incarnation_);
  }

  [[nodiscard]] std::size_t unsent_bytes() const noexcept { return stream_->open() ? stream_->unsent_bytes() : 0; }
  [[nodiscard]] core::Incarnation peer_incarnation() const noexcept { return peer_incarnation_; }

 private:
  std::optional<peer::Message> drop_on_error() {
    drop();
    return std::nullopt;
  }

  void on_message(peer::Message&& message) {
    if (const auto* hello = std::get_if<peer::Hello>(&message)) {
      if (hello->protocol != peer::kProtocolVersion) return drop();
      peer_incarnation_ = hello->incarnation;
      peer_endpoint_ = hello->self.endpoint;
      owner_.hooks_.on_hello(*hello);
      return;
    }
    if (peer_incarnation_.value == 0) return drop();
    if (auto* execute = std::get_if<peer::Execute>(&message)) {
      owner_.gate_.execute(peer_incarnation_, std::move(*execute), make_reply());
    } else if (const auto* cancel = std::get_if<peer::Cancel>(&message)) {
      owner_.gate_.cancel({peer_incarnation_, cancel->stream});
    } else if (const auto* resume = std::get_if<peer::Resume>(&message)) {
      owner_.gate_.resume({peer_incarnation_, resume->stream}, resume->idempotent, make_reply());
    } else if (std::holds_alternative<peer::ConfigurationRequest>(message)) {
      // A peer that gets no configuration requests it from another daemon, which may have it by then.
      if (owner_.unsent_bytes() >= kMaxUnsentBytesForConfiguration) return;
      if (const auto configuration = owner_.hooks_.current_configuration()) send(*configuration);
    } else if (const auto* report = std::get_if<peer::QuotaReport>(&message)) {
      send(peer::QuotaGrant{owner_.hooks_.on_quota_report(peer_endpoint_, report->report)});
    } else if (const auto* crash = std::get_if<peer::CrashNotice>(&message)) {
      owner_.hooks_.on_crash_notice(*crash);
    }
  }

  LocalExecutor::Reply make_reply() {
    return [weak = weak_from_this()](const peer::Result& result) {
      const auto self = weak.lock();
      if (self != nullptr) self->send(result);
    };
  }

  PeerListener& owner_;
  std::shared_ptr<Stream> stream_;
  peer::FrameReader reader_;
  core::Incarnation peer_incarnation_;
  std::string peer_endpoint_;
};

PeerListener::PeerListener(asio::io_context& io, const http::Endpoint& endpoint, LocalExecutor& gate, Hooks hooks)
    : gate_(gate),
      hooks_(std::move(hooks)),
      acceptor_(io, endpoint, [this](Stream::Socket socket) { add_session(std::move(socket)); }) {}

PeerListener::~PeerListener() { close(); }

void PeerListener::add_session(Stream::Socket socket) {
  const auto session = std::make_shared<PeerSession>(*this, std::move(socket));
  sessions_.insert(session);
  session->start();
}

bool PeerListener::reconnected(const PeerSession& session) const {
  return std::any_of(sessions_.begin(), sessions_.end(),
                     [&session](const auto& other) { return other->peer_incarnation() == session.peer_incarnation(); });
}

void PeerListener::broadcast(const peer::Message& message) {
  std::string bytes;
  peer::append_frame(bytes, message);
  for (const auto& session : sessions_) session->write(bytes);
}

std::size_t PeerListener::unsent_bytes() const {
  return std::accumulate(sessions_.begin(), sessions_.end(), std::size_t{0},
                         [](std::size_t total, const auto& session) { return total + session->unsent_bytes(); });
}

void PeerListener::close() {
  acceptor_.close();
  const std::vector<std::shared_ptr<PeerSession>> sessions(sessions_.begin(), sessions_.end());
  for (const auto& session : sessions) session->drop();
}

}  // namespace damaskthread::mesh
