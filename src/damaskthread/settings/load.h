#ifndef DAMASKTHREAD_SETTINGS_LOAD_H_
#define DAMASKTHREAD_SETTINGS_LOAD_H_

/// @file
/// @brief Loads a settings file for a program that stops when it is invalid.

#include <boost/leaf/handle_errors.hpp>
#include <optional>
#include <ostream>
#include <string>
#include <utility>

#include "damaskthread/settings/settings.h"

namespace damaskthread::settings {

/// @brief Calls a loader and prints what is wrong with the file.
/// @param load Function that takes a path and returns a `boost::leaf::result` of the settings.
/// @param path The settings file.
/// @param out Receives one line for each error.
/// @return The settings, or nothing if they are invalid.
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
        out << "the settings cannot be read\n";
        return std::optional<Value>();
      });
}

}  // namespace damaskthread::settings

#endif  // DAMASKTHREAD_SETTINGS_LOAD_H_
