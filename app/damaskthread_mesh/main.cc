// The daemon that runs beside each backend server on the users' platform.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>

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
ABSL_FLAG(bool, check, false, "check the settings file, print what would be in force, and stop");

namespace {

using damaskthread::mesh::MeshSettings;

constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
constexpr int kExitInvalidSettings = 5;
constexpr int kExitCutOff = 6;

// Lines are complete JSON objects already.
void set_up_log() {
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
  set_up_log();
  const damaskthread::platform::StoreAdapter adapter;
  damaskthread::mesh::Daemon daemon(settings, path, adapter);
  const int code = daemon.run() == damaskthread::mesh::ShutdownOutcome::kDrained ? kExitOk : kExitCutOff;
  // Nothing is left that has to be released. Taking the log library down can wait for threads of its own for seconds,
  // which a VM that is to start its daemon again does not have.
  std::cout.flush();
  std::_Exit(code);
}

std::string settings_path() {
  std::string path = absl::GetFlag(FLAGS_settings);
  if (!path.empty()) return path;
  const char* const variable = std::getenv("DAMASKTHREAD_CONFIG");
  return variable == nullptr ? "" : variable;
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "the overload control daemon beside one backend server of the platform\n\n"
      "  damaskthread_mesh --settings FILE          serve until SIGTERM, then drain and stop\n"
      "  damaskthread_mesh --settings FILE --check  check the settings and stop\n\n"
      "Exit codes: 0 stopped after finishing every request, 1 cannot serve, 2 usage, 5 invalid settings,\n"
      "6 stopped at the end of the grace with requests in flight.");
  const auto rest = absl::ParseCommandLine(argc, argv);
  const std::string path = settings_path();
  if (path.empty() || rest.size() > 1) {
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
