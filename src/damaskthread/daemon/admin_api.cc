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

// An accepted write is in force here after one read of the log; more time covers a log that answers slowly.
constexpr std::chrono::seconds kWriteTimeout{5};
constexpr std::chrono::milliseconds kPollPeriod{5};

http::Response error(int status, std::string_view message) {
  return {status, {{"Content-Type", "application/json"}}, "{\"error\":\"" + std::string(message) + "\"}\n"};
}

http::Response page(std::string_view type, std::string body) {
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
  const std::size_t mark = target.find('?');
  const std::string_view whole = target;
  const std::string_view path = whole.substr(0, mark);
  const std::string_view query = mark == std::string::npos ? std::string_view{} : whole.substr(mark + 1);
  if (path == "/healthz") return page("text/plain", "ok\n");
  if (path == "/metrics") return page("text/plain; version=0.0.4", pages_.metrics());
  if (path == "/v1/burn") {
    // Other daemons prove that they hold the shared key.
    if (!verify(request, control_.authenticator())) return error(401, "not signed by a daemon");
    return page("application/json", pages_.burn());
  }
  const settings::Operator* user = settings::find_operator(settings_.operators, bearer_token(request.headers));
  if (user == nullptr) return error(401, "a valid token is needed: Authorization: Bearer TOKEN");
  if (path == "/v1/status") return page("application/json", pages_.status());
  if (path == "/v1/report") return page("application/json", pages_.report(false));
  if (path == "/report") return page("text/html; charset=utf-8", pages_.report(true));
  if (!resource::ApiHandler::handles(path)) return error(404, "no such page");
  return handle_resource(std::move(request), path, query, *user, arrival.caller_disconnected);
}

http::Response AdminApi::handle_resource(http::Request&& request, std::string_view path, std::string_view query,
                                         const settings::Operator& user, http::Cancellation& caller_gone) {
  resource::ApiRequest api;
  api.method = request.method;
  api.path = path;
  api.query = query;
  api.body = std::move(request.body);
  api.role = user.role == settings::Role::kWrite ? resource::Role::kWrite : resource::Role::kRead;
  api.author = user.name;
  api.if_match = http::find(request.headers, "If-Match");
  api.if_none_match = http::find(request.headers, "If-None-Match");
  api.operation_id = http::find(request.headers, "Operation-Id");
  resource::ApiResult result = resources_.handle(api);
  if (auto* answer = std::get_if<resource::ApiResponse>(&result)) return to_http(std::move(*answer));
  if (const auto* append = std::get_if<resource::AppendStep>(&result)) return to_http(carry_out(*append, caller_gone));
  return to_http(carry_out(std::get<resource::WatchStep>(result), caller_gone));
}

resource::ApiResponse AdminApi::carry_out(const resource::AppendStep& step, http::Cancellation& caller_gone) {
  const AppendOutcome outcome = control_.append(step.record);
  if (outcome.state == AppendOutcome::State::kRefused) return resources_.refused_response(step, outcome.reason);
  const auto deadline = Clock::now() + kWriteTimeout;
  while (Clock::now() < deadline && !caller_gone.cancelled()) {
    if (std::optional<resource::ApiResponse> answer = resources_.poll(step)) return std::move(*answer);
    control_.read_log_soon();
    std::this_thread::sleep_for(kPollPeriod);
  }
  return resources_.unknown_outcome_response(
      step, outcome.reason.empty() ? "the log did not show the record in time" : outcome.reason);
}

resource::ApiResponse AdminApi::carry_out(const resource::WatchStep& step, http::Cancellation& caller_gone) {
  const auto deadline = Clock::now() + step.timeout;
  while (!caller_gone.cancelled()) {
    if (std::optional<resource::ApiResponse> answer = resources_.poll(step)) return std::move(*answer);
    if (Clock::now() >= deadline) break;
    std::this_thread::sleep_for(kPollPeriod);
  }
  return resources_.unchanged_response(step);
}

}  // namespace damaskthread::daemon
