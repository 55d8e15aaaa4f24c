#ifndef DAMASKTHREAD_RESOURCE_DECLARATION_H_
#define DAMASKTHREAD_RESOURCE_DECLARATION_H_

/// @file
/// @brief Declaration of a service: the importance of its operations and the limits for its callers.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/resource/fwd.h"

namespace damaskthread::resource {

/// Kind of resource that declares a service.
inline constexpr std::string_view kServiceKind = "Service";
/// Maximum size of a declaration and of a log record.
inline constexpr std::size_t kMaxRecordBytes = std::size_t{64} << 10U;

inline constexpr int kMaxRetries = 8;
inline constexpr std::chrono::milliseconds kDefaultDeadline{2'000};
inline constexpr std::chrono::milliseconds kMaxDeadline{600'000};
inline constexpr std::uint64_t kDefaultMaxBodyBytes = 1ULL << 20U;
inline constexpr std::uint64_t kMaxBodyBytes = 64ULL << 20U;

/// Policy for calls with a given method and path prefix.
struct Operation {
  std::string method = "*";       ///< Upper-case HTTP method, or `*` for any.
  std::string path_prefix = "/";  ///< Matches whole path segments: `/pay` does not match `/payments`.
  core::Importance importance = core::Importance::kNormal;
  bool at_most_once = false;  ///< Requires an execution token.
  bool idempotent = false;    ///< May be retried although an earlier attempt may have run.
  std::chrono::milliseconds deadline = kDefaultDeadline;

  bool operator==(const Operation&) const = default;
};

/// A service-level objective for the calls of one importance class.
struct Objective {
  core::Importance importance = core::Importance::kNormal;
  double target = 0.999;  ///< Fraction of calls with a complete response within `latency`; in (0, 1).
  std::chrono::milliseconds latency{1'000};
  std::chrono::seconds window = std::chrono::days{28};

  bool operator==(const Objective&) const = default;
};

/// A resource of kind `Service`.
struct ServiceDeclaration {
  std::string name;
  std::vector<Operation> operations;
  int retries = 3;
  std::chrono::milliseconds deadline = kDefaultDeadline;
  std::uint64_t max_body_bytes = kDefaultMaxBodyBytes;
  std::optional<int> slots;                       ///< Maximum concurrency limit per server.
  std::optional<int> connections;                 ///< Maximum connections per server.
  std::optional<int> max_concurrency_per_caller;  ///< Maximum calls in progress per caller.
  std::vector<Objective> objectives;
  /// Policies for calls that match no operation: safe methods (GET, HEAD, OPTIONS) are idempotent.
  Operation safe_fallback{.method = "*", .path_prefix = "/", .idempotent = true};
  Operation fallback;

  /// @brief Finds the operation of a call: the longest matching path prefix, then the exact method over `*`.
  ///
  /// The path is compared in normal form (percent-decoded, without empty or dot segments and without the query), so
  /// that a differently spelled path cannot evade an at-most-once operation.
  /// @param method Upper-case HTTP method.
  /// @param path Path of the request target, with or without a query.
  /// @return The matching operation, or a fallback of importance normal.
  [[nodiscard]] const Operation& classify(std::string_view method, std::string_view path) const;

  bool operator==(const ServiceDeclaration&) const = default;
};

/// Validation error with its location in the document.
struct FieldError {
  std::string file;  ///< Empty for input that is not a file.
  int line = 0;      ///< 0 if unknown.
  std::string path;  ///< Such as `operations[3].importance`; empty for the whole document.
  std::string message;

  bool operator==(const FieldError&) const = default;
};

/// @brief One line such as `booking.json:12: operations[3].importance: expected ...`.
[[nodiscard]] std::string to_string(const FieldError& error);

/// Handling of unknown keys.
enum class ParseMode : std::uint8_t {
  kStrict,  ///< For operators' input: an unknown key is an error.
  kStored,  ///< For accepted records: keys of a newer version are ignored.
};

/// Result of parsing: a declaration, or at least one error.
struct ParsedDeclaration {
  std::optional<ServiceDeclaration> declaration;
  std::vector<FieldError> errors;
};

/// @brief Parses and validates a declaration. Comments are allowed in the JSON.
/// @param text The document.
/// @param file File name for error messages.
/// @param mode `kStrict` for input from operators.
/// @return The declaration, or all errors found.
[[nodiscard]] ParsedDeclaration parse_declaration(std::string_view text, std::string_view file = {},
                                                  ParseMode mode = ParseMode::kStrict);

/// @brief Serializes a declaration as canonical JSON; `parse_declaration` restores an equal declaration.
[[nodiscard]] std::string to_json(const ServiceDeclaration& declaration);

/// @brief Whether a resource name is valid: 1 to 63 of `a-z`, `0-9`, `-`, starting with a letter.
[[nodiscard]] bool is_valid_name(std::string_view name) noexcept;

}  // namespace damaskthread::resource

#endif  // DAMASKTHREAD_RESOURCE_DECLARATION_H_
