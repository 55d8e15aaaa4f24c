#ifndef TEST_MESHFLEET_PROXY_H_
#define TEST_MESHFLEET_PROXY_H_

/// @file
/// @brief Loopback proxy in front of a daemon's peer port, the store or a server, with fault injection.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <set>
#include <string>

namespace damaskthread::meshfleet {

/// @brief Forwards connections to a target port.
class Proxy {
 public:
  /// kSilent holds back the bytes of both directions, kOneWay those from the target. kRepeatResponses sends each
  /// response once more when the next request of its connection arrives; it is for connections that carry one request
  /// at a time. kEndless discards what the target sends and repeats the endless text instead.
  enum class Mode { kPass, kDelay, kSilent, kOneWay, kRepeatResponses, kEndless };

  Proxy(boost::asio::io_context& io, std::uint16_t port, std::uint16_t target);

  /// @brief Changes how further bytes are treated. Bytes held back are forwarded when the new mode holds none back.
  void set_mode(Mode mode);
  /// @brief Sets what connections to which a request is sent in the mode kEndless receive.
  /// @param start Sent once.
  /// @param repeated Sent again and again until the client closes the connection.
  void set_endless_text(std::string start, std::string repeated);
  /// @brief Closes all connections.
  void reset_all();
  /// @return Bytes sent in the mode kEndless.
  [[nodiscard]] std::size_t endless_bytes() const noexcept { return endless_bytes_; }

 private:
  class Connection;
  void accept();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint16_t target_;
  Mode mode_ = Mode::kPass;
  std::string endless_start_;
  std::string endless_repeated_;
  std::size_t endless_bytes_ = 0;
  std::set<std::shared_ptr<Connection>> connections_;
};

}  // namespace damaskthread::meshfleet

#endif  // TEST_MESHFLEET_PROXY_H_
