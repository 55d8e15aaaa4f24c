#ifndef DAMASKTHREAD_CORE_ERROR_H_
#define DAMASKTHREAD_CORE_ERROR_H_

/// @file
/// @brief Typed error that functions return through `boost::leaf::result`.

#include <cstdint>
#include <string>

namespace damaskthread::core {

/// Error category.
enum class ErrorCode : std::uint8_t {
  kInvalidInput,  ///< External input that does not parse or fails validation.
  kTooLarge,
  kConflict,
  kNotFound,
  kUnavailable,  ///< The peer cannot be reached or sheds load; the operation had no effect.
  kUnknown,      ///< The outcome is unknown; the operation may have taken effect.
  kUnauthorized,
};

/// An error with its location and a message that states what was expected.
struct Error {
  ErrorCode code = ErrorCode::kInvalidInput;
  /// File and line, or field path, such as `settings.json:12` or `operations[3].importance`.
  std::string where;
  std::string message;
};

}  // namespace damaskthread::core

#endif  // DAMASKTHREAD_CORE_ERROR_H_
