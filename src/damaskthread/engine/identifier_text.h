#ifndef DAMASKTHREAD_ENGINE_IDENTIFIER_TEXT_H_
#define DAMASKTHREAD_ENGINE_IDENTIFIER_TEXT_H_

/// @file
/// @brief Parsing of tokens and request ids for callers that treat every error as a missing value.

#include <optional>
#include <string_view>

#include "damaskthread/core/mac.h"
#include "damaskthread/execution/token.h"
#include "damaskthread/retry/request_id.h"

namespace damaskthread::engine::internal {

/// @brief Parses a token.
/// @return The token, or `std::nullopt` if the text is malformed or its authentication code is invalid.
[[nodiscard]] std::optional<execution::ExecutionToken> try_parse_token(std::string_view text, const core::MacKey& key);

/// @brief Parses a request id issued by a daemon.
/// @return The id, or `std::nullopt` if the text was chosen by the caller, is malformed or has an invalid
/// authentication code.
[[nodiscard]] std::optional<retry::RequestId> try_parse_request_id(std::string_view text, const core::MacKey& key);

}  // namespace damaskthread::engine::internal

#endif  // DAMASKTHREAD_ENGINE_IDENTIFIER_TEXT_H_
