#include "damaskthread/http/message.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <utility>

namespace damaskthread::http {
namespace {

constexpr std::array<std::string_view, 10> kHopByHopHeaders = {
    "connection",        "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection", "te", "trailer",
    "transfer-encoding", "upgrade",    "content-length"};

// Returns nothing if a percent sign is not followed by two hexadecimal digits.
std::optional<std::string> percent_decode(std::string_view text) {
  constexpr std::size_t kEscapeSize = 3;
  std::string decoded;
  while (!text.empty()) {
    if (text.front() != '%') {
      decoded += text.front();
      text.remove_prefix(1);
      continue;
    }
    if (text.size() < kEscapeSize) return std::nullopt;
    std::uint8_t byte = 0;
    const auto [end, error] = std::from_chars(text.data() + 1, text.data() + kEscapeSize, byte, 16);
    if (error != std::errc() || end != text.data() + kEscapeSize) return std::nullopt;
    decoded += static_cast<char>(byte);
    text.remove_prefix(kEscapeSize);
  }
  return decoded;
}

char lower(char c) noexcept { return static_cast<char>(std::tolower(static_cast<unsigned char>(c))); }

std::string_view trim(std::string_view text) noexcept {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

std::vector<std::string> connection_options(const Headers& headers) {
  std::vector<std::string> options;
  for (const Header& header : headers) {
    if (!equal_names(header.name, "connection")) continue;
    std::string_view rest = header.value;
    while (!rest.empty()) {
      const std::size_t comma = rest.find(',');
      options.emplace_back(trim(rest.substr(0, comma)));
      rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
    }
  }
  return options;
}

}  // namespace

bool equal_names(std::string_view a, std::string_view b) noexcept {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) { return lower(x) == lower(y); });
}

std::string_view find(const Headers& headers, std::string_view name) noexcept {
  for (const Header& header : headers) {
    if (equal_names(header.name, name)) return header.value;
  }
  return {};
}

void set(Headers& headers, std::string_view name, std::string_view value) {
  std::erase_if(headers, [name](const Header& header) { return equal_names(header.name, name); });
  headers.push_back({std::string(name), std::string(value)});
}

void remove_hop_by_hop(Headers& headers) {
  const std::vector<std::string> options = connection_options(headers);
  std::erase_if(headers, [&options](const Header& header) {
    for (const std::string_view name : kHopByHopHeaders) {
      if (equal_names(header.name, name)) return true;
    }
    return std::any_of(options.begin(), options.end(),
                       [&header](const std::string& option) { return equal_names(header.name, option); });
  });
}

std::optional<std::vector<QueryParameter>> parse_query(std::string_view target) {
  std::vector<QueryParameter> parameters;
  const std::size_t mark = target.find('?');
  if (mark == std::string_view::npos) return parameters;
  std::string_view rest = target.substr(mark + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(pair.size() + 1, rest.size()));
    if (pair.empty()) continue;
    const std::size_t equals = std::min(pair.find('='), pair.size());
    auto name = percent_decode(pair.substr(0, equals));
    auto value = percent_decode(pair.substr(std::min(equals + 1, pair.size())));
    if (!name || !value) return std::nullopt;
    parameters.push_back({std::move(*name), std::move(*value)});
  }
  return parameters;
}

std::string encode_query_value(std::string_view text) {
  constexpr std::string_view kHexDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    const bool alphanumeric = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    if (alphanumeric || c == '-' || c == '.' || c == '_' || c == '~') {
      encoded += c;
      continue;
    }
    encoded += '%';
    encoded += kHexDigits[byte / 16];
    encoded += kHexDigits[byte % 16];
  }
  return encoded;
}

bool parse_endpoint(std::string_view text, Endpoint& endpoint) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return false;
  std::string_view host = text.substr(0, colon);
  const std::string_view port = text.substr(colon + 1);
  if (host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
  std::uint16_t number = 0;
  const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), number);
  if (error != std::errc() || end != port.data() + port.size() || number == 0 || host.empty()) return false;
  endpoint = {std::string(host), number};
  return true;
}

std::string to_string(const Endpoint& endpoint) {
  const bool v6 = endpoint.host.find(':') != std::string::npos;
  return (v6 ? "[" + endpoint.host + "]" : endpoint.host) + ":" + std::to_string(endpoint.port);
}

}  // namespace damaskthread::http
