#include "damaskthread/context/call_context.h"

#include <algorithm>
#include <array>
#include <boost/leaf/error.hpp>
#include <cctype>
#include <charconv>
#include <chrono>

#include "damaskthread/core/error.h"

namespace damaskthread::context {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kPrefix = "damask-";

bool equal_ignoring_case(std::string_view a, std::string_view b) noexcept {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
    return std::tolower(static_cast<unsigned char>(x)) == std::tolower(static_cast<unsigned char>(y));
  });
}

std::optional<std::int64_t> parse_number(std::string_view text, std::int64_t min, std::int64_t max) noexcept {
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value < min || value > max) return std::nullopt;
  return value;
}

bool is_printable(std::string_view text) noexcept {
  return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 127; });
}

bool read_service(CallContext& context, std::string_view value) {
  context.service = value;
  return is_service_name(value);
}

bool read_request_id(CallContext& context, std::string_view value) {
  context.request_id = value;
  return !value.empty() && is_printable(value);
}

bool read_importance(CallContext& context, std::string_view value) {
  context.importance = core::parse_importance(value);
  return context.importance.has_value();
}

bool read_deadline(CallContext& context, std::string_view value) {
  const auto max = std::chrono::duration_cast<milliseconds>(kMaxDeadline).count();
  const auto number = parse_number(value, 0, max);
  if (!number) return false;
  context.time_left = milliseconds(*number);
  return true;
}

bool read_retries(CallContext& context, std::string_view value) {
  const auto number = parse_number(value, 0, kMaxRetries);
  context.retries = static_cast<int>(number.value_or(0));
  return number.has_value();
}

bool read_at_most_once(CallContext& context, std::string_view value) {
  context.at_most_once = value == "true" || value == "1";
  return context.at_most_once || value == "false" || value == "0";
}

bool read_attempt(CallContext& context, std::string_view value) {
  const auto number = parse_number(value, 0, kMaxAttempt);
  context.attempt = static_cast<int>(number.value_or(0));
  return number.has_value();
}

bool read_parent(CallContext& context, std::string_view value) {
  context.parent = value;
  return parse_key(value).has_value();
}

bool read_depth(CallContext& context, std::string_view value) {
  const auto number = parse_number(value, 0, kMaxDepth);
  context.depth = static_cast<int>(number.value_or(0));
  return number.has_value();
}

bool read_call_key(CallContext& context, std::string_view value) {
  context.call_key = value;
  return !value.empty() && value.size() <= 64 && is_printable(value);
}

bool read_token(CallContext& context, std::string_view value) {
  context.token = value;
  return !value.empty() && is_printable(value);
}

bool read_root(CallContext& context, std::string_view value) {
  context.root = parse_key(value);
  return context.root.has_value();
}

struct Field {
  std::string_view name;
  bool (*read)(CallContext&, std::string_view);
  std::string_view expected;
};

constexpr std::array<Field, 12> kFields = {{
    {"Damask-Service", read_service, "1 to 63 of a-z, 0-9 and -"},
    {"Damask-Request-Id", read_request_id, "visible characters"},
    {"Damask-Importance", read_importance, "sheddable, normal, high or critical"},
    {"Damask-Deadline-Ms", read_deadline, "milliseconds from 0 to 3600000"},
    {"Damask-Retries", read_retries, "a number from 0 to 8"},
    {"Damask-At-Most-Once", read_at_most_once, "true or false"},
    {"Damask-Attempt", read_attempt, "a number from 0 to 100"},
    {"Damask-Parent", read_parent, "32 hexadecimal digits"},
    {"Damask-Depth", read_depth, "a number from 0 to 16"},
    {"Damask-Call-Key", read_call_key, "up to 64 visible characters"},
    {"Damask-Token", read_token, "visible characters"},
    {"Damask-Root", read_root, "32 hexadecimal digits"},
}};

core::Error invalid(std::string_view name, std::string_view expected) {
  return {core::ErrorCode::kInvalidInput, std::string(name), "expected " + std::string(expected)};
}

}  // namespace

bool is_context_header(std::string_view name) noexcept {
  return name.size() > kPrefix.size() && equal_ignoring_case(name.substr(0, kPrefix.size()), kPrefix);
}

bool is_service_name(std::string_view text) noexcept {
  return !text.empty() && text.size() <= 63 && std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
  });
}

std::string to_hex(const core::RequestKey& key) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text(32, '0');
  for (std::size_t i = 0; i < 16; ++i) {
    text[15 - i] = kDigits[(key.high >> (4 * i)) & 0xFU];
    text[31 - i] = kDigits[(key.low >> (4 * i)) & 0xFU];
  }
  return text;
}

std::optional<core::RequestKey> parse_key(std::string_view text) noexcept {
  if (text.size() != 32) return std::nullopt;
  core::RequestKey key;
  const char* middle = text.data() + 16;
  const char* end = text.data() + 32;
  const auto high = std::from_chars(text.data(), middle, key.high, 16);
  const auto low = std::from_chars(middle, end, key.low, 16);
  if (high.ec != std::errc() || high.ptr != middle || low.ec != std::errc() || low.ptr != end) return std::nullopt;
  return key;
}

boost::leaf::result<CallContext> parse(std::span<const HeaderView> headers) {
  CallContext context;
  std::array<bool, kFields.size()> present{};
  std::size_t total_bytes = 0;
  for (const HeaderView& header : headers) {
    if (!is_context_header(header.name)) continue;
    const auto field = std::find_if(kFields.begin(), kFields.end(),
                                    [&](const Field& entry) { return equal_ignoring_case(entry.name, header.name); });
    // Unknown context headers are ignored, so that headers of newer versions do not break older ones.
    if (field == kFields.end()) continue;
    total_bytes += header.name.size() + header.value.size();
    if (header.value.size() > kMaxValueBytes) {
      return boost::leaf::new_error(
          core::Error{core::ErrorCode::kTooLarge, std::string(header.name), "expected at most 128 bytes"});
    }
    if (total_bytes > kMaxContextBytes) {
      return boost::leaf::new_error(
          core::Error{core::ErrorCode::kTooLarge, "Damask-*", "expected at most 600 bytes of context"});
    }
    bool& already_present = present[static_cast<std::size_t>(field - kFields.begin())];
    if (already_present) return boost::leaf::new_error(invalid(field->name, "one value only"));
    already_present = true;
    if (!field->read(context, header.value)) return boost::leaf::new_error(invalid(field->name, field->expected));
  }
  return context;
}

void append_headers(const CallContext& context, HeaderPairs& headers) {
  const auto add = [&headers](std::string_view name, std::string value) {
    if (value.empty()) return;
    headers.emplace_back(std::string(name), std::move(value));
  };
  add("Damask-Service", context.service);
  add("Damask-Request-Id", context.request_id);
  if (context.importance) add("Damask-Importance", std::string(core::to_string(*context.importance)));
  if (context.time_left) {
    const auto millis = std::chrono::duration_cast<milliseconds>(std::max(*context.time_left, core::Duration{0}));
    add("Damask-Deadline-Ms", std::to_string(millis.count()));
  }
  if (context.retries > 0) add("Damask-Retries", std::to_string(context.retries));
  if (context.at_most_once) add("Damask-At-Most-Once", "true");
  if (context.attempt > 0) add("Damask-Attempt", std::to_string(context.attempt));
  add("Damask-Parent", context.parent);
  if (context.depth > 0) add("Damask-Depth", std::to_string(context.depth));
  add("Damask-Call-Key", context.call_key);
  add("Damask-Token", context.token);
  if (context.root) add("Damask-Root", to_hex(*context.root));
}

std::string extract_service_prefix(std::string& target) {
  constexpr std::string_view kServicePrefix = "/svc/";
  if (target.compare(0, kServicePrefix.size(), kServicePrefix) != 0) return {};
  const std::size_t end = target.find_first_of("/?", kServicePrefix.size());
  std::string name = target.substr(kServicePrefix.size(), end == std::string::npos ? end : end - kServicePrefix.size());
  if (!is_service_name(name)) return {};
  std::string remainder = end == std::string::npos ? "/" : target.substr(end);
  if (remainder.front() == '?') remainder.insert(remainder.begin(), '/');
  target = std::move(remainder);
  return name;
}

}  // namespace damaskthread::context
