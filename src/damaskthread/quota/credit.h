#ifndef DAMASKTHREAD_QUOTA_CREDIT_H_
#define DAMASKTHREAD_QUOTA_CREDIT_H_

/// @file
/// @brief What a daemon and the coordinator of the quotas tell each other.

#include <cstdint>
#include <string>
#include <vector>

namespace damaskthread::quota {

/// Credits that a daemon needs for the requests of one tenant.
struct Demand {
  std::string tenant;
  int wanted = 0;
  /// Further credits, wanted only while there are plenty: for requests that arrive now and then.
  int spare = 0;
  /// Earlier credits that were not used and have expired.
  int returned = 0;
  /// Credits that the sender still has.
  int held = 0;
  /// Requests per second that the sender may admit if it loses all coordinators; the others leave them to it.
  double reserved_per_second = 0;
};

/// Sent by each daemon at least every `LedgerOptions::report_interval`, also without any demand.
struct Report {
  std::uint64_t sequence = 0;
  /// Number of listed daemons, the sender included; zero if it has not read the list yet.
  std::uint32_t fleet_size = 0;
  std::vector<Demand> demands;
};

/// Credits for requests of one tenant; each permits one request.
struct Credit {
  std::string tenant;
  int credits = 0;
  /// The tenant is at its limit; more credits will not follow soon.
  bool exhausted = false;
};

/// Requests admitted, or credits granted, within some time.
struct Usage {
  std::string tenant;
  int count = 0;
  /// The quota; zero if the reporter does not know it.
  double rate_per_second = 0;
  double burst = 0;
};

/// The answer to a report.
struct Grant {
  std::uint64_t sequence = 0;
  /// At least half of the known daemons report to the sender, so that daemons may rely on what it grants.
  bool majority = false;
  std::vector<Credit> credits;
};

}  // namespace damaskthread::quota

#endif  // DAMASKTHREAD_QUOTA_CREDIT_H_
