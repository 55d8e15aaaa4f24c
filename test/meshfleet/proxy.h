#ifndef TEST_MESHFLEET_PROXY_H_
#define TEST_MESHFLEET_PROXY_H_

/// @file
/// @brief Loopback proxy in front of a daemon's peer port, the store or a server, with fault injection.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <set>

namespace damaskthread::meshfleet {

/// @brief Forwards connections to a target port.
class Proxy {
 public:
  /// kSilent holds back the bytes of both directions, kOneWay those from the target. kRepeatResponses sends each
  /// response once more when the next request of its connection arrives; it is for connections that carry one request
  /// at a time.
  enum class Mode { kPass, kDelay, kSilent, kOneWay, kRepeatResponses };

  Proxy(boost::asio::io_context& io, std::uint16_t port, std::uint16_t target);

  /// @brief Changes how further bytes are treated. Bytes held back are forwarded when the new mode holds none back.
  void set_mode(Mode mode);
  /// @brief Closes all connections.
  void reset_all();

 private:
  class Connection;
  void accept();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint16_t target_;
  Mode mode_ = Mode::kPass;
  std::set<std::shared_ptr<Connection>> connections_;
};

}  // namespace damaskthread::meshfleet

#endif  // TEST_MESHFLEET_PROXY_H_
