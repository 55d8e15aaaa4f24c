#ifndef DAMASKTHREAD_QUOTA_COORDINATOR_H_
#define DAMASKTHREAD_QUOTA_COORDINATOR_H_

/// @file
/// @brief Divides the quotas of tenants among the daemons that report to it.

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/quota/credit.h"
#include "damaskthread/tenant/directory.h"

namespace damaskthread::quota {

struct CoordinatorOptions {
  /// A daemon that has not reported for this time counts as silent, and a coordinator that has got no report for this
  /// time starts anew: another one has granted credits in the meantime.
  core::Duration member_timeout = std::chrono::milliseconds{600};
  /// How long a silent daemon counts as one that may follow another coordinator. Longer than an ordinary partition.
  core::Duration silent_time = std::chrono::seconds{30};
  /// How long a coordinator must have been the only one that counts daemons as gone before it does so. Some of the
  /// listed daemons are gone for good, so that it would never grant the whole quota otherwise.
  core::Duration discovery_time = std::chrono::seconds{15};
  /// Part of the reserved rates that is granted whatever the share of the fleet. Reservations are averages that may
  /// contain a burst, so that their sum can exceed the quota a little.
  double reserved_part = 0.9;
  /// Credits of a tenant at the start of the whole quota, so that small tenants need not wait for the first ones.
  double initial_credits = 4;
  /// Credits accrue for at least this time even if the tenant has no burst: as long as credits may lie at a daemon
  /// before their use is reported.
  core::Duration min_accrual = std::chrono::milliseconds{400};
  /// A tenant counts as being at its limit if the wanted credits do not accrue within this time.
  core::Duration patience = std::chrono::milliseconds{200};
  /// Credits of a tenant beyond its burst that may lie at daemons, so that small tenants whose requests arrive at many
  /// daemons are not refused. Part of the excess that operators tolerate.
  double spread_credits = 8;
  /// How often the members and their reservations are added up, which takes time in proportion to the fleet.
  core::Duration sum_interval = std::chrono::milliseconds{50};
};

/// What a daemon knows of the fleet beyond the reports that it gets.
struct FleetView {
  /// Number of listed daemons, this one included; zero until the list has been read.
  std::uint32_t listed = 0;
  /// Number of daemons known to be alive, this one included, whomever they report to.
  std::uint32_t reachable = 1;
  /// No other daemon counts daemons as gone at the moment.
  bool exclusive = false;
};

/// @brief One token bucket for each tenant. It keeps nothing that must survive: a coordinator that takes over starts
/// with almost empty buckets, which fill at the rate of the quota, so that the sum over a change of coordinators stays
/// within rate and burst.
///
/// Network partitions: a coordinator leaves to silent daemons their share of the quota by number, or the rates that
/// they have reserved if these are larger: each daemon reports the rate at which it was admitting requests. The
/// coordinator on the other side of a partition grants just that much. So both sides never grant more than the whole
/// quota together, wherever a tenant's requests arrive.
///
/// A daemon that does not report may be gone, cut off, or report to another coordinator. Only an exclusive coordinator
/// counts it as gone, and only if it is not known to be alive; any number of others may act at the same time, and each
/// grants the share of the daemons that report to it. Until the list has been read, that share is not known and nothing
/// is granted: after a restart of many daemons each of them knows itself only.
class Coordinator {
 public:
  explicit Coordinator(const CoordinatorOptions& options = {}) noexcept : options_(options) {}

  /// @brief Sets the tenants of the configuration in force.
  void set_tenants(std::span<const tenant::Tenant> tenants, core::TimePoint now);
  /// @brief Sets what this daemon knows of the fleet.
  void set_fleet(const FleetView& fleet, core::TimePoint now) noexcept;
  /// @brief Processes the report of a daemon.
  /// @param member Endpoint of the daemon.
  /// @return The credits that it may use.
  [[nodiscard]] Grant on_report(const std::string& member, const Report& report, core::TimePoint now);

  /// @brief Returns the credits granted for each tenant since the last call, less returned ones.
  [[nodiscard]] std::vector<Usage> take_usage();
  /// @return Share of the known daemons that report to this coordinator.
  [[nodiscard]] double reporting_share() const noexcept { return reporting_share_; }
  /// @return Whether at least half of the known daemons report to this coordinator.
  [[nodiscard]] bool has_majority() const noexcept;
  /// @return Whether all listed daemons report to this coordinator, so that none has to be counted as gone.
  [[nodiscard]] bool complete() const noexcept { return reporting_ >= listed_ && listed_ > 0; }

 private:
  struct Bucket {
    double rate_per_second = 0;
    double burst = 0;
    double credits = 0;
    /// Credits that lie at the daemons.
    int held = 0;
    core::TimePoint updated;
    /// Since the last `take_usage`.
    int granted_count = 0;
    /// Rates reserved for members that report, and for those that fell silent.
    double reserved_reporting = 0;
    double reserved_silent = 0;
  };
  struct MemberShare {
    double reserved_per_second = 0;
    /// Credits that the member has, by its last report and the answer to it.
    int held = 0;
  };
  struct Member {
    core::TimePoint last_report;
    std::uint32_t fleet_size = 0;
    std::unordered_map<std::string, MemberShare> shares;
  };

  /// Largest number of credits in the bucket and at the daemons together. A tenant that begins to send more uses them
  /// all, wherever they are.
  [[nodiscard]] double capacity(const Bucket& bucket) const noexcept;
  /// Largest number of credits in the bucket.
  [[nodiscard]] double room(const Bucket& bucket) const noexcept;
  /// Requests per second that this coordinator may grant.
  [[nodiscard]] double controlled_rate(const Bucket& bucket) const noexcept;
  /// Adds up the members and what they have reserved of each tenant.
  void sum_members(core::TimePoint now);
  [[nodiscard]] Credit grant(const Demand& demand, MemberShare& share, core::TimePoint now);
  /// Removes the credits of a member from the sums.
  void release_held(Member& member);
  Member& record_report(const std::string& member, const Report& report, core::TimePoint now);
  void restart(core::TimePoint now);
  /// Whether listed daemons that are neither reporting nor known to be alive count as gone.
  [[nodiscard]] bool may_discount(core::TimePoint now) const noexcept;

  CoordinatorOptions options_;
  std::unordered_map<std::string, Bucket> buckets_;
  std::map<std::string, Member> members_;
  core::TimePoint started_;
  core::TimePoint summed_;
  core::TimePoint last_report_;
  FleetView fleet_;
  /// Time since which this coordinator has been the exclusive one.
  core::TimePoint exclusive_since_;
  std::size_t reporting_ = 0;
  /// Largest number of listed daemons that this daemon or one that reports knows of; zero if none has read the list.
  std::size_t listed_ = 0;
  double reporting_share_ = 0;
};

}  // namespace damaskthread::quota

#endif  // DAMASKTHREAD_QUOTA_COORDINATOR_H_
