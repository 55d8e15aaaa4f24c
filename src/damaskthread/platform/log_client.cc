#include "damaskthread/platform/log_client.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <sodium.h>

#include <boost/leaf/error.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <variant>

namespace damaskthread::platform {
namespace {

namespace leaf = boost::leaf;
using core::Error;
using core::ErrorCode;
using Json = nlohmann::json;

constexpr std::string_view kWhere = "log service";

Error error_of(ErrorCode code, std::string message) { return {code, std::string{kWhere}, std::move(message)}; }

leaf::error_id failed(ErrorCode code, std::string message) {
  return leaf::new_error(error_of(code, std::move(message)));
}

// cxxtools reports a reply without a length, or one cut short, as complete; only a checked length counts as whole.
bool is_whole(const cxxtools::http::Reply& reply, const std::string& body) {
  const char* header = reply.getHeader("Content-Length");
  if (header == nullptr) return false;
  const std::string_view text{header};
  std::size_t length = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
  return error == std::errc{} && end == text.data() + text.size() && length == body.size();
}

// Starts the message of the error that cxxtools throws while connecting; it has no type of its own.
constexpr std::string_view kConnectFailure = "while trying to connect";

// Body of the answer, or what went wrong.
using CallOutcome = std::variant<std::string, Error>;

CallOutcome outcome_of(const cxxtools::http::Reply& reply) {
  const unsigned status = reply.httpReturnCode();
  const std::string with_status = "status " + std::to_string(status);
  if (status == 429 || status == 503) return error_of(ErrorCode::kUnavailable, "refused with " + with_status);
  if (status == 413) return error_of(ErrorCode::kTooLarge, "the record is too large");
  if (status >= 400 && status < 500) return error_of(ErrorCode::kInvalidInput, "rejected with " + with_status);
  if (status != 200) return error_of(ErrorCode::kUnknown, "failed with " + with_status);
  std::string body = reply.body();
  if (!is_whole(reply, body)) return error_of(ErrorCode::kUnknown, "the answer ended early");
  return body;
}

CallOutcome call(const LogClientOptions& options, const cxxtools::http::Request& request) {
  try {
    cxxtools::http::Client client{options.ip, options.port};
    client.execute(request, cxxtools::Milliseconds(static_cast<double>(options.request_timeout.count())),
                   cxxtools::Milliseconds(static_cast<double>(options.connect_timeout.count())));
    return outcome_of(client.readBody());
  } catch (const std::exception& error) {
    // A time-out while connecting looks like one while waiting for the answer, so it counts as unknown too.
    const std::string_view message{error.what()};
    const bool not_sent = message.starts_with(kConnectFailure);
    return error_of(not_sent ? ErrorCode::kUnavailable : ErrorCode::kUnknown, std::string{message});
  }
}

leaf::result<std::string> append_call(const LogClientOptions& options, const cxxtools::http::Request& request) {
  CallOutcome outcome = call(options, request);
  if (auto* error = std::get_if<Error>(&outcome)) return leaf::new_error(std::move(*error));
  return std::get<std::string>(std::move(outcome));
}

// A read changes nothing, so an unknown outcome of it means that the log is unavailable.
leaf::result<Json> call_for_json(const LogClientOptions& options, const std::string& url, const std::string& query) {
  cxxtools::http::Request request{url};
  request.method("GET");
  request.qparams(query);
  CallOutcome outcome = call(options, request);
  if (auto* error = std::get_if<Error>(&outcome)) {
    if (error->code == ErrorCode::kUnknown) error->code = ErrorCode::kUnavailable;
    return leaf::new_error(std::move(*error));
  }
  Json json = Json::parse(std::get<std::string>(outcome), nullptr, false);
  if (!json.is_object()) return failed(ErrorCode::kUnavailable, "the answer is not a JSON object");
  return json;
}

std::optional<std::uint64_t> unsigned_field(const Json& json, const char* key) {
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

std::optional<resource::LogEntry> entry_from(const Json& json) {
  if (!json.is_object()) return std::nullopt;
  const auto offset = unsigned_field(json, "offset");
  const auto body = json.find("body");
  if (!offset || body == json.end() || !body->is_string()) return std::nullopt;
  auto bytes = decode_base64(body->get_ref<const std::string&>());
  if (!bytes) return std::nullopt;
  return resource::LogEntry{*offset, std::move(*bytes)};
}

}  // namespace

LogClient::LogClient(LogClientOptions options) : options_(std::move(options)) {}

leaf::result<std::uint64_t> LogClient::append(std::string_view record) const {
  cxxtools::http::Request request{"/append"};
  request.method("POST");
  request.setHeader("Content-Type", "application/octet-stream");
  request.body().write(record.data(), static_cast<std::streamsize>(record.size()));
  BOOST_LEAF_AUTO(body, append_call(options_, request));
  const Json json = Json::parse(body, nullptr, false);
  const auto offset = json.is_object() ? unsigned_field(json, "offset") : std::nullopt;
  if (!offset) return failed(ErrorCode::kUnknown, "the answer names no offset");
  return *offset;
}

leaf::result<resource::LogSlice> LogClient::read(std::uint64_t from, std::size_t max) const {
  BOOST_LEAF_AUTO(json,
                  call_for_json(options_, "/read", "from=" + std::to_string(from) + "&max=" + std::to_string(max)));
  const auto first = unsigned_field(json, "first");
  const auto next = unsigned_field(json, "next");
  const auto records = json.find("records");
  if (!first || !next || records == json.end() || !records->is_array()) {
    return failed(ErrorCode::kUnavailable, "the answer lacks first, next or records");
  }
  resource::LogSlice slice{*first, *next, {}};
  for (const Json& record : *records) {
    auto entry = entry_from(record);
    if (!entry) return failed(ErrorCode::kUnavailable, "the answer holds a malformed record");
    slice.entries.push_back(std::move(*entry));
  }
  return slice;
}

leaf::result<LogInfo> LogClient::info() const {
  BOOST_LEAF_AUTO(json, call_for_json(options_, "/info", ""));
  const auto first = unsigned_field(json, "first");
  const auto next = unsigned_field(json, "next");
  if (!first || !next) return failed(ErrorCode::kUnavailable, "the answer lacks first or next");
  return LogInfo{*first, *next};
}

}  // namespace damaskthread::platform
