#ifndef TEST_DAMASKTHREAD_MESH_SCRIPTED_SERVER_H_
#define TEST_DAMASKTHREAD_MESH_SCRIPTED_SERVER_H_

/// @file
/// @brief An HTTP server that responds with the bytes a test specifies.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "damaskthread/mesh/http_codec.h"
#include "damaskthread/mesh/stream.h"

namespace damaskthread::mesh {

/// @brief Passes each request to a script, which writes the raw response bytes.
class ScriptedServer {
 public:
  /// One connection. A script responds to a request with `write`, `finish` and `reset`.
  class Connection : public StreamHandler, public std::enable_shared_from_this<Connection> {
   public:
    Connection(ScriptedServer& owner, Stream::Socket socket)
        : owner_(owner),
          stream_(std::make_shared<Stream>(std::move(socket), StreamTimeouts{})),
          reader_(65536, 1 << 20) {}
    void start() { stream_->start(this); }
    void write(std::string_view bytes) { stream_->write(bytes); }
    void finish() { stream_->close_after_write(); }
    void reset() { stream_->close(); }
    void on_bytes(std::string_view bytes) override {
      const auto self = shared_from_this();
      for (ReadState state = reader_.add(bytes); state == ReadState::kDone; state = reader_.parse_pending()) {
        const http::Request request = reader_.take();
        owner_.requests.push_back(request);
        owner_.script(request, *this);
        if (reader_.pending_bytes() == 0) break;
      }
    }
    void on_end(StreamCloseReason /*reason*/) override { ++owner_.closed; }

   private:
    ScriptedServer& owner_;
    std::shared_ptr<Stream> stream_;
    RequestReader reader_;
  };
  using Script = std::function<void(const http::Request&, Connection&)>;

  explicit ScriptedServer(boost::asio::io_context& io)
      : acceptor_(io, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    accept();
  }

  [[nodiscard]] http::Endpoint endpoint() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
  void stop() {
    acceptor_.close();
    for (const auto& connection : connections_) connection->reset();
  }

  Script script;
  std::vector<http::Request> requests;
  int accepted = 0;
  int closed = 0;

 private:
  void accept() {
    acceptor_.async_accept([this](const boost::system::error_code& error, Stream::Socket socket) {
      if (error) return;
      ++accepted;
      connections_.push_back(std::make_shared<Connection>(*this, std::move(socket)));
      connections_.back()->start();
      accept();
    });
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<Connection>> connections_;
};

}  // namespace damaskthread::mesh

#endif  // TEST_DAMASKTHREAD_MESH_SCRIPTED_SERVER_H_
