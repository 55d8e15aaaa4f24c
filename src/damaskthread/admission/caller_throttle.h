#ifndef DAMASKTHREAD_ADMISSION_CALLER_THROTTLE_H_
#define DAMASKTHREAD_ADMISSION_CALLER_THROTTLE_H_

/// @file
/// @brief Client-side throttling: refuses requests that the called service would refuse anyway.

#include <atomic>
#include <cstdint>
#include <vector>

#include "damaskthread/admission/arrival.h"
#include "damaskthread/admission/fwd.h"
#include "damaskthread/admission/level.h"
#include "damaskthread/core/types.h"

namespace damaskthread::admission {

struct CallerThrottleOptions {
  /// Number of tracked service ids. Requests to larger ids are always admitted. The target size is 230 services.
  std::uint32_t services = 1024;
  /// Time constant of the moving average over the levels reported by a service's servers.
  core::Duration smoothing_time = std::chrono::milliseconds{30};
  /// Time without a report after which the level starts to decay.
  core::Duration decay_delay = std::chrono::milliseconds{200};
  /// Time in which the maximum level decays to zero once `decay_delay` has passed.
  core::Duration decay_time = std::chrono::seconds{1};
};

/// @brief Tracks the admission threshold that each service reports in its answers. Thread-safe; one atomic per service.
///
/// The level is the mean of the levels reported by the service's servers. The maximum would leave less loaded servers
/// idle.
class CallerThrottle {
 public:
  explicit CallerThrottle(const CallerThrottleOptions& options = {});

  /// @brief Whether a request should be sent, given its level.
  [[nodiscard]] bool admits(core::ServiceId service, const Arrival& arrival, core::TimePoint now) const noexcept;

  /// @brief Current threshold level of a service, after decay.
  [[nodiscard]] Level level(core::ServiceId service, core::TimePoint now) const noexcept;

  /// @brief Records the level reported in an answer. At most one report per service and millisecond is used.
  void observe(core::ServiceId service, Level level, core::TimePoint now) noexcept;

 private:
  [[nodiscard]] double decayed_level(std::uint64_t entry, core::TimePoint now) const noexcept;

  CallerThrottleOptions options_;
  std::vector<std::atomic<std::uint64_t>> entries_;
};

}  // namespace damaskthread::admission

#endif  // DAMASKTHREAD_ADMISSION_CALLER_THROTTLE_H_
