#ifndef DAMASKTHREAD_OVERLAY_INTEREST_TABLE_H_
#define DAMASKTHREAD_OVERLAY_INTEREST_TABLE_H_

/// @file
/// @brief Tracks the services that a daemon sends requests to or depends on.

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "damaskthread/core/types.h"
#include "damaskthread/gate/server_gate.h"
#include "damaskthread/overlay/link_plan.h"

namespace damaskthread::overlay {

/// @brief Derives the interest of this daemon in each service from its recent requests and the load of the service.
class InterestTable {
 public:
  /// @brief Records that a request is sent to a service.
  void record_use(std::string_view service, core::TimePoint now);
  /// @brief Records that a request admitted here causes calls to a service.
  void record_observation(std::string_view service, core::TimePoint now);
  /// @brief Records the total load of the connected servers of a service.
  void record_load(std::string_view service, const gate::Load& total, core::TimePoint now);

  /// @return The services of interest, without those not used for `kExpiry`.
  [[nodiscard]] std::map<std::string, Interest, std::less<>> interests(core::TimePoint now) const;

  /// Time after the last use when a service is dropped.
  static constexpr core::Duration kExpiry = std::chrono::minutes{10};
  /// Time for which a service counts as saturated after it last was.
  static constexpr core::Duration kSaturationHold = std::chrono::seconds{10};
  /// Running and queued requests per slot at which a service is saturated.
  static constexpr double kSaturationThreshold = 0.85;

 private:
  struct Entry {
    core::TimePoint used_until;
    core::TimePoint observed_until;
    core::TimePoint saturated_until;
  };
  Entry& entry(std::string_view service);

  std::map<std::string, Entry, std::less<>> entries_;
};

}  // namespace damaskthread::overlay

#endif  // DAMASKTHREAD_OVERLAY_INTEREST_TABLE_H_
