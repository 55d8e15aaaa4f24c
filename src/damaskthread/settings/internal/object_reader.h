#ifndef DAMASKTHREAD_SETTINGS_INTERNAL_OBJECT_READER_H_
#define DAMASKTHREAD_SETTINGS_INTERNAL_OBJECT_READER_H_

/// @file
/// @brief Reads the fields of one JSON object and records every error instead of stopping at the first.

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "damaskthread/settings/settings.h"

namespace damaskthread::settings::internal {

enum class Presence : std::uint8_t { kRequired, kOptional };

class ObjectReader {
 public:
  /// @param node The object; a missing or wrongly typed one is reported once and its fields are not.
  /// @param path Path of the object in the file; empty for the whole file.
  ObjectReader(const nlohmann::json* node, std::string source, std::string path, Errors& errors);

  /// @brief Whether the node is an object, so that its fields are worth checking.
  [[nodiscard]] bool usable() const noexcept { return node_ != nullptr; }

  /// @brief Looks a field up and marks its name as known.
  /// @return The value, or null if the field is absent; a missing required field is reported.
  const nlohmann::json* field(std::string_view name, Presence presence);

  /// @brief Reads an integer within bounds.
  /// @return Whether `out` was set.
  template <typename Integer>
  bool integer(std::string_view name, Integer& out, std::uint64_t low, std::uint64_t high, Presence presence) {
    std::uint64_t value = 0;
    if (!read_integer(name, value, low, high, presence)) return false;
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

  /// @brief Reads a list of `ip:port` without repeated entries.
  void endpoints(std::string_view name, std::vector<Endpoint>& out, std::size_t max_count);

  /// @brief Reports every field whose name was not asked for.
  void report_unknown();

  void error(std::string_view field_name, std::string message);
  /// @brief Path of a field of this object.
  [[nodiscard]] std::string path_of(std::string_view field_name) const;

 private:
  bool read_integer(std::string_view name, std::uint64_t& out, std::uint64_t low, std::uint64_t high,
                    Presence presence);

  const nlohmann::json* node_;
  std::string source_;
  std::string path_;
  Errors& errors_;
  std::vector<std::string> known_;
};

/// @brief Whether the text is a numeric IPv4 or IPv6 address.
[[nodiscard]] bool is_ip(std::string_view text);

}  // namespace damaskthread::settings::internal

#endif  // DAMASKTHREAD_SETTINGS_INTERNAL_OBJECT_READER_H_
