#ifndef DAMASKTHREAD_ENGINE_IDENTIFIER_TEXT_H_
#define DAMASKTHREAD_ENGINE_IDENTIFIER_TEXT_H_

/// @file
/// @brief Reads tokens and minted ids from headers where any fault means the same: there is none.

#include <optional>
#include <string_view>

#include "damaskthread/core/mac.h"
#include "damaskthread/execution/token.h"
#include "damaskthread/retry/request_id.h"

namespace damaskthread::engine::internal {

/// @brief The token, or nothing if the text is malformed or its code is wrong.
[[nodiscard]] std::optional<execution::ExecutionToken> read_token(std::string_view text, const core::MacKey& key);

/// @brief The minted id, or nothing if the text is a caller's own label, malformed or its code is wrong.
[[nodiscard]] std::optional<retry::RequestId> read_minted_id(std::string_view text, const core::MacKey& key);

}  // namespace damaskthread::engine::internal

#endif  // DAMASKTHREAD_ENGINE_IDENTIFIER_TEXT_H_
