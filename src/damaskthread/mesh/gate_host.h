#ifndef DAMASKTHREAD_MESH_GATE_HOST_H_
#define DAMASKTHREAD_MESH_GATE_HOST_H_

/// @file
/// @brief Runs requests at the server beside the daemon, whoever sent them, and is the only one that does.

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
#include "damaskthread/mesh/adapter.h"
#include "damaskthread/mesh/event_log.h"
#include "damaskthread/mesh/server_connections.h"
#include "damaskthread/mesh/settings.h"
#include "damaskthread/peer/message.h"
#include "damaskthread/quarantine/crash_tally.h"
#include "damaskthread/retry/repeat_budget.h"

namespace damaskthread::mesh {

/// Names a request handed to a gate, over all daemons.
struct RunKey {
  core::Incarnation sender;
  std::uint64_t stream = 0;
  auto operator<=>(const RunKey&) const = default;
};

/// @brief A request that is not idempotent runs here at most once: it is known by its key from its arrival until long
/// after its end, a key that was refused stays refused, and a sender whose connection broke can ask what became of it.
class GateHost {
 public:
  using Reply = std::function<void(const peer::Result&)>;

  struct Hooks {
    /// The state or the identity of the server has changed.
    std::function<void()> changed;
    std::function<void(const quarantine::CrashReport&)> crashed;
    /// Path of a service's health check; empty if it is not known yet.
    std::function<std::string(const std::string& service)> health_path;
    /// Servers of the service, among which the budget of repeats is divided.
    std::function<int(const std::string& service)> servers;
  };

  GateHost(boost::asio::io_context& io, const Adapter& adapter, const MeshSettings& settings, EventLog& log,
           quarantine::CrashTally& tally, Hooks hooks);

  /// @brief Runs or refuses a request.
  /// @param reply Called once with the outcome, possibly from within this call; dropped by `detach`.
  void execute(core::Incarnation sender, peer::Execute execute, Reply reply);
  /// @brief Ends a request that nobody waits for any more.
  void cancel(RunKey key);
  /// @brief Answers what became of a request, or passes its outcome on when it ends.
  void resume(RunKey key, bool idempotent, Reply reply);
  /// @brief The connection of a sender broke: its requests wait for a short time to be asked for again.
  void detach(core::Incarnation sender);

  /// @brief Takes in a heartbeat of the server.
  void hear(const gate::ServerHeartbeat& announcement);
  /// @brief Takes in a deregistration.
  void depart(const std::string& server_id);
  /// @brief Remembers from the store that a server had announced its leave.
  void remember_leave(const std::string& server_id) { life_.restore_departed(server_id); }
  /// @brief Changes the server's address.
  void set_local_server(const http::Endpoint& endpoint) { connections_.set_endpoint(endpoint); }
  /// @brief Takes no new requests from now on; those that run are finished.
  void stop_taking();

  void tick(core::TimePoint now);

  /// What a call inherits from the request whose run made it.
  struct Parent {
    std::string kind;
    int priority = 0;
    bool repeat = false;
  };
  /// @brief The request that runs here under an attempt id.
  [[nodiscard]] std::optional<Parent> running_attempt(std::string_view attempt_id) const;

  /// @brief Notes that a call of a running request was turned away for lack of capacity.
  void note_refused_call(std::string_view attempt_id);

  [[nodiscard]] gate::ServerState server_state(core::TimePoint now) const { return life_.state(now); }
  [[nodiscard]] bool takes_requests(core::TimePoint now) const;
  [[nodiscard]] const gate::ServerLifecycle& life() const noexcept { return life_; }
  [[nodiscard]] gate::Load load(core::TimePoint now) const noexcept { return gate_.load(now); }
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
    /// A call that it made was turned away for lack of capacity.
    bool call_refused = false;
  };
  struct Ended {
    core::TimePoint forget_at;
    peer::Result result;
  };
  using RunPointer = std::shared_ptr<Run>;

  void arrive(const RunPointer& run, core::TimePoint now);
  /// Takes a repeat of a request from the budget.
  /// @return Whether the budget allows it.
  [[nodiscard]] bool take_repeat(const Run& run, core::TimePoint now);
  /// Lot of the request from outside that this one belongs to.
  [[nodiscard]] double lot_of(const peer::Execute& execute) const;
  void start(const RunPointer& run, core::TimePoint now);
  void send(const RunPointer& run, core::TimePoint now);
  void on_exchange(const RunPointer& run, ExchangeResult&& exchange);
  [[nodiscard]] peer::Result judge(const Run& run, ExchangeResult&& exchange, core::TimePoint now);
  void note_load(const http::Response& response);
  void refuse(const RunPointer& run, core::Cause cause);
  void end(const RunPointer& run, peer::Result result);
  void remember_end(RunKey key, peer::Result result);
  void stop_run(const RunPointer& run, core::Cause cause);
  void apply_state(core::TimePoint now);
  void advance(core::TimePoint now);
  void note_loss(std::uint64_t fingerprint, core::TimePoint now);
  void report_crash(core::TimePoint now);
  void verify_server(core::TimePoint now);
  [[nodiscard]] core::Duration transit(core::Incarnation sender, core::TimePoint sent, core::TimePoint now);
  [[nodiscard]] RunPointer find(RunKey key) const;

  boost::asio::io_context& io_;
  const Adapter& adapter_;
  MeshSettings settings_;
  EventLog& log_;
  quarantine::CrashTally& tally_;
  Hooks hooks_;
  gate::ServerLifecycle life_;
  gate::ServerGate gate_;
  retry::RepeatBudget budget_;
  ServerConnections connections_;
  gate::ServerState applied_state_ = gate::ServerState::kUnknown;
  bool stopping_ = false;

  std::map<RunKey, RunPointer> runs_;
  std::map<std::string, RunPointer, std::less<>> running_attempts_;
  /// Waiting runs by ticket.
  std::unordered_map<std::uint64_t, RunPointer> tickets_;
  std::uint64_t next_ticket_ = 1;
  /// Requests that are not idempotent and have ended or were refused.
  std::map<RunKey, Ended> ended_;
  std::size_t ended_bytes_ = 0;
  /// Arrivals held back until what else was received during a suspension has been read.
  std::vector<RunPointer> held_;
  core::TimePoint hold_until_;
  core::TimePoint last_tick_;

  struct Loss {
    std::uint64_t fingerprint;
    core::TimePoint time;
  };
  std::vector<Loss> losses_;
  /// Smallest difference seen between the clocks of this daemon and of a sender.
  std::unordered_map<std::uint64_t, core::Duration> clock_offsets_;
  std::shared_ptr<HttpConnection> probe_;
  core::TimePoint next_probe_;
  core::TimePoint probe_until_;
  double ghosts_ = 0;
};

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_GATE_HOST_H_
