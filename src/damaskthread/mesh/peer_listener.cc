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

constexpr StreamTimings kGuestTimings{std::chrono::milliseconds{700}, std::chrono::seconds{2}};

// A configuration of many routes is asked for by many daemons at once; no more copies are begun while so much waits.
constexpr std::size_t kMaxUnsentForConfiguration = std::size_t{2} << 20U;

}  // namespace

// One connection of another daemon.
class PeerListener::Guest : public StreamHandler, public std::enable_shared_from_this<Guest> {
 public:
  Guest(PeerListener& owner, Stream::Socket socket)
      : owner_(owner), stream_(std::make_shared<Stream>(std::move(socket), kGuestTimings)) {}

  void start() {
    stream_->start(this);
    send(owner_.hooks_.greeting());
    send(owner_.hooks_.status());
    for (const quarantine::CrashReport& report : owner_.hooks_.crashes()) send(peer::CrashNotice{report});
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
      auto message =
          boost::leaf::try_handle_all([this]() { return reader_.next(); },
                                      [this](const core::Error&) { return dropped(); }, [this] { return dropped(); });
      if (!message) return;
      on_message(std::move(*message));
    }
  }

  void on_end(StreamEnd /*end*/) override { drop(); }

  void drop() {
    const auto self = shared_from_this();
    stream_->close();
    owner_.guests_.erase(self);
    if (sender_.value != 0 && !owner_.replaced(*this)) owner_.gate_.detach(sender_);
  }

  [[nodiscard]] std::size_t unsent() const noexcept { return stream_->open() ? stream_->unsent() : 0; }
  [[nodiscard]] core::Incarnation sender() const noexcept { return sender_; }

 private:
  std::optional<peer::Message> dropped() {
    drop();
    return std::nullopt;
  }

  void on_message(peer::Message&& message) {
    if (const auto* hello = std::get_if<peer::Hello>(&message)) {
      if (hello->protocol != peer::kProtocolVersion) return drop();
      sender_ = hello->incarnation;
      owner_.hooks_.greeted(*hello);
      return;
    }
    if (sender_.value == 0) return drop();
    if (auto* execute = std::get_if<peer::Execute>(&message)) {
      owner_.gate_.execute(sender_, std::move(*execute), reply());
    } else if (const auto* cancel = std::get_if<peer::Cancel>(&message)) {
      owner_.gate_.cancel({sender_, cancel->stream});
    } else if (const auto* resume = std::get_if<peer::Resume>(&message)) {
      owner_.gate_.resume({sender_, resume->stream}, resume->idempotent, reply());
    } else if (std::holds_alternative<peer::ConfigurationRequest>(message)) {
      // Whoever gets none asks another daemon, which may have it by then.
      if (owner_.unsent() >= kMaxUnsentForConfiguration) return;
      if (const auto configuration = owner_.hooks_.configuration()) send(*configuration);
    } else if (const auto* crash = std::get_if<peer::CrashNotice>(&message)) {
      owner_.hooks_.crash(*crash);
    }
  }

  LocalExecutor::Reply reply() {
    return [weak = weak_from_this()](const peer::Result& result) {
      const auto self = weak.lock();
      if (self != nullptr) self->send(result);
    };
  }

  PeerListener& owner_;
  std::shared_ptr<Stream> stream_;
  peer::FrameReader reader_;
  core::Incarnation sender_;
};

PeerListener::PeerListener(asio::io_context& io, const http::Endpoint& endpoint, LocalExecutor& gate, Hooks hooks)
    : gate_(gate),
      hooks_(std::move(hooks)),
      acceptor_(io, endpoint, [this](Stream::Socket socket) { take(std::move(socket)); }) {}

PeerListener::~PeerListener() { close(); }

void PeerListener::take(Stream::Socket socket) {
  const auto guest = std::make_shared<Guest>(*this, std::move(socket));
  guests_.insert(guest);
  guest->start();
}

bool PeerListener::replaced(const Guest& guest) const {
  return std::any_of(guests_.begin(), guests_.end(),
                     [&guest](const auto& other) { return other->sender() == guest.sender(); });
}

void PeerListener::broadcast(const peer::Message& message) {
  std::string bytes;
  peer::append_frame(bytes, message);
  for (const auto& guest : guests_) guest->write(bytes);
}

std::size_t PeerListener::unsent() const {
  return std::accumulate(guests_.begin(), guests_.end(), std::size_t{0},
                         [](std::size_t total, const auto& guest) { return total + guest->unsent(); });
}

void PeerListener::close() {
  acceptor_.close();
  const std::vector<std::shared_ptr<Guest>> guests(guests_.begin(), guests_.end());
  for (const auto& guest : guests) guest->drop();
}

}  // namespace damaskthread::mesh
