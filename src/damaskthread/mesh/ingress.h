#ifndef DAMASKTHREAD_MESH_INGRESS_H_
#define DAMASKTHREAD_MESH_INGRESS_H_

/// @file
/// @brief Takes requests of callers and of the server beside the daemon, and sees each through to its answer.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/entrance/call_graph.h"
#include "damaskthread/entrance/throttle.h"
#include "damaskthread/mesh/adapter.h"
#include "damaskthread/mesh/event_log.h"
#include "damaskthread/mesh/fleet.h"
#include "damaskthread/mesh/gate_host.h"
#include "damaskthread/mesh/http_listener.h"
#include "damaskthread/metrics/registry.h"
#include "damaskthread/overlay/interest_table.h"
#include "damaskthread/placement/server_pool.h"
#include "damaskthread/retry/next_step.h"
#include "damaskthread/route/route_table.h"
#include "damaskthread/route/weighted_split.h"

namespace damaskthread::mesh {

class Ingress {
 public:
  struct Parts {
    const Adapter& adapter;
    EventLog& log;
    metrics::Registry& registry;
    placement::ServerPool& pool;
    entrance::CallGraph& graph;
    Fleet& fleet;
    GateHost& gate;
  };

  /// @param self Address of this daemon; names the local server in the pool.
  Ingress(Parts parts, std::string self, core::Incarnation incarnation);

  /// @brief Puts a configuration in force for the requests that come from now on.
  void set_table(std::shared_ptr<const route::RouteTable> table);
  /// @brief Services that requests are sent to from here, or that they lead to.
  [[nodiscard]] std::map<std::string, overlay::Interest, std::less<>> interests(core::TimePoint now);
  /// @brief Sets the service of the server beside the daemon, at which requests begin.
  void set_local_service(const std::string& service) { local_service_ = service; }

  /// @brief Handles a request.
  void handle(const std::shared_ptr<CallerRequest>& caller);
  void tick(core::TimePoint now);

  /// @brief Load and pressure of each service as this daemon sees them, for the log.
  [[nodiscard]] std::string describe_pressure() const;

  [[nodiscard]] std::size_t active() const noexcept { return exchanges_.size(); }
  [[nodiscard]] const std::shared_ptr<const route::RouteTable>& table() const noexcept { return table_; }

 private:
  // A request at a daemon.
  struct Placement {
    std::string endpoint;
    std::uint64_t stream = 0;
  };

  // One request from its arrival to its answer.
  struct Exchange {
    std::uint64_t number = 0;
    std::shared_ptr<CallerRequest> caller;
    std::shared_ptr<const route::RouteTable> table;
    const route::Route* route = nullptr;
    std::string service;
    std::string attempt_id;
    /// A run at the local server made this call.
    bool inner = false;
    /// Attempt id of that run.
    std::string parent_id;
    /// A server failed it since a call of the run was turned away for lack of capacity.
    bool call_refused = false;
    /// Rank of the request from outside that this one belongs to.
    int priority = 0;
    /// The run that made this call was itself a repeat.
    bool repeat = false;
    core::TimePoint received;
    /// When the caller gives up.
    core::TimePoint deadline;
    /// When the caller has to have its answer.
    core::TimePoint answer_by;
    /// Daemons that are not asked again.
    std::vector<std::string> tried;
    /// Daemons whose servers were handed the request.
    std::vector<std::string> reached;
    int sends = 0;
    int refusals = 0;
    /// Where the request is now: the daemon and the number of this placement.
    std::string endpoint;
    std::uint64_t stream = 0;
    bool placed = false;
    /// Where it was before and may still be answered: daemons that went silent.
    std::vector<Placement> silent;
    /// It may have run at a server whose answer is lost.
    bool may_have_run = false;
    core::Cause last_cause = core::Cause::kNone;
    /// A failure that a server answered; passed on when no other server answers.
    std::optional<http::Response> failure;
    /// Share of its kind that was let in when it came, and the service that limited it.
    double let_in = 1;
    std::string limited_by;
  };
  using ExchangePointer = std::shared_ptr<Exchange>;

  void refuse_now(const std::shared_ptr<CallerRequest>& caller, int status, std::string_view reason,
                  core::Duration retry_after);
  /// Finds the running request that made a call, and takes over what the call inherits.
  void note_parent(Exchange& exchange, core::TimePoint now);
  /// Decides on a new request and counts it.
  [[nodiscard]] bool admitted(Exchange& exchange, core::TimePoint now);
  [[nodiscard]] std::optional<std::string> choose(const Exchange& exchange, core::TimePoint now);
  void place(const ExchangePointer& exchange, core::TimePoint now);
  void hand_over(const ExchangePointer& exchange, const std::string& endpoint, core::TimePoint now);
  void on_result(const ExchangePointer& exchange, std::uint64_t stream, const peer::Result& result);
  void on_interrupted(const ExchangePointer& exchange, std::uint64_t stream);
  void take_step(const ExchangePointer& exchange, const peer::Result& result, core::TimePoint now);
  /// Takes what a daemon that had gone silent answers after all.
  void on_late_result(const ExchangePointer& exchange, std::uint64_t stream, const peer::Result& result);
  [[nodiscard]] retry::PlacementOutcome facts_of(const Exchange& exchange, core::TimePoint now);
  void note_reached(Exchange& exchange, const std::string& endpoint);
  void withdraw(Exchange& exchange);
  void cancel(const Placement& placement);
  void pass_on(const ExchangePointer& exchange, const http::Response& response);
  /// Ends a request that no server will answer any more, with what is true of it.
  void give_up(const ExchangePointer& exchange, core::Cause cause);
  void refuse(const ExchangePointer& exchange, core::Cause cause);
  void fail(const ExchangePointer& exchange, int status, core::Cause cause);
  void finish(const ExchangePointer& exchange, http::Response response, std::string_view outcome, core::Cause cause);
  [[nodiscard]] core::Duration return_after(const Exchange& exchange, core::TimePoint now);
  /// Services that a request of a kind needs.
  [[nodiscard]] std::vector<std::string> needed_services(const Exchange& exchange, core::TimePoint now) const;
  [[nodiscard]] bool overloaded(const Exchange& exchange, core::TimePoint now) const;

  Parts parts_;
  std::string self_;
  core::Incarnation incarnation_;
  core::Random random_;
  std::shared_ptr<const route::RouteTable> table_;
  route::WeightedSplit split_;
  entrance::Throttle throttle_;
  overlay::InterestTable interests_;
  std::string local_service_;
  std::map<std::uint64_t, ExchangePointer> exchanges_;
  std::uint64_t next_number_ = 1;
  core::TimePoint last_observed_;
};

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_INGRESS_H_
