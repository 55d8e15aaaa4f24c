#ifndef DAMASKTHREAD_SETTINGS_SETTINGS_H_
#define DAMASKTHREAD_SETTINGS_SETTINGS_H_

/// @file
/// @brief Settings of one daemon, read from one JSON file in which comments are allowed.

#include <boost/leaf/result.hpp>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "damaskthread/core/error.h"
#include "damaskthread/core/types.h"
#include "damaskthread/settings/secret.h"

namespace damaskthread::settings {

/// Length of the shared key and of a token hash.
inline constexpr std::size_t kKeyBytes = 32;

/// A numeric IP address and a port.
struct Endpoint {
  std::string host;
  std::uint16_t port = 0;
  bool operator==(const Endpoint&) const = default;
};

/// @brief `host:port`, with an IPv6 address in brackets.
[[nodiscard]] std::string to_string(const Endpoint& endpoint);

/// @brief Parses `a.b.c.d:port` or `[v6]:port`. Names are not resolved: processes find each other by IP address.
[[nodiscard]] std::optional<Endpoint> parse_endpoint(std::string_view text);

/// Addresses that the daemon listens at.
struct Listen {
  std::string address = "127.0.0.1";
  std::uint16_t call_port = 0;
  std::uint16_t peer_port = 0;
  std::uint16_t admin_port = 0;
  std::uint16_t control_port = 0;
};

/// Upper bounds on what the daemon holds at a time.
struct Bounds {
  std::uint32_t max_header_bytes = 4096;  // The HTTP library stores 4,096 bytes of headers per message.
  std::uint64_t max_body_bytes = 32ULL << 20;
  std::uint32_t max_connections = 2048;
  std::uint32_t max_threads = 512;  // One thread serves one call in progress.
  std::uint32_t max_queue = 1024;
};

enum class Role : std::uint8_t { kRead, kWrite };

enum class LogLevel : std::uint8_t { kError, kWarn, kInfo, kDebug };

/// @brief Name of a log level as the settings file spells it.
[[nodiscard]] std::string_view to_string(LogLevel level) noexcept;
/// @brief Name of a role as the settings file spells it.
[[nodiscard]] std::string_view to_string(Role role) noexcept;

/// One operator of the admin interface. Only the hash of the token is kept.
struct Operator {
  std::string name;
  Role role = Role::kRead;
  Secret token_hash;
};

struct Settings {
  std::string server_name;
  core::ServerId server_id;
  std::string service;
  std::string zone;  ///< Failure domain.
  std::string region;
  Listen listen;
  std::string advertised_ip;
  Endpoint local_server;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  std::vector<Endpoint> seeds;        ///< Control addresses of other daemons.
  std::vector<Endpoint> log_service;  ///< Tried in order.
  Secret shared_key;
  std::vector<Operator> operators;
  Bounds bounds;
  std::chrono::milliseconds drain_bound{30'000};
  LogLevel log_level = LogLevel::kInfo;
};

/// Everything that is wrong with a file, in the order of the fields; this is the error object of the results below.
using Errors = std::vector<core::Error>;

/// Reads a file that the settings refer to, or says why it cannot.
using ReadFile = std::function<boost::leaf::result<std::string>(const std::filesystem::path&)>;

/// @brief Parses and checks settings.
/// @param text The JSON text.
/// @param source Name of the text in error messages.
/// @param read_file Called for each key or token file that the text names; its error object is a `core::Error`.
/// @return The settings, or an error with `Errors` as its object.
[[nodiscard]] boost::leaf::result<Settings> parse(std::string_view text, std::string_view source,
                                                  const ReadFile& read_file);

/// @brief Reads, parses and checks a settings file. File names inside it are relative to its directory.
/// @param path The file.
/// @return The settings, or an error with `Errors` as its object.
[[nodiscard]] boost::leaf::result<Settings> load(const std::filesystem::path& path);

/// @brief The settings in force as `field: value` lines, without secrets.
[[nodiscard]] std::string describe(const Settings& settings);

/// @brief Hash that `token_hash` holds: BLAKE2b with 32 bytes.
[[nodiscard]] Secret hash_token(std::string_view token);

/// @brief Role of the operator whose token this is. The time taken does not depend on which token matches.
/// @param operators The operators of the settings.
/// @param token The token that came with the request.
/// @return The operator, or null if the token belongs to nobody.
[[nodiscard]] const Operator* find_operator(std::span<const Operator> operators, std::string_view token);

/// @brief One line per error: `where: message`.
[[nodiscard]] std::string to_string(const Errors& errors);

}  // namespace damaskthread::settings

#endif  // DAMASKTHREAD_SETTINGS_SETTINGS_H_
