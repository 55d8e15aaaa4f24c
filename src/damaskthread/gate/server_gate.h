#ifndef DAMASKTHREAD_GATE_SERVER_GATE_H_
#define DAMASKTHREAD_GATE_SERVER_GATE_H_

/// @file
/// @brief Admission control for the local server: concurrency slots, queue order and refusals.

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/gate/demand_meter.h"

namespace damaskthread::gate {

/// Identifies one request at the gate.
struct Ticket {
  std::uint64_t value = 0;
  auto operator<=>(const Ticket&) const = default;
};

/// A request that asks for a slot.
struct Arrival {
  Ticket ticket;
  /// Priority of its route; 0 is the most important.
  int priority = 0;
  /// Sent by a running request; refusing it would waste the work already done for that request.
  bool nested = false;
  /// Requests of the same kind are expected to have similar run times.
  std::string kind;
  core::TimePoint deadline;
  /// Maximum queueing time; a request that has not started by then is refused.
  core::Duration max_wait{0};
};

/// Load of the server, as reported to the other daemons.
struct Load {
  int limit = 0;    ///< Maximum number of concurrent requests.
  int running = 0;  ///< Requests that are running.
  int queued = 0;   ///< Requests that are queued at the gate.
  /// Mean run time.
  core::Duration run_time{0};
  /// Offered load in slots; exceeds `limit` during an overload.
  double demand = 0;
  /// How long work takes on the server's VM at this moment, relative to the usual time.
  double work_time = 1;
  /// Share of `limit` that should be used while the server ramps up; it steers placement and refuses nothing.
  double pace = 1;
};

enum class Admission : std::uint8_t { kStart, kEnqueue, kRefuse };

struct GateOptions {
  /// Share of the declared capacity that is used. Servers that slow down near full utilization do so above about 0.95.
  double usable_capacity_share = 0.95;
  /// Weight of a new sample in the mean run time of a kind.
  double smoothing = 0.1;
  /// A request is refused if its remaining time is below this share of the mean run time of its kind, since it would
  /// not finish.
  double min_run_time_share = 0.5;
  /// Number of priorities by which the queue is ordered; less important ones are equal to the last.
  int queue_priorities = 3;
};

/// @brief Owns the slots of one server. All requests to the server pass through it, so that the server never receives
/// more requests than it can run: an overloaded server may stop responding entirely.
///
/// Load patterns: a surge that outlasts the queue (arrivals whose expected wait exceeds their maximum wait are refused
/// immediately, while the caller can still use the answer), a mix of new requests and nested calls (nested calls go
/// first, since their parents hold slots upstream), a mix of priorities (the most important go first), a server that
/// rejects part of its requests although slots are free (its demand shrinks, so that the entrance admits requests that
/// it may serve).
class ServerGate {
 public:
  explicit ServerGate(const GateOptions& options = {}) noexcept : options_(options) {}

  /// @brief Sets the number of concurrent requests that the server declares.
  void set_capacity(int capacity) noexcept { capacity_ = capacity; }
  /// @brief Sets the number of requests that occupy the server but are no longer tracked by this gate.
  void set_untracked_requests(int requests) noexcept { untracked_requests_ = requests; }

  /// @brief Sets how long work takes on the server's VM now, relative to the usual time.
  void set_work_time(double work_time) noexcept { work_time_ = work_time; }

  /// @brief Admits, queues or refuses a new request. `kStart` occupies a slot.
  [[nodiscard]] Admission arrive(const Arrival& arrival, core::TimePoint now);
  /// @brief Assigns free slots to queued requests and refuses those whose maximum wait has expired.
  /// @param now Current time.
  /// @param start Receives the tickets that were assigned a slot (appended).
  /// @param refuse Receives the tickets that left the queue without running (appended).
  void advance(core::TimePoint now, std::vector<Ticket>& start, std::vector<Ticket>& refuse);
  /// @brief Releases the slot of a finished request.
  /// @param kind Kind of the request.
  /// @param run_time Run time; zero if it is not representative of its kind.
  void finish(const std::string& kind, core::Duration run_time);
  /// @brief Releases the slot of a request that the server rejected. If slots are free, the server did not reject it
  /// for lack of capacity, and it does not count as demand: it occupied nothing.
  void reject(const std::string& kind, core::TimePoint now);
  /// @brief Removes a request from the queue.
  /// @return Whether the request was queued.
  bool withdraw(Ticket ticket);
  /// @brief Empties the queue when the server stops accepting requests.
  void withdraw_all(std::vector<Ticket>& refuse);

  [[nodiscard]] Load load(core::TimePoint now) const noexcept;
  [[nodiscard]] int limit() const noexcept;
  [[nodiscard]] int running() const noexcept { return running_; }

 private:
  // Nested calls first, then by priority, then in order of arrival.
  struct QueueKey {
    bool top_level;
    int priority;
    std::uint64_t arrival_number;
    auto operator<=>(const QueueKey&) const = default;
  };
  struct QueuedRequest {
    Ticket ticket;
    core::TimePoint expires_at;
  };

  [[nodiscard]] core::Duration mean_run_time(const std::string& kind) const noexcept;
  /// Number of queued requests that precede a new one with this key.
  [[nodiscard]] int count_ahead(const QueueKey& key) const noexcept;

  GateOptions options_;
  int capacity_ = 0;
  double work_time_ = 1;
  int untracked_requests_ = 0;
  int running_ = 0;
  DemandMeter demand_;
  std::uint64_t next_arrival_number_ = 0;
  std::map<QueueKey, QueuedRequest> queue_;
  std::unordered_map<std::string, double> mean_run_seconds_by_kind_;
  double mean_run_seconds_ = 0;
};

}  // namespace damaskthread::gate

#endif  // DAMASKTHREAD_GATE_SERVER_GATE_H_
