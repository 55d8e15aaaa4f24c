#ifndef TEST_SUPPORT_CONTENT_PATTERN_H_
#define TEST_SUPPORT_CONTENT_PATTERN_H_

/// @file
/// @brief Document content that shows whether an answer is whole, in order and meant for this request.

#include <cstddef>
#include <string>
#include <string_view>

namespace damaskthread::support {

/// @brief Content of `size` bytes that depends on the key at every 16 bytes.
[[nodiscard]] std::string make_content(std::string_view key, std::size_t size);

/// @brief Whether `body` is the beginning of the content of this key. A whole answer also has the wanted size.
[[nodiscard]] bool is_content_prefix(std::string_view key, std::string_view body);

}  // namespace damaskthread::support

#endif  // TEST_SUPPORT_CONTENT_PATTERN_H_
