#ifndef DAMASKTHREAD_SETTINGS_SETTINGS_H_
#define DAMASKTHREAD_SETTINGS_SETTINGS_H_

/// @file
/// @brief Settings of one daemon, read from a JSON file that may contain comments.

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

/// Length of the shared key and of a token hash, in bytes.
inline constexpr std::size_t kKeyBytes = 32;

/// A numeric IP address and a port.
struct Endpoint {
  std::string host;
  std::uint16_t port = 0;
  bool operator==(const Endpoint&) const = default;
};

/// @brief Formats an endpoint as `host:port`, with an IPv6 address in brackets.
[[nodiscard]] std::string to_string(const Endpoint& endpoint);

/// @brief Parses `a.b.c.d:port` or `[v6]:port`. Host names are not resolved: processes address each other by IP.
[[nodiscard]] std::optional<Endpoint> parse_endpoint(std::string_view text);

/// Address and ports that the daemon listens on.
struct Listen {
  std::string address = "127.0.0.1";
  std::uint16_t call_port = 0;
  std::uint16_t peer_port = 0;
  std::uint16_t admin_port = 0;
  std::uint16_t control_port = 0;
};

/// Upper bounds on the resources that the daemon holds at a time.
struct Bounds {
  std::uint32_t max_header_bytes = 4096;  // The HTTP library stores at most 4,096 header bytes per message.
  std::uint64_t max_body_bytes = 32ULL << 20;
  std::uint32_t max_connections = 2048;
  std::uint32_t max_threads = 512;  // Each call in progress occupies one thread.
  std::uint32_t max_queue = 1024;
};

enum class Role : std::uint8_t { kRead, kWrite };

enum class LogLevel : std::uint8_t { kError, kWarn, kInfo, kDebug };

/// @brief Returns the name of a log level in the settings file.
[[nodiscard]] std::string_view to_string(LogLevel level) noexcept;
/// @brief Returns the name of a role in the settings file.
[[nodiscard]] std::string_view to_string(Role role) noexcept;

/// One operator of the admin interface. Only the hash of the token is stored.
struct Operator {
  std::string name;
  Role role = Role::kRead;
  Secret token_hash;
};

/// Settings of one daemon.
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
  std::vector<Endpoint> log_service;  ///< Addresses of the log service, tried in order.
  Secret shared_key;
  std::vector<Operator> operators;
  Bounds bounds;
  std::chrono::milliseconds drain_timeout{30'000};
  LogLevel log_level = LogLevel::kInfo;
};

/// All errors of a settings file, in the order of its fields; the error object of the results below.
using Errors = std::vector<core::Error>;

/// Reads a file that the settings refer to, or returns a `core::Error`.
using ReadFile = std::function<boost::leaf::result<std::string>(const std::filesystem::path&)>;

/// @brief Parses and validates settings.
/// @param text The JSON text.
/// @param source Name of the text in error messages.
/// @param read_file Called for each key or token file that the settings refer to; its error object is a `core::Error`.
/// @return The settings, or an error with `Errors` as its object.
[[nodiscard]] boost::leaf::result<Settings> parse(std::string_view text, std::string_view source,
                                                  const ReadFile& read_file);

/// @brief Reads, parses and validates a settings file. File names in it are relative to its directory.
/// @param path Path of the settings file.
/// @return The settings, or an error with `Errors` as its object.
[[nodiscard]] boost::leaf::result<Settings> load(const std::filesystem::path& path);

/// @brief Formats the effective settings as `field: value` lines, with secrets redacted.
[[nodiscard]] std::string describe(const Settings& settings);

/// @brief Computes the value of `token_hash`: the 32-byte BLAKE2b hash of a token.
[[nodiscard]] Secret hash_token(std::string_view token);

/// @brief Finds the operator with a token. The time taken does not depend on which token matches.
/// @param operators The operators of the settings.
/// @param token The token of the request.
/// @return The operator, or null if no operator has this token.
[[nodiscard]] const Operator* find_operator(std::span<const Operator> operators, std::string_view token);

/// @brief Formats each error as one line: `where: message`.
[[nodiscard]] std::string to_string(const Errors& errors);

}  // namespace damaskthread::settings

#endif  // DAMASKTHREAD_SETTINGS_SETTINGS_H_
