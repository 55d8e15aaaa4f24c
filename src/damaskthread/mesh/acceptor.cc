#include "damaskthread/mesh/acceptor.h"

#include <boost/asio/ip/address.hpp>
#include <chrono>
#include <utility>

namespace damaskthread::mesh {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr int kBacklog = 1024;
// Without free descriptors every accept fails immediately; retrying without a delay would busy-loop.
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};

}  // namespace

Acceptor::Acceptor(asio::io_context& io, const http::Endpoint& endpoint, Handler handler)
    : acceptor_(io), retry_timer_(io), handler_(std::make_shared<Handler>(std::move(handler))) {
  const asio::ip::tcp::endpoint address(asio::ip::make_address(endpoint.host), endpoint.port);
  acceptor_.open(address.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(address);
  acceptor_.listen(kBacklog);
  accept();
}

void Acceptor::accept() {
  // The completion handler may run after this object is destroyed.
  acceptor_.async_accept([this, alive = std::weak_ptr(handler_)](const error_code& error, Stream::Socket socket) {
    if (alive.expired() || error == asio::error::operation_aborted) return;
    if (error) return retry_accept();
    // Keeps the handler alive during the call, even if it closes or destroys this acceptor.
    if (const auto handler = alive.lock()) (*handler)(std::move(socket));
    if (!alive.expired()) accept();
  });
}

void Acceptor::retry_accept() {
  retry_timer_.expires_after(kAcceptRetryDelay);
  retry_timer_.async_wait([this, alive = std::weak_ptr(handler_)](const error_code& error) {
    if (!error && !alive.expired()) accept();
  });
}

void Acceptor::accept_pending() {
  error_code error;
  acceptor_.non_blocking(true, error);
  while (!error && handler_ != nullptr) {
    Stream::Socket socket(acceptor_.get_executor());
    acceptor_.accept(socket, error);
    if (!error) (*std::shared_ptr(handler_))(std::move(socket));
  }
}

void Acceptor::close() {
  error_code ignored;
  acceptor_.close(ignored);
  retry_timer_.cancel();
  handler_.reset();
}

}  // namespace damaskthread::mesh
