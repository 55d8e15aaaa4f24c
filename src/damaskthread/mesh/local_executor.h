#ifndef DAMASKTHREAD_MESH_LOCAL_EXECUTOR_H_
#define DAMASKTHREAD_MESH_LOCAL_EXECUTOR_H_

/// @file
/// @brief Executes all requests that reach the local server, from this daemon and from others.

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/gate/server_gate.h"
#include "damaskthread/gate/server_lifecycle.h"
#include "damaskthread/gate/server_load.h"
#include "damaskthread/mesh/adapter.h"
#include "damaskthread/mesh/event_log.h"
#include "damaskthread/mesh/server_connections.h"
#include "damaskthread/mesh/settings.h"
#include "damaskthread/pace/ramp_up.h"
#include "damaskthread/peer/message.h"
#include "damaskthread/quarantine/crash_counter.h"
#include "damaskthread/retry/call_progress.h"
#include "damaskthread/retry/repeat_budget.h"

namespace damaskthread::mesh {

/// Identifies a request sent to an executor, unique over all daemons.
struct RunKey {
  core::Incarnation sender;
  std::uint64_t stream = 0;
  auto operator<=>(const RunKey&) const = default;
};

/// @brief Executes requests at the local server, each non-idempotent one at most once. Its key is kept from arrival
/// until well after the end, a refused key stays refused, and a sender whose connection broke can ask for the result.
class LocalExecutor {
 public:
  using Reply = std::function<void(const peer::Result&)>;

  struct Hooks {
    /// The server's state or identity changed.
    std::function<void()> changed;
    std::function<void(const quarantine::CrashReport&)> crashed;
    /// Path of a service's health check; empty while unknown.
    std::function<std::string(const std::string& service)> health_path;
    /// Number of servers of the service; the repeat budget is divided among them.
    std::function<int(const std::string& service)> servers;
  };

  LocalExecutor(boost::asio::io_context& io, const Adapter& adapter, const MeshSettings& settings, EventLog& log,
                quarantine::CrashCounter& tally, Hooks hooks);

  /// @brief Executes or refuses a request.
  /// @param reply Called once with the result, possibly from within this call; dropped by `detach`.
  void execute(core::Incarnation sender, peer::Execute execute, Reply reply);
  /// @brief Aborts a request whose sender no longer waits for it.
  void cancel(RunKey key);
  /// @brief Replies with the result of a request, now if it has ended, otherwise when it ends. A request that has not
  /// arrived yet does not run any more, even if it arrives later.
  void resume(RunKey key, bool idempotent, Reply reply);
  /// @brief Called when a sender's connection broke; its requests are kept for a short time for `resume`.
  void detach(core::Incarnation sender);

  /// @brief Handles a heartbeat.
  /// @return Whether it is from the local server; otherwise it has no effect.
  [[nodiscard]] bool on_heartbeat(const gate::ServerHeartbeat& announcement);
  /// @brief Handles a deregistration of the local server.
  void on_deregistration(const std::string& server_id);
  /// @brief Restores from the store that a server had announced its departure.
  void remember_leave(const gate::ServerIncarnation& server);
  /// @brief Changes the server's service and address.
  void set_local_server(const std::string& service, const settings::Endpoint& endpoint);
  /// @brief Refuses new and queued requests from now on; running ones are completed.
  void stop_accepting();

  /// @brief Starts deferred and queued requests, ends expired ones and probes an unverified server.
  void tick(core::TimePoint now);

  /// Attributes that a nested call inherits from the request that made it.
  struct ParentRequest {
    std::string kind;
    int priority = 0;
    bool repeat = false;
    /// Expected number of calls that the call tree still has to make, the next one included.
    int calls_left = 1;
  };
  /// @brief Finds the request with an attempt id that is running at the server, or may still be although its sender has
  /// left or its response was lost.
  [[nodiscard]] std::optional<ParentRequest> find_parent(std::string_view attempt_id) const;
  /// @brief Whether the server may be running requests of a former process of this daemon, which are not known.
  [[nodiscard]] bool may_run_unknown(core::TimePoint now) const noexcept;

  /// @brief Records that a nested call of a running request was served.
  void record_served_call(std::string_view attempt_id);
  /// @brief Records that a nested call of a running request was refused for lack of capacity.
  void record_refused_call(std::string_view attempt_id);

  [[nodiscard]] gate::ServerState server_state(core::TimePoint now) const { return life_.state(now); }
  [[nodiscard]] bool accepts_requests(core::TimePoint now) const;
  [[nodiscard]] const gate::ServerLifecycle& life() const noexcept { return life_; }
  [[nodiscard]] gate::Load load(core::TimePoint now) const noexcept;
  [[nodiscard]] std::size_t active() const noexcept { return runs_.size(); }

 private:
  struct Run {
    RunKey key;
    peer::Execute execute;
    Reply reply;
    core::TimePoint arrived;
    core::TimePoint deadline;
    core::TimePoint started;
    core::TimePoint detached_at;
    std::uint64_t fingerprint = 0;
    std::shared_ptr<HttpConnection> connection;
    bool running = false;
    bool detached = false;
    bool resent = false;
    /// A nested call was refused for lack of capacity.
    bool call_refused = false;
    /// Nested calls that were served.
    int served_calls = 0;
  };
  struct RetainedResult {
    core::TimePoint expires_at;
    peer::Result result;
  };
  struct AbandonedRun {
    core::TimePoint expires_at;
    ParentRequest request;
  };
  using RunPointer = std::shared_ptr<Run>;

  /// Why the server must not get a request now.
  /// @return `kNone` if it may.
  [[nodiscard]] core::Cause refusal_cause(const Run& run, core::TimePoint now) const;
  void admit(const RunPointer& run, core::TimePoint now);
  /// Charges a repeat of a request to the repeat budget.
  /// @return Whether the budget allows it.
  [[nodiscard]] bool consume_repeat_budget(const Run& run, core::TimePoint now);
  /// Hash of the attempt id at the root of the call tree, scaled to [0, 1).
  [[nodiscard]] double root_hash_fraction(const peer::Execute& execute) const;
  void start(const RunPointer& run, core::TimePoint now);
  void send(const RunPointer& run, core::TimePoint now);
  void on_exchange(const RunPointer& run, ExchangeResult&& exchange);
  [[nodiscard]] peer::Result classify_exchange(const Run& run, ExchangeResult&& exchange, core::TimePoint now);
  /// Takes over the load that the server reports in a response.
  void update_server_load(const http::Response& response);
  /// Whether a server started so recently that it is ramped up.
  [[nodiscard]] static bool is_recent_start(const gate::ServerHeartbeat& heartbeat);
  void start_ramp(const gate::ServerHeartbeat& heartbeat, core::TimePoint now);
  /// Whether the settings or the server ask for ramps.
  [[nodiscard]] bool ramps_up() const noexcept;
  void refuse(const RunPointer& run, core::Cause cause);
  void end(const RunPointer& run, peer::Result result);
  void retain_result(RunKey key, peer::Result result);
  [[nodiscard]] ParentRequest parent_request(const Run& run) const;
  /// Keeps what calls of a run inherit, since the server may work on it until its deadline.
  void retain_abandoned(const Run& run, core::TimePoint now);
  void stop_run(const RunPointer& run, core::Cause cause);
  void apply_server_state(core::TimePoint now);
  void start_queued(core::TimePoint now);
  void record_lost_request(std::uint64_t fingerprint, core::TimePoint now);
  void report_crash(core::TimePoint now);
  void probe_server(core::TimePoint now);
  [[nodiscard]] core::Duration transit_time(core::Incarnation sender, core::TimePoint sent, core::TimePoint now);
  [[nodiscard]] RunPointer find(RunKey key) const;

  boost::asio::io_context& io_;
  const Adapter& adapter_;
  MeshSettings settings_;
  EventLog& log_;
  quarantine::CrashCounter& tally_;
  Hooks hooks_;
  gate::ServerLifecycle life_;
  gate::ServerGate gate_;
  pace::RampUp ramp_up_;
  /// The server reports the work time of its VM.
  bool reports_work_time_ = false;
  /// Time of the last report of the work time.
  core::TimePoint work_time_reported_at_;
  retry::RepeatBudget budget_;
  retry::CallProgress progress_;
  ServerConnections connections_;
  gate::ServerState applied_state_ = gate::ServerState::kUnknown;
  std::optional<gate::ServerIncarnation> applied_departure_;
  bool stopping_ = false;
  core::TimePoint started_;

  std::map<RunKey, RunPointer> runs_;
  std::map<std::string, RunPointer, std::less<>> running_attempts_;
  std::map<std::string, AbandonedRun, std::less<>> abandoned_runs_;
  /// Queued runs by ticket.
  std::unordered_map<std::uint64_t, RunPointer> queued_runs_;
  std::uint64_t next_ticket_ = 1;
  /// Results of non-idempotent requests that ended or were refused, kept for `resume` and to reject duplicates.
  std::map<RunKey, RetainedResult> retained_results_;
  std::size_t retained_bytes_ = 0;
  /// Arrivals deferred until everything received during a suspension has been read.
  std::vector<RunPointer> deferred_runs_;
  core::TimePoint defer_until_;
  core::TimePoint last_tick_;

  struct LostRequest {
    std::uint64_t fingerprint;
    core::TimePoint time;
  };
  std::vector<LostRequest> lost_requests_;
  /// Smallest observed difference between receive and send time by sender: clock offset plus shortest transit.
  std::unordered_map<std::uint64_t, core::Duration> clock_offsets_;
  std::shared_ptr<HttpConnection> probe_;
  core::TimePoint next_probe_;
  core::TimePoint probe_deadline_;
  /// Smoothed number of requests at the server that this executor did not send.
  double untracked_requests_ = 0;
};

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_LOCAL_EXECUTOR_H_
