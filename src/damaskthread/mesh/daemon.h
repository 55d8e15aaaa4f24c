#ifndef DAMASKTHREAD_MESH_DAEMON_H_
#define DAMASKTHREAD_MESH_DAEMON_H_

/// @file
/// @brief The daemon beside one backend server: puts its parts together on one event loop.

#include <filesystem>
#include <memory>

#include "damaskthread/mesh/adapter.h"
#include "damaskthread/mesh/settings.h"

namespace damaskthread::mesh {

/// How a daemon ended.
enum class DaemonEnd : std::uint8_t {
  kFinished,  ///< After a planned stop, with every request answered.
  kCutOff,    ///< At the end of its grace, with requests under way.
};

/// @brief Everything runs on the thread that calls `run`; only log lines are written by another one. A VM gives the
/// daemon a fraction of one core, and decisions on one thread need no locks.
class Daemon {
 public:
  /// @param settings_path File that the settings came from; it is read again on SIGHUP and when it changes.
  /// @throws std::exception if an address cannot be listened at.
  Daemon(const MeshSettings& settings, std::filesystem::path settings_path, const Adapter& adapter);
  ~Daemon();

  /// @brief Serves until SIGTERM or SIGINT, then finishes what is under way and writes the log out.
  [[nodiscard]] DaemonEnd run();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_DAEMON_H_
