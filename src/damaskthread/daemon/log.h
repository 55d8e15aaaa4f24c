#ifndef DAMASKTHREAD_DAEMON_LOG_H_
#define DAMASKTHREAD_DAEMON_LOG_H_

/// @file
/// @brief Logger of the daemon. Only state changes are logged; all other events are counted in metrics.

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <cstdint>
#include <functional>
#include <string_view>

namespace damaskthread::daemon {

/// @brief Returns the logger shared by all components of the daemon.
[[nodiscard]] inline log4cplus::Logger logger() { return log4cplus::Logger::getInstance("damaskthread"); }

/// @brief Hashes the name of a failure domain or region to its id, which is the same in all modules of this process.
[[nodiscard]] inline std::uint32_t zone_hash(std::string_view name) {
  return static_cast<std::uint32_t>(std::hash<std::string_view>{}(name));
}

}  // namespace damaskthread::daemon

#endif  // DAMASKTHREAD_DAEMON_LOG_H_
