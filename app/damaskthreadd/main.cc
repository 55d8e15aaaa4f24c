// Entry point of the daemon that runs next to each backend server.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <pthread.h>

#include <csignal>
#include <exception>
#include <iostream>
#include <optional>
#include <string>

#include "damaskthread/daemon/daemon.h"
#include "damaskthread/daemon/log.h"
#include "damaskthread/settings/load.h"
#include "damaskthread/settings/settings.h"

ABSL_FLAG(std::string, settings, "", "settings file (JSON with comments)");
ABSL_FLAG(bool, check, false, "check the settings file, print the effective settings, and exit");

namespace {

using damaskthread::settings::LogLevel;
using damaskthread::settings::Settings;

constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
constexpr int kExitInvalidSettings = 5;
constexpr int kExitDrainTimeout = 6;

std::optional<Settings> load(const std::string& path) {
  return damaskthread::settings::load_or_print<Settings>(damaskthread::settings::load, path, std::cerr);
}

log4cplus::LogLevel to_log4cplus(LogLevel level) {
  switch (level) {
    case LogLevel::kError:
      return log4cplus::ERROR_LOG_LEVEL;
    case LogLevel::kWarn:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::kDebug:
      break;
  }
  return log4cplus::DEBUG_LOG_LEVEL;
}

void configure_logging(LogLevel level) {
  log4cplus::helpers::Properties properties;
  properties.setProperty(LOG4CPLUS_TEXT("log4cplus.rootLogger"), LOG4CPLUS_TEXT("INFO, STDERR"));
  properties.setProperty(LOG4CPLUS_TEXT("log4cplus.appender.STDERR"), LOG4CPLUS_TEXT("log4cplus::ConsoleAppender"));
  properties.setProperty(LOG4CPLUS_TEXT("log4cplus.appender.STDERR.logToStdErr"), LOG4CPLUS_TEXT("true"));
  properties.setProperty(LOG4CPLUS_TEXT("log4cplus.appender.STDERR.layout"),
                         LOG4CPLUS_TEXT("log4cplus::PatternLayout"));
  properties.setProperty(LOG4CPLUS_TEXT("log4cplus.appender.STDERR.layout.ConversionPattern"),
                         LOG4CPLUS_TEXT("time=%D{%Y-%m-%dT%H:%M:%S.%qZ} level=%p logger=%c msg=\"%m\"%n"));
  log4cplus::PropertyConfigurator(properties).configure();
  log4cplus::Logger::getRoot().setLogLevel(to_log4cplus(level));
}

// Blocks the signals in all threads; the main thread receives them with sigwait.
sigset_t block_signals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&signals, signal);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

// Re-reads the settings file on SIGHUP and applies the log level, the only field that can change at run time.
void reload(const std::string& path) {
  const std::optional<Settings> fresh = load(path);
  if (!fresh) {
    LOG4CPLUS_ERROR(damaskthread::daemon::logger(), "the changed settings are invalid; keeping the current settings");
    return;
  }
  log4cplus::Logger::getRoot().setLogLevel(to_log4cplus(fresh->log_level));
  LOG4CPLUS_INFO(damaskthread::daemon::logger(), "log level reloaded from the settings file");
}

int serve(const std::string& path, const Settings& settings) {
  const sigset_t signals = block_signals();
  const log4cplus::Initializer initializer;
  configure_logging(settings.log_level);
  damaskthread::daemon::Daemon daemon(settings);
  LOG4CPLUS_INFO(damaskthread::daemon::logger(), "serving " << settings.service << " as " << settings.server_name);
  int signal = 0;
  while (sigwait(&signals, &signal) == 0 && signal == SIGHUP) reload(path);
  const bool finished = daemon.drain(settings.drain_timeout);
  LOG4CPLUS_INFO(damaskthread::daemon::logger(),
                 (finished ? "stopped; all calls in flight finished" : "stopped at the drain timeout"));
  return finished ? kExitOk : kExitDrainTimeout;
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "overload control daemon of one backend server\n\n"
      "  damaskthreadd --settings FILE          serve until SIGTERM, then drain and stop\n"
      "  damaskthreadd --settings FILE --check  check the settings and stop\n\n"
      "Exit codes: 0 stopped after finishing every call, 1 cannot serve, 2 usage, 5 invalid settings,\n"
      "6 stopped at the drain timeout with calls in flight.");
  const auto rest = absl::ParseCommandLine(argc, argv);
  const std::string path = absl::GetFlag(FLAGS_settings);
  if (path.empty() || rest.size() > 1) {
    std::cerr << "usage: damaskthreadd --settings FILE [--check]\n";
    return kExitUsage;
  }
  const std::optional<Settings> settings = load(path);
  if (!settings) return kExitInvalidSettings;
  if (absl::GetFlag(FLAGS_check)) {
    std::cout << damaskthread::settings::describe(*settings);
    return kExitOk;
  }
  try {
    return serve(path, *settings);
  } catch (const std::exception& error) {
    std::cerr << "cannot serve: " << error.what() << "\n";
    return kExitFailure;
  }
}
