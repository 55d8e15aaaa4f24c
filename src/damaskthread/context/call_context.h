#ifndef DAMASKTHREAD_CONTEXT_CALL_CONTEXT_H_
#define DAMASKTHREAD_CONTEXT_CALL_CONTEXT_H_

/// @file
/// @brief The context that travels with a call in `Damask-` headers: parsing with bounds, and formatting.

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
/// The HTTP server holds 4,096 bytes of headers for a message; the context takes a small part of it.
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

/// Context of one call. Fields that no header gave are empty.
struct CallContext {
  std::string service;
  std::string request_id;
  std::optional<core::Importance> importance;
  std::optional<core::Duration> time_left;
  int retries = 0;
  bool at_most_once = false;
  int attempt = 0;
  /// Handle of the running call that makes this call.
  std::string parent;
  int depth = 0;
  std::string call_key;
  std::string token;
  /// Root of the call chain; set between daemons only.
  std::optional<core::RequestKey> root;
};

/// @brief Reads the context from the headers of a request.
/// @param headers All headers of the request; those without the `Damask-` prefix are passed over.
/// @return The context, or a `core::Error` that names the header and what was expected.
[[nodiscard]] boost::leaf::result<CallContext> parse(std::span<const HeaderView> headers);

/// @brief Appends the context's headers; empty fields are left out.
/// @param context The context.
/// @param headers Receives name and value pairs.
void append_headers(const CallContext& context, HeaderPairs& headers);

/// @brief Whether a header belongs to the context.
[[nodiscard]] bool is_context_header(std::string_view name) noexcept;

/// @brief Whether a text may be a service name: 1 to 63 of `a-z`, `0-9` and `-`.
[[nodiscard]] bool is_service_name(std::string_view text) noexcept;

/// @brief Text form of a 128-bit key: 32 hexadecimal digits.
[[nodiscard]] std::string to_hex(const core::RequestKey& key);
/// @brief Parses the text form of a 128-bit key.
[[nodiscard]] std::optional<core::RequestKey> parse_key(std::string_view text) noexcept;

/// @brief Finds the service that a target names, as in `/svc/NAME/path?query`, and removes that prefix.
/// @param target Path and query; changed only if a service was found.
/// @return The service name, or an empty text.
[[nodiscard]] std::string take_service_prefix(std::string& target);

}  // namespace damaskthread::context

#endif  // DAMASKTHREAD_CONTEXT_CALL_CONTEXT_H_
