#ifndef DAMASKTHREAD_RESOURCE_DECLARATION_H_
#define DAMASKTHREAD_RESOURCE_DECLARATION_H_

/// @file
/// @brief The declaration of a service: what its operations are worth, and how callers may use it.

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
/// Largest declaration and largest record on the log.
inline constexpr std::size_t kMaxRecordBytes = std::size_t{64} << 10U;

inline constexpr int kMaxRetries = 8;
inline constexpr std::chrono::milliseconds kDefaultDeadline{2'000};
inline constexpr std::chrono::milliseconds kMaxDeadline{600'000};
inline constexpr std::uint64_t kDefaultMaxBodyBytes = 1ULL << 20U;
inline constexpr std::uint64_t kMaxBodyBytes = 64ULL << 20U;

/// How calls of one method under one path prefix are treated.
struct Operation {
  std::string method = "*";       ///< Upper-case HTTP method, or `*` for any.
  std::string path_prefix = "/";  ///< Matches whole path segments: `/pay` does not match `/payments`.
  core::Importance importance = core::Importance::kNormal;
  bool at_most_once = false;  ///< Runs only under an execution token.
  bool idempotent = false;    ///< May be retried although an earlier attempt may have run.
  std::chrono::milliseconds deadline = kDefaultDeadline;

  bool operator==(const Operation&) const = default;
};

/// A service-level objective for the calls of one importance class.
struct Objective {
  core::Importance importance = core::Importance::kNormal;
  double target = 0.999;  ///< Fraction of calls answered whole within `latency`; in (0, 1).
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
  std::optional<int> slots;                       ///< Upper bound of the concurrency limit of one server.
  std::optional<int> connections;                 ///< Upper bound of the connections to one server.
  std::optional<int> max_concurrency_per_caller;  ///< Calls that one caller may have in progress.
  std::vector<Objective> objectives;
  /// What applies to calls that no operation matches: safe methods (GET, HEAD, OPTIONS) are idempotent.
  Operation safe_fallback{.method = "*", .path_prefix = "/", .idempotent = true};
  Operation fallback;

  /// @brief The operation that a call belongs to: the longest matching path prefix, then the exact method before `*`.
  ///
  /// The path is compared in normal form (percent-decoded, without empty or dot segments and without the query), so
  /// that a differently spelled path cannot evade an at-most-once operation.
  /// @param method Upper-case HTTP method.
  /// @param path Path as sent, with or without a query.
  /// @return The matching operation, or a fallback of importance normal.
  [[nodiscard]] const Operation& classify(std::string_view method, std::string_view path) const;

  bool operator==(const ServiceDeclaration&) const = default;
};

/// One fault in a declaration: where it stands and what was expected there.
struct FieldError {
  std::string file;  ///< Empty for input that is not a file.
  int line = 0;      ///< 0 if unknown.
  std::string path;  ///< Such as `operations[3].importance`; empty for the whole document.
  std::string message;

  bool operator==(const FieldError&) const = default;
};

/// @brief One line such as `booking.json:12: operations[3].importance: expected ...`.
[[nodiscard]] std::string to_string(const FieldError& error);

/// How strictly a declaration is read.
enum class ParseMode : std::uint8_t {
  kStrict,  ///< For operators' input: an unknown key is an error.
  kStored,  ///< For accepted records: keys of a newer version are ignored.
};

/// Either a declaration, or at least one error.
struct ParsedDeclaration {
  std::optional<ServiceDeclaration> declaration;
  std::vector<FieldError> errors;
};

/// @brief Reads a declaration from JSON with comments.
/// @param text The document.
/// @param file Name to report in errors.
/// @param mode Strict for input from outside.
/// @return The declaration, or all the errors found.
[[nodiscard]] ParsedDeclaration parse_declaration(std::string_view text, std::string_view file = {},
                                                  ParseMode mode = ParseMode::kStrict);

/// @brief Canonical JSON of a declaration; `parse_declaration` of it gives the same declaration.
[[nodiscard]] std::string to_json(const ServiceDeclaration& declaration);

/// @brief Whether a name can name a resource: 1 to 63 of `a-z`, `0-9`, `-`, starting with a letter.
[[nodiscard]] bool is_valid_name(std::string_view name) noexcept;

}  // namespace damaskthread::resource

#endif  // DAMASKTHREAD_RESOURCE_DECLARATION_H_
