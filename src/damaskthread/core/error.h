#ifndef DAMASKTHREAD_CORE_ERROR_H_
#define DAMASKTHREAD_CORE_ERROR_H_

/// @file
/// @brief Typed error that functions return through `boost::leaf::result`.

#include <cstdint>
#include <string>

namespace damaskthread::core {

/// What kind of input or peer an error comes from.
enum class ErrorCode : std::uint8_t {
  kInvalidInput,  ///< Bytes from outside that do not parse or fail a check.
  kTooLarge,
  kConflict,
  kNotFound,
  kUnavailable,  ///< The other side cannot be reached or is shedding; nothing was done.
  kUnknown,      ///< The outcome is not known: it may have been done.
  kUnauthorized,
};

/// An error with the place it stands at and what was expected there.
struct Error {
  ErrorCode code = ErrorCode::kInvalidInput;
  /// File, line or path of a field, such as `settings.json:12` or `operations[3].importance`.
  std::string where;
  std::string message;
};

}  // namespace damaskthread::core

#endif  // DAMASKTHREAD_CORE_ERROR_H_
