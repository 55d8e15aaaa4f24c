#include "meshfleet/proxy.h"

#include <boost/asio/steady_timer.hpp>
#include <string>
#include <utility>
#include <vector>

#include "damaskthread/mesh/stream.h"

namespace damaskthread::meshfleet {
namespace {

constexpr std::chrono::milliseconds kDelay{80};
// The idle timeout is long so that the daemons detect faults, not the proxy.
constexpr mesh::StreamTimeouts kTimings{std::chrono::seconds{1}, std::chrono::seconds{60}};

// Limits consecutive writes, so that one connection cannot starve the others.
constexpr int kMaxConsecutiveWrites = 16;

}  // namespace

// A forwarded connection: the streams to the client and to the target.
class Proxy::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Proxy& owner, mesh::Stream::Socket socket)
      : owner_(owner),
        client_(std::make_shared<mesh::Stream>(std::move(socket), kTimings)),
        upstream_(std::make_shared<mesh::Stream>(owner.io_, kTimings)),
        client_reader_{*this, true},
        upstream_reader_{*this, false} {}

  void start() {
    upstream_->connect({"127.0.0.1", owner_.target_}, [self = shared_from_this()](mesh::ConnectResult end) {
      if (end != mesh::ConnectResult::kConnected) return self->close();
      self->upstream_->start(&self->upstream_reader_);
      self->client_->start(&self->client_reader_);
    });
  }

  void close() {
    const auto self = shared_from_this();
    client_->close();
    upstream_->close();
    owner_.connections_.erase(self);
  }

  void flush_held() {
    upstream_->write(std::exchange(held_for_upstream_, {}));
    client_->write(std::exchange(held_for_client_, {}));
  }

 private:
  struct Reader : mesh::StreamHandler {
    Reader(Connection& connection, bool reads_client) : owner(connection), from_client(reads_client) {}
    void on_bytes(std::string_view bytes) override { owner.forward(bytes, from_client); }
    void on_end(mesh::StreamCloseReason /*end*/) override { owner.close(); }
    Connection& owner;
    bool from_client;
  };

  void forward(std::string_view bytes, bool from_client) {
    const Mode mode = owner_.mode_;
    if (mode == Mode::kEndless || endless_) {
      if (from_client && !std::exchange(endless_, true)) send_endless(owner_.endless_start_);
      return;
    }
    if (mode == Mode::kSilent || (mode == Mode::kOneWay && !from_client)) {
      (from_client ? held_for_upstream_ : held_for_client_).append(bytes);
      return;
    }
    if (mode == Mode::kRepeatResponses) {
      if (from_client) {
        client_->write(std::exchange(last_response_, {}));
      } else {
        last_response_.append(bytes);
      }
    } else {
      last_response_.clear();
    }
    if (mode == Mode::kPass || mode == Mode::kRepeatResponses) {
      (from_client ? upstream_ : client_)->write(bytes);
      return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(owner_.io_);
    timer->expires_after(kDelay);
    timer->async_wait([self = shared_from_this(), timer, from_client, text = std::string(bytes)](const auto& error) {
      if (!error) (from_client ? self->upstream_ : self->client_)->write(text);
    });
  }

  // Fills the send buffer whenever the client has read a part of it.
  void send_endless(const std::string& text) {
    if (!client_->open()) return;
    owner_.endless_bytes_ += text.size();
    client_->write(text);
    for (int i = 0; i < kMaxConsecutiveWrites && client_->open() && client_->unsent_bytes() == 0; ++i) {
      owner_.endless_bytes_ += owner_.endless_repeated_.size();
      client_->write(owner_.endless_repeated_);
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(owner_.io_);
    timer->expires_after(std::chrono::milliseconds{1});
    timer->async_wait([self = shared_from_this(), timer](const auto& error) {
      if (!error) self->send_endless({});
    });
  }

  Proxy& owner_;
  bool endless_ = false;
  std::shared_ptr<mesh::Stream> client_;
  std::shared_ptr<mesh::Stream> upstream_;
  Reader client_reader_;
  Reader upstream_reader_;
  std::string held_for_upstream_;
  std::string held_for_client_;
  std::string last_response_;
};

Proxy::Proxy(boost::asio::io_context& io, std::uint16_t port, std::uint16_t target)
    : io_(io), acceptor_(io, {boost::asio::ip::make_address("127.0.0.1"), port}), target_(target) {
  accept();
}

void Proxy::accept() {
  acceptor_.async_accept([this](const boost::system::error_code& error, mesh::Stream::Socket socket) {
    if (error) return;
    const auto connection = std::make_shared<Connection>(*this, std::move(socket));
    connections_.insert(connection);
    connection->start();
    accept();
  });
}

void Proxy::set_mode(Mode mode) {
  mode_ = mode;
  if (mode == Mode::kSilent || mode == Mode::kOneWay) return;
  for (const auto& connection : std::vector<std::shared_ptr<Connection>>(connections_.begin(), connections_.end()))
    connection->flush_held();
}

void Proxy::set_endless_text(std::string start, std::string repeated) {
  endless_start_ = std::move(start);
  endless_repeated_ = std::move(repeated);
}

void Proxy::reset_all() {
  for (const auto& connection : std::vector<std::shared_ptr<Connection>>(connections_.begin(), connections_.end()))
    connection->close();
}

}  // namespace damaskthread::meshfleet
