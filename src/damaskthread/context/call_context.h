#ifndef DAMASKTHREAD_CONTEXT_CALL_CONTEXT_H_
#define DAMASKTHREAD_CONTEXT_CALL_CONTEXT_H_

/// @file
/// @brief Call context carried in `Damask-` headers: bounded parsing and formatting.

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "damaskthread/core/types.h"

namespace damaskthread::context {

inline constexpr std::size_t kMaxValueBytes = 128;
/// The HTTP server accepts 4,096 bytes of headers per message; the context uses a small part of them.
inline constexpr std::size_t kMaxContextBytes = 600;
inline constexpr int kMaxDepth = 16;
inline constexpr int kMaxRetries = 8;
inline constexpr int kMaxAttempt = 100;
inline constexpr core::Duration kMaxDeadline = std::chrono::hours(1);

struct HeaderView {
  std::string_view name;
  std::string_view value;
};

using HeaderPairs = std::vector<std::pair<std::string, std::string>>;

/// Context of one call. Fields without a header are empty.
struct CallContext {
  std::string service;
  std::string request_id;
  std::optional<core::Importance> importance;
  std::optional<core::Duration> time_left;
  int retries = 0;
  bool at_most_once = false;
  int attempt = 0;
  /// Key of the running call that makes this call.
  std::string parent;
  int depth = 0;
  std::string call_key;
  std::string token;
  /// Key of the root request of the call chain; set only between daemons.
  std::optional<core::RequestKey> root;
};

/// @brief Parses the context from the headers of a request.
/// @param headers All headers of the request; those without the `Damask-` prefix are ignored.
/// @return The context, or a `core::Error` with the header name and the expected value.
[[nodiscard]] boost::leaf::result<CallContext> parse(std::span<const HeaderView> headers);

/// @brief Appends the headers of a context. Empty fields are omitted.
/// @param context The context.
/// @param headers Receives the name and value pairs.
void append_headers(const CallContext& context, HeaderPairs& headers);

/// @brief Whether a header name has the `Damask-` prefix.
[[nodiscard]] bool is_context_header(std::string_view name) noexcept;

/// @brief Whether a text is a valid service name: 1 to 63 of `a-z`, `0-9` and `-`.
[[nodiscard]] bool is_service_name(std::string_view text) noexcept;

/// @brief Formats a 128-bit key as 32 hexadecimal digits.
[[nodiscard]] std::string to_hex(const core::RequestKey& key);
/// @brief Parses a 128-bit key from 32 hexadecimal digits.
[[nodiscard]] std::optional<core::RequestKey> parse_key(std::string_view text) noexcept;

/// @brief Extracts the service name from a target such as `/svc/NAME/path?query` and removes the prefix.
/// @param target Path and query; modified only if it has a valid service prefix.
/// @return The service name, or an empty string.
[[nodiscard]] std::string extract_service_prefix(std::string& target);

}  // namespace damaskthread::context

#endif  // DAMASKTHREAD_CONTEXT_CALL_CONTEXT_H_
