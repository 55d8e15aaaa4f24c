#include "damaskthread/mesh/member_entry.h"

#include <nlohmann/json.hpp>

namespace damaskthread::mesh {
namespace {

using Json = nlohmann::json;

std::string string_field(const Json& object, const char* name) {
  const auto field = object.find(name);
  return field != object.end() && field->is_string() ? field->get<std::string>() : std::string();
}

}  // namespace

std::string serialize(const MemberEntry& entry) {
  return Json{{"zone", entry.zone}, {"service", entry.service}, {"left", entry.departed_server}}.dump();
}

std::optional<MemberEntry> parse_member_entry(const std::string& text) {
  const Json object = Json::parse(text, nullptr, false);
  if (!object.is_object() || !object.contains("zone") || !object["zone"].is_string()) return std::nullopt;
  return MemberEntry{string_field(object, "zone"), string_field(object, "service"), string_field(object, "left")};
}

}  // namespace damaskthread::mesh
