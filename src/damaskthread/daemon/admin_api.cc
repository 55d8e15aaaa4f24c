#include "damaskthread/daemon/admin_api.h"

#include <chrono>
#include <optional>
#include <thread>
#include <utility>
#include <variant>

#include "damaskthread/daemon/peer_headers.h"

namespace damaskthread::daemon {
namespace {

using Clock = std::chrono::steady_clock;

// An accepted write takes effect here after one read of the log; the rest of the time covers a slow log service.
constexpr std::chrono::seconds kWriteTimeout{5};
constexpr std::chrono::milliseconds kPollPeriod{5};

http::Response error_response(int status, std::string_view message) {
  return {status, {{"Content-Type", "application/json"}}, "{\"error\":\"" + std::string(message) + "\"}\n"};
}

http::Response ok_response(std::string_view type, std::string body) {
  return {200, {{"Content-Type", std::string(type)}}, std::move(body)};
}

std::string_view bearer_token(const http::Headers& headers) {
  constexpr std::string_view kScheme = "Bearer ";
  const std::string_view value = http::find(headers, "Authorization");
  return value.substr(0, kScheme.size()) == kScheme ? value.substr(kScheme.size()) : std::string_view();
}

http::Response to_http(resource::ApiResponse&& answer) {
  http::Response response{answer.status, {{"Content-Type", answer.content_type}}, std::move(answer.body)};
  for (auto& [name, value] : answer.headers) response.headers.push_back({std::move(name), std::move(value)});
  return response;
}

}  // namespace

AdminApi::AdminApi(const settings::Settings& settings, ControlPlane& control, AdminPages pages)
    : settings_(settings), control_(control), pages_(std::move(pages)), resources_(control.store()) {}

http::Response AdminApi::handle(http::Request&& request, const http::ConnectionInfo& arrival) {
  const std::string target = request.target;
  const std::size_t query_start = target.find('?');
  const std::string_view full_target = target;
  const std::string_view path = full_target.substr(0, query_start);
  const std::string_view query =
      query_start == std::string::npos ? std::string_view{} : full_target.substr(query_start + 1);
  if (path == "/healthz") return ok_response("text/plain", "ok\n");
  if (path == "/metrics") return ok_response("text/plain; version=0.0.4", pages_.metrics());
  if (path == "/v1/burn") {
    // Other daemons authenticate with the shared key.
    if (!verify(request, control_.authenticator())) return error_response(401, "not signed by a daemon");
    return ok_response("application/json", pages_.burn());
  }
  const settings::Operator* user = settings::find_operator(settings_.operators, bearer_token(request.headers));
  if (user == nullptr) return error_response(401, "a valid token is needed: Authorization: Bearer TOKEN");
  if (path == "/v1/status") return ok_response("application/json", pages_.status());
  if (path == "/v1/report") return ok_response("application/json", pages_.report(false));
  if (path == "/report") return ok_response("text/html; charset=utf-8", pages_.report(true));
  if (!resource::ApiHandler::handles(path)) return error_response(404, "no such page");
  return handle_resource(std::move(request), path, query, *user, arrival.caller_disconnected);
}

http::Response AdminApi::handle_resource(http::Request&& request, std::string_view path, std::string_view query,
                                         const settings::Operator& user, http::Cancellation& caller_gone) {
  resource::ApiRequest api_request;
  api_request.method = request.method;
  api_request.path = path;
  api_request.query = query;
  api_request.body = std::move(request.body);
  api_request.role = user.role == settings::Role::kWrite ? resource::Role::kWrite : resource::Role::kRead;
  api_request.author = user.name;
  api_request.if_match = http::find(request.headers, "If-Match");
  api_request.if_none_match = http::find(request.headers, "If-None-Match");
  api_request.operation_id = http::find(request.headers, "Operation-Id");
  resource::ApiResult result = resources_.handle(api_request);
  if (auto* answer = std::get_if<resource::ApiResponse>(&result)) return to_http(std::move(*answer));
  if (const auto* append = std::get_if<resource::AppendStep>(&result)) return to_http(execute(*append, caller_gone));
  return to_http(execute(std::get<resource::WatchStep>(result), caller_gone));
}

resource::ApiResponse AdminApi::execute(const resource::AppendStep& step, http::Cancellation& caller_gone) {
  const AppendOutcome outcome = control_.append(step.record);
  if (outcome.state == AppendOutcome::State::kRefused) return resources_.refused_response(step, outcome.reason);
  const auto deadline = Clock::now() + kWriteTimeout;
  while (Clock::now() < deadline && !caller_gone.cancelled()) {
    if (std::optional<resource::ApiResponse> answer = resources_.poll(step)) return std::move(*answer);
    control_.request_log_read();
    std::this_thread::sleep_for(kPollPeriod);
  }
  return resources_.unknown_outcome_response(
      step, outcome.reason.empty() ? "the log did not show the record in time" : outcome.reason);
}

resource::ApiResponse AdminApi::execute(const resource::WatchStep& step, http::Cancellation& caller_gone) {
  const auto deadline = Clock::now() + step.timeout;
  while (!caller_gone.cancelled()) {
    if (std::optional<resource::ApiResponse> answer = resources_.poll(step)) return std::move(*answer);
    if (Clock::now() >= deadline) break;
    std::this_thread::sleep_for(kPollPeriod);
  }
  return resources_.unchanged_response(step);
}

}  // namespace damaskthread::daemon
