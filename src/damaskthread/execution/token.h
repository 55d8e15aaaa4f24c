#ifndef DAMASKTHREAD_EXECUTION_TOKEN_H_
#define DAMASKTHREAD_EXECUTION_TOKEN_H_

/// @file
/// @brief Token that allows one execution of one request by one incarnation of a daemon.

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "damaskthread/core/mac.h"
#include "damaskthread/core/types.h"

namespace damaskthread::execution {

/// Longest text form of a token.
inline constexpr std::size_t kMaxTokenText = 128;

/// The service is part of the fingerprint, so that the token has a fixed size whatever the length of its name.
struct ExecutionToken {
  core::ServerId server{};
  core::Incarnation incarnation{};
  std::uint64_t sequence = 0;
  std::uint64_t fingerprint = 0;
  core::TimePoint expiry{};  ///< Monotonic clock of the issuing incarnation; meaningless to others.
  core::Mac mac{};

  bool operator==(const ExecutionToken&) const = default;
};

/// @brief Fingerprint of a request.
/// @param service Name of the service.
/// @param method HTTP method.
/// @param path Path and query.
/// @param body Whole body.
/// @return A hash that differs if any part differs, also if bytes move from one part to the next.
[[nodiscard]] std::uint64_t fingerprint(std::string_view service, std::string_view method, std::string_view path,
                                        std::string_view body) noexcept;

/// @brief Computes the code of a token's fields.
[[nodiscard]] core::Mac mac_of(const ExecutionToken& token, const core::MacKey& key) noexcept;
/// @brief Text form for the `Damask-Token` header.
[[nodiscard]] std::string to_string(const ExecutionToken& token);
/// @brief Parses the text form and checks its code.
/// @param text The header's value.
/// @param key The shared key.
/// @return The token, or a `core::Error` that says whether the text is malformed or the code is wrong.
[[nodiscard]] boost::leaf::result<ExecutionToken> parse_token(std::string_view text, const core::MacKey& key);

}  // namespace damaskthread::execution

#endif  // DAMASKTHREAD_EXECUTION_TOKEN_H_
