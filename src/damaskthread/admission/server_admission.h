#ifndef DAMASKTHREAD_ADMISSION_SERVER_ADMISSION_H_
#define DAMASKTHREAD_ADMISSION_SERVER_ADMISSION_H_

/// @file
/// @brief Admission control of one server: starts, queues or refuses calls.

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
  /// `limit.slots` is the declared concurrency of the server.
  limit::AdaptiveLimitOptions limit;
  /// Maximum queue length; zero means twice the slots.
  int queue_capacity = 0;
  core::Duration max_queue_wait = std::chrono::milliseconds{100};
  /// Interval at which the threshold is recomputed.
  core::Duration window = std::chrono::milliseconds{100};
  /// Expected wait above which the queue is served newest first, since the oldest calls are likely to expire.
  core::Duration newest_first_wait = std::chrono::milliseconds{50};
  /// Bounds of the retry delay of a refusal, before jitter.
  core::Duration retry_after_min = std::chrono::milliseconds{100};
  core::Duration retry_after_max = std::chrono::seconds{1};
};

/// Event counts since construction.
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

/// @brief Admission control of one server. Not thread-safe. Allocates memory only in the constructor.
///
/// Queue events are appended to a vector passed by the caller, who reserves its capacity.
class ServerAdmission {
 public:
  explicit ServerAdmission(const AdmissionOptions& options);

  /// @brief Decides whether a call starts, waits or is refused.
  /// @param arrival The call.
  /// @param now The time.
  /// @param events Receives queued calls that start, and the less important call that this one displaces.
  /// @return The decision.
  [[nodiscard]] AdmissionDecision admit(const Arrival& arrival, core::TimePoint now, std::vector<QueueEvent>& events);

  /// @brief Ends a running call. Queued calls that start or are dropped as a result are appended to `events`.
  void finish(Ticket ticket, const CallResult& result, core::TimePoint now, std::vector<QueueEvent>& events);

  /// @brief Cancels a call whose caller has disconnected. A queued call is removed; a running call keeps its slot until
  /// `finish`, because the server is still working on it.
  /// @return True if the call was queued and therefore has not run.
  bool cancel(Ticket ticket, core::TimePoint now, std::vector<QueueEvent>& events);

  /// @brief Drops expired calls and recomputes the threshold. Call about every 10 ms.
  void tick(core::TimePoint now, std::vector<QueueEvent>& events);

  /// @brief Refuses new calls from now on. Running and queued calls are completed.
  void begin_drain() noexcept { draining_ = true; }
  [[nodiscard]] bool draining() const noexcept { return draining_; }
  [[nodiscard]] bool idle() const noexcept { return running_ == 0 && queue_.size() == 0; }

  /// @brief Current threshold, reported in answers.
  [[nodiscard]] Level level() const noexcept { return control_.threshold(); }
  [[nodiscard]] int limit() const noexcept { return limit_.limit(); }
  [[nodiscard]] int running() const noexcept { return running_; }
  [[nodiscard]] int queued() const noexcept { return queue_.size(); }
  /// @brief Lower quartile of the latency, used to refuse calls that cannot meet their deadline.
  [[nodiscard]] core::Duration service_estimate() const noexcept;
  [[nodiscard]] const AdmissionCounters& counters() const noexcept { return counters_; }

 private:
  [[nodiscard]] AdmissionDecision refuse(const Arrival& arrival, core::Cause cause) const noexcept;
  [[nodiscard]] core::Duration retry_after(std::uint64_t request_hash) const noexcept;
  [[nodiscard]] bool misses_deadline(const Arrival& arrival, core::Duration wait, core::TimePoint now) const noexcept;
  [[nodiscard]] core::Duration expected_wait(int ahead) const noexcept;
  [[nodiscard]] bool newest_first() const noexcept;
  [[nodiscard]] AdmissionDecision enqueue(const Arrival& arrival, core::TimePoint now, std::vector<QueueEvent>& events);
  void drop(std::int32_t index, core::Cause cause, std::vector<QueueEvent>& events);
  void start_queued(core::TimePoint now, std::vector<QueueEvent>& events);
  void drop_expired(core::TimePoint now, std::vector<QueueEvent>& events);
  void record_critical_refusal(const Arrival& arrival) noexcept;
  /// Integrates the utilization of the concurrency limit since the last update.
  void update_busy_time(core::TimePoint now) noexcept;
  void close_window(core::TimePoint now) noexcept;
  void update_latency_quartile(double latency) noexcept;

  AdmissionOptions options_;
  limit::AdaptiveLimit limit_;
  internal::ThresholdControl control_;
  internal::CallQueue queue_;
  AdmissionCounters counters_;
  int running_ = 0;
  bool draining_ = false;
  bool started_ = false;
  bool critical_refused_ = false;
  int completions_ = 0;
  double busy_seconds_ = 0;
  core::TimePoint busy_updated_;
  core::TimePoint window_start_;
  /// Lower quartile of the latency in seconds; zero before the first answer.
  double latency_quartile_ = 0;
};

}  // namespace damaskthread::admission

#endif  // DAMASKTHREAD_ADMISSION_SERVER_ADMISSION_H_
