#ifndef DAMASKTHREAD_RESOURCE_API_HANDLER_H_
#define DAMASKTHREAD_RESOURCE_API_HANDLER_H_

/// @file
/// @brief Resource API for operators, without I/O: the daemon appends to the log, waits and polls.
///
/// | route | role | response |
/// |---|---|---|
/// | `GET /v1/resources` | read | 200 list |
/// | `GET /v1/resources/services/NAME` | read | 200 with `ETag`, 404 |
/// | `PUT`, `DELETE /v1/resources/services/NAME` | write | 200 accepted, 409, 413, 422, 503 refused, 504 unknown |
/// | `GET /v1/watch?after=REVISION&timeout_ms=N` | read | 200 with the changed resources, possibly none |
/// | `GET /v1/operations/ID` | read | 200 with `accepted`, `conflict` or `not-seen` |

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "damaskthread/resource/fwd.h"

namespace damaskthread::resource {

/// Permissions of the client that sent a request. Each role includes the ones before it.
enum class Role : std::uint8_t { kNone, kRead, kWrite };

/// A request to the resource API.
struct ApiRequest {
  std::string method;
  std::string path;
  std::string query;
  std::string body;
  Role role = Role::kNone;
  std::string author;         ///< Name associated with the client's token.
  std::string if_match;       ///< `If-Match`: the version to replace; 0 creates. Empty if absent.
  std::string if_none_match;  ///< `If-None-Match`: `*` creates. Empty if absent.
  std::string operation_id;   ///< `Operation-Id`.
};

struct ApiResponse {
  int status = 200;
  std::string content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

/// The daemon must append `record` to the log, then call `ApiHandler::poll` until it returns a response.
struct AppendStep {
  std::string record;
  std::string operation_id;
};

/// The daemon must call `ApiHandler::poll` until it returns a response or `timeout` expires.
struct WatchStep {
  std::uint64_t after = 0;
  std::chrono::milliseconds timeout{0};
};

using ApiResult = std::variant<ApiResponse, AppendStep, WatchStep>;

/// Thread-safe.
class ApiHandler {
 public:
  /// @param store Replica to read; must outlive the handler.
  explicit ApiHandler(const ResourceStore& store) : store_(store) {}

  /// @brief Whether a path belongs to this API.
  [[nodiscard]] static bool handles(std::string_view path) noexcept;
  /// @brief Handles a request.
  /// @return The response, or the step that the daemon must complete first.
  [[nodiscard]] ApiResult handle(const ApiRequest& request) const;

  /// @brief Response to a write once its record has been replayed; empty before that.
  [[nodiscard]] std::optional<ApiResponse> poll(const AppendStep& step) const;
  /// @brief Response to a write that the log refused, so that nothing was done.
  [[nodiscard]] ApiResponse refused_response(const AppendStep& step, std::string_view reason) const;
  /// @brief Response to a write whose append or replay did not finish in time.
  [[nodiscard]] ApiResponse unknown_outcome_response(const AppendStep& step, std::string_view reason) const;

  /// @brief Resources changed since the revision; empty if there are none yet.
  [[nodiscard]] std::optional<ApiResponse> poll(const WatchStep& step) const;
  /// @brief Response without changes to a watch that timed out.
  [[nodiscard]] ApiResponse unchanged_response(const WatchStep& step) const;

 private:
  [[nodiscard]] ApiResult list(const ApiRequest& request, std::string_view argument) const;
  [[nodiscard]] ApiResult show(const ApiRequest& request, std::string_view argument) const;
  [[nodiscard]] ApiResult put(const ApiRequest& request, std::string_view argument) const;
  [[nodiscard]] ApiResult remove(const ApiRequest& request, std::string_view argument) const;
  [[nodiscard]] ApiResult watch(const ApiRequest& request, std::string_view argument) const;
  [[nodiscard]] ApiResult operation(const ApiRequest& request, std::string_view argument) const;
  [[nodiscard]] ApiResult append(const ApiRequest& request, LogRecord record) const;

  const ResourceStore& store_;
};

}  // namespace damaskthread::resource

#endif  // DAMASKTHREAD_RESOURCE_API_HANDLER_H_
