#include <algorithm>
#include <array>

#include "damaskthread/client/commands.h"

namespace damaskthread::client {
namespace {

constexpr std::array<std::string_view, 10> kFlags = {"server", "token_file", "output",  "f",     "after",
                                                     "count",  "timeout_ms", "version", "admin", "tenant"};

constexpr std::string_view kHelp = R"(damaskctl publishes declarations of services and shows what is in force.

Usage:
  damaskctl COMMAND [ARGUMENTS] [FLAGS]

Commands:
  apply -f FILE-OR-FOLDER   publish declarations; unchanged ones are left alone
  diff -f FILE-OR-FOLDER    show how declarations differ from what is in force
  get [NAME]                list the services, or print one declaration
  delete NAME               delete a declaration (--version N: only if it is the version in force)
  watch                     print each change as it is accepted (--after REVISION, --count N)
  status                    show which version is in force where, and which daemons lag
  explain ID [LOG...]       tell the story of a request from the logs of mesh daemons (default: standard input)
  report                    show the service-level objectives and the budget that is left
  where HOST PATH           show where a mesh daemon would send a request now, and why, without sending it (--admin IP:PORT,
                            --tenant NAME: the tenant that would send it)

Flags:
  --server IP:PORT          admin port of a daemon (default 127.0.0.1:7003); may be repeated, the next is tried when
                            one does not answer
  --admin IP:PORT           admin port of the mesh daemon that `where` asks; no token is sent to it
  --token-file FILE         file that holds your token
  --output text|json        form of the output (default text)
  --timeout-ms N            time for one request (default 10000)

Exit codes:
  0  done
  1  there are differences, no log knows the request, another change came first, a version is not in force everywhere yet,
     or a request would be refused now
  2  the command line is wrong
  3  no daemon or no log can be reached; nothing was done
  4  the outcome is unknown; run the same command again
  5  a declaration, a name or the token is not valid

Example:
  damaskctl diff -f example/birchrun --token-file operator.token
  damaskctl apply -f example/birchrun --token-file operator.token
  damaskctl status --token-file operator.token
)";

}  // namespace

std::string_view help_text() { return kHelp; }

Arguments prepare_arguments(const std::vector<std::string>& arguments) {
  Arguments result;
  std::string servers;
  for (std::size_t i = 0; i < arguments.size(); ++i) {
    const std::string& argument = arguments[i];
    if (argument.size() < 2 || argument.front() != '-') {
      result.values.push_back(argument);
      continue;
    }
    const std::size_t dashes = argument[1] == '-' ? 2 : 1;
    const std::size_t equals = std::min(argument.find('='), argument.size());
    std::string name = argument.substr(dashes, equals - dashes);
    std::replace(name.begin(), name.end(), '-', '_');
    if (name == "help" || name == "h") {
      result.help = true;
      continue;
    }
    if (std::find(kFlags.begin(), kFlags.end(), name) == kFlags.end()) {
      result.error = "unknown flag " + argument;
      return result;
    }
    std::string value;
    if (equals < argument.size()) {
      value = argument.substr(equals + 1);
    } else if (i + 1 < arguments.size()) {
      value = arguments[++i];
    } else {
      result.error = "the flag " + argument + " needs a value";
      return result;
    }
    if (name == "tenant" && value.empty()) {
      // Without a tenant, another request would be explained than the one that was meant.
      result.error = "the flag --tenant needs a name";
      return result;
    }
    if (name != "server") {
      result.values.push_back(std::string{"--"}.append(name).append("=").append(value));
      continue;
    }
    servers += (servers.empty() ? "" : ",") + value;
  }
  if (!servers.empty()) result.values.push_back("--server=" + servers);
  return result;
}

std::optional<std::vector<http::Endpoint>> parse_servers(std::string_view text) {
  std::vector<http::Endpoint> servers;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(','), text.size());
    http::Endpoint server;
    if (!http::parse_endpoint(text.substr(0, end), server)) return std::nullopt;
    servers.push_back(std::move(server));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  if (servers.empty()) return std::nullopt;
  return servers;
}

}  // namespace damaskthread::client
