#ifndef DAMASKTHREAD_RESOURCE_INTERNAL_JSON_READER_H_
#define DAMASKTHREAD_RESOURCE_INTERNAL_JSON_READER_H_

/// @file
/// @brief Strict JSON reader that reports the line of each error and checks duplicate keys, depth, types, ranges and
/// unknown keys.

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "damaskthread/resource/declaration.h"

namespace damaskthread::resource::internal {

using Json = nlohmann::json;

/// Maximum nesting depth. Bounds the recursion of code that traverses a document.
inline constexpr std::size_t kMaxJsonDepth = 16;

/// Parsed document with the line number of each field.
struct JsonDocument {
  std::string file;
  std::optional<Json> root;  ///< Empty if the text is malformed, too deep or has a duplicate key.
  std::map<std::string, int, std::less<>> lines;
  std::vector<FieldError> errors;
};

/// @brief Parses a document.
/// @param text JSON text.
/// @param file File name for error messages.
/// @param comments Whether comments are allowed.
[[nodiscard]] JsonDocument parse_document(std::string_view text, std::string_view file, bool allow_comments);

/// Reads the fields of one object and records validation errors in the document.
class ObjectReader {
 public:
  ObjectReader(JsonDocument& document, const Json& object, std::string path)
      : document_(document), object_(object), path_(std::move(path)) {}

  [[nodiscard]] std::optional<std::int64_t> integer(std::string_view key, std::int64_t min, std::int64_t max);
  [[nodiscard]] std::optional<double> number(std::string_view key, std::string_view expected);
  [[nodiscard]] std::optional<bool> boolean(std::string_view key);
  [[nodiscard]] std::optional<std::string> text(std::string_view key);
  /// @return The array elements that are objects, with their paths. Other elements are reported as errors.
  [[nodiscard]] std::vector<std::pair<const Json*, std::string>> objects(std::string_view key);

  [[nodiscard]] bool has(std::string_view key) const { return object_.contains(key); }
  void require(std::string_view key, std::string_view expected);
  /// Reports each key that has not been requested through this reader.
  void reject_unknown_keys();
  void add_error(std::string_view key, std::string message);

 private:
  [[nodiscard]] const Json* field(std::string_view key);
  [[nodiscard]] std::string field_path(std::string_view key) const;

  JsonDocument& document_;
  const Json& object_;
  std::string path_;
  std::set<std::string, std::less<>> requested_keys_;
};

}  // namespace damaskthread::resource::internal

#endif  // DAMASKTHREAD_RESOURCE_INTERNAL_JSON_READER_H_
