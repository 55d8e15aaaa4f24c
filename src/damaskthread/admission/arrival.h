#ifndef DAMASKTHREAD_ADMISSION_ARRIVAL_H_
#define DAMASKTHREAD_ADMISSION_ARRIVAL_H_

/// @file
/// @brief Inputs and results of admission control.

#include <cstdint>

#include "damaskthread/admission/fwd.h"
#include "damaskthread/core/types.h"
#include "damaskthread/core/verdict.h"

namespace damaskthread::admission {

/// Handle of an admitted or queued call. Operations ignore stale tickets.
struct Ticket {
  std::uint64_t value = 0;
  bool operator==(const Ticket&) const = default;
};

/// Attributes of an arriving call that admission depends on.
struct Arrival {
  core::Importance importance = core::Importance::kNormal;
  /// Hash of the root request id.
  std::uint64_t request_hash = 0;
  int depth = 0;
  core::TimePoint deadline;
  /// The call belongs to a request for which upstream services have already done work.
  bool continued = false;
};

enum class AdmissionResult : std::uint8_t { kStarted, kQueued, kRefused };

struct AdmissionDecision {
  AdmissionResult admission = AdmissionResult::kRefused;
  /// Valid unless refused.
  Ticket ticket;
  /// Set if refused.
  core::Verdict verdict;
};

enum class QueueEventKind : std::uint8_t { kStarted, kDropped };

/// A queued call has started or was dropped.
struct QueueEvent {
  QueueEventKind kind = QueueEventKind::kStarted;
  Ticket ticket;
  /// Set if dropped.
  core::Verdict verdict;
};

/// Result of a finished call.
struct CallResult {
  /// Time from start to end.
  core::Duration latency{0};
  /// Part of the latency spent waiting for downstream calls.
  core::Duration downstream_time{0};
  /// Whether the server answered. False after a crash, a lost connection or a refusal by the server.
  bool ok = true;
  /// The server refused the call because of overload.
  bool refused = false;
};

}  // namespace damaskthread::admission

#endif  // DAMASKTHREAD_ADMISSION_ARRIVAL_H_
