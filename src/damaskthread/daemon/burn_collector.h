#ifndef DAMASKTHREAD_DAEMON_BURN_COLLECTOR_H_
#define DAMASKTHREAD_DAEMON_BURN_COLLECTOR_H_

/// @file
/// @brief Collects the burn snapshots of all reachable daemons.

#include "damaskthread/daemon/directory.h"
#include "damaskthread/http/client.h"
#include "damaskthread/slo/burn.h"
#include "damaskthread/wire/authenticator.h"

namespace damaskthread::daemon {

/// Collects and merges the burn snapshots of all known daemons.
class BurnCollector {
 public:
  BurnCollector(const Directory& directory, const wire::Authenticator& authenticator, wire::Sender self)
      : directory_(directory), authenticator_(authenticator), self_(self) {}

  /// @brief Queries every known daemon and merges the responses.
  /// @param own_snapshot Snapshot of this daemon.
  /// @return The merged snapshot; daemons that did not respond are listed as missing.
  [[nodiscard]] slo::BurnSnapshot collect(const slo::BurnSnapshot& own_snapshot);

 private:
  const Directory& directory_;
  const wire::Authenticator& authenticator_;
  wire::Sender self_;
  http::Client client_;
};

}  // namespace damaskthread::daemon

#endif  // DAMASKTHREAD_DAEMON_BURN_COLLECTOR_H_
