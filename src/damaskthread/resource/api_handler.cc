#include "damaskthread/resource/api_handler.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

#include "damaskthread/resource/declaration.h"
#include "damaskthread/resource/resource_store.h"

namespace damaskthread::resource {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr std::string_view kApiPrefix = "/v1/";
constexpr std::string_view kServicesPrefix = "/v1/resources/services/";
constexpr milliseconds kMaxWatchTimeout{60'000};

ApiResponse json_response(int status, const Json& body) {
  return {status, "application/json", {}, body.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

ApiResponse error_response(int status, std::string_view message) { return json_response(status, {{"error", message}}); }

std::optional<std::uint64_t> parse_number(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

std::optional<std::string_view> query_value(std::string_view query, std::string_view key) {
  while (!query.empty()) {
    const std::size_t end = std::min(query.find('&'), query.size());
    const std::string_view pair = query.substr(0, end);
    query.remove_prefix(std::min(end + 1, query.size()));
    if (pair.size() <= key.size() || !pair.starts_with(key) || pair[key.size()] != '=') continue;
    return pair.substr(key.size() + 1);
  }
  return std::nullopt;
}

Json resource_summary(const ResourceView& view) {
  return {{"kind", view.kind},       {"name", view.name},     {"version", view.version},
          {"deleted", view.deleted}, {"author", view.author}, {"understood", view.understood}};
}

Json resource_summaries(const std::vector<ResourceView>& views) {
  Json array = Json::array();
  for (const ResourceView& view : views) array.push_back(resource_summary(view));
  return array;
}

ApiResponse outcome_response(const OperationOutcome& outcome, std::string_view operation_id) {
  const Json resource = {{"kind", outcome.kind}, {"name", outcome.name}};
  if (outcome.state == OperationState::kAccepted) {
    ApiResponse response = json_response(200, {{"outcome", "accepted"},
                                               {"version", outcome.version},
                                               {"operation_id", operation_id},
                                               {"resource", resource}});
    response.headers.emplace_back("ETag", std::to_string(outcome.version));
    return response;
  }
  return json_response(
      409,
      {{"outcome", "conflict"}, {"winner", outcome.version}, {"operation_id", operation_id}, {"resource", resource}});
}

ApiResponse validation_error_response(const std::vector<FieldError>& errors) {
  Json list = Json::array();
  for (const FieldError& error : errors) {
    list.push_back({{"line", error.line}, {"path", error.path}, {"message", error.message}});
  }
  return json_response(422, {{"outcome", "invalid"}, {"errors", std::move(list)}});
}

// Base version of a write, taken from its `If-Match` or `If-None-Match` header.
std::optional<std::uint64_t> base_version(const ApiRequest& request, const std::optional<ResourceView>& current) {
  std::string_view text{request.if_match};
  if (text.size() >= 2 && text.front() == '"' && text.back() == '"') text = text.substr(1, text.size() - 2);
  const bool create = text == "0" || (text.empty() && request.if_none_match == "*");
  if (!create) return parse_number(text);
  // Creating a deleted resource replaces its tombstone.
  return current && current->deleted ? current->version : 0;
}

}  // namespace

bool ApiHandler::handles(std::string_view path) noexcept {
  return path.starts_with("/v1/resources") || path.starts_with("/v1/operations/") || path == "/v1/watch";
}

ApiResult ApiHandler::handle(const ApiRequest& request) const {
  struct Route {
    std::string_view method;
    std::string_view path;  // A path that ends with `/` is a prefix; the rest is the argument.
    Role role;
    ApiResult (ApiHandler::*handle)(const ApiRequest&, std::string_view) const;
  };
  static constexpr std::array<Route, 6> kRoutes = {{
      {"GET", "/v1/resources", Role::kRead, &ApiHandler::list},
      {"GET", kServicesPrefix, Role::kRead, &ApiHandler::show},
      {"PUT", kServicesPrefix, Role::kWrite, &ApiHandler::put},
      {"DELETE", kServicesPrefix, Role::kWrite, &ApiHandler::remove},
      {"GET", "/v1/watch", Role::kRead, &ApiHandler::watch},
      {"GET", "/v1/operations/", Role::kRead, &ApiHandler::operation},
  }};
  const std::string_view path{request.path};
  if (!path.starts_with(kApiPrefix)) return error_response(404, "no such route");
  bool known_path = false;
  for (const Route& route : kRoutes) {
    const bool takes_argument = route.path.back() == '/';
    const bool match = takes_argument ? path.starts_with(route.path) : path == route.path;
    if (!match) continue;
    known_path = true;
    if (route.method != request.method) continue;
    if (request.role < route.role) return error_response(403, "the token's role does not allow this");
    return (this->*route.handle)(request, path.substr(route.path.size()));
  }
  return known_path ? error_response(405, "method not allowed") : error_response(404, "no such route");
}

ApiResult ApiHandler::list(const ApiRequest& /*request*/, std::string_view /*argument*/) const {
  const std::uint64_t revision = store_.revision();
  return json_response(200, {{"revision", revision}, {"resources", resource_summaries(store_.list())}});
}

ApiResult ApiHandler::show(const ApiRequest& /*request*/, std::string_view name) const {
  const auto view = store_.find(kServiceKind, name);
  if (!view) return error_response(404, "no such service");
  if (view->deleted) return json_response(404, {{"error", "the service is deleted"}, {"version", view->version}});
  Json body = resource_summary(*view);
  body["declaration"] = Json::parse(view->body, nullptr, false, true);
  if (body["declaration"].is_discarded()) body["declaration"] = nullptr;
  ApiResponse response = json_response(200, body);
  response.headers.emplace_back("ETag", std::to_string(view->version));
  return response;
}

ApiResult ApiHandler::put(const ApiRequest& request, std::string_view name) const {
  if (request.body.size() > kMaxRecordBytes) return error_response(413, "a declaration has at most 65536 bytes");
  ParsedDeclaration parsed = parse_declaration(request.body);
  if (!parsed.declaration) return validation_error_response(parsed.errors);
  if (parsed.declaration->name != name) {
    return validation_error_response({{"", 0, "name", "expected the name in the URL, " + std::string{name}}});
  }
  LogRecord record;
  record.operation = RecordOperation::kPut;
  record.name = name;
  record.body = to_json(*parsed.declaration);
  return append(request, std::move(record));
}

ApiResult ApiHandler::remove(const ApiRequest& request, std::string_view name) const {
  if (!is_valid_name(name)) return error_response(404, "no such service");
  LogRecord record;
  record.operation = RecordOperation::kDelete;
  record.name = name;
  return append(request, std::move(record));
}

ApiResult ApiHandler::append(const ApiRequest& request, LogRecord record) const {
  if (!is_valid_operation_id(request.operation_id)) {
    return error_response(400, "expected the header Operation-Id: 1 to 64 letters, digits, -, _ or .");
  }
  const OperationOutcome decided = store_.outcome(request.operation_id);
  if (decided.state != OperationState::kNotSeen) return outcome_response(decided, request.operation_id);
  const auto current = store_.find(kServiceKind, record.name);
  if (request.if_match.empty() && request.if_none_match.empty()) {
    return error_response(428, "expected the header If-Match: VERSION, or If-None-Match: * to create");
  }
  const auto base = base_version(request, current);
  if (!base) return error_response(400, "expected a version in If-Match, or * in If-None-Match");
  record.kind = kServiceKind;
  record.base_version = *base;
  record.operation_id = request.operation_id;
  record.author = request.author;
  const bool is_delete = record.operation == RecordOperation::kDelete;
  if (is_delete && *base == 0) return error_response(428, "expected the header If-Match with the version to delete");
  // Versions only grow, so a base version below the current one can never be accepted, not even on a retry. A base
  // version above it means that this replica lags, and a create may succeed when retried after a deletion. In both
  // cases the log decides, so that an operation id has a single outcome.
  const std::uint64_t current_version = current ? current->version : 0;
  const bool already_deleted = is_delete && current && current->deleted && *base == current_version;
  if ((*base != 0 && *base < current_version) || already_deleted) {
    // The operation may have been replayed since the lookup above.
    const OperationOutcome replayed = store_.outcome(request.operation_id);
    if (replayed.state != OperationState::kNotSeen) return outcome_response(replayed, request.operation_id);
    return outcome_response({OperationState::kConflict, record.kind, record.name, current_version},
                            request.operation_id);
  }
  auto bytes = encode(record);
  if (!bytes) return error_response(413, "the record would exceed 65536 bytes or is not valid UTF-8");
  AppendStep step{std::move(*bytes), request.operation_id};
  if (!store_.is_synchronized())
    return refused_response(step, "this daemon does not know the state of the configuration yet");
  return step;
}

ApiResult ApiHandler::watch(const ApiRequest& request, std::string_view /*argument*/) const {
  const auto after = parse_number(query_value(request.query, "after").value_or("0"));
  const auto timeout = parse_number(query_value(request.query, "timeout_ms").value_or("30000"));
  if (!after || !timeout) return error_response(400, "expected after=REVISION and timeout_ms=N as whole numbers");
  const WatchStep step{*after, std::min(kMaxWatchTimeout, milliseconds{std::min<std::uint64_t>(*timeout, 60'000)})};
  auto response = poll(step);
  if (response) return std::move(*response);
  if (step.timeout == milliseconds{0}) return unchanged_response(step);
  return step;
}

ApiResult ApiHandler::operation(const ApiRequest& /*request*/, std::string_view id) const {
  if (!is_valid_operation_id(id)) return error_response(400, "expected an operation id");
  const OperationOutcome outcome = store_.outcome(id);
  if (outcome.state == OperationState::kNotSeen) {
    return json_response(200, {{"outcome", "not-seen"}, {"operation_id", id}, {"offset", store_.offset()}});
  }
  ApiResponse response = outcome_response(outcome, id);
  response.status = 200;
  return response;
}

std::optional<ApiResponse> ApiHandler::poll(const AppendStep& step) const {
  const OperationOutcome outcome = store_.outcome(step.operation_id);
  if (outcome.state == OperationState::kNotSeen) return std::nullopt;
  return outcome_response(outcome, step.operation_id);
}

ApiResponse ApiHandler::refused_response(const AppendStep& step, std::string_view reason) const {
  ApiResponse response =
      json_response(503, {{"outcome", "refused"}, {"operation_id", step.operation_id}, {"error", reason}});
  response.headers.emplace_back("Retry-After", "1");
  return response;
}

ApiResponse ApiHandler::unknown_outcome_response(const AppendStep& step, std::string_view reason) const {
  return json_response(504, {{"outcome", "unknown"}, {"operation_id", step.operation_id}, {"error", reason}});
}

std::optional<ApiResponse> ApiHandler::poll(const WatchStep& step) const {
  const std::uint64_t revision = store_.revision();
  if (revision <= step.after) return std::nullopt;
  return json_response(200,
                       {{"revision", revision}, {"resources", resource_summaries(store_.changed_since(step.after))}});
}

ApiResponse ApiHandler::unchanged_response(const WatchStep& /*step*/) const {
  return json_response(200, {{"revision", store_.revision()}, {"resources", Json::array()}});
}

}  // namespace damaskthread::resource
