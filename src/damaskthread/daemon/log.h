#ifndef DAMASKTHREAD_DAEMON_LOG_H_
#define DAMASKTHREAD_DAEMON_LOG_H_

/// @file
/// @brief The daemon's logger. Lines are written for changes of state only; everything else is a counter.

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <cstdint>
#include <functional>
#include <string_view>

namespace damaskthread::daemon {

/// @brief The logger that all parts of the daemon write to.
[[nodiscard]] inline log4cplus::Logger logger() { return log4cplus::Logger::getInstance("damaskthread"); }

/// @brief Number of a failure domain or region, the same in all modules of this process.
[[nodiscard]] inline std::uint32_t zone_number(std::string_view name) {
  return static_cast<std::uint32_t>(std::hash<std::string_view>{}(name));
}

}  // namespace damaskthread::daemon

#endif  // DAMASKTHREAD_DAEMON_LOG_H_
