#ifndef DAMASKTHREAD_ENGINE_NODE_H_
#define DAMASKTHREAD_ENGINE_NODE_H_

/// @file
/// @brief Shared state of all calls of one daemon. Performs no I/O, starts no threads and reads no clock.

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <shared_mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "damaskthread/admission/caller_throttle.h"
#include "damaskthread/admission/server_admission.h"
#include "damaskthread/core/mac.h"
#include "damaskthread/core/types.h"
#include "damaskthread/engine/call.h"
#include "damaskthread/engine/running_table.h"
#include "damaskthread/execution/outbound_token_table.h"
#include "damaskthread/execution/table.h"
#include "damaskthread/quarantine/crash_quarantine.h"
#include "damaskthread/resource/service_table.h"
#include "damaskthread/retry/ledger.h"
#include "damaskthread/retry/policy.h"
#include "damaskthread/retry/request_id.h"
#include "damaskthread/routing/router.h"

namespace damaskthread::engine {

struct NodeOptions {
  core::ServerId self;
  core::Incarnation incarnation;
  /// Service of the local server.
  std::string service;
  std::uint32_t zone = 0;
  std::uint32_t region = 0;
  core::MacKey key{};
  admission::AdmissionOptions admission;
  admission::CallerThrottleOptions caller_throttle{.services = 8192};
  retry::RetryBudgetOptions retry_ratio;
  routing::ServiceRouterOptions router;
  execution::ExecutionTableOptions execution;
  quarantine::QuarantineOptions quarantine;
  /// Time for which the issuing daemon remembers the id of a finished request in order to count repeats.
  core::Duration repeat_window = std::chrono::minutes(1);
};

/// State shared by all calls to one service.
struct ServiceState {
  ServiceState(const routing::ServiceRouterOptions& router_options, const retry::RetryBudgetOptions& ratio_options)
      : router(router_options), ratio(ratio_options) {}
  routing::ServiceRouter router;
  retry::RetryBudget ratio;
};

/// @brief State and decisions of one daemon. Thread-safe: admission at the local server is one critical section, other
/// state is sharded.
class Node {
 public:
  explicit Node(const NodeOptions& options);
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// @brief Replaces the service declarations.
  void set_services(std::shared_ptr<const resource::ServiceTable> services);
  [[nodiscard]] std::shared_ptr<const resource::ServiceTable> services() const;

  /// @brief Replaces the servers of one service. Call after each change and once per second.
  void set_servers(const std::string& service, std::span<const routing::ServerInfo> servers,
                   routing::CallerCounts callers, core::TimePoint now);
  /// @brief State of a service, or null if it has never had servers.
  [[nodiscard]] std::shared_ptr<ServiceState> service(std::string_view name) const;
  [[nodiscard]] std::vector<std::string> service_names() const;

  /// @brief Expires queued calls and marks and updates thresholds. Call about every 10 ms.
  /// @param now The time.
  /// @param events Receives queue events; the host passes each one to the call with that ticket.
  void tick(core::TimePoint now, std::vector<admission::QueueEvent>& events);

  /// @brief Refuses new calls with cause `leaving`. Running and queued calls are completed.
  void begin_drain();
  [[nodiscard]] bool draining() const noexcept { return draining_.load(std::memory_order_relaxed); }
  /// @brief Whether the local server has no running or queued calls.
  [[nodiscard]] bool idle() const;

  /// @brief Issues an execution token for a request at the local server.
  /// @return The token as text, or `std::nullopt` if the node is draining or at capacity. The call has not run.
  [[nodiscard]] std::optional<std::string> issue_token(std::uint64_t fingerprint, core::TimePoint now);

  /// @brief Counts a repeat of a request id issued by this daemon, on behalf of another daemon.
  /// @param request_id The id as text.
  /// @param now The time.
  /// @return Retry allowance of the repeat, or `std::nullopt` if the repeat is refused.
  [[nodiscard]] std::optional<int> confirm_repeat(std::string_view request_id, core::TimePoint now);

  /// @brief Marks the calls that were running when the local server process exited as suspects.
  void server_crashed(core::TimePoint now);
  [[nodiscard]] std::vector<quarantine::CrashMark> crash_marks_to_send(core::TimePoint now);
  void merge_crash_marks(std::span<const quarantine::CrashMark> marks, core::TimePoint now);

  /// State of the local server for status reports.
  struct LocalStatus {
    int limit = 0;
    int running = 0;
    int queued = 0;
    admission::Level level;
    admission::AdmissionCounters counters;
    int crash_marks = 0;
  };
  [[nodiscard]] LocalStatus local_status() const;
  [[nodiscard]] const NodeOptions& options() const noexcept { return options_; }
  [[nodiscard]] const RunningTable& running() const noexcept { return running_; }

 private:
  friend class OutboundCall;
  friend class InboundCall;

  [[nodiscard]] quarantine::Treatment treatment(std::uint64_t fingerprint, core::TimePoint now);

  NodeOptions options_;
  std::atomic<bool> draining_{false};

  mutable std::shared_mutex services_mutex_;
  std::shared_ptr<const resource::ServiceTable> services_;
  std::map<std::string, std::shared_ptr<ServiceState>, std::less<>> service_states_;

  mutable std::mutex admission_mutex_;
  admission::ServerAdmission admission_;

  mutable std::mutex quarantine_mutex_;
  quarantine::CrashQuarantine quarantine_;
  std::uint64_t crashes_ = 0;

  admission::CallerThrottle caller_throttle_;
  RunningTable running_;
  retry::RetryLedger ledger_;
  retry::RequestIdGenerator minter_;
  retry::RepeatAuthorizer repeats_;
  execution::ExecutionTable executions_;
  execution::OutboundTokenTable onward_;
};

}  // namespace damaskthread::engine

#endif  // DAMASKTHREAD_ENGINE_NODE_H_
