#ifndef DAMASKTHREAD_ADMISSION_ARRIVAL_H_
#define DAMASKTHREAD_ADMISSION_ARRIVAL_H_

/// @file
/// @brief A call that asks for admission, and the answers to it.

#include <cstdint>

#include "damaskthread/admission/fwd.h"
#include "damaskthread/core/types.h"
#include "damaskthread/core/verdict.h"

namespace damaskthread::admission {

/// Handle of an admitted or queued call. A stale ticket is recognized and ignored.
struct Ticket {
  std::uint64_t value = 0;
  bool operator==(const Ticket&) const = default;
};

/// A call as it arrives at a server.
struct Arrival {
  core::Importance importance = core::Importance::kNormal;
  /// Hash of the root request's id.
  std::uint64_t request_hash = 0;
  int depth = 0;
  core::TimePoint deadline;
  /// The call continues a request that has already cost work upstream.
  bool continued = false;
};

enum class Admission : std::uint8_t { kStart, kQueued, kRefused };

struct Decision {
  Admission admission = Admission::kRefused;
  /// Valid unless refused.
  Ticket ticket;
  /// Set if refused.
  core::Verdict verdict;
};

enum class QueueEventKind : std::uint8_t { kStarted, kDropped };

/// What became of a queued call.
struct QueueEvent {
  QueueEventKind kind = QueueEventKind::kStarted;
  Ticket ticket;
  /// Set if dropped.
  core::Verdict verdict;
};

/// How a running call ended.
struct CallResult {
  /// From start to end.
  core::Duration latency{0};
  /// Part of the latency during which the call waited for its own calls to other services.
  core::Duration downstream{0};
  /// Whether the server answered; a crash, a cut connection or the server's own refusal is not an answer.
  bool ok = true;
  /// The server itself refused the call for overload.
  bool refused = false;
};

}  // namespace damaskthread::admission

#endif  // DAMASKTHREAD_ADMISSION_ARRIVAL_H_
