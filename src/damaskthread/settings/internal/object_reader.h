#ifndef DAMASKTHREAD_SETTINGS_INTERNAL_OBJECT_READER_H_
#define DAMASKTHREAD_SETTINGS_INTERNAL_OBJECT_READER_H_

/// @file
/// @brief Reads the fields of one JSON object and collects all errors.

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "damaskthread/settings/settings.h"

namespace damaskthread::settings::internal {

enum class Presence : std::uint8_t { kRequired, kOptional };

/// Reads and validates the fields of one JSON object. Continues after an error, so that all are reported together.
class ObjectReader {
 public:
  /// @param node The object, or null if it is absent. If it is not an object, one error is reported and none for its
  ///   fields.
  /// @param path Path of the object in the file; empty for the root.
  ObjectReader(const nlohmann::json* node, std::string source, std::string path, Errors& errors);

  /// @brief Whether the node is an object.
  [[nodiscard]] bool is_object() const noexcept { return node_ != nullptr; }

  /// @brief Looks up a field and records its name as known.
  /// @return The value, or null if the field is absent; a missing required field is reported.
  const nlohmann::json* field(std::string_view name, Presence presence);

  /// @brief Reads an integer from `min_value` to `max_value`.
  /// @return Whether `out` was set.
  template <typename Integer>
  bool integer(std::string_view name, Integer& out, std::uint64_t min_value, std::uint64_t max_value,
               Presence presence) {
    std::uint64_t value = 0;
    if (!read_integer(name, value, min_value, max_value, presence)) return false;
    out = static_cast<Integer>(value);
    return true;
  }

  /// @brief Reads a string of 1 to `max_length` bytes.
  bool string(std::string_view name, std::string& out, std::size_t max_length, Presence presence);

  /// @brief Reads a name: letters, digits, `-`, `_` and `.`, at most 64 bytes.
  bool name(std::string_view name, std::string& out, Presence presence);

  /// @brief Reads a numeric IPv4 or IPv6 address.
  bool ip(std::string_view name, std::string& out, Presence presence);

  /// @brief Reads one `ip:port`.
  bool endpoint(std::string_view name, Endpoint& out, Presence presence);

  /// @brief Reads a list of `ip:port` entries without duplicates.
  void endpoints(std::string_view name, std::vector<Endpoint>& out, std::size_t max_count);

  /// @brief Reports every field of the object whose name was never requested.
  void report_unknown_fields();

  /// @brief Records an error for a field of this object.
  void error(std::string_view field_name, std::string message);
  /// @brief Returns the source and path of a field, for error messages.
  [[nodiscard]] std::string field_path(std::string_view field_name) const;

 private:
  bool read_integer(std::string_view name, std::uint64_t& out, std::uint64_t min_value, std::uint64_t max_value,
                    Presence presence);

  const nlohmann::json* node_;
  std::string source_;
  std::string path_;
  Errors& errors_;
  std::vector<std::string> requested_keys_;
};

/// @brief Whether the text is a numeric IPv4 or IPv6 address.
[[nodiscard]] bool is_ip_address(std::string_view text);

}  // namespace damaskthread::settings::internal

#endif  // DAMASKTHREAD_SETTINGS_INTERNAL_OBJECT_READER_H_
