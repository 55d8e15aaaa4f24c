#ifndef DAMASKTHREAD_MESH_CLOCK_H_
#define DAMASKTHREAD_MESH_CLOCK_H_

/// @file
/// @brief Clock that includes the time for which the VM was suspended.

#include "damaskthread/core/types.h"

namespace damaskthread::mesh {

/// @brief Returns the time since the VM booted, including suspensions. The monotonic clock stops during a suspension,
/// so that deadlines and leases measured by it would expire too late.
[[nodiscard]] core::TimePoint now() noexcept;

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_CLOCK_H_
