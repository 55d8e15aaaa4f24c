#include "damaskthread/mesh/settings.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <boost/leaf/error.hpp>
#include <charconv>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <utility>

#include "damaskthread/settings/internal/object_reader.h"

namespace damaskthread::mesh {
namespace {

namespace leaf = boost::leaf;
using Json = nlohmann::json;
using settings::Errors;
using settings::internal::ObjectReader;
using settings::internal::Presence;

constexpr std::size_t kMaxFileBytes = std::size_t{1} << 20U;
constexpr std::size_t kMaxTextLength = 128;
constexpr std::size_t kMaxSeeds = 64;
constexpr std::uint32_t kMinDescriptors = 256;
constexpr std::uint32_t kMaxDescriptors = 1U << 20U;
constexpr std::uint32_t kMinMemoryMb = 32;
constexpr std::uint32_t kMaxMemoryMb = 1U << 20U;
constexpr double kMaxRepeatRatio = 10;
constexpr double kMaxRepeatSlack = 1e6;

// Fields that can change while the daemon runs.
constexpr std::array<std::string_view, 4> kReloadableFields = {"service", "local_server", "promises.drain",
                                                               "promises.grace"};

struct EndpointField {
  const char* name;
  settings::Endpoint MeshSettings::*member;
};

constexpr std::array<EndpointField, 4> kListenFields = {{{"calls", &MeshSettings::calls},
                                                         {"peers", &MeshSettings::peers},
                                                         {"ready", &MeshSettings::ready},
                                                         {"control", &MeshSettings::control}}};

// Parses a number with the unit `ms` or `s`.
std::optional<core::Duration> parse_duration(std::string_view text) {
  double value = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  if (parsed.ec != std::errc() || value < 0) return std::nullopt;
  const std::string_view unit(parsed.ptr, static_cast<std::size_t>(text.data() + text.size() - parsed.ptr));
  const double seconds = unit == "s" ? value : value / 1000;
  if (unit != "s" && unit != "ms") return std::nullopt;
  return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds));
}

void read_duration(ObjectReader& reader, std::string_view name, core::Duration& out) {
  std::string text;
  if (!reader.string(name, text, kMaxTextLength, Presence::kOptional)) return;
  if (const auto time = parse_duration(text)) {
    out = *time;
  } else {
    reader.error(name, "expected a number with the unit 'ms' or 's', such as \"1500ms\"");
  }
}

void read_number(ObjectReader& reader, std::string_view name, double& out, double max_value) {
  const Json* value = reader.field(name, Presence::kOptional);
  if (value == nullptr) return;
  if (!value->is_number() || value->get<double>() < 0 || value->get<double>() > max_value) {
    reader.error(name, "expected a number from 0 to " + std::to_string(max_value));
    return;
  }
  out = value->get<double>();
}

void read_share(ObjectReader& reader, std::string_view name, double& out) {
  const Json* value = reader.field(name, Presence::kOptional);
  if (value == nullptr) return;
  if (!value->is_number() || value->get<double>() <= 0 || value->get<double>() > 1) {
    reader.error(name, "expected a number above 0 and up to 1");
    return;
  }
  out = value->get<double>();
}

void read_log_level(ObjectReader& reader, settings::LogLevel& out) {
  std::string text;
  if (!reader.string("log_level", text, kMaxTextLength, Presence::kOptional)) return;
  for (const auto level :
       {settings::LogLevel::kError, settings::LogLevel::kWarn, settings::LogLevel::kInfo, settings::LogLevel::kDebug}) {
    if (text != to_string(level)) continue;
    out = level;
    return;
  }
  reader.error("log_level", "expected error, warn, info or debug");
}

void read_promises(const Json* node, std::string_view source, Errors& errors, Promises& promises) {
  if (node == nullptr) return;
  ObjectReader reader(node, std::string(source), "promises", errors);
  read_duration(reader, "drain", promises.drain);
  read_duration(reader, "grace", promises.grace);
  read_number(reader, "repeat_ratio", promises.repeat_ratio, kMaxRepeatRatio);
  read_duration(reader, "repeat_window", promises.repeat_window);
  read_number(reader, "repeat_slack", promises.repeat_slack, kMaxRepeatSlack);
  reader.report_unknown_fields();
}

MeshSettings read_settings(const Json& root, std::string_view source, Errors& errors) {
  MeshSettings settings;
  ObjectReader reader(&root, std::string(source), "", errors);
  reader.name("name", settings.name, Presence::kRequired);
  reader.name("service", settings.service, Presence::kOptional);
  reader.name("zone", settings.zone, Presence::kRequired);
  reader.endpoint("local_server", settings.local_server, Presence::kRequired);
  reader.endpoint("store", settings.store, Presence::kRequired);
  reader.endpoints("seeds", settings.seeds, kMaxSeeds);
  read_duration(reader, "heartbeat", settings.heartbeat);
  reader.integer("max_descriptors", settings.max_descriptors, kMinDescriptors, kMaxDescriptors, Presence::kOptional);
  reader.integer("memory_mb", settings.memory_mb, kMinMemoryMb, kMaxMemoryMb, Presence::kOptional);
  read_share(reader, "caller_memory_share", settings.caller_memory_share);
  read_log_level(reader, settings.log_level);
  read_promises(reader.field("promises", Presence::kOptional), source, errors, settings.promises);
  read_policy(reader.field("policy", Presence::kOptional), source, errors, settings.policy);
  ObjectReader listen(reader.field("listen", Presence::kRequired), std::string(source), "listen", errors);
  for (const EndpointField& field : kListenFields) {
    listen.endpoint(field.name, settings.*field.member, Presence::kRequired);
  }
  if (settings::Endpoint admin; listen.endpoint("admin", admin, Presence::kOptional)) settings.admin = admin;
  settings.advertised = settings.peers;
  listen.endpoint("advertised", settings.advertised, Presence::kOptional);
  listen.report_unknown_fields();
  reader.report_unknown_fields();
  for (std::size_t i = 0; i < kListenFields.size(); ++i) {
    for (std::size_t j = 0; j < i; ++j) {
      const settings::Endpoint& first = settings.*kListenFields[j].member;
      if (first.port == 0 || !(settings.*kListenFields[i].member == first)) continue;
      listen.error(kListenFields[i].name, std::string("the same address as ") + kListenFields[j].name);
    }
  }
  return settings;
}

// Parses the output of `describe` into values by field name.
std::map<std::string, std::string> parse_description(const std::string& description) {
  std::map<std::string, std::string> fields;
  std::istringstream lines(description);
  for (std::string line; std::getline(lines, line);) {
    const std::size_t colon = line.find(": ");
    if (colon != std::string::npos) fields.emplace(line.substr(0, colon), line.substr(colon + 2));
  }
  return fields;
}

}  // namespace

leaf::result<MeshSettings> parse_mesh_settings(std::string_view text, std::string_view source) {
  Errors errors;
  if (text.size() > kMaxFileBytes) {
    return leaf::new_error(Errors{{core::ErrorCode::kTooLarge, std::string(source), "expected at most 1 MB"}});
  }
  try {
    const Json root = Json::parse(text.begin(), text.end(), nullptr, true, /*ignore_comments=*/true);
    MeshSettings settings = read_settings(root, source, errors);
    if (errors.empty()) return settings;
  } catch (const Json::exception& error) {
    errors.push_back({core::ErrorCode::kInvalidInput, std::string(source), error.what()});
  }
  return leaf::new_error(std::move(errors));
}

leaf::result<MeshSettings> load_mesh_settings(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return leaf::new_error(Errors{{core::ErrorCode::kUnavailable, path.string(), "the file cannot be read"}});
  }
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  return parse_mesh_settings(text, path.filename().string());
}

SettingsUpdate apply_reloadable(MeshSettings& current, const MeshSettings& loaded) {
  SettingsUpdate update;
  const auto before = parse_description(describe(current));
  for (const auto& [name, value] : parse_description(describe(loaded))) {
    const auto old = before.find(name);
    if (old != before.end() && old->second == value) continue;
    const bool reloadable =
        std::find(kReloadableFields.begin(), kReloadableFields.end(), name) != kReloadableFields.end();
    (reloadable ? update.applied : update.rejected).push_back(name);
  }
  current.service = loaded.service;
  current.local_server = loaded.local_server;
  current.promises.drain = loaded.promises.drain;
  current.promises.grace = loaded.promises.grace;
  return update;
}

std::string fleet_digest(const MeshSettings& settings) {
  std::string text;
  for (const auto& [name, value] : parse_description(describe(settings))) {
    const bool shared =
        name.starts_with("promises.") || name.starts_with("policy.") || name == "store" || name == "heartbeat";
    if (shared) text.append(name).append(value).push_back('\n');
  }
  std::array<char, 17> digits{};
  std::snprintf(digits.data(), digits.size(), "%016llx",
                static_cast<unsigned long long>(XXH3_64bits(text.data(), text.size())));
  return digits.data();
}

std::string describe(const MeshSettings& settings) {
  const auto ms = [](core::Duration time) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()) + "ms";
  };
  std::ostringstream out;
  out << "name: " << settings.name << "\nservice: " << settings.service << "\nzone: " << settings.zone << "\n";
  for (const EndpointField& field : kListenFields) {
    out << "listen." << field.name << ": " << to_string(settings.*field.member) << "\n";
  }
  out << "listen.advertised: " << to_string(settings.advertised)
      << "\nlocal_server: " << to_string(settings.local_server) << "\nstore: " << to_string(settings.store)
      << "\nseeds:";
  for (const settings::Endpoint& seed : settings.seeds) out << " " << to_string(seed);
  out << "\nheartbeat: " << ms(settings.heartbeat) << "\nmax_descriptors: " << settings.max_descriptors
      << "\nmemory_mb: " << settings.memory_mb << "\ncaller_memory_share: " << settings.caller_memory_share
      << "\nlog_level: " << to_string(settings.log_level) << "\npromises.drain: " << ms(settings.promises.drain)
      << "\npromises.grace: " << ms(settings.promises.grace)
      << "\npromises.repeat_ratio: " << settings.promises.repeat_ratio
      << "\npromises.repeat_window: " << ms(settings.promises.repeat_window)
      << "\npromises.repeat_slack: " << settings.promises.repeat_slack << "\n"
      << describe(settings.policy);
  return std::move(out).str();
}

}  // namespace damaskthread::mesh
