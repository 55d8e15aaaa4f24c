#ifndef TEST_MESHFLEET_PROXY_H_
#define TEST_MESHFLEET_PROXY_H_

/// @file
/// @brief A loopback proxy in front of one daemon's peer port, which harms the connections through it.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <set>

namespace damaskthread::meshfleet {

class Proxy {
 public:
  enum class Mode { kPass, kDelay, kSilent, kOneWay };

  Proxy(boost::asio::io_context& io, std::uint16_t port, std::uint16_t target);

  /// @brief Changes what happens to bytes from now on. Bytes held back are passed on when it ends.
  void set_mode(Mode mode);
  /// @brief Breaks all connections.
  void reset_all();

 private:
  class Pair;
  void accept();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint16_t target_;
  Mode mode_ = Mode::kPass;
  std::set<std::shared_ptr<Pair>> pairs_;
};

}  // namespace damaskthread::meshfleet

#endif  // TEST_MESHFLEET_PROXY_H_
