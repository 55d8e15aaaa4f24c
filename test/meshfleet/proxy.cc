#include "meshfleet/proxy.h"

#include <boost/asio/steady_timer.hpp>
#include <string>
#include <utility>
#include <vector>

#include "damaskthread/mesh/stream.h"

namespace damaskthread::meshfleet {
namespace {

constexpr std::chrono::milliseconds kDelay{80};
// Faults are meant to be noticed by the daemons, not by the proxy.
constexpr mesh::StreamTimeouts kTimings{std::chrono::seconds{1}, std::chrono::seconds{60}};

}  // namespace

// The two halves of one connection.
class Proxy::Pair : public std::enable_shared_from_this<Pair> {
 public:
  Pair(Proxy& owner, mesh::Stream::Socket socket)
      : owner_(owner),
        near_(std::make_shared<mesh::Stream>(std::move(socket), kTimings)),
        far_(std::make_shared<mesh::Stream>(owner.io_, kTimings)),
        near_reader_{*this, true},
        far_reader_{*this, false} {}

  void start() {
    far_->connect({"127.0.0.1", owner_.target_}, [self = shared_from_this()](mesh::ConnectResult end) {
      if (end != mesh::ConnectResult::kConnected) return self->close();
      self->far_->start(&self->far_reader_);
      self->near_->start(&self->near_reader_);
    });
  }

  void close() {
    const auto self = shared_from_this();
    near_->close();
    far_->close();
    owner_.pairs_.erase(self);
  }

  void release() {
    far_->write(std::exchange(held_to_far_, {}));
    near_->write(std::exchange(held_to_near_, {}));
  }

 private:
  struct Reader : mesh::StreamHandler {
    Reader(Pair& pair, bool reads_near) : owner(pair), from_near(reads_near) {}
    void on_bytes(std::string_view bytes) override { owner.forward(bytes, from_near); }
    void on_end(mesh::StreamCloseReason /*end*/) override { owner.close(); }
    Pair& owner;
    bool from_near;
  };

  void forward(std::string_view bytes, bool from_near) {
    const Mode mode = owner_.mode_;
    if (mode == Mode::kSilent || (mode == Mode::kOneWay && !from_near)) {
      (from_near ? held_to_far_ : held_to_near_).append(bytes);
      return;
    }
    if (mode == Mode::kPass) {
      (from_near ? far_ : near_)->write(bytes);
      return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(owner_.io_);
    timer->expires_after(kDelay);
    timer->async_wait([self = shared_from_this(), timer, from_near, text = std::string(bytes)](const auto& error) {
      if (!error) (from_near ? self->far_ : self->near_)->write(text);
    });
  }

  Proxy& owner_;
  std::shared_ptr<mesh::Stream> near_;
  std::shared_ptr<mesh::Stream> far_;
  Reader near_reader_;
  Reader far_reader_;
  std::string held_to_far_;
  std::string held_to_near_;
};

Proxy::Proxy(boost::asio::io_context& io, std::uint16_t port, std::uint16_t target)
    : io_(io), acceptor_(io, {boost::asio::ip::make_address("127.0.0.1"), port}), target_(target) {
  accept();
}

void Proxy::accept() {
  acceptor_.async_accept([this](const boost::system::error_code& error, mesh::Stream::Socket socket) {
    if (error) return;
    const auto pair = std::make_shared<Pair>(*this, std::move(socket));
    pairs_.insert(pair);
    pair->start();
    accept();
  });
}

void Proxy::set_mode(Mode mode) {
  mode_ = mode;
  if (mode == Mode::kSilent || mode == Mode::kOneWay) return;
  for (const auto& pair : std::vector<std::shared_ptr<Pair>>(pairs_.begin(), pairs_.end())) pair->release();
}

void Proxy::reset_all() {
  for (const auto& pair : std::vector<std::shared_ptr<Pair>>(pairs_.begin(), pairs_.end())) pair->close();
}

}  // namespace damaskthread::meshfleet
