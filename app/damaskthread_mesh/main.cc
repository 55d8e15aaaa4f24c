// The sidecar daemon of each backend server on the users' platform.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <malloc.h>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

#include "damaskthread/mesh/daemon.h"
#include "damaskthread/mesh/settings.h"
#include "damaskthread/settings/load.h"
#include "platform/store_adapter.h"

ABSL_FLAG(std::string, settings, "", "settings file (JSON with comments); default: $DAMASKTHREAD_CONFIG");
ABSL_FLAG(bool, check, false, "check the settings file, print the effective settings and exit");

namespace {

using damaskthread::mesh::MeshSettings;

constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
constexpr int kExitInvalidSettings = 5;
constexpr int kExitGraceExpired = 6;

// Each line is already a complete JSON object, so that the pattern adds nothing.
void configure_logging() {
  log4cplus::helpers::Properties properties;
  properties.setProperty("log4cplus.rootLogger", "INFO, STDOUT");
  properties.setProperty("log4cplus.appender.STDOUT", "log4cplus::ConsoleAppender");
  properties.setProperty("log4cplus.appender.STDOUT.ImmediateFlush", "true");
  properties.setProperty("log4cplus.appender.STDOUT.layout", "log4cplus::PatternLayout");
  properties.setProperty("log4cplus.appender.STDOUT.layout.ConversionPattern", "%m%n");
  log4cplus::PropertyConfigurator(properties).configure();
}

int serve(const std::string& path, const MeshSettings& settings) {
  std::signal(SIGPIPE, SIG_IGN);
  const log4cplus::Initializer initializer;
  configure_logging();
  const damaskthread::platform::StoreAdapter adapter;
  damaskthread::mesh::Daemon daemon(settings, path, adapter);
  const int code = daemon.run() == damaskthread::mesh::ShutdownOutcome::kDrained ? kExitOk : kExitGraceExpired;
  // Skips static destruction: no resource needs a release, and the log library can wait for its threads for seconds,
  // which would delay a restart of the daemon.
  std::cout.flush();
  std::_Exit(code);
}

std::string settings_path() {
  std::string path = absl::GetFlag(FLAGS_settings);
  if (!path.empty()) return path;
  const char* const environment_path = std::getenv("DAMASKTHREAD_CONFIG");
  return environment_path == nullptr ? "" : environment_path;
}

// Blocks of this size and above are returned to the operating system when they are freed. By default glibc raises the
// threshold to the largest block freed so far, and the memory of large bodies would stay in the process.
constexpr int kMmapThresholdBytes = 128 << 10;

}  // namespace

int main(int argc, char** argv) {
  ::mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  absl::SetProgramUsageMessage(
      "overload control daemon for one backend server of the platform\n\n"
      "  damaskthread_mesh --settings FILE          serve until SIGTERM, then drain and stop\n"
      "  damaskthread_mesh --settings FILE --check  check the settings and exit\n\n"
      "Exit codes: 0 stopped after all requests finished, 1 cannot serve, 2 usage, 5 invalid settings,\n"
      "6 grace period expired with requests in progress.");
  const auto arguments = absl::ParseCommandLine(argc, argv);
  const std::string path = settings_path();
  if (path.empty() || arguments.size() > 1) {
    std::cerr << "usage: damaskthread_mesh --settings FILE [--check]\n";
    return kExitUsage;
  }
  const auto settings =
      damaskthread::settings::load_or_print<MeshSettings>(damaskthread::mesh::load_mesh_settings, path, std::cerr);
  if (!settings) return kExitInvalidSettings;
  if (absl::GetFlag(FLAGS_check)) {
    std::cout << describe(*settings);
    return kExitOk;
  }
  try {
    return serve(path, *settings);
  } catch (const std::exception& error) {
    std::cerr << "cannot serve: " << error.what() << "\n";
    return kExitFailure;
  }
}
