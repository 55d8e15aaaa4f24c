#ifndef TEST_MESHFLEET_RESERVED_PORT_H_
#define TEST_MESHFLEET_RESERVED_PORT_H_

/// @file
/// @brief A port that no other fleet takes while this one runs.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>

namespace damaskthread::meshfleet {

/// @brief Holds a port of 127.0.0.1 with a bound socket that never listens. Whoever listens with SO_REUSEADDR, as our
/// programs do, can still take it, any number of times; another reservation cannot.
class ReservedPort {
 public:
  /// @param io Loop that the socket belongs to; it does no work there.
  explicit ReservedPort(boost::asio::io_context& io);

  [[nodiscard]] std::uint16_t number() const noexcept { return number_; }

 private:
  boost::asio::ip::tcp::socket holder_;
  std::uint16_t number_ = 0;
};

}  // namespace damaskthread::meshfleet

#endif  // TEST_MESHFLEET_RESERVED_PORT_H_
