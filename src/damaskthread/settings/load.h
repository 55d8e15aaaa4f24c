#ifndef DAMASKTHREAD_SETTINGS_LOAD_H_
#define DAMASKTHREAD_SETTINGS_LOAD_H_

/// @file
/// @brief Loads a settings file and prints its errors, for programs that exit on invalid settings.

#include <boost/leaf/handle_errors.hpp>
#include <optional>
#include <ostream>
#include <string>
#include <utility>

#include "damaskthread/settings/settings.h"

namespace damaskthread::settings {

/// @brief Loads a settings file and prints its errors.
/// @param load Function that takes a path and returns a `boost::leaf::result` of the settings.
/// @param path Path of the settings file.
/// @param out Receives one line for each error.
/// @return The settings, or `std::nullopt` if they are invalid.
template <typename Value, typename Load>
[[nodiscard]] std::optional<Value> load_or_print(Load load, const std::string& path, std::ostream& out) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<Value>> {
        BOOST_LEAF_AUTO(value, load(path));
        return std::optional<Value>(std::move(value));
      },
      [&out](const Errors& errors) {
        out << to_string(errors);
        return std::optional<Value>();
      },
      [&out] {
        out << "the settings file cannot be read\n";
        return std::optional<Value>();
      });
}

}  // namespace damaskthread::settings

#endif  // DAMASKTHREAD_SETTINGS_LOAD_H_
