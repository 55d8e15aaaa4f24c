// damaskctl: publishes declarations and shows what is in force. The logic is in src/damaskthread/client.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <charconv>
#include <chrono>
#include <fstream>
#include <iostream>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "damaskthread/client/commands.h"
#include "damaskthread/client/explain.h"

ABSL_FLAG(std::string, server, "127.0.0.1:7003", "Admin ports of daemons, separated by commas.");
ABSL_FLAG(std::string, admin, "", "Admin port of a mesh daemon.");
ABSL_FLAG(std::string, tenant, "", "Name of the tenant that would send a request.");
ABSL_FLAG(std::string, token_file, "", "File that holds the operator's token.");
ABSL_FLAG(std::string, output, "text", "text or json.");
ABSL_FLAG(std::string, f, "", "File or folder of declarations.");
// Numbers are parsed here, because the flags library ends the process with 1 for a bad one.
ABSL_FLAG(std::string, after, "0", "Revision that a watch starts after.");
ABSL_FLAG(std::string, count, "0", "Changes after which a watch ends; 0 for no end.");
ABSL_FLAG(std::string, timeout_ms, "10000", "Time for one request.");
ABSL_FLAG(std::string, version, "0", "Version to delete; 0 for the one in force.");

namespace damaskthread::client {
namespace {

struct UsageError {
  std::string message;
};

std::uint64_t number_flag(const char* name, const std::string& text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error == std::errc{} && end == text.data() + text.size()) return value;
  throw UsageError{"--" + std::string{name} + " needs a whole number"};
}

std::string read_token(const std::string& file) {
  if (file.empty()) return {};
  std::ifstream in{file};
  std::string token;
  if (!(in >> token)) throw UsageError{"cannot read a token from " + file};
  return token;
}

CommandOptions options_from(const std::vector<char*>& positional) {
  CommandOptions options;
  if (positional.size() < 2) throw UsageError{"a command is needed"};
  options.command = positional[1];
  options.names.assign(positional.begin() + 2, positional.end());
  options.file = absl::GetFlag(FLAGS_f);
  const std::string output = absl::GetFlag(FLAGS_output);
  if (output != "text" && output != "json") throw UsageError{"--output needs text or json"};
  options.json = output == "json";
  const std::string tenant = absl::GetFlag(FLAGS_tenant);
  if (!tenant.empty()) options.tenant = tenant;
  options.after = number_flag("after", absl::GetFlag(FLAGS_after));
  options.count = number_flag("count", absl::GetFlag(FLAGS_count));
  options.version = number_flag("version", absl::GetFlag(FLAGS_version));
  const std::uint64_t timeout = number_flag("timeout-ms", absl::GetFlag(FLAGS_timeout_ms));
  if (timeout < 1 || timeout > 600'000) throw UsageError{"--timeout-ms needs a number from 1 to 600000"};
  options.limits.request_timeout = std::chrono::milliseconds{timeout};
  options.limits.sleep = [](core::Duration time) { std::this_thread::sleep_for(time); };
  return options;
}

// Works on files alone; no daemon is asked.
int explain(const CommandOptions& options) {
  if (options.names.empty()) throw UsageError{"explain needs the id of a request"};
  Story story(options.names.front());
  if (options.names.size() == 1) story.read(std::cin);
  for (std::size_t i = 1; i < options.names.size(); ++i) {
    std::ifstream log{options.names[i]};
    if (!log) throw UsageError{"cannot read the log " + options.names[i]};
    story.read(log);
  }
  story.print(std::cout, options.json);
  if (story.unreadable() > 0) std::cerr << "damaskctl: " << story.unreadable() << " lines cannot be read\n";
  if (!story.empty()) return static_cast<int>(ExitCode::kOk);
  std::cerr << "damaskctl: no line mentions " << options.names.front() << '\n';
  return static_cast<int>(ExitCode::kDifferent);
}

// Asks a mesh daemon, which takes no token.
int where(const CommandOptions& options) {
  const auto admin = parse_servers(absl::GetFlag(FLAGS_admin));
  if (!admin || admin->size() != 1) throw UsageError{"where needs --admin IP:PORT"};
  AdminClient client{http_transport(), *admin, ""};
  return static_cast<int>(run_command(options, client, std::cout, std::cerr));
}

int run(int argc, char** argv) {
  Arguments arguments = prepare_arguments({argv + 1, argv + argc});
  if (!arguments.error.empty()) throw UsageError{arguments.error};
  if (arguments.help || (arguments.values.size() == 1 && arguments.values.front() == "help")) {
    std::cout << help_text();
    return 0;
  }
  std::vector<char*> prepared = {argv[0]};
  for (std::string& value : arguments.values) prepared.push_back(value.data());
  const std::vector<char*> positional = absl::ParseCommandLine(static_cast<int>(prepared.size()), prepared.data());
  const CommandOptions options = options_from(positional);
  if (options.command == "explain") return explain(options);
  if (options.command == "where") return where(options);
  const auto servers = parse_servers(absl::GetFlag(FLAGS_server));
  if (!servers) throw UsageError{"--server needs IP:PORT"};
  AdminClient client{http_transport(), *servers, read_token(absl::GetFlag(FLAGS_token_file))};
  return static_cast<int>(run_command(options, client, std::cout, std::cerr));
}

}  // namespace
}  // namespace damaskthread::client

int main(int argc, char** argv) {
  using damaskthread::client::ExitCode;
  try {
    return damaskthread::client::run(argc, argv);
  } catch (const damaskthread::client::UsageError& error) {
    std::cerr << "damaskctl: " << error.message << "; see damaskctl --help\n";
    return static_cast<int>(ExitCode::kUsage);
  } catch (const std::exception& error) {
    std::cerr << "damaskctl: " << error.what() << '\n';
    return static_cast<int>(ExitCode::kUnavailable);
  }
}
