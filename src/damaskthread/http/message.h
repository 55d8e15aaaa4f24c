#ifndef DAMASKTHREAD_HTTP_MESSAGE_H_
#define DAMASKTHREAD_HTTP_MESSAGE_H_

/// @file
/// @brief HTTP messages as plain values, independent of the library that sends or receives them.

#include <compare>
#include <cstdint>
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

struct Response {
  int status = 200;
  Headers headers;
  std::string body;
};

/// Address of a peer by IP number.
struct Endpoint {
  std::string host;
  std::uint16_t port = 0;
  std::strong_ordering operator<=>(const Endpoint&) const = default;
};

/// @brief Value of the first header with a name; names compare without case.
/// @param headers The headers of a message.
/// @param name The name to look for.
/// @return The value, or an empty view if there is no such header.
[[nodiscard]] std::string_view find(const Headers& headers, std::string_view name) noexcept;

/// @brief Whether two header names are the same without case.
[[nodiscard]] bool equal_names(std::string_view a, std::string_view b) noexcept;

/// @brief Replaces every header of a name by one value.
void set(Headers& headers, std::string_view name, std::string_view value);

/// @brief Removes the headers that are valid for one connection only (RFC 9110, section 7.6.1), those named by
/// `Connection` included, and the framing headers that the sending library writes itself.
/// @param headers The headers of a message that is passed on.
void remove_hop_by_hop(Headers& headers);

/// @brief Parses `ip:port`.
/// @param text The address; IPv6 numbers stand in brackets.
/// @param endpoint Set on success.
/// @return False if the text is no address.
[[nodiscard]] bool parse_endpoint(std::string_view text, Endpoint& endpoint);

/// @brief Formats an address as `ip:port`.
[[nodiscard]] std::string to_string(const Endpoint& endpoint);

}  // namespace damaskthread::http

#endif  // DAMASKTHREAD_HTTP_MESSAGE_H_
