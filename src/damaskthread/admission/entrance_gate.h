#ifndef DAMASKTHREAD_ADMISSION_ENTRANCE_GATE_H_
#define DAMASKTHREAD_ADMISSION_ENTRANCE_GATE_H_

/// @file
/// @brief Refuses, at the caller's side, requests that the called service would refuse anyway.

#include <atomic>
#include <cstdint>
#include <vector>

#include "damaskthread/admission/arrival.h"
#include "damaskthread/admission/fwd.h"
#include "damaskthread/admission/level.h"
#include "damaskthread/core/types.h"

namespace damaskthread::admission {

struct GateOptions {
  /// Services with an id below this are gated, others are admitted. The target size is 230 services.
  std::uint32_t services = 1024;
  /// Time constant over which the levels of a service's servers are averaged.
  core::Duration smoothing = std::chrono::milliseconds{30};
  /// Silence after which the level starts to decay.
  core::Duration hold = std::chrono::milliseconds{200};
  /// Time in which any level decays to zero after `hold`.
  core::Duration decay = std::chrono::seconds{1};
};

/// @brief Keeps the level heard from each service on its answers. Safe to use from several threads; one atomic each.
///
/// The level is the mean of what the service's servers report: the highest of them would leave the others idle.
class EntranceGate {
 public:
  explicit EntranceGate(const GateOptions& options = {});

  /// @brief Whether a request of this arrival's level should be sent at all.
  [[nodiscard]] bool admits(core::ServiceId service, const Arrival& arrival, core::TimePoint now) const noexcept;

  /// @brief Level in force for a service, after decay.
  [[nodiscard]] Level level(core::ServiceId service, core::TimePoint now) const noexcept;

  /// @brief Takes in the level carried by an answer. At most one per millisecond and service is used.
  void heard(core::ServiceId service, Level level, core::TimePoint now) noexcept;

 private:
  [[nodiscard]] double decayed(std::uint64_t entry, core::TimePoint now) const noexcept;

  GateOptions options_;
  std::vector<std::atomic<std::uint64_t>> entries_;
};

}  // namespace damaskthread::admission

#endif  // DAMASKTHREAD_ADMISSION_ENTRANCE_GATE_H_
