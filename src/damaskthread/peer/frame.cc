#include "damaskthread/peer/frame.h"

#include <algorithm>
#include <array>
#include <boost/leaf/error.hpp>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "damaskthread/core/buffer.h"
#include "damaskthread/core/error.h"

namespace damaskthread::peer {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

// Position of a field that only daemons of the previous version read.
constexpr bool kUnusedField = false;
constexpr double kDemandScale = 10;
constexpr double kPercent = 100;
// The largest work time that a daemon takes over from its server.
constexpr double kMaxWorkTimePercent = 10'000;
// Reserved rates are encoded in hundredths of a request per second.
constexpr double kReservedScale = 100;
constexpr std::size_t kLengthBytes = 4;
// Read offset above which the buffer is compacted.
constexpr std::size_t kCompactBytes = std::size_t{64} << 10U;

void append_length(std::string& out, std::size_t value) {
  for (int shift = 24; shift >= 0; shift -= 8) out.push_back(static_cast<char>((value >> shift) & 0xFFU));
}

std::size_t read_length(std::string_view bytes) {
  std::size_t value = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) value = (value << 8U) | static_cast<unsigned char>(bytes[i]);
  return value;
}

std::int64_t to_ms(core::Duration time) { return std::chrono::duration_cast<milliseconds>(time).count(); }
core::Duration from_ms(const Json& value) { return milliseconds(value.get<std::int64_t>()); }
// Run times are short; milliseconds would lose most of their precision.
std::int64_t to_us(core::Duration time) { return std::chrono::duration_cast<std::chrono::microseconds>(time).count(); }
core::Duration from_us(const Json& value) { return std::chrono::microseconds(value.get<std::int64_t>()); }

Json encode(const http::Headers& headers) {
  Json array = Json::array();
  for (const http::Header& header : headers) {
    array.push_back(header.name);
    array.push_back(header.value);
  }
  return array;
}

http::Headers decode_headers(const Json& array) {
  http::Headers headers;
  headers.reserve(array.size() / 2);
  for (std::size_t i = 0; i + 1 < array.size(); i += 2) {
    headers.push_back({array.at(i).get<std::string>(), array.at(i + 1).get<std::string>()});
  }
  return headers;
}

Json encode(const gate::Load& load) {
  // Demand is encoded in tenths of a slot, which is precise enough and compact.
  Json fields = Json::array({load.limit, load.running, load.queued, to_us(load.run_time),
                             static_cast<std::int64_t>(std::lround(kDemandScale * load.demand))});
  // Left out for the usual values, which keeps the frequent messages small.
  if (load.work_time != 1 || load.pace != 1) {
    fields.push_back(std::lround(kPercent * load.work_time));
    fields.push_back(std::lround(kPercent * load.pace));
  }
  return fields;
}

gate::Load decode_load(const Json& value) {
  gate::Load load{value.at(0).get<int>(), value.at(1).get<int>(), value.at(2).get<int>(), from_us(value.at(3)),
                  value.at(4).get<double>() / kDemandScale};
  if (value.size() > 6) {
    load.work_time = std::min(std::max(1.0, value.at(5).get<double>()), kMaxWorkTimePercent) / kPercent;
    load.pace = std::clamp(value.at(6).get<double>() / kPercent, 1 / kPercent, 1.0);
  }
  return load;
}

Json encode(const Member& member) { return Json::array({member.endpoint, member.zone, member.service}); }

Member decode_member(const Json& value) {
  return {value.at(0).get<std::string>(), value.at(1).get<std::string>(), value.at(2).get<std::string>()};
}

// The first element of each array is the index of the message type in the variant.
struct Encoder {
  Json operator()(const Hello& hello) const {
    Json members = Json::array();
    for (const Member& member : hello.members) members.push_back(encode(member));
    return Json::array({0, hello.protocol, hello.incarnation.value, encode(hello.self), std::move(members)});
  }
  Json operator()(const Execute& execute) const {
    return Json::array({1, execute.stream, execute.attempt_id, execute.service, execute.kind, execute.caller_service,
                        execute.idempotent, execute.priority, execute.nested, execute.repeat, to_ms(execute.time_left),
                        to_ms(execute.max_wait), to_us(execute.sent_at.time_since_epoch()), execute.request.method,
                        execute.request.target, encode(execute.request.headers), kUnusedField, execute.calls_left});
  }
  Json operator()(const Result& result) const {
    return Json::array({2, result.stream, static_cast<int>(result.verdict.execution),
                        static_cast<int>(result.verdict.cause), to_ms(result.verdict.retry_after),
                        result.reached_server, result.answered, to_us(result.run_time), encode(result.load),
                        result.response.status, encode(result.response.headers), result.call_refused});
  }
  Json operator()(const Cancel& cancel) const { return Json::array({3, cancel.stream}); }
  Json operator()(const Resume& resume) const { return Json::array({4, resume.stream, resume.idempotent}); }
  Json operator()(const Status& status) const {
    Json calls = Json::array();
    for (const auto& [caller, callee] : status.calls) calls.push_back(Json::array({caller, callee}));
    Json fields = Json::array({5, status.configuration_version, status.service, status.server_id, status.ready,
                               encode(status.load), std::move(calls), status.watching});
    if (status.store_era != 0) fields.push_back(status.store_era);
    return fields;
  }
  Json operator()(const Configuration& configuration) const { return Json::array({6, configuration.version}); }
  Json operator()(const CrashNotice& crash) const { return Json::array({7, crash.report.crash, crash.report.running}); }
  Json operator()(const LoadUpdate& load_update) const {
    return Json::array({8, load_update.configuration_version, encode(load_update.load)});
  }
  Json operator()(const ConfigurationRequest& request) const { return Json::array({9, request.version}); }
  Json operator()(const QuotaReport& message) const {
    Json demands = Json::array();
    for (const quota::Demand& demand : message.report.demands) {
      demands.push_back(Json::array({demand.tenant, demand.wanted, demand.spare, demand.returned,
                                     std::lround(kReservedScale * demand.reserved_per_second), demand.held}));
    }
    return Json::array({10, message.report.sequence, message.report.fleet_size, std::move(demands)});
  }
  Json operator()(const QuotaGrant& message) const {
    Json credits = Json::array();
    for (const quota::Credit& credit : message.grant.credits) {
      credits.push_back(Json::array({credit.tenant, credit.credits, credit.exhausted}));
    }
    return Json::array({11, message.grant.sequence, message.grant.majority, std::move(credits)});
  }
};

std::string_view body_of(const Message& message) {
  if (const auto* execute = std::get_if<Execute>(&message)) return http::view(execute->body);
  if (const auto* result = std::get_if<Result>(&message)) return result->response.body;
  if (const auto* configuration = std::get_if<Configuration>(&message)) return configuration->document;
  return {};
}

Message decode_hello(const Json& fields) {
  Hello hello;
  hello.protocol = fields.at(1).get<std::uint64_t>();
  hello.incarnation.value = fields.at(2).get<std::uint64_t>();
  hello.self = decode_member(fields.at(3));
  for (const Json& member : fields.at(4)) hello.members.push_back(decode_member(member));
  return hello;
}

Message decode_execute(const Json& fields) {
  Execute execute;
  execute.stream = fields.at(1).get<std::uint64_t>();
  execute.attempt_id = fields.at(2).get<std::string>();
  execute.service = fields.at(3).get<std::string>();
  execute.kind = fields.at(4).get<std::string>();
  execute.caller_service = fields.at(5).get<std::string>();
  execute.idempotent = fields.at(6).get<bool>();
  execute.priority = fields.at(7).get<int>();
  execute.nested = fields.at(8).get<bool>();
  execute.repeat = fields.at(9).get<bool>();
  execute.time_left = from_ms(fields.at(10));
  execute.max_wait = from_ms(fields.at(11));
  execute.sent_at = core::TimePoint(from_us(fields.at(12)));
  execute.request.method = fields.at(13).get<std::string>();
  execute.request.target = fields.at(14).get<std::string>();
  execute.request.headers = decode_headers(fields.at(15));
  // Absent in frames of daemons of the previous version.
  if (fields.size() > 17) execute.calls_left = std::max(1, fields.at(17).get<int>());
  return execute;
}

Message decode_result(const Json& fields) {
  Result result;
  result.stream = fields.at(1).get<std::uint64_t>();
  result.verdict.execution = static_cast<core::Execution>(fields.at(2).get<int>());
  result.verdict.cause = static_cast<core::Cause>(fields.at(3).get<int>());
  result.verdict.retry_after = from_ms(fields.at(4));
  result.reached_server = fields.at(5).get<bool>();
  result.answered = fields.at(6).get<bool>();
  result.run_time = from_us(fields.at(7));
  result.load = decode_load(fields.at(8));
  result.response.status = fields.at(9).get<int>();
  result.response.headers = decode_headers(fields.at(10));
  result.call_refused = fields.at(11).get<bool>();
  return result;
}

Message decode_cancel(const Json& fields) { return Cancel{fields.at(1).get<std::uint64_t>()}; }
Message decode_resume(const Json& fields) {
  return Resume{fields.at(1).get<std::uint64_t>(), fields.at(2).get<bool>()};
}

Message decode_status(const Json& fields) {
  Status status;
  status.configuration_version = fields.at(1).get<std::uint64_t>();
  status.service = fields.at(2).get<std::string>();
  status.server_id = fields.at(3).get<std::string>();
  status.ready = fields.at(4).get<bool>();
  status.load = decode_load(fields.at(5));
  for (const Json& call : fields.at(6)) {
    status.calls.emplace_back(call.at(0).get<std::string>(), call.at(1).get<std::string>());
  }
  status.watching = fields.at(7).get<bool>();
  // Absent in frames of daemons of the previous version and on platforms without eras.
  if (fields.size() > 8) status.store_era = fields.at(8).get<std::uint64_t>();
  return status;
}

Message decode_configuration(const Json& fields) { return Configuration{fields.at(1).get<std::uint64_t>(), {}}; }

Message decode_crash(const Json& fields) {
  return CrashNotice{{fields.at(1).get<std::uint64_t>(), fields.at(2).get<std::vector<std::uint64_t>>()}};
}

Message decode_pulse(const Json& fields) {
  return LoadUpdate{fields.at(1).get<std::uint64_t>(), decode_load(fields.at(2))};
}

Message decode_configuration_request(const Json& fields) {
  return ConfigurationRequest{fields.at(1).get<std::uint64_t>()};
}

Message decode_quota_report(const Json& fields) {
  QuotaReport message;
  message.report.sequence = fields.at(1).get<std::uint64_t>();
  message.report.fleet_size = fields.at(2).get<std::uint32_t>();
  for (const Json& demand : fields.at(3)) {
    // Daemons of earlier versions don't tell which credits they hold.
    const int held = demand.size() > 5 ? demand.at(5).get<int>() : 0;
    message.report.demands.push_back({demand.at(0).get<std::string>(), demand.at(1).get<int>(), demand.at(2).get<int>(),
                                      demand.at(3).get<int>(), held, demand.at(4).get<double>() / kReservedScale});
  }
  return message;
}

Message decode_quota_grant(const Json& fields) {
  QuotaGrant message;
  message.grant.sequence = fields.at(1).get<std::uint64_t>();
  message.grant.majority = fields.at(2).get<bool>();
  for (const Json& credit : fields.at(3)) {
    message.grant.credits.push_back(
        {credit.at(0).get<std::string>(), credit.at(1).get<int>(), credit.at(2).get<bool>()});
  }
  return message;
}

using Decoder = Message (*)(const Json& fields);
constexpr std::array<Decoder, std::variant_size_v<Message>> kDecoders = {
    decode_hello,        decode_execute,       decode_result, decode_cancel, decode_resume,
    decode_status,       decode_configuration, decode_crash,  decode_pulse,  decode_configuration_request,
    decode_quota_report, decode_quota_grant};

// Puts a body that was read into its message.
void set_body(Message& message, std::string&& body, const std::optional<BodyReservation>& reservation) {
  if (auto* execute = std::get_if<Execute>(&message)) {
    if (!execute->body_dropped && reservation) execute->body = (*reservation)(std::move(body));
  } else if (auto* result = std::get_if<Result>(&message)) {
    result->response.body = std::move(body);
  } else if (auto* configuration = std::get_if<Configuration>(&message)) {
    configuration->document = std::move(body);
  }
}

std::optional<BodyReservation> reserve_any(std::size_t /*bytes*/) {
  return [](std::string&& bytes) -> http::SharedBody { return std::make_shared<const std::string>(std::move(bytes)); };
}

boost::leaf::error_id malformed_frame(const char* message) {
  return boost::leaf::new_error(core::Error{core::ErrorCode::kInvalidInput, "peer frame", message});
}

}  // namespace

void append_frame_head(std::string& out, const Execute& execute) {
  const std::vector<std::uint8_t> fields = Json::to_cbor(Encoder()(execute));
  append_length(out, kLengthBytes + fields.size() + http::view(execute.body).size());
  append_length(out, fields.size());
  out.append(reinterpret_cast<const char*>(fields.data()), fields.size());
}

void append_frame(std::string& out, const Message& message) {
  const std::vector<std::uint8_t> fields = Json::to_cbor(std::visit(Encoder(), message));
  const std::string_view body = body_of(message);
  append_length(out, kLengthBytes + fields.size() + body.size());
  append_length(out, fields.size());
  out.append(reinterpret_cast<const char*>(fields.data()), fields.size());
  out.append(body);
}

void FrameReader::add(std::string_view bytes) {
  if (message_) take_body_bytes(bytes);
  buffer_.append(bytes);
}

void FrameReader::take_body_bytes(std::string_view& bytes) {
  const std::string_view taken = bytes.substr(0, body_missing_);
  const auto* execute = std::get_if<Execute>(&*message_);
  if (execute == nullptr || !execute->body_dropped) body_.append(taken);
  body_missing_ -= taken.size();
  bytes.remove_prefix(taken.size());
}

boost::leaf::result<bool> FrameReader::read_fields() {
  std::string_view unread = buffer_;
  unread.remove_prefix(read_offset_);
  if (unread.size() < 2 * kLengthBytes) return false;
  const std::size_t length = read_length(unread);
  if (length < kLengthBytes || length > kMaxFrameBytes) return malformed_frame("the frame length is out of range");
  const std::size_t field_bytes = read_length(unread.substr(kLengthBytes));
  if (field_bytes > length - kLengthBytes) return malformed_frame("the fields are longer than the frame");
  if (unread.size() < 2 * kLengthBytes + field_bytes) return false;
  const std::string_view encoded_fields = unread.substr(2 * kLengthBytes, field_bytes);
  const Json fields = Json::from_cbor(encoded_fields.begin(), encoded_fields.end(), true, false);
  if (!fields.is_array() || fields.empty() || !fields.front().is_number_unsigned()) {
    return malformed_frame("the fields are not an array that begins with a message type");
  }
  const auto type = fields.front().get<std::size_t>();
  if (type >= kDecoders.size()) return malformed_frame("the message type is unknown");
  try {
    message_ = kDecoders[type](fields);
  } catch (const Json::exception&) {
    return malformed_frame("a field is missing or has the wrong type");
  }
  body_missing_ = length - kLengthBytes - field_bytes;
  read_offset_ += 2 * kLengthBytes + field_bytes;
  auto* execute = std::get_if<Execute>(&*message_);
  if (execute != nullptr && body_missing_ > 0) {
    reservation_ = reserve_body_ ? reserve_body_(body_missing_) : reserve_any(body_missing_);
    execute->body_dropped = !reservation_;
  }
  if (execute == nullptr || !execute->body_dropped) body_.reserve(body_missing_);
  std::string_view rest = buffer_;
  rest.remove_prefix(read_offset_);
  const std::size_t available = rest.size();
  take_body_bytes(rest);
  read_offset_ += available - rest.size();
  return true;
}

boost::leaf::result<std::optional<Message>> FrameReader::next() {
  if (!message_) {
    BOOST_LEAF_AUTO(complete, read_fields());
    if (read_offset_ == buffer_.size() || read_offset_ > kCompactBytes) {
      buffer_.erase(0, read_offset_);
      read_offset_ = 0;
      core::shrink_if_empty(buffer_);
    }
    if (!complete) return std::optional<Message>();
  }
  if (body_missing_ > 0) return std::optional<Message>();
  set_body(*message_, std::exchange(body_, {}), reservation_);
  reservation_.reset();
  return std::exchange(message_, std::nullopt);
}

}  // namespace damaskthread::peer
