#ifndef DAMASKTHREAD_ENGINE_NODE_H_
#define DAMASKTHREAD_ENGINE_NODE_H_

/// @file
/// @brief The decisions of one daemon: everything that its calls share. No I/O, no thread, no clock.

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

#include "damaskthread/admission/entrance_gate.h"
#include "damaskthread/admission/server_admission.h"
#include "damaskthread/core/mac.h"
#include "damaskthread/core/types.h"
#include "damaskthread/engine/call.h"
#include "damaskthread/engine/running_table.h"
#include "damaskthread/execution/onward.h"
#include "damaskthread/execution/table.h"
#include "damaskthread/quarantine/crash_quarantine.h"
#include "damaskthread/resource/service_table.h"
#include "damaskthread/retry/ledger.h"
#include "damaskthread/retry/minted_id.h"
#include "damaskthread/retry/policy.h"
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
  admission::GateOptions gate{.services = 8192};
  retry::RatioOptions retry_ratio;
  routing::ServiceRouterOptions router;
  execution::TableOptions execution;
  quarantine::QuarantineOptions quarantine;
  /// Time that the id of a finished request stays known at its home, so that repeats are counted.
  core::Duration repeat_window = std::chrono::minutes(1);
};

/// What the calls towards one service share.
struct ServiceState {
  ServiceState(const routing::ServiceRouterOptions& router_options, const retry::RatioOptions& ratio_options)
      : router(router_options), ratio(ratio_options) {}
  routing::ServiceRouter router;
  retry::RetryRatio ratio;
};

/// @brief One daemon's decisions. Thread-safe; admission at the local server is one critical section, the rest is
/// sharded.
class Node {
 public:
  explicit Node(const NodeOptions& options);
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// @brief Puts declarations in force.
  void set_services(std::shared_ptr<const resource::ServiceTable> services);
  [[nodiscard]] std::shared_ptr<const resource::ServiceTable> services() const;

  /// @brief Takes over the members of one service; to be called on each change and once per second.
  void set_servers(const std::string& service, std::span<const routing::ServerInfo> servers,
                   routing::CallerCounts callers, core::TimePoint now);
  /// @brief State of a service that has or had members, else null.
  [[nodiscard]] std::shared_ptr<ServiceState> service(std::string_view name) const;
  [[nodiscard]] std::vector<std::string> service_names() const;

  /// @brief Periodic work, every 10 ms or so: queue times, thresholds, expiry.
  /// @param now The time.
  /// @param events What became of queued calls; the host passes each event to the call that owns the ticket.
  void tick(core::TimePoint now, std::vector<admission::QueueEvent>& events);

  /// @brief Refuses new calls with cause `leaving`; what runs and waits is finished.
  void begin_drain();
  [[nodiscard]] bool draining() const noexcept { return draining_.load(std::memory_order_relaxed); }
  /// @brief Whether nothing runs or waits at the local server.
  [[nodiscard]] bool idle() const;

  /// @brief Issues a token for a request at the local server.
  /// @return Its text form, or nothing if the node is draining or has no room; the call did not run.
  [[nodiscard]] std::optional<std::string> issue_token(std::uint64_t fingerprint, core::TimePoint now);

  /// @brief Counts a repeat whose id this daemon minted, for another daemon.
  /// @param request_id Text form of the id.
  /// @param now The time.
  /// @return Allowance for the repeat's own retries, or nothing if the repeat is refused.
  [[nodiscard]] std::optional<int> confirm_repeat(std::string_view request_id, core::TimePoint now);

  /// @brief Accuses the calls that ran when the local server's process ended.
  void server_crashed(core::TimePoint now);
  [[nodiscard]] std::vector<quarantine::CrashMark> crash_news(core::TimePoint now);
  void merge_crash_marks(std::span<const quarantine::CrashMark> marks, core::TimePoint now);

  /// State of the local server for status pages.
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
  std::map<std::string, std::shared_ptr<ServiceState>, std::less<>> states_;

  mutable std::mutex admission_mutex_;
  admission::ServerAdmission admission_;

  mutable std::mutex quarantine_mutex_;
  quarantine::CrashQuarantine quarantine_;
  std::uint64_t crashes_ = 0;

  admission::EntranceGate gate_;
  RunningTable running_;
  retry::RetryLedger ledger_;
  retry::IdMinter minter_;
  retry::RepeatGuard repeats_;
  execution::ExecutionTable executions_;
  execution::OnwardTokens onward_;
};

}  // namespace damaskthread::engine

#endif  // DAMASKTHREAD_ENGINE_NODE_H_
