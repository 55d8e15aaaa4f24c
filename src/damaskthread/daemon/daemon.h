#ifndef DAMASKTHREAD_DAEMON_DAEMON_H_
#define DAMASKTHREAD_DAEMON_DAEMON_H_

/// @file
/// @brief The daemon process: node, control plane, three HTTP servers and graceful shutdown.

#include <atomic>
#include <memory>

#include "damaskthread/core/types.h"
#include "damaskthread/settings/settings.h"

namespace damaskthread::daemon {

/// Runs all servers and threads of the daemon from construction to destruction.
class Daemon {
 public:
  /// @brief Starts listening on all ports.
  /// @param settings Validated settings; must outlive the daemon.
  /// @throws std::runtime_error if an address cannot be listened on.
  explicit Daemon(const settings::Settings& settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// @brief Announces that the server leaves, refuses new work and waits until no call is in progress.
  /// @param timeout Maximum time to wait.
  /// @return Whether all calls in flight finished in time.
  bool drain(core::Duration timeout);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace damaskthread::daemon

#endif  // DAMASKTHREAD_DAEMON_DAEMON_H_
