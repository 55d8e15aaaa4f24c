#ifndef DAMASKTHREAD_ADMISSION_SERVER_ADMISSION_H_
#define DAMASKTHREAD_ADMISSION_SERVER_ADMISSION_H_

/// @file
/// @brief Decides which calls of one server start, wait or are refused.

#include <vector>

#include "damaskthread/admission/arrival.h"
#include "damaskthread/admission/fwd.h"
#include "damaskthread/admission/internal/call_queue.h"
#include "damaskthread/admission/internal/threshold_control.h"
#include "damaskthread/admission/level.h"
#include "damaskthread/core/types.h"
#include "damaskthread/limit/adaptive_limit.h"

namespace damaskthread::admission {

struct AdmissionOptions {
  /// `limit.slots` is the declared number of slots.
  limit::AdaptiveLimitOptions limit;
  /// Most calls that wait; zero means twice the slots.
  int queue_capacity = 0;
  core::Duration max_queue_wait = std::chrono::milliseconds{100};
  /// How often the threshold is recomputed.
  core::Duration window = std::chrono::milliseconds{100};
  /// Expected wait above which the newest call is served first: the oldest are then likely to expire anyway.
  core::Duration newest_first_above = std::chrono::milliseconds{50};
  /// Bounds of the wait that a refusal asks for, before jitter.
  core::Duration retry_after_min = std::chrono::milliseconds{100};
  core::Duration retry_after_max = std::chrono::seconds{1};
};

/// Counts since construction.
struct AdmissionCounters {
  std::uint64_t started = 0;
  std::uint64_t queued = 0;
  std::uint64_t refused_level = 0;
  std::uint64_t refused_full = 0;
  std::uint64_t refused_deadline = 0;
  std::uint64_t refused_leaving = 0;
  std::uint64_t displaced = 0;
  std::uint64_t expired = 0;
};

/// @brief Admission at one server. Not safe for several threads at once. Allocates only when constructed.
///
/// Queue events are appended to a vector of the caller, who reserves room for them.
class ServerAdmission {
 public:
  explicit ServerAdmission(const AdmissionOptions& options);

  /// @brief Decides on a call.
  /// @param arrival The call.
  /// @param now The time.
  /// @param events A less important queued call that this one displaces is appended as dropped.
  /// @return Whether the call starts, waits or is refused.
  [[nodiscard]] Decision arrive(const Arrival& arrival, core::TimePoint now, std::vector<QueueEvent>& events);

  /// @brief Ends a running call. Tickets that now start or are dropped are appended to `events`.
  void finish(Ticket ticket, const CallResult& result, core::TimePoint now, std::vector<QueueEvent>& events);

  /// @brief Takes back a call whose caller has gone. A queued call leaves the queue; a running call keeps its place
  /// until `finish`, because its server still works on it.
  /// @return Whether the call was queued and has not run.
  bool cancel(Ticket ticket, core::TimePoint now, std::vector<QueueEvent>& events);

  /// @brief Drops what has waited too long and recomputes the threshold; to be called every 10 ms or so.
  void tick(core::TimePoint now, std::vector<QueueEvent>& events);

  /// @brief Refuses new calls from now on; running and queued calls finish.
  void begin_drain() noexcept { draining_ = true; }
  [[nodiscard]] bool draining() const noexcept { return draining_; }
  [[nodiscard]] bool idle() const noexcept { return running_ == 0 && queue_.size() == 0; }

  /// @brief Threshold in force, to be carried on answers.
  [[nodiscard]] Level level() const noexcept { return control_.threshold(); }
  [[nodiscard]] int limit() const noexcept { return limit_.limit(); }
  [[nodiscard]] int running() const noexcept { return running_; }
  [[nodiscard]] int queued() const noexcept { return queue_.size(); }
  /// @brief Time that three in four calls take at least; used to refuse calls that cannot meet their deadline.
  [[nodiscard]] core::Duration service_estimate() const noexcept;
  [[nodiscard]] const AdmissionCounters& counters() const noexcept { return counters_; }

 private:
  [[nodiscard]] Decision refuse(const Arrival& arrival, core::Cause cause) const noexcept;
  [[nodiscard]] core::Duration retry_after(std::uint64_t request_hash) const noexcept;
  [[nodiscard]] bool hopeless(const Arrival& arrival, core::Duration wait, core::TimePoint now) const noexcept;
  [[nodiscard]] core::Duration expected_wait(int ahead) const noexcept;
  [[nodiscard]] bool newest_first() const noexcept;
  [[nodiscard]] Decision enqueue(const Arrival& arrival, core::TimePoint now, std::vector<QueueEvent>& events);
  void drop(std::int32_t index, core::Cause cause, std::vector<QueueEvent>& events);
  void start_queued(core::TimePoint now, std::vector<QueueEvent>& events);
  void drop_expired(core::TimePoint now, std::vector<QueueEvent>& events);
  void lost(const Arrival& arrival) noexcept;
  /// Adds the slots in use since the last change to the integral of the window.
  void account(core::TimePoint now) noexcept;
  void close_window(core::TimePoint now) noexcept;
  void observe_service_time(double latency) noexcept;

  AdmissionOptions options_;
  limit::AdaptiveLimit limit_;
  internal::ThresholdControl control_;
  internal::CallQueue queue_;
  AdmissionCounters counters_;
  int running_ = 0;
  bool draining_ = false;
  bool started_ = false;
  bool critical_lost_ = false;
  int completions_ = 0;
  double busy_ = 0;
  core::TimePoint accounted_;
  core::TimePoint window_start_;
  /// Lower quartile of the latency in seconds; zero until measured.
  double quartile_ = 0;
};

}  // namespace damaskthread::admission

#endif  // DAMASKTHREAD_ADMISSION_SERVER_ADMISSION_H_
