#ifndef DAMASKTHREAD_MESH_CLOCK_H_
#define DAMASKTHREAD_MESH_CLOCK_H_

/// @file
/// @brief The clock of the daemon.

#include "damaskthread/core/types.h"

namespace damaskthread::mesh {

/// @brief Time since the VM started, including the time for which it was suspended. The monotonic clock stands still
/// during a suspension; deadlines and leases measured by it would outlive their time.
[[nodiscard]] core::TimePoint now() noexcept;

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_CLOCK_H_
