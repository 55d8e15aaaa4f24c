#ifndef DAMASKTHREAD_RESOURCE_API_HANDLER_H_
#define DAMASKTHREAD_RESOURCE_API_HANDLER_H_

/// @file
/// @brief The operators' resource API without I/O: the daemon appends, waits and asks again.
///
/// | route | role | answer |
/// |---|---|---|
/// | `GET /v1/resources` | read | 200 list |
/// | `GET /v1/resources/services/NAME` | read | 200 with `ETag`, 404 |
/// | `PUT`, `DELETE /v1/resources/services/NAME` | write | 200 accepted, 409, 413, 422, 503 refused, 504 unknown |
/// | `GET /v1/watch?after=REVISION&timeout_ms=N` | read | 200 with what changed, possibly nothing |
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

/// What the sender of a request may do. Each role includes the ones before it.
enum class Role : std::uint8_t { kNone, kRead, kWrite };

/// A request to the resource API.
struct ApiRequest {
  std::string method;
  std::string path;
  std::string query;
  std::string body;
  Role role = Role::kNone;
  std::string author;         ///< Name that goes with the sender's token.
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

/// The daemon appends the record and then asks `ApiHandler::poll` until there is an answer.
struct AppendStep {
  std::string record;
  std::string operation_id;
};

/// The daemon asks `ApiHandler::poll` until there is an answer or the time is over.
struct WatchStep {
  std::uint64_t after = 0;
  std::chrono::milliseconds timeout{0};
};

using ApiResult = std::variant<ApiResponse, AppendStep, WatchStep>;

/// May be called from any thread.
class ApiHandler {
 public:
  /// @param store The replica; must outlive the handler.
  explicit ApiHandler(const ResourceStore& store) : store_(store) {}

  /// @brief Whether a path belongs to this API.
  [[nodiscard]] static bool handles(std::string_view path) noexcept;
  /// @brief Answers a request or says what the daemon has to do first.
  [[nodiscard]] ApiResult handle(const ApiRequest& request) const;

  /// @brief The answer to a write whose record has been replayed; nothing before that.
  [[nodiscard]] std::optional<ApiResponse> poll(const AppendStep& step) const;
  /// @brief The answer to a write that the log refused: nothing was done.
  [[nodiscard]] ApiResponse refused(const AppendStep& step, std::string_view reason) const;
  /// @brief The answer to a write whose append or replay did not end in time.
  [[nodiscard]] ApiResponse unknown(const AppendStep& step, std::string_view reason) const;

  /// @brief What changed after the revision, or nothing yet.
  [[nodiscard]] std::optional<ApiResponse> poll(const WatchStep& step) const;
  /// @brief The answer to a watch whose time is over: no changes.
  [[nodiscard]] ApiResponse unchanged(const WatchStep& step) const;

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
