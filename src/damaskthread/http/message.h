#ifndef DAMASKTHREAD_HTTP_MESSAGE_H_
#define DAMASKTHREAD_HTTP_MESSAGE_H_

/// @file
/// @brief HTTP messages as plain values, independent of the library that sends or receives them.

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damaskthread::http {

struct Header {
  std::string name;
  std::string value;
};

using Headers = std::vector<Header>;

struct Request {
  std::string method = "GET";
  /// Path and query, as in the request line.
  std::string target = "/";
  Headers headers;
  std::string body;
};

/// Body that several holders share without copying it; null if empty.
using SharedBody = std::shared_ptr<const std::string>;

/// @return The bytes of a shared body.
[[nodiscard]] inline std::string_view view(const SharedBody& body) noexcept {
  if (body == nullptr) return {};
  return *body;
}

struct Response {
  int status = 200;
  Headers headers;
  std::string body;
};

/// IP address and port of a peer.
struct Endpoint {
  std::string host;
  std::uint16_t port = 0;
  std::strong_ordering operator<=>(const Endpoint&) const = default;
};

/// @brief Finds the first header with a name, case-insensitively.
/// @param headers The headers of a message.
/// @param name The name to look for.
/// @return The value, or an empty view if there is no such header.
[[nodiscard]] std::string_view find(const Headers& headers, std::string_view name) noexcept;

/// @brief Compares two header names case-insensitively.
[[nodiscard]] bool equal_names(std::string_view a, std::string_view b) noexcept;

/// @brief Replaces all headers with a name by a single value.
void set(Headers& headers, std::string_view name, std::string_view value);

/// @brief Removes hop-by-hop headers (RFC 9110, section 7.6.1), including those listed in
/// `Connection`, and the framing headers that the sending library writes itself.
/// @param headers Headers of a forwarded message.
void remove_hop_by_hop(Headers& headers);

/// A parameter of a query, percent-decoded.
struct QueryParameter {
  std::string name;
  std::string value;
};

/// @brief Parses the query of a target, `name=value` pairs separated by `&` (RFC 3986). A plus sign stands for itself.
/// @param target Path and query; without a query there are no parameters.
/// @return The parameters in their order, or nothing if a percent-encoding is invalid.
[[nodiscard]] std::optional<std::vector<QueryParameter>> parse_query(std::string_view target);

/// @brief Percent-encodes all characters that are not unreserved (RFC 3986, section 2.3).
[[nodiscard]] std::string encode_query_value(std::string_view text);

/// @brief Parses `ip:port`.
/// @param text The address; IPv6 addresses are in brackets.
/// @param endpoint Set on success.
/// @return False if the text is not a valid address.
[[nodiscard]] bool parse_endpoint(std::string_view text, Endpoint& endpoint);

/// @brief Formats an address as `ip:port`.
[[nodiscard]] std::string to_string(const Endpoint& endpoint);

}  // namespace damaskthread::http

#endif  // DAMASKTHREAD_HTTP_MESSAGE_H_
