#include "damaskthread/daemon/peer_headers.h"

#include <array>
#include <charconv>
#include <chrono>
#include <span>

#include "damaskthread/context/call_context.h"
#include "damaskthread/core/mac.h"

namespace damaskthread::daemon {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kMacPurpose = "peer-call";
constexpr std::array<std::string_view, 3> kOperationNames = {"call", "token", "repeat"};

// Bytes covered by the tag: method, target, sender and attempt, all context headers, and the body.
std::string signed_bytes(const http::Request& request, std::string_view prefix) {
  std::string bytes(prefix);
  bytes += '\n';
  bytes += request.method;
  bytes += '\n';
  bytes += request.target;
  bytes += '\n';
  for (const http::Header& header : request.headers) {
    if (!context::is_context_header(header.name) || http::equal_names(header.name, "Damask-Peer")) continue;
    bytes += header.name;
    bytes += ':';
    bytes += header.value;
    bytes += '\n';
  }
  bytes += '\n';
  bytes += request.body;
  return bytes;
}

template <typename Number>
std::optional<Number> parse_number(std::string_view text) {
  Number number{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return number;
}

std::string_view next_field(std::string_view& text) {
  const std::size_t dot = text.find('.');
  const std::string_view part = text.substr(0, dot);
  text = dot == std::string_view::npos ? std::string_view() : text.substr(dot + 1);
  return part;
}

void remove_header(http::Headers& headers, std::string_view name) {
  std::erase_if(headers, [name](const http::Header& header) { return http::equal_names(header.name, name); });
}

}  // namespace

void sign(http::Request& request, PeerOperation operation, const wire::Sender& sender, core::RequestKey attempt,
          const wire::Authenticator& authenticator) {
  std::string value(kOperationNames[static_cast<std::size_t>(operation)]);
  value += "." + context::to_hex({sender.id.value, sender.incarnation.value}) + "." + context::to_hex(attempt);
  const wire::Tag tag = authenticator.tag(kMacPurpose, signed_bytes(request, value));
  value += "." + core::to_base64url(tag);
  http::set(request.headers, "Damask-Peer", value);
}

std::optional<PeerHeaders> verify(http::Request& request, const wire::Authenticator& authenticator) {
  const std::string value(http::find(request.headers, "Damask-Peer"));
  std::string_view rest = value;
  const std::string_view operation = next_field(rest);
  const std::string_view sender = next_field(rest);
  const std::string_view attempt = next_field(rest);
  std::array<unsigned char, sizeof(wire::Tag)> tag{};
  if (!context::parse_key(sender) || !core::from_base64url(rest, tag)) return std::nullopt;
  const std::optional<core::RequestKey> key = context::parse_key(attempt);
  if (!key) return std::nullopt;
  const std::string prefix = value.substr(0, value.size() - rest.size() - 1);
  const std::string_view tag_text(reinterpret_cast<const char*>(tag.data()), tag.size());
  if (!authenticator.verify(kMacPurpose, signed_bytes(request, prefix), tag_text)) return std::nullopt;
  remove_header(request.headers, "Damask-Peer");
  for (std::size_t i = 0; i < kOperationNames.size(); ++i) {
    if (kOperationNames[i] == operation) return PeerHeaders{static_cast<PeerOperation>(i), *key};
  }
  return std::nullopt;
}

void append_verdict(const core::Verdict& verdict, http::Headers& headers) {
  http::set(headers, "Damask-Verdict", core::to_string(verdict.execution));
  if (verdict.cause != core::Cause::kNone) http::set(headers, "Damask-Cause", core::to_string(verdict.cause));
  if (verdict.retry_after <= core::Duration::zero()) return;
  const auto millis = std::chrono::ceil<milliseconds>(verdict.retry_after);
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(verdict.retry_after);
  http::set(headers, "Retry-After", std::to_string(seconds.count()));
  http::set(headers, "Damask-Retry-After-Ms", std::to_string(millis.count()));
}

void append_outcome(const engine::InboundOutcome& outcome, http::Headers& headers) {
  append_verdict(outcome.verdict, headers);
  http::set(headers, "Damask-Level", std::to_string(outcome.level.value));
  http::set(headers, "Damask-Retries-Unspent", std::to_string(outcome.unspent));
}

bool extract_outcome(http::Headers& headers, engine::InboundOutcome& outcome) {
  const auto execution = core::parse_execution(http::find(headers, "Damask-Verdict"));
  if (!execution) return false;
  outcome.verdict.execution = *execution;
  outcome.verdict.cause = core::parse_cause(http::find(headers, "Damask-Cause")).value_or(core::Cause::kNone);
  const auto millis = parse_number<std::int64_t>(http::find(headers, "Damask-Retry-After-Ms")).value_or(0);
  outcome.verdict.retry_after = milliseconds(millis);
  outcome.level.value = parse_number<std::uint16_t>(http::find(headers, "Damask-Level")).value_or(0);
  outcome.unspent = parse_number<int>(http::find(headers, "Damask-Retries-Unspent")).value_or(0);
  for (const std::string_view name :
       {"Damask-Verdict", "Damask-Cause", "Damask-Retry-After-Ms", "Damask-Level", "Damask-Retries-Unspent"}) {
    remove_header(headers, name);
  }
  return true;
}

}  // namespace damaskthread::daemon
