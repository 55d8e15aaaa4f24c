#ifndef DAMASKTHREAD_EXECUTION_TOKEN_H_
#define DAMASKTHREAD_EXECUTION_TOKEN_H_

/// @file
/// @brief Token that permits one execution of one request by one incarnation of a daemon.

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "damaskthread/core/mac.h"
#include "damaskthread/core/types.h"

namespace damaskthread::execution {

/// Maximum length of an encoded token.
inline constexpr std::size_t kMaxTokenLength = 128;

/// Authenticated token. The service name is covered by the fingerprint, which keeps the size of the token fixed.
struct ExecutionToken {
  core::ServerId server{};
  core::Incarnation incarnation{};
  std::uint64_t sequence = 0;
  std::uint64_t fingerprint = 0;
  core::TimePoint expiry{};  ///< By the monotonic clock of the issuing incarnation; meaningless to other processes.
  core::Mac mac{};

  bool operator==(const ExecutionToken&) const = default;
};

/// @brief Computes the fingerprint of a request.
/// @param service Name of the service.
/// @param method HTTP method.
/// @param path Path and query.
/// @param body Complete body.
/// @return Hash of all parts; moving bytes from one part to the next changes it.
[[nodiscard]] std::uint64_t fingerprint(std::string_view service, std::string_view method, std::string_view path,
                                        std::string_view body) noexcept;

/// @brief Computes the MAC over the fields of a token.
[[nodiscard]] core::Mac compute_token_mac(const ExecutionToken& token, const core::MacKey& key) noexcept;
/// @brief Encodes the token for the `Damask-Token` header.
[[nodiscard]] std::string to_string(const ExecutionToken& token);
/// @brief Decodes a token and verifies its MAC.
/// @param text The header's value.
/// @param key The shared key.
/// @return The token, or a `core::Error` that tells a malformed text from an invalid MAC.
[[nodiscard]] boost::leaf::result<ExecutionToken> parse_token(std::string_view text, const core::MacKey& key);

}  // namespace damaskthread::execution

#endif  // DAMASKTHREAD_EXECUTION_TOKEN_H_
