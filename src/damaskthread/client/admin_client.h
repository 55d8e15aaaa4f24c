#ifndef DAMASKTHREAD_CLIENT_ADMIN_CLIENT_H_
#define DAMASKTHREAD_CLIENT_ADMIN_CLIENT_H_

/// @file
/// @brief Requests to the admin ports of a few daemons, any of which can answer.

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/http/message.h"

namespace damaskthread::client {

/// Why there is no answer.
enum class NoAnswer : std::uint8_t {
  kUnavailable,  ///< Nothing was sent to any daemon.
  kUnknown,      ///< A daemon got the request and its answer is lost.
};

using Answer = std::variant<http::Response, NoAnswer>;

/// Sends one request to one daemon, once.
using Transport = std::function<Answer(const http::Endpoint&, const http::Request&, core::Duration timeout)>;

/// @brief The transport over TCP.
[[nodiscard]] Transport http_transport();

/// Asks the daemons in turn until one answers, and goes on with that one.
class AdminClient {
 public:
  /// @param servers Admin ports; at least one.
  /// @param token Token of the operator; may be empty.
  AdminClient(Transport transport, std::vector<http::Endpoint> servers, std::string token);

  /// @brief Sends a request. A request without side effects, or one that carries an operation id, may be sent to the
  /// next daemon although the one before may have got it.
  [[nodiscard]] Answer send(http::Request request, core::Duration timeout);
  /// @brief `GET`.
  [[nodiscard]] Answer read(std::string target, core::Duration timeout);

 private:
  Transport transport_;
  std::vector<http::Endpoint> servers_;
  std::string token_;
  std::size_t current_ = 0;
};

}  // namespace damaskthread::client

#endif  // DAMASKTHREAD_CLIENT_ADMIN_CLIENT_H_
