#include "meshfleet/reserved_port.h"

#include <unistd.h>

#include <boost/asio/ip/address.hpp>
#include <stdexcept>

namespace damaskthread::meshfleet {
namespace {

// Below the kernel's ephemeral range, from which an outgoing connection could take a port while a daemon restarts.
constexpr int kFirstPort = 15'000;
constexpr int kPortCount = 15'000;

}  // namespace

ReservedPort::ReservedPort(boost::asio::io_context& io) : socket_(io, boost::asio::ip::tcp::v4()) {
  static int next = static_cast<int>(getpid()) * 61 % kPortCount;
  for (int tried = 0; tried < kPortCount; ++tried) {
    next = (next + 1) % kPortCount;
    const auto port = static_cast<std::uint16_t>(kFirstPort + next);
    boost::system::error_code error;
    // Without SO_REUSEADDR, binding fails for a port that is already reserved.
    socket_.bind({boost::asio::ip::make_address("127.0.0.1"), port}, error);
    if (error) continue;
    socket_.set_option(boost::asio::socket_base::reuse_address(true));
    number_ = port;
    return;
  }
  throw std::runtime_error("no free port");
}

}  // namespace damaskthread::meshfleet
