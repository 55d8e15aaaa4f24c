#ifndef DAMASKTHREAD_MESH_QUOTA_SERVICE_H_
#define DAMASKTHREAD_MESH_QUOTA_SERVICE_H_

/// @file
/// @brief Carries the messages of the quotas between daemons and selects the coordinator.

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/mesh/event_log.h"
#include "damaskthread/peer/message.h"
#include "damaskthread/quota/coordinator.h"
#include "damaskthread/quota/ledger.h"
#include "damaskthread/tenant/directory.h"

namespace damaskthread::mesh {

/// @brief The quotas of one daemon. Daemons report to the reachable one that ranks first by rendezvous hashing, and
/// fall back to the next if it does not answer; the last resort is the daemon itself.
class QuotaService {
 public:
  struct Hooks {
    /// Sends a message to a daemon. Returns whether the daemon is reachable.
    std::function<bool(const std::string& endpoint, const peer::Message& message)> send;
    /// Called after credits have arrived.
    std::function<void()> granted;
  };

  QuotaService(std::string self, EventLog& log, Hooks hooks);

  /// @brief Sets the tenants of the configuration in force.
  void set_tenants(const tenant::Directory& tenants);
  /// @brief Sets the known daemons, this one excluded.
  void set_members(const std::vector<std::string>& endpoints);
  /// @brief Daemons that may become the coordinator, to which connections should be kept. Empty without quotas.
  [[nodiscard]] std::vector<std::string> coordinator_candidates() const;

  [[nodiscard]] quota::Ledger& ledger() noexcept { return ledger_; }
  [[nodiscard]] const quota::Ledger& ledger() const noexcept { return ledger_; }
  /// @brief Sends a report if one is due; to be called several times a second and when a request waits for credit.
  void tick(core::TimePoint now);
  /// @brief Processes a report as the coordinator.
  [[nodiscard]] quota::Grant on_report(const std::string& member, const quota::Report& report);
  void on_grant(const std::string& coordinator, const quota::Grant& grant);

 private:
  void send_report(core::TimePoint now);
  void select_coordinator(const std::string& endpoint);

  std::string self_;
  EventLog& log_;
  Hooks hooks_;
  quota::Ledger ledger_;
  quota::Coordinator coordinator_;
  /// All known daemons by descending rank, this one included.
  std::vector<std::string> ranked_;
  std::string selected_;
  bool awaiting_grant_ = false;
  core::TimePoint awaited_since_;
  /// Daemons that did not answer in time, and until when they are not asked.
  std::map<std::string, core::TimePoint> avoided_until_;
};

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_QUOTA_SERVICE_H_
