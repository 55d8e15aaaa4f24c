#ifndef DAMASKTHREAD_DAEMON_DAEMON_H_
#define DAMASKTHREAD_DAEMON_DAEMON_H_

/// @file
/// @brief One daemon: the node, its control side, its three HTTP ports, and the graceful stop.

#include <atomic>
#include <memory>

#include "damaskthread/core/types.h"
#include "damaskthread/settings/settings.h"

namespace damaskthread::daemon {

/// Serves from construction to destruction.
class Daemon {
 public:
  /// @brief Starts all ports.
  /// @param settings Checked settings; must outlive the daemon.
  /// @throws std::runtime_error if an address cannot be listened on.
  explicit Daemon(const settings::Settings& settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// @brief Announces that the server leaves, refuses new work and waits until no call is in progress.
  /// @param bound Longest time to wait.
  /// @return Whether everything in flight was finished in time.
  bool drain(core::Duration bound);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace damaskthread::daemon

#endif  // DAMASKTHREAD_DAEMON_DAEMON_H_
