#include "damaskthread/mesh/member_entry.h"

#include <nlohmann/json.hpp>

namespace damaskthread::mesh {
namespace {

using Json = nlohmann::json;

std::string string_field(const Json& object, const char* name) {
  const auto field = object.find(name);
  return field != object.end() && field->is_string() ? field->get<std::string>() : std::string();
}

// A departure without a start time, as in entries of earlier versions, is dropped: it would also apply to a server that
// has started again under the same id.
std::optional<gate::ServerIncarnation> departed_server(const Json& object) {
  const std::string id = string_field(object, "left");
  const auto started = object.find("left_started_ms");
  if (id.empty() || started == object.end() || !started->is_number_integer()) return std::nullopt;
  const auto started_at_ms = started->get<std::int64_t>();
  if (started_at_ms <= 0) return std::nullopt;
  return gate::ServerIncarnation{id, started_at_ms};
}

}  // namespace

std::string serialize(const MemberEntry& entry) {
  Json object{{"zone", entry.zone}, {"service", entry.service}};
  if (entry.departed_server) {
    object["left"] = entry.departed_server->id;
    object["left_started_ms"] = entry.departed_server->started_at_ms;
  }
  return object.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<MemberEntry> parse_member_entry(const std::string& text) {
  const Json object = Json::parse(text, nullptr, false);
  if (!object.is_object() || !object.contains("zone") || !object["zone"].is_string()) return std::nullopt;
  return MemberEntry{string_field(object, "zone"), string_field(object, "service"), departed_server(object)};
}

}  // namespace damaskthread::mesh
