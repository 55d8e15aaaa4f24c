#include "damaskthread/logservice/log_client.h"

#include <sodium.h>

#include <boost/leaf/error.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <variant>

#include "damaskthread/http/client.h"

namespace damaskthread::logservice {
namespace {

namespace leaf = boost::leaf;
using core::Error;
using core::ErrorCode;
using Json = nlohmann::json;

constexpr std::string_view kErrorOrigin = "log service";

Error make_error(ErrorCode code, std::string message) { return {code, std::string{kErrorOrigin}, std::move(message)}; }

leaf::error_id new_log_error(ErrorCode code, std::string message) {
  return leaf::new_error(make_error(code, std::move(message)));
}

// Response body, or an error.
using CallOutcome = std::variant<std::string, Error>;

Error connection_error(http::FailureKind kind) {
  if (kind == http::FailureKind::kConnect) return make_error(ErrorCode::kUnavailable, "no connection");
  if (kind == http::FailureKind::kTimeout) return make_error(ErrorCode::kUnknown, "no answer in time");
  return make_error(ErrorCode::kUnknown, "the connection broke before the whole answer came");
}

CallOutcome evaluate_response(http::Response&& response) {
  const int status = response.status;
  const std::string status_text = "status " + std::to_string(status);
  if (status == 200) return std::move(response.body);
  if (status == 429 || status == 503) return make_error(ErrorCode::kUnavailable, "refused with " + status_text);
  if (status == 413) return make_error(ErrorCode::kTooLarge, "the record is too large");
  if (status >= 400 && status < 500) return make_error(ErrorCode::kInvalidInput, "rejected with " + status_text);
  return make_error(ErrorCode::kUnknown, "failed with " + status_text);
}

CallOutcome call(http::Client& client, const LogClientOptions& options, const http::Request& request) {
  const http::ConnectionReuse reuse =
      request.method == "GET" ? http::ConnectionReuse::kAllowed : http::ConnectionReuse::kNever;
  http::ExchangeResult result = client.send({options.ip, options.port}, request, options.timeout, reuse);
  if (const auto* failure = std::get_if<http::Failure>(&result)) return connection_error(failure->kind);
  return evaluate_response(std::get<http::Response>(std::move(result)));
}

// A read has no effect, so an unknown outcome is reported as unavailable.
leaf::result<Json> get_json(http::Client& client, const LogClientOptions& options, std::string target) {
  CallOutcome outcome =
      call(client, options, {.method = "GET", .target = std::move(target), .headers = {}, .body = {}});
  if (auto* error = std::get_if<Error>(&outcome)) {
    if (error->code == ErrorCode::kUnknown) error->code = ErrorCode::kUnavailable;
    return leaf::new_error(std::move(*error));
  }
  Json json = Json::parse(std::get<std::string>(outcome), nullptr, false);
  if (!json.is_object()) return new_log_error(ErrorCode::kUnavailable, "the answer is not a JSON object");
  return json;
}

std::optional<std::uint64_t> read_unsigned_field(const Json& json, const char* key) {
  const auto it = json.find(key);
  if (it == json.end() || !it->is_number_unsigned()) return std::nullopt;
  return it->get<std::uint64_t>();
}

std::optional<std::string> decode_base64(const std::string& text) {
  std::string bytes(text.size() / 4 * 3 + 3, '\0');
  std::size_t length = 0;
  const int failed = sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), text.data(),
                                       text.size(), nullptr, &length, nullptr, sodium_base64_VARIANT_ORIGINAL);
  if (failed != 0) return std::nullopt;
  bytes.resize(length);
  return bytes;
}

std::optional<resource::LogEntry> parse_entry(const Json& json) {
  if (!json.is_object()) return std::nullopt;
  const auto offset = read_unsigned_field(json, "offset");
  const auto body = json.find("body");
  if (!offset || body == json.end() || !body->is_string()) return std::nullopt;
  auto bytes = decode_base64(body->get_ref<const std::string&>());
  if (!bytes) return std::nullopt;
  return resource::LogEntry{*offset, std::move(*bytes)};
}

}  // namespace

LogClient::LogClient(LogClientOptions options)
    : options_(std::move(options)), client_(std::make_shared<http::Client>()) {}

leaf::result<std::uint64_t> LogClient::append(std::string_view record) const {
  const http::Request request{.method = "POST",
                              .target = "/append",
                              .headers = {{"Content-Type", "application/octet-stream"}},
                              .body = std::string{record}};
  CallOutcome outcome = call(*client_, options_, request);
  if (auto* error = std::get_if<Error>(&outcome)) return leaf::new_error(std::move(*error));
  const Json json = Json::parse(std::get<std::string>(outcome), nullptr, false);
  const auto offset = json.is_object() ? read_unsigned_field(json, "offset") : std::nullopt;
  if (!offset) return new_log_error(ErrorCode::kUnknown, "the answer names no offset");
  return *offset;
}

leaf::result<resource::LogSlice> LogClient::read(std::uint64_t from, std::size_t max) const {
  const std::string target = "/read?from=" + std::to_string(from) + "&max=" + std::to_string(max);
  BOOST_LEAF_AUTO(json, get_json(*client_, options_, target));
  const auto first = read_unsigned_field(json, "first");
  const auto next = read_unsigned_field(json, "next");
  const auto records = json.find("records");
  if (!first || !next || records == json.end() || !records->is_array()) {
    return new_log_error(ErrorCode::kUnavailable, "the answer lacks first, next or records");
  }
  resource::LogSlice slice{*first, *next, {}};
  for (const Json& record : *records) {
    auto entry = parse_entry(record);
    if (!entry) return new_log_error(ErrorCode::kUnavailable, "the answer holds a malformed record");
    slice.entries.push_back(std::move(*entry));
  }
  return slice;
}

leaf::result<LogInfo> LogClient::info() const {
  BOOST_LEAF_AUTO(json, get_json(*client_, options_, "/info"));
  const auto first = read_unsigned_field(json, "first");
  const auto next = read_unsigned_field(json, "next");
  if (!first || !next) return new_log_error(ErrorCode::kUnavailable, "the answer lacks first or next");
  return LogInfo{*first, *next};
}

}  // namespace damaskthread::logservice
