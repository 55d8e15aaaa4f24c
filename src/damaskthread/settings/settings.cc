#include "damaskthread/settings/settings.h"

#include <sodium.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <boost/leaf/handle_errors.hpp>
#include <charconv>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <utility>
#include <variant>

#include "damaskthread/settings/internal/object_reader.h"

namespace damaskthread::settings {
namespace {

namespace leaf = boost::leaf;
using internal::ObjectReader;
using internal::Presence;
using nlohmann::json;

constexpr std::size_t kMaxFileBytes = 1 << 20;
constexpr std::size_t kMaxPathLength = 4096;
constexpr std::size_t kMaxAddresses = 64;
constexpr std::size_t kMaxOperators = 256;
// Shorter tokens could be guessed by brute force through the admin port.
constexpr std::size_t kMinTokenLength = 16;
constexpr std::size_t kMaxTokenLength = 1024;
// The call context headers alone may take 600 bytes.
constexpr std::uint64_t kMinHeaderBytes = 1024;
constexpr std::uint64_t kMaxHeaderBytes = 4096;

constexpr std::array<std::string_view, 4> kLogLevelNames = {"error", "warn", "info", "debug"};
constexpr std::array<std::string_view, 2> kRoleNames = {"read", "write"};

struct PortField {
  std::string_view name;
  std::uint16_t Listen::*member;
};
constexpr std::array<PortField, 4> kPortFields = {{{"call_port", &Listen::call_port},
                                                   {"peer_port", &Listen::peer_port},
                                                   {"admin_port", &Listen::admin_port},
                                                   {"control_port", &Listen::control_port}}};

struct BoundField {
  std::string_view name;
  std::uint32_t Bounds::*member;
  std::uint64_t min_value;
  std::uint64_t max_value;
};
constexpr std::array<BoundField, 4> kBoundFields = {
    {{"max_header_bytes", &Bounds::max_header_bytes, kMinHeaderBytes, kMaxHeaderBytes},
     {"max_connections", &Bounds::max_connections, 1, 65535},
     {"max_threads", &Bounds::max_threads, 4, 8192},
     {"max_queue", &Bounds::max_queue, 1, 65536}}};
constexpr std::uint64_t kMaxBodyBytesLimit = 1ULL << 30;

std::string_view trim(std::string_view text) noexcept {
  constexpr std::string_view kSpace = " \t\r\n";
  const auto first = text.find_first_not_of(kSpace);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(kSpace) - first + 1);
}

std::optional<Secret> parse_hex_key(std::string_view text) {
  std::array<std::uint8_t, kKeyBytes> bytes{};
  std::size_t length = 0;
  const char* end = nullptr;
  if (text.size() != 2 * kKeyBytes) return std::nullopt;
  if (sodium_hex2bin(bytes.data(), bytes.size(), text.data(), text.size(), nullptr, &length, &end) != 0) {
    return std::nullopt;
  }
  if (length != kKeyBytes || end != text.data() + text.size()) return std::nullopt;
  Secret key(bytes);
  sodium_memzero(bytes.data(), bytes.size());
  return key;
}

template <std::size_t count>
std::optional<std::size_t> index_of(const std::array<std::string_view, count>& names, std::string_view text) {
  const auto found = std::find(names.begin(), names.end(), text);
  if (found == names.end()) return std::nullopt;
  return static_cast<std::size_t>(found - names.begin());
}

/// Converts the parsed JSON of a settings file to `Settings` and collects all errors.
class SettingsReader {
 public:
  SettingsReader(std::string_view source, const ReadFile& read_file, Errors& errors)
      : source_(source), read_file_(read_file), errors_(errors) {}

  Settings read(const json& root) {
    ObjectReader reader(&root, source_, "", errors_);
    if (!reader.is_object()) return {};
    read_identity(reader);
    read_listen(reader);
    reader.ip("advertised_ip", settings_.advertised_ip, Presence::kOptional);
    reader.endpoint("local_server", settings_.local_server, Presence::kRequired);
    reader.integer("slots", settings_.slots, 1, 65535, Presence::kRequired);
    reader.integer("connections", settings_.connections, 1, 65535, Presence::kRequired);
    reader.endpoints("seeds", settings_.seeds, kMaxAddresses);
    reader.endpoints("log_service", settings_.log_service, kMaxAddresses);
    read_shared_key(reader);
    read_operators(reader);
    read_bounds(reader);
    std::uint32_t drain_ms = 0;
    if (reader.integer("drain_ms", drain_ms, 100, 600'000, Presence::kOptional)) {
      settings_.drain_timeout = std::chrono::milliseconds(drain_ms);
    }
    std::string level;
    if (reader.string("log_level", level, kMaxPathLength, Presence::kOptional)) {
      const auto index = index_of(kLogLevelNames, level);
      if (index) settings_.log_level = static_cast<LogLevel>(*index);
      if (!index) reader.error("log_level", "expected one of: error, warn, info, debug");
    }
    reader.report_unknown_fields();
    check_consistency(reader);
    return std::move(settings_);
  }

 private:
  void read_identity(ObjectReader& reader) {
    const bool has_name = reader.name("server", settings_.server_name, Presence::kOptional);
    const bool has_id = reader.integer("server_id", settings_.server_id.value, 1,
                                       std::numeric_limits<std::uint64_t>::max(), Presence::kOptional);
    if (!has_name && !has_id) reader.error("server", "expected 'server' (a name), 'server_id' (a number) or both");
    if (!has_name && has_id) settings_.server_name = std::to_string(settings_.server_id.value);
    if (has_name && !has_id) {
      // Zero means that no server is set.
      settings_.server_id.value =
          std::max<std::uint64_t>(1, XXH3_64bits(settings_.server_name.data(), settings_.server_name.size()));
    }
    reader.name("service", settings_.service, Presence::kRequired);
    reader.name("zone", settings_.zone, Presence::kRequired);
    reader.name("region", settings_.region, Presence::kRequired);
  }

  void read_listen(ObjectReader& parent) {
    ObjectReader reader(parent.field("listen", Presence::kRequired), source_, "listen", errors_);
    reader.ip("address", settings_.listen.address, Presence::kOptional);
    for (const PortField& field : kPortFields) {
      reader.integer(field.name, settings_.listen.*field.member, 1, 65535, Presence::kRequired);
    }
    reader.report_unknown_fields();
  }

  std::optional<std::string> read_referenced_file(ObjectReader& reader, std::string_view field_name) {
    std::string path;
    if (!reader.string(field_name, path, kMaxPathLength, Presence::kRequired)) return std::nullopt;
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<std::string>> {
          BOOST_LEAF_AUTO(text, read_file_(path));
          return std::optional<std::string>(std::move(text));
        },
        [&](const core::Error& error) -> std::optional<std::string> {
          reader.error(field_name, error.message);
          return std::nullopt;
        },
        [&]() -> std::optional<std::string> {
          reader.error(field_name, "the file cannot be read");
          return std::nullopt;
        });
  }

  void read_shared_key(ObjectReader& parent) {
    ObjectReader reader(parent.field("shared_key", Presence::kRequired), source_, "shared_key", errors_);
    if (!reader.is_object()) return;
    const bool has_hex = reader.field("hex", Presence::kOptional) != nullptr;
    const bool has_file = reader.field("file", Presence::kOptional) != nullptr;
    reader.report_unknown_fields();
    if (has_hex == has_file) {
      parent.error("shared_key", "expected exactly one of 'hex' and 'file'");
      return;
    }
    std::optional<Secret> key;
    if (has_hex) {
      std::string text;
      if (!reader.string("hex", text, kMaxPathLength, Presence::kRequired)) return;
      key = parse_hex_key(text);
      sodium_memzero(text.data(), text.size());
      if (!key) reader.error("hex", "expected 64 hexadecimal digits (32 bytes)");
    } else {
      auto text = read_referenced_file(reader, "file");
      if (!text) return;
      key = parse_hex_key(trim(*text));
      if (!key && text->size() == kKeyBytes) {
        key = Secret({reinterpret_cast<const std::uint8_t*>(text->data()), text->size()});
      }
      sodium_memzero(text->data(), text->size());
      if (!key) reader.error("file", "expected a file with 64 hexadecimal digits or exactly 32 bytes");
    }
    if (key) settings_.shared_key = std::move(*key);
  }

  void read_operators(ObjectReader& parent) {
    const json* list = parent.field("operators", Presence::kOptional);
    if (list == nullptr) return;
    if (!list->is_array() || list->size() > kMaxOperators) {
      parent.error("operators", "expected a list of at most " + std::to_string(kMaxOperators) + " operators");
      return;
    }
    for (std::size_t i = 0; i < list->size(); ++i) {
      ObjectReader reader(&(*list)[i], source_, "operators[" + std::to_string(i) + "]", errors_);
      if (reader.is_object()) read_operator(reader);
    }
  }

  void read_operator(ObjectReader& reader) {
    const std::size_t errors_before = errors_.size();
    Operator entry;
    reader.name("name", entry.name, Presence::kRequired);
    std::string role;
    if (reader.string("role", role, kMaxPathLength, Presence::kRequired)) {
      const auto index = index_of(kRoleNames, role);
      if (index) entry.role = static_cast<Role>(*index);
      if (!index) reader.error("role", "expected one of: read, write");
    }
    const bool has_hash = reader.field("token_hash", Presence::kOptional) != nullptr;
    const bool has_file = reader.field("token_file", Presence::kOptional) != nullptr;
    reader.report_unknown_fields();
    if (has_hash == has_file) {
      reader.error("token_hash", "expected exactly one of 'token_hash' and 'token_file'");
    } else if (has_hash) {
      std::string text;
      if (reader.string("token_hash", text, kMaxPathLength, Presence::kRequired)) {
        auto hash = parse_hex_key(text);
        if (hash) entry.token_hash = std::move(*hash);
        if (!hash) reader.error("token_hash", "expected 64 hexadecimal digits (BLAKE2b of the token, 32 bytes)");
      }
    } else if (auto text = read_referenced_file(reader, "token_file")) {
      const std::string_view token = trim(*text);
      if (token.size() < kMinTokenLength || token.size() > kMaxTokenLength) {
        reader.error("token_file", "expected a token of 16 to 1024 bytes in the file");
      } else {
        entry.token_hash = hash_token(token);
      }
      sodium_memzero(text->data(), text->size());
    }
    for (const Operator& other : settings_.operators) {
      if (other.name == entry.name) reader.error("name", "repeats the name of another operator");
      if (!entry.token_hash.empty() && other.token_hash == entry.token_hash) {
        reader.error(has_file ? "token_file" : "token_hash", "repeats the token of another operator");
      }
    }
    if (errors_.size() == errors_before) settings_.operators.push_back(std::move(entry));
  }

  void read_bounds(ObjectReader& parent) {
    ObjectReader reader(parent.field("bounds", Presence::kOptional), source_, "bounds", errors_);
    for (const BoundField& field : kBoundFields) {
      reader.integer(field.name, settings_.bounds.*field.member, field.min_value, field.max_value, Presence::kOptional);
    }
    reader.integer("max_body_bytes", settings_.bounds.max_body_bytes, 1024, kMaxBodyBytesLimit, Presence::kOptional);
    reader.report_unknown_fields();
  }

  // Checks fields against each other. A field that failed its own check holds its default or zero and is skipped.
  void check_consistency(ObjectReader& reader) {
    const Listen& listen = settings_.listen;
    for (std::size_t i = 0; i < kPortFields.size(); ++i) {
      const std::uint16_t port = listen.*kPortFields[i].member;
      if (port == 0) continue;
      const std::string path = "listen." + std::string(kPortFields[i].name);
      for (std::size_t j = 0; j < i; ++j) {
        if (listen.*kPortFields[j].member == port) {
          reader.error(path, "is the same port as listen." + std::string(kPortFields[j].name));
        }
      }
      const bool same_host = settings_.local_server.host == listen.address || is_wildcard(listen.address);
      if (same_host && settings_.local_server.port == port) {
        reader.error("local_server", "is the address of the daemon's own " + path + "; calls would loop");
      }
    }
    if (settings_.advertised_ip.empty()) {
      if (is_wildcard(listen.address)) {
        reader.error("advertised_ip", "required when listen.address is a wildcard; peers cannot connect to it");
      }
      settings_.advertised_ip = listen.address;
    } else if (is_wildcard(settings_.advertised_ip)) {
      reader.error("advertised_ip", "expected the address that peers connect to, found a wildcard");
    } else if (is_loopback(listen.address) && !is_loopback(settings_.advertised_ip)) {
      reader.error("advertised_ip", "cannot be reached by peers while listen.address is a loopback address");
    }
    if (settings_.slots > 0 && settings_.connections > 0 && settings_.connections < settings_.slots) {
      reader.error("connections", "expected at least as many connections as slots (" + std::to_string(settings_.slots) +
                                      "), found " + std::to_string(settings_.connections));
    }
    if (settings_.bounds.max_threads < settings_.slots) {
      reader.error("bounds.max_threads", "expected at least one thread per slot (" + std::to_string(settings_.slots) +
                                             "), found " + std::to_string(settings_.bounds.max_threads));
    }
    if (settings_.bounds.max_connections < settings_.slots) {
      reader.error("bounds.max_connections", "expected at least one connection per slot (" +
                                                 std::to_string(settings_.slots) + "), found " +
                                                 std::to_string(settings_.bounds.max_connections));
    }
  }

  static bool is_wildcard(std::string_view ip) noexcept { return ip == "0.0.0.0" || ip == "::"; }
  static bool is_loopback(std::string_view ip) noexcept { return ip.substr(0, 4) == "127." || ip == "::1"; }

  std::string source_;
  const ReadFile& read_file_;
  Errors& errors_;
  Settings settings_;
};

/// Reports duplicate keys during parsing; the JSON library itself silently keeps the last value.
class DuplicateKeyDetector {
 public:
  DuplicateKeyDetector(std::string_view source, Errors& errors) : source_(source), errors_(errors) {}

  bool operator()(json::parse_event_t event, json& value) {
    if (event == json::parse_event_t::object_start) levels_.emplace_back();
    if (event == json::parse_event_t::object_end) levels_.pop_back();
    if (event == json::parse_event_t::key) {
      Level& level = levels_.back();
      level.current = value.get<std::string>();
      if (!level.keys.insert(level.current).second) report();
    }
    return true;
  }

 private:
  struct Level {
    std::set<std::string> keys;
    std::string current;
  };

  void report() {
    std::string path;
    for (const Level& level : levels_) {
      // Appended in two steps: GCC 12 emits a false overlap warning when a literal is prepended to a temporary.
      if (!path.empty()) path += '.';
      path += level.current.substr(0, 64);
    }
    errors_.push_back({core::ErrorCode::kInvalidInput, source_ + ": " + path, "the field is given more than once"});
  }

  std::string source_;
  Errors& errors_;
  std::vector<Level> levels_;
};

core::Error syntax_error(std::string_view text, std::string_view source, const json::parse_error& error) {
  const std::string_view before = text.substr(0, std::min(error.byte == 0 ? 0 : error.byte - 1, text.size()));
  const auto line = std::count(before.begin(), before.end(), '\n') + 1;
  const auto line_start = before.rfind('\n');
  const auto column = before.size() - (line_start == std::string_view::npos ? 0 : line_start + 1) + 1;
  // The library's own message quotes the last token read, which may be part of a key.
  return {core::ErrorCode::kInvalidInput,
          std::string(source) + ":" + std::to_string(line) + ":" + std::to_string(column),
          "expected JSON (comments are allowed); syntax error at this position"};
}

leaf::result<std::string> read_regular_file(const std::filesystem::path& path) {
  std::error_code failure;
  if (!std::filesystem::is_regular_file(path, failure)) {
    return leaf::new_error(core::Error{core::ErrorCode::kNotFound, path.string(), "the file does not exist"});
  }
  std::ifstream file(path, std::ios::binary);
  std::string text(kMaxFileBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (!file.is_open() || file.bad()) {
    return leaf::new_error(core::Error{core::ErrorCode::kUnavailable, path.string(), "the file cannot be read"});
  }
  text.resize(static_cast<std::size_t>(file.gcount()));
  if (text.size() > kMaxFileBytes) {
    return leaf::new_error(core::Error{core::ErrorCode::kTooLarge, path.string(), "the file is larger than 1 MB"});
  }
  return text;
}

}  // namespace

std::string_view to_string(LogLevel level) noexcept { return kLogLevelNames[static_cast<std::size_t>(level)]; }
std::string_view to_string(Role role) noexcept { return kRoleNames[static_cast<std::size_t>(role)]; }

std::string to_string(const Endpoint& endpoint) {
  const bool v6 = endpoint.host.find(':') != std::string::npos;
  return (v6 ? "[" + endpoint.host + "]" : endpoint.host) + ":" + std::to_string(endpoint.port);
}

std::optional<Endpoint> parse_endpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string_view host = text.substr(0, colon);
  const std::string_view port_text = text.substr(colon + 1);
  const bool bracketed = host.size() >= 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) host = host.substr(1, host.size() - 2);
  if (!internal::is_ip_address(host)) return std::nullopt;
  if (bracketed != (host.find(':') != std::string_view::npos)) return std::nullopt;
  std::uint16_t port = 0;
  const auto [end, failure] = std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
  if (failure != std::errc{} || end != port_text.data() + port_text.size() || port == 0) return std::nullopt;
  return Endpoint{std::string(host), port};
}

leaf::result<Settings> parse(std::string_view text, std::string_view source, const ReadFile& read_file) {
  Errors errors;
  if (text.size() > kMaxFileBytes) {
    errors.push_back({core::ErrorCode::kTooLarge, std::string(source), "expected at most 1 MB"});
    return leaf::new_error(std::move(errors));
  }
  json root;
  DuplicateKeyDetector duplicates(source, errors);
  try {
    root = json::parse(
        text.begin(), text.end(),
        [&duplicates](int, json::parse_event_t event, json& value) { return duplicates(event, value); },
        /*allow_exceptions=*/true, /*ignore_comments=*/true);
  } catch (const json::parse_error& error) {
    errors.push_back(syntax_error(text, source, error));
    return leaf::new_error(std::move(errors));
  } catch (const json::exception&) {
    // Thrown for a number outside the range of a double.
    errors.push_back({core::ErrorCode::kInvalidInput, std::string(source), "a number is out of range"});
    return leaf::new_error(std::move(errors));
  }
  Settings settings = SettingsReader(source, read_file, errors).read(root);
  if (!errors.empty()) return leaf::new_error(std::move(errors));
  return settings;
}

leaf::result<Settings> load(const std::filesystem::path& path) {
  auto text = leaf::try_handle_all(
      [&]() -> leaf::result<std::variant<std::string, core::Error>> {
        BOOST_LEAF_AUTO(content, read_regular_file(path));
        return std::variant<std::string, core::Error>(std::move(content));
      },
      [](const core::Error& error) { return std::variant<std::string, core::Error>(error); },
      [&]() {
        return std::variant<std::string, core::Error>(
            core::Error{core::ErrorCode::kUnavailable, path.string(), "the file cannot be read"});
      });
  if (const auto* error = std::get_if<core::Error>(&text)) return leaf::new_error(Errors{*error});
  const std::filesystem::path directory = path.parent_path();
  return parse(std::get<std::string>(text), path.filename().string(),
               [&directory](const std::filesystem::path& name) { return read_regular_file(directory / name); });
}

std::string describe(const Settings& settings) {
  std::ostringstream out;
  const auto list = [&out](std::string_view name, const std::vector<Endpoint>& endpoints) {
    out << name << ":";
    for (const Endpoint& endpoint : endpoints) out << " " << to_string(endpoint);
    out << "\n";
  };
  out << "server: " << settings.server_name << "\nserver_id: " << settings.server_id.value
      << "\nservice: " << settings.service << "\nzone: " << settings.zone << "\nregion: " << settings.region
      << "\nlisten.address: " << settings.listen.address << "\n";
  for (const PortField& field : kPortFields) {
    out << "listen." << field.name << ": " << settings.listen.*field.member << "\n";
  }
  out << "advertised_ip: " << settings.advertised_ip << "\nlocal_server: " << to_string(settings.local_server)
      << "\nslots: " << settings.slots << "\nconnections: " << settings.connections << "\n";
  list("seeds", settings.seeds);
  list("log_service", settings.log_service);
  out << "shared_key: " << settings.shared_key << "\n";
  for (const Operator& entry : settings.operators) {
    out << "operator " << entry.name << ": " << to_string(entry.role) << " " << entry.token_hash << "\n";
  }
  for (const BoundField& field : kBoundFields) {
    out << "bounds." << field.name << ": " << settings.bounds.*field.member << "\n";
  }
  out << "bounds.max_body_bytes: " << settings.bounds.max_body_bytes << "\ndrain_ms: " << settings.drain_timeout.count()
      << "\nlog_level: " << to_string(settings.log_level) << "\n";
  return std::move(out).str();
}

Secret hash_token(std::string_view token) {
  std::array<std::uint8_t, kKeyBytes> hash{};
  crypto_generichash(hash.data(), hash.size(), reinterpret_cast<const std::uint8_t*>(token.data()), token.size(),
                     nullptr, 0);
  return Secret(hash);
}

const Operator* find_operator(std::span<const Operator> operators, std::string_view token) {
  const Secret hash = hash_token(token);
  const Operator* found = nullptr;
  for (const Operator& entry : operators) {
    // No early return: the response time would reveal the position of the token in the list.
    if (entry.token_hash == hash) found = &entry;
  }
  return found;
}

std::string to_string(const Errors& errors) {
  std::string text;
  for (const core::Error& error : errors) text += error.where + ": " + error.message + "\n";
  return text;
}

}  // namespace damaskthread::settings
