#include "damaskthread/settings/internal/object_reader.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <utility>

namespace damaskthread::settings::internal {
namespace {

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxAddressLength = 64;

bool is_name_character(char c) noexcept {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

std::string format_range(std::uint64_t min_value, std::uint64_t max_value) {
  return "an integer from " + std::to_string(min_value) + " to " + std::to_string(max_value);
}

}  // namespace

ObjectReader::ObjectReader(const nlohmann::json* node, std::string source, std::string path, Errors& errors)
    : node_(node), source_(std::move(source)), path_(std::move(path)), errors_(errors) {
  if (node_ != nullptr && !node_->is_object()) {
    errors_.push_back({core::ErrorCode::kInvalidInput, path_.empty() ? source_ : source_ + ": " + path_,
                       std::string("expected an object, found ") + node_->type_name()});
    node_ = nullptr;
  }
}

std::string ObjectReader::field_path(std::string_view field_name) const {
  std::string path = source_ + ": ";
  if (!path_.empty()) path += path_ + ".";
  path += field_name;
  return path;
}

void ObjectReader::error(std::string_view field_name, std::string message) {
  errors_.push_back({core::ErrorCode::kInvalidInput, field_path(field_name), std::move(message)});
}

const nlohmann::json* ObjectReader::field(std::string_view name, Presence presence) {
  requested_keys_.emplace_back(name);
  if (node_ == nullptr) return nullptr;
  const auto found = node_->find(name);
  if (found != node_->end()) return &*found;
  if (presence == Presence::kRequired) error(name, "missing; this field is required");
  return nullptr;
}

bool ObjectReader::read_integer(std::string_view name, std::uint64_t& out, std::uint64_t min_value,
                                std::uint64_t max_value, Presence presence) {
  const nlohmann::json* value = field(name, presence);
  if (value == nullptr) return false;
  if (!value->is_number_integer()) {
    error(name, "expected " + format_range(min_value, max_value) + ", found " + value->type_name());
    return false;
  }
  // The JSON library stores negative numbers as signed and all others as unsigned.
  const bool negative = !value->is_number_unsigned() && value->get<std::int64_t>() < 0;
  const auto number = negative ? 0 : value->get<std::uint64_t>();
  if (negative || number < min_value || number > max_value) {
    error(name, "expected " + format_range(min_value, max_value) + ", found " + value->dump());
    return false;
  }
  out = number;
  return true;
}

bool ObjectReader::string(std::string_view name, std::string& out, std::size_t max_length, Presence presence) {
  const nlohmann::json* value = field(name, presence);
  if (value == nullptr) return false;
  if (!value->is_string()) {
    error(name, std::string("expected a string, found ") + value->type_name());
    return false;
  }
  const auto& text = value->get_ref<const std::string&>();
  if (text.empty() || text.size() > max_length) {
    error(name, "expected a string of 1 to " + std::to_string(max_length) + " bytes, found " +
                    std::to_string(text.size()) + " bytes");
    return false;
  }
  out = text;
  return true;
}

bool ObjectReader::name(std::string_view name, std::string& out, Presence presence) {
  std::string text;
  if (!string(name, text, kMaxNameLength, presence)) return false;
  if (!std::all_of(text.begin(), text.end(), is_name_character)) {
    error(name, "expected letters, digits, '-', '_' and '.' only");
    return false;
  }
  out = std::move(text);
  return true;
}

bool ObjectReader::ip(std::string_view name, std::string& out, Presence presence) {
  std::string text;
  if (!string(name, text, kMaxAddressLength, presence)) return false;
  if (!is_ip_address(text)) {
    error(name, "expected a numeric IPv4 or IPv6 address");
    return false;
  }
  out = std::move(text);
  return true;
}

bool ObjectReader::endpoint(std::string_view name, Endpoint& out, Presence presence) {
  std::string text;
  if (!string(name, text, kMaxAddressLength, presence)) return false;
  const auto endpoint = parse_endpoint(text);
  if (!endpoint) {
    error(name, "expected 'ip:port' or '[ipv6]:port' with a port from 1 to 65535");
    return false;
  }
  out = *endpoint;
  return true;
}

void ObjectReader::endpoints(std::string_view name, std::vector<Endpoint>& out, std::size_t max_count) {
  const nlohmann::json* value = field(name, Presence::kOptional);
  if (value == nullptr) return;
  if (!value->is_array() || value->size() > max_count) {
    error(name, "expected a list of at most " + std::to_string(max_count) + " addresses");
    return;
  }
  for (std::size_t i = 0; i < value->size(); ++i) {
    const std::string item = std::string(name) + "[" + std::to_string(i) + "]";
    const nlohmann::json& entry = (*value)[i];
    const auto endpoint = entry.is_string() ? parse_endpoint(entry.get_ref<const std::string&>()) : std::nullopt;
    if (!endpoint) {
      error(item, "expected 'ip:port' or '[ipv6]:port' with a port from 1 to 65535");
      continue;
    }
    if (std::find(out.begin(), out.end(), *endpoint) != out.end()) {
      error(item, "repeats an address of the same list");
      continue;
    }
    out.push_back(*endpoint);
  }
}

void ObjectReader::report_unknown_fields() {
  if (node_ == nullptr) return;
  for (const auto& [key, value] : node_->items()) {
    if (std::find(requested_keys_.begin(), requested_keys_.end(), key) != requested_keys_.end()) continue;
    std::string expected;
    for (const auto& name : requested_keys_) expected += (expected.empty() ? "" : ", ") + name;
    error(key.substr(0, kMaxNameLength), "unknown field; expected one of: " + expected);
  }
}

bool is_ip_address(std::string_view text) {
  const std::string terminated(text);
  if (terminated.size() != std::char_traits<char>::length(terminated.c_str())) return false;
  std::array<unsigned char, sizeof(in6_addr)> address{};
  return inet_pton(AF_INET, terminated.c_str(), address.data()) == 1 ||
         inet_pton(AF_INET6, terminated.c_str(), address.data()) == 1;
}

}  // namespace damaskthread::settings::internal
