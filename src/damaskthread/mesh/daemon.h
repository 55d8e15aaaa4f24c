#ifndef DAMASKTHREAD_MESH_DAEMON_H_
#define DAMASKTHREAD_MESH_DAEMON_H_

/// @file
/// @brief The sidecar daemon of one backend server: owns all components and runs them on one event loop.

#include <filesystem>
#include <memory>

#include "damaskthread/mesh/adapter.h"
#include "damaskthread/mesh/settings.h"

namespace damaskthread::mesh {

/// How the shutdown of a daemon ended.
enum class ShutdownOutcome : std::uint8_t {
  kDrained,       ///< Every request was answered.
  kGraceExpired,  ///< The grace period ended with requests in progress.
};

/// @brief Owns the components of the daemon. Everything except the log writer runs on the thread that calls `run`: the
/// daemon has only a fraction of one core of its VM, and a single thread needs no locks.
class Daemon {
 public:
  /// @param settings_path File that the settings were loaded from; it is reloaded on SIGHUP and when it changes.
  /// @throws std::exception if it cannot listen on one of its addresses.
  Daemon(const MeshSettings& settings, std::filesystem::path settings_path, const Adapter& adapter);
  ~Daemon();

  /// @brief Serves until SIGTERM or SIGINT, then drains the requests in progress and flushes the log.
  [[nodiscard]] ShutdownOutcome run();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_DAEMON_H_
