#ifndef DAMASKTHREAD_CLIENT_COMMANDS_H_
#define DAMASKTHREAD_CLIENT_COMMANDS_H_

/// @file
/// @brief The commands of damaskctl.

#include <cstdint>
#include <filesystem>
#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "damaskthread/client/admin_client.h"
#include "damaskthread/client/publish.h"

namespace damaskthread::client {

/// Exit codes that scripts can rely on. If several resources end differently, the larger of 0, 1, 5, 3, 4 in this
/// order is returned.
enum class ExitCode : std::uint8_t {
  kOk = 0,
  kDifferent = 1,  ///< Differences, a conflict, a service that is not declared, or daemons that lag.
  kUsage = 2,
  kUnavailable = 3,
  kUnknown = 4,
  kInvalid = 5,
};

struct CommandOptions {
  std::string command;
  std::vector<std::string> names;        ///< Positional arguments after the command.
  std::filesystem::path file;            ///< `-f`: a file or a folder.
  bool json = false;                     ///< `--output json`
  std::optional<std::uint64_t> version;  ///< `--version`: the version to delete.
  std::uint64_t after = 0;               ///< `--after`: the revision that a watch starts after.
  std::optional<std::string> tenant;     ///< `--tenant`: the name of the tenant that would send a request.
  std::uint64_t count = 0;               ///< `--count`: changes after which a watch ends; 0 for no end.
  PublishLimits limits;
};

/// @brief Runs one command.
/// @param out Results.
/// @param err Errors.
[[nodiscard]] ExitCode run_command(const CommandOptions& options, AdminClient& client, std::ostream& out,
                                   std::ostream& err);

/// @brief The text of `--help`.
[[nodiscard]] std::string_view help_text();

/// Command-line arguments brought into the form that the flags library takes, or what is wrong with them.
struct Arguments {
  std::vector<std::string> values;
  std::string error;
  bool help = false;
};

/// @brief Joins repeated `--server` flags, writes flag names with underscores and rejects unknown flags.
[[nodiscard]] Arguments prepare_arguments(const std::vector<std::string>& arguments);

/// @brief Parses `ip:port` addresses separated by commas.
/// @return Nothing if one of them is no address or there is none.
[[nodiscard]] std::optional<std::vector<http::Endpoint>> parse_servers(std::string_view text);

}  // namespace damaskthread::client

#endif  // DAMASKTHREAD_CLIENT_COMMANDS_H_
