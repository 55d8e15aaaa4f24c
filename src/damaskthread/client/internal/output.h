#ifndef DAMASKTHREAD_CLIENT_INTERNAL_OUTPUT_H_
#define DAMASKTHREAD_CLIENT_INTERNAL_OUTPUT_H_

/// @file
/// @brief Answers of a daemon as text for people.

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace damaskthread::client::internal {

using Json = nlohmann::json;

/// @brief Rows with aligned columns; the first row is the heading.
[[nodiscard]] std::string format_table(const std::vector<std::vector<std::string>>& rows);
/// @brief A value as text: strings without quotes, `-` for a missing one.
[[nodiscard]] std::string field_text(const Json& object, const std::string& key);
[[nodiscard]] std::string format_list(const Json& resources);
[[nodiscard]] std::string format_status(const Json& status);
[[nodiscard]] std::string format_report(const Json& report);
/// @brief Formats what a mesh daemon answered to `/explain`.
[[nodiscard]] std::string format_explanation(const Json& explanation);
/// @brief Whether the request would not be refused outright and every service of its route has a server for it.
[[nodiscard]] bool is_placeable(const Json& explanation);
/// @brief Whether each version is in force everywhere, each daemon is known and none lags.
[[nodiscard]] bool is_settled(const Json& status);

}  // namespace damaskthread::client::internal

#endif  // DAMASKTHREAD_CLIENT_INTERNAL_OUTPUT_H_
