#ifndef TEST_MESHFLEET_RESERVED_PORT_H_
#define TEST_MESHFLEET_RESERVED_PORT_H_

/// @file
/// @brief Reserves ports so that fleets running in parallel do not collide.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>

namespace damaskthread::meshfleet {

/// @brief Reserves a port of 127.0.0.1 with a bound socket that never listens. A program that sets SO_REUSEADDR, as
/// ours do, can still listen on it, any number of times; another reservation of the port fails.
class ReservedPort {
 public:
  /// @param io Event loop of the socket, which performs no operation on it.
  explicit ReservedPort(boost::asio::io_context& io);

  [[nodiscard]] std::uint16_t number() const noexcept { return number_; }

 private:
  boost::asio::ip::tcp::socket socket_;
  std::uint16_t number_ = 0;
};

}  // namespace damaskthread::meshfleet

#endif  // TEST_MESHFLEET_RESERVED_PORT_H_
