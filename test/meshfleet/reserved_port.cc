#include "meshfleet/reserved_port.h"

#include <unistd.h>

#include <boost/asio/ip/address.hpp>
#include <stdexcept>

namespace damaskthread::meshfleet {
namespace {

// Ports below those that the kernel gives to outgoing connections, which could take one while a daemon restarts.
constexpr int kFirst = 15'000;
constexpr int kCount = 15'000;

}  // namespace

ReservedPort::ReservedPort(boost::asio::io_context& io) : holder_(io, boost::asio::ip::tcp::v4()) {
  static int next = static_cast<int>(getpid()) * 61 % kCount;
  for (int tried = 0; tried < kCount; ++tried) {
    next = (next + 1) % kCount;
    const auto port = static_cast<std::uint16_t>(kFirst + next);
    boost::system::error_code error;
    // Without SO_REUSEADDR this fails for a port that is reserved already.
    holder_.bind({boost::asio::ip::make_address("127.0.0.1"), port}, error);
    if (error) continue;
    holder_.set_option(boost::asio::socket_base::reuse_address(true));
    number_ = port;
    return;
  }
  throw std::runtime_error("no free port");
}

}  // namespace damaskthread::meshfleet
