/// @file
/// @brief Stand-in for a backend server: slots, service times, onward calls and faults on demand. Loopback only.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <cxxtools/eventloop.h>
#include <cxxtools/http/server.h>
#include <cxxtools/regex.h>
#include <pthread.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <iostream>
#include <optional>
#include <thread>

#include "damaskthread/settings/settings.h"
#include "responder.h"

ABSL_FLAG(int, port, 0, "port on 127.0.0.1");
ABSL_FLAG(std::string, service, "", "service name");
ABSL_FLAG(std::string, server, "", "server name; default SERVICE-PORT");
ABSL_FLAG(int, slots, 10, "requests that run at a time");
ABSL_FLAG(int, connections, 0, "threads; default 4 * slots + 16");
ABSL_FLAG(double, service_ms, 10, "service time, or its median, in milliseconds");
ABSL_FLAG(double, service_sigma, 0, "0: fixed service time; otherwise sigma of a log-normal one");
ABSL_FLAG(uint64_t, seed, 1, "seed of the service times and of random faults");
ABSL_FLAG(int, cold_ms, 0, "time after the start during which requests take cold_factor times as long");
ABSL_FLAG(double, cold_factor, 4, "see cold_ms");
ABSL_FLAG(bool, shed, false, "answer 503 when all slots are taken, instead of waiting for one");
ABSL_FLAG(std::string, daemon, "", "ip:port of the local daemon's call port, for onward calls");
ABSL_FLAG(std::string, calls, "", "onward calls of each request: SERVICE:[METHOD:]PATH, separated by commas");
ABSL_FLAG(int, load_lag_ms, 0, "age of what /load reports");
ABSL_FLAG(bool, allow_crash, false, "a request for /crash ends the process");

namespace damaskthread::standin {
namespace {

std::optional<std::vector<OnwardCall>> parse_calls(std::string_view text) {
  std::vector<OnwardCall> calls;
  while (!text.empty()) {
    const std::string_view item = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), item.size() + 1));
    const std::size_t colon = item.find(':');
    const std::size_t slash = item.find('/');
    if (colon == std::string_view::npos || slash == std::string_view::npos || slash < colon) return std::nullopt;
    const bool has_method = slash > colon + 1;
    if (has_method && item[slash - 1] != ':') return std::nullopt;
    calls.push_back({std::string(item.substr(0, colon)),
                     has_method ? std::string(item.substr(colon + 1, slash - colon - 2)) : "GET",
                     std::string(item.substr(slash))});
  }
  return calls;
}

int run() {
  const int port = absl::GetFlag(FLAGS_port);
  const auto calls = parse_calls(absl::GetFlag(FLAGS_calls));
  const auto daemon = settings::parse_endpoint(absl::GetFlag(FLAGS_daemon));
  const int slots = absl::GetFlag(FLAGS_slots);
  if (port < 1 || port > 65535 || absl::GetFlag(FLAGS_service).empty() || slots < 1 || slots > 4096) {
    std::cerr << "expected --port from 1 to 65535, --service and --slots from 1 to 4096\n";
    return 2;
  }
  if (!calls || (!calls->empty() && !daemon)) {
    std::cerr << "expected --calls as SERVICE:[METHOD:]PATH,... together with --daemon as ip:port\n";
    return 2;
  }
  Options options;
  options.service = absl::GetFlag(FLAGS_service);
  options.server = absl::GetFlag(FLAGS_server);
  if (options.server.empty()) options.server = options.service + "-" + std::to_string(port);
  options.slots = slots;
  options.service_ms = std::clamp(absl::GetFlag(FLAGS_service_ms), 0.0, 60'000.0);
  options.service_sigma = std::clamp(absl::GetFlag(FLAGS_service_sigma), 0.0, 3.0);
  options.seed = absl::GetFlag(FLAGS_seed);
  options.cold_time = std::chrono::milliseconds(absl::GetFlag(FLAGS_cold_ms));
  options.cold_factor = absl::GetFlag(FLAGS_cold_factor);
  options.shed = absl::GetFlag(FLAGS_shed);
  if (daemon) {
    options.daemon_ip = daemon->host;
    options.daemon_port = daemon->port;
  }
  options.calls = *calls;
  options.load_lag = std::chrono::milliseconds(absl::GetFlag(FLAGS_load_lag_ms));
  options.allow_crash = absl::GetFlag(FLAGS_allow_crash);

  // Blocked before any thread starts, so that only the waiting thread receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  State state(std::move(options));
  cxxtools::EventLoop loop;
  BackendService service(state);
  cxxtools::http::Server server(loop, "127.0.0.1", static_cast<std::uint16_t>(port));
  const int connections = absl::GetFlag(FLAGS_connections);
  server.minThreads(4);
  server.maxThreads(static_cast<unsigned>(connections > 0 ? std::min(connections, 4096) : 4 * slots + 16));
  server.addService(cxxtools::Regex(".*"), service);
  std::thread([&loop, signals] {
    int signal = 0;
    sigwait(&signals, &signal);
    loop.exit();
  }).detach();
  std::cout << "listening on 127.0.0.1:" << port << std::endl;
  loop.run();
  return 0;
}

}  // namespace
}  // namespace damaskthread::standin

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  try {
    return damaskthread::standin::run();
  } catch (const std::exception& error) {
    std::cerr << "backend_server: " << error.what() << "\n";
    return 1;
  }
}
