#ifndef DAMASKTHREAD_DAEMON_BURN_COLLECTOR_H_
#define DAMASKTHREAD_DAEMON_BURN_COLLECTOR_H_

/// @file
/// @brief Gathers the burn figures of all daemons that can be reached.

#include "damaskthread/daemon/directory.h"
#include "damaskthread/http/client.h"
#include "damaskthread/slo/burn.h"
#include "damaskthread/wire/authenticator.h"

namespace damaskthread::daemon {

class BurnCollector {
 public:
  BurnCollector(const Directory& directory, const wire::Authenticator& authenticator, wire::Sender self)
      : directory_(directory), authenticator_(authenticator), self_(self) {}

  /// @brief Asks every known daemon and merges the answers.
  /// @param own Figures of this daemon.
  /// @return The sum; daemons that gave no answer are listed as missing.
  [[nodiscard]] slo::BurnSnapshot collect(const slo::BurnSnapshot& own);

 private:
  const Directory& directory_;
  const wire::Authenticator& authenticator_;
  wire::Sender self_;
  http::Client client_;
};

}  // namespace damaskthread::daemon

#endif  // DAMASKTHREAD_DAEMON_BURN_COLLECTOR_H_
