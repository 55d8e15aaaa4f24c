#include "damaskthread/client/publish.h"

#include <sodium.h>

#include <array>
#include <nlohmann/json.hpp>

namespace damaskthread::client {
namespace {

using Json = nlohmann::json;

http::Request request_for(const Change& change) {
  http::Request request;
  request.method = change.body ? "PUT" : "DELETE";
  request.target = "/v1/resources/services/" + change.name;
  request.headers = {{"Operation-Id", change.operation_id}, {"Content-Type", "application/json"}};
  const bool create = change.body && change.base_version == 0;
  request.headers.push_back(create ? http::Header{"If-None-Match", "*"}
                                   : http::Header{"If-Match", std::to_string(change.base_version)});
  request.body = change.body.value_or("");
  return request;
}

std::string message_of(const Json& json, int status) {
  if (!json.is_object()) return "status " + std::to_string(status);
  if (json.contains("errors") && json["errors"].is_array()) {
    std::string text;
    for (const Json& error : json["errors"]) {
      text += (text.empty() ? "" : "; ") + error.value("path", "") + ": " + error.value("message", "");
    }
    return text;
  }
  return json.value("error", "status " + std::to_string(status));
}

// The outcome that an answer of the API states, or nothing if it states none.
std::optional<PublishResult> outcome_in(const http::Response& response, const std::string& operation_id) {
  const Json json = Json::parse(response.body, nullptr, false);
  const std::string outcome = json.is_object() ? json.value("outcome", "") : "";
  if (outcome == "accepted") {
    return PublishResult{PublishState::kAccepted, json.value("version", std::uint64_t{0}), operation_id, ""};
  }
  if (outcome == "conflict") {
    return PublishResult{PublishState::kConflict, json.value("winner", std::uint64_t{0}), operation_id,
                         "another change came first"};
  }
  const bool rejected = response.status >= 400 && response.status < 500 && response.status != 429;
  if (!rejected) return std::nullopt;
  return PublishResult{PublishState::kInvalid, 0, operation_id, message_of(json, response.status)};
}

// Whether the answer says that this attempt did nothing.
bool is_refusal(const http::Response& response) { return response.status == 503 || response.status == 429; }

}  // namespace

PublishResult publish(AdminClient& client, const Change& change, const PublishLimits& limits) {
  bool may_have_been_taken = false;
  std::string message = "no daemon can be reached";
  for (int attempt = 0; attempt < limits.attempts; ++attempt) {
    if (attempt > 0 && limits.sleep) limits.sleep(limits.pause);
    if (may_have_been_taken) {
      // The record may be on the log already; asking costs no append.
      const Answer answer = client.read("/v1/operations/" + change.operation_id, limits.request_timeout);
      const auto* response = std::get_if<http::Response>(&answer);
      if (response != nullptr && response->status == 200) {
        if (auto result = outcome_in(*response, change.operation_id)) return *result;
      }
    }
    const Answer answer = client.send(request_for(change), limits.request_timeout);
    if (const auto* failure = std::get_if<NoAnswer>(&answer)) {
      if (*failure == NoAnswer::kUnavailable) continue;
      may_have_been_taken = true;
      message = "the answer of the daemon was lost";
      continue;
    }
    const auto& response = std::get<http::Response>(answer);
    if (auto result = outcome_in(response, change.operation_id)) {
      // A rejection of a repeat says nothing about the attempt before it.
      if (result->state != PublishState::kInvalid || !may_have_been_taken) return *result;
    }
    message = message_of(Json::parse(response.body, nullptr, false), response.status);
    if (!is_refusal(response)) may_have_been_taken = true;
  }
  const PublishState state = may_have_been_taken ? PublishState::kUnknown : PublishState::kUnavailable;
  return {state, 0, change.operation_id, std::move(message)};
}

std::string new_operation_id() {
  if (sodium_init() < 0) throw std::runtime_error("libsodium cannot be initialized");
  std::array<unsigned char, 16> bytes{};
  randombytes_buf(bytes.data(), bytes.size());
  std::array<char, 33> text{};
  return sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
}

}  // namespace damaskthread::client
