#ifndef DAMASKTHREAD_MESH_QUOTA_SERVICE_H_
#define DAMASKTHREAD_MESH_QUOTA_SERVICE_H_

/// @file
/// @brief Carries the messages of the quotas between daemons and selects the coordinator.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
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
/// fall back to the next if it does not answer; the last resort is the daemon itself. Daemons that cannot be reached
/// are passed over, however many they are: all daemons that reach each other agree on a coordinator.
class QuotaService {
 public:
  struct Hooks {
    /// Sends a message to a daemon. Returns whether the daemon is reachable.
    std::function<bool(const std::string& endpoint, const peer::Message& message)> send;
    std::function<bool(const std::string& endpoint)> reachable;
    /// Number of reachable daemons, this one excluded.
    std::function<std::size_t()> reachable_count;
    /// Whether this daemon holds the lease of the quotas.
    std::function<bool(core::TimePoint now)> lease_held;
    /// Called after credits have arrived.
    std::function<void()> granted;
  };

  QuotaService(std::string self, EventLog& log, Hooks hooks);

  /// @brief Sets the tenants of the configuration in force.
  void set_tenants(const tenant::Directory& tenants, core::TimePoint now);
  /// @brief Sets the known daemons, this one excluded, and selects the candidates among them; to be called about twice
  /// a second.
  /// @param listed Whether the list on the store has been read, so that they are all listed ones.
  void set_members(const std::vector<std::string>& endpoints, bool listed, core::TimePoint now);
  /// @brief Daemons that may become the coordinator, to which connections should be kept. Empty without quotas.
  [[nodiscard]] std::vector<std::string> coordinator_candidates() const;
  /// @return Whether this daemon is a coordinator to which some of the listed daemons have not reported for some time,
  /// so that it needs the lease of the quotas to count them as gone.
  [[nodiscard]] bool lease_wanted(core::TimePoint now) const;

  /// @return The daemon that this one reports to; empty before the first report.
  [[nodiscard]] const std::string& coordinator() const noexcept { return selected_; }

  [[nodiscard]] quota::Ledger& ledger() noexcept { return ledger_; }
  [[nodiscard]] const quota::Ledger& ledger() const noexcept { return ledger_; }
  /// @brief Sends a report if one is due; to be called several times a second and when a request waits for credit.
  void tick(core::TimePoint now);
  /// @brief Processes a report as the coordinator.
  [[nodiscard]] quota::Grant on_report(const std::string& member, const quota::Report& report, core::TimePoint now);
  void on_grant(const std::string& coordinator, const quota::Grant& grant, core::TimePoint now);

 private:
  void send_report(core::TimePoint now);
  void select_coordinator(const std::string& endpoint);
  /// Number of listed daemons; zero if the list has not been read yet.
  [[nodiscard]] std::uint32_t listed_count() const noexcept;
  void rank_members(const std::vector<std::string>& endpoints);
  /// Selects the candidates and notes which of them cannot be reached.
  void check_candidates(core::TimePoint now);
  void check_completeness(core::TimePoint now);
  /// Logs who granted and who admitted how much, so that the total of a tenant can be added up over all daemons.
  void log_usage();

  std::string self_;
  EventLog& log_;
  Hooks hooks_;
  quota::Ledger ledger_;
  quota::Coordinator coordinator_;
  /// All known daemons by descending rank, this one included.
  std::vector<std::string> ranked_;
  bool listed_ = false;
  /// Daemons that are connected to because they may become the coordinator, by descending rank.
  std::vector<std::string> candidates_;
  /// Number of reachable daemons, this one included.
  std::uint32_t reachable_ = 1;
  /// Candidates that cannot be reached, and since when.
  std::map<std::string, core::TimePoint> unreachable_since_;
  std::string selected_;
  /// Time since which this daemon has been a coordinator to which not all listed daemons report.
  std::optional<core::TimePoint> incomplete_since_;
  core::TimePoint usage_log_due_;
  bool awaiting_grant_ = false;
  core::TimePoint awaited_since_;
  /// Daemons that did not answer in time, and until when they are not asked.
  std::map<std::string, core::TimePoint> avoided_until_;
};

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_QUOTA_SERVICE_H_
