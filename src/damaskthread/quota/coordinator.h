#ifndef DAMASKTHREAD_QUOTA_COORDINATOR_H_
#define DAMASKTHREAD_QUOTA_COORDINATOR_H_

/// @file
/// @brief Divides the quotas of tenants among the daemons that report to it.

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
  /// A daemon that has not reported for this time may be cut off, and a coordinator that has got no report for this
  /// time starts anew: another one has granted credits in the meantime.
  core::Duration member_timeout = std::chrono::milliseconds{600};
  /// How long the rate reserved for a silent daemon is left to it. Longer than an ordinary partition.
  core::Duration reservation_time = std::chrono::seconds{30};
  /// Share of the known daemons that must report before a coordinator controls what is not reserved. Below it, daemons
  /// that do not report may follow another coordinator. Known daemons include some that are gone.
  double establishing_share = 0.8;
  /// Part of the reserved rates that a coordinator without control grants. Reservations are averages that may contain a
  /// burst, so that their sum can exceed the quota a little.
  double reserved_part = 0.9;
  /// Below this share a coordinator loses that control, since another one may gain it.
  double losing_share = 0.5;
  /// How often reservations are added up, which takes time in proportion to the fleet.
  core::Duration sum_interval = std::chrono::milliseconds{50};
  /// A daemon that knows no other one controls the whole quota after this time; until then it may not know them yet.
  core::Duration discovery_time = std::chrono::seconds{3};
  /// Credits of a tenant at the start, so that small tenants need not wait for the first ones to accrue.
  double initial_credits = 10;
  /// Credits accrue for at least this time even if the tenant has no burst, since daemons report at intervals.
  core::Duration min_accrual = std::chrono::milliseconds{100};
  /// A tenant counts as being at its limit if the wanted credits do not accrue within this time.
  core::Duration patience = std::chrono::milliseconds{200};
};

/// @brief One token bucket for each tenant. It keeps nothing that must survive: a coordinator that takes over starts
/// with almost empty buckets, which fill at the rate of the quota, so that the sum over a change of coordinators stays
/// within rate and burst.
///
/// Network partitions: each daemon reports the rate at which it was admitting requests; the others reserve it for that
/// daemon when it falls silent. What nobody has reserved is granted by the established coordinator only: one that hears
/// from most daemons. All others grant just what their members have reserved. So the coordinators on both sides never
/// grant more than the whole quota together, wherever a tenant's requests arrive.
class Coordinator {
 public:
  explicit Coordinator(const CoordinatorOptions& options = {}) noexcept : options_(options) {}

  /// @brief Sets the tenants of the configuration in force.
  void set_tenants(std::span<const tenant::Tenant> tenants, core::TimePoint now);
  /// @brief Processes the report of a daemon.
  /// @param member Endpoint of the daemon.
  /// @return The credits that it may use.
  [[nodiscard]] Grant on_report(const std::string& member, const Report& report, core::TimePoint now);

  /// @return Whether this coordinator controls the whole quota.
  [[nodiscard]] bool established() const noexcept { return established_; }

 private:
  struct Bucket {
    double rate_per_second = 0;
    double burst = 0;
    double credits = 0;
    core::TimePoint updated;
    /// Rates reserved for members that report, and for those that fell silent.
    double reserved_reporting = 0;
    double reserved_silent = 0;
  };
  struct Member {
    core::TimePoint last_report;
    std::uint32_t fleet_size = 1;
    std::unordered_map<std::string, double> reserved_per_second;
  };

  [[nodiscard]] double capacity(const Bucket& bucket) const noexcept;
  /// Requests per second that this coordinator may grant.
  [[nodiscard]] double controlled_rate(const Bucket& bucket) const noexcept;
  /// Adds up what the members have reserved of each tenant.
  void sum_reservations(core::TimePoint now);
  [[nodiscard]] Credit grant(const Demand& demand, core::TimePoint now);
  void record_report(const std::string& member, const Report& report, core::TimePoint now);
  void update_control(core::TimePoint now);
  void restart(core::TimePoint now);

  CoordinatorOptions options_;
  std::unordered_map<std::string, Bucket> buckets_;
  std::map<std::string, Member> members_;
  core::TimePoint started_;
  core::TimePoint summed_;
  core::TimePoint last_report_;
  bool established_ = false;
  /// Share of the known daemons that have not reported since the start; what they admit is unknown.
  double unheard_share_ = 0;
};

}  // namespace damaskthread::quota

#endif  // DAMASKTHREAD_QUOTA_COORDINATOR_H_
