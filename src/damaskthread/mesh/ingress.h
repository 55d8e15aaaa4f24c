#ifndef DAMASKTHREAD_MESH_INGRESS_H_
#define DAMASKTHREAD_MESH_INGRESS_H_

/// @file
/// @brief Routes requests from callers and from the local server to daemons and returns a response to each.

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/entrance/call_graph.h"
#include "damaskthread/entrance/throttle.h"
#include "damaskthread/mesh/adapter.h"
#include "damaskthread/mesh/event_log.h"
#include "damaskthread/mesh/explanation.h"
#include "damaskthread/mesh/fleet.h"
#include "damaskthread/mesh/http_listener.h"
#include "damaskthread/mesh/local_executor.h"
#include "damaskthread/mesh/policy.h"
#include "damaskthread/mesh/quota_service.h"
#include "damaskthread/metrics/registry.h"
#include "damaskthread/overlay/interest_table.h"
#include "damaskthread/placement/server_pool.h"
#include "damaskthread/retry/next_step.h"
#include "damaskthread/route/route_table.h"
#include "damaskthread/route/weighted_split.h"
#include "damaskthread/tenant/access.h"

namespace damaskthread::mesh {

/// Schedule of the shutdown of a daemon.
struct ShutdownTimes {
  /// Requests that arrive later are refused unless their deadline is before `end`.
  core::TimePoint last_request;
  /// The same for nested calls, whose refusal fails a request that is running.
  core::TimePoint last_nested_call;
  /// When requests in progress are ended.
  core::TimePoint end;
};

/// @brief Admits, places and retries requests. Each request ends with exactly one response, unless its caller
/// disconnects first.
class Ingress {
 public:
  struct Dependencies {
    const Adapter& adapter;
    EventLog& log;
    metrics::Registry& registry;
    placement::ServerPool& pool;
    entrance::CallGraph& graph;
    Fleet& fleet;
    LocalExecutor& executor;
    QuotaService& quota;
    const Policy& policy;
  };

  /// @param self Endpoint of this daemon, under which the pool lists the local server.
  Ingress(Dependencies parts, std::string self, core::Incarnation incarnation);

  /// @brief Sets the route table for new requests; requests in progress keep theirs.
  void set_table(std::shared_ptr<const route::RouteTable> table);
  /// @brief Services that this daemon sends requests to, directly or through nested calls.
  [[nodiscard]] std::map<std::string, overlay::Interest, std::less<>> interests(core::TimePoint now);
  /// @brief Sets the service of the local server, which is reported as the caller of its requests.
  void set_local_service(const std::string& service) { local_service_ = service; }

  /// @return Whether a request may run more than once under the table in force.
  [[nodiscard]] bool is_idempotent(const http::Request& request) const;
  /// @brief Routes a request and answers it asynchronously.
  void handle(const std::shared_ptr<CallerRequest>& caller);
  /// @brief Continues requests that waited for credits of their tenants' quotas.
  void on_quota_granted(core::TimePoint now);
  /// @brief Updates the throttle, retries requests that wait for a server and ends those past their deadline.
  void tick(core::TimePoint now);

  /// @brief Refuses from now on requests that might not be finished when the daemon ends.
  void begin_shutdown(const ShutdownTimes& times) noexcept { shutdown_ = times; }
  /// @brief Ends all requests in progress with a status that tells whether they may have run.
  void end_requests();

  /// @brief Explains what would happen to a new external request, without sending it: no counter, random number,
  /// interest or credit is used. Errors are `core::Error` for a tenant that the configuration does not contain.
  [[nodiscard]] boost::leaf::result<Explanation> explain(const ExplainQuery& query, core::TimePoint now) const;

  /// @brief Formats load and pressure of each service, as seen by this daemon, for the log.
  [[nodiscard]] std::string describe_pressure() const;

  [[nodiscard]] std::size_t active() const noexcept { return exchanges_.size(); }
  [[nodiscard]] const std::shared_ptr<const route::RouteTable>& table() const noexcept { return table_; }

 private:
  // A copy of a request that was sent to a daemon.
  struct Placement {
    std::string endpoint;
    std::uint64_t stream = 0;
  };

  // State of a request from its arrival to its response.
  struct Exchange {
    std::uint64_t number = 0;
    std::shared_ptr<CallerRequest> caller;
    http::SharedBody body;
    std::shared_ptr<const route::RouteTable> table;
    const route::Route* route = nullptr;
    /// Tenant of the caller, owned by the table; null if the request carried no key.
    const tenant::Tenant* tenant = nullptr;
    std::string service;
    std::string attempt_id;
    /// Nested call: made by a request that runs at the local server.
    bool inner = false;
    /// Attempt id of the request that made the call.
    std::string parent_id;
    /// The last server failed the request because a nested call was refused for lack of capacity.
    bool call_refused = false;
    /// Priority of the external request at the root of the call tree; 0 is the most important.
    int priority = 0;
    /// Expected number of calls that the call tree still has to make, this one included.
    int calls_left = 1;
    /// The request that made the call was itself a repeat.
    bool repeat = false;
    core::TimePoint received;
    /// When the caller stops waiting.
    core::TimePoint deadline;
    /// Deadline for the response: the caller's, or the timeout of the route if that is earlier.
    core::TimePoint response_deadline;
    /// Daemons excluded from further placements.
    std::vector<std::string> tried;
    /// Daemons whose servers received the request.
    std::vector<std::string> reached;
    int sends = 0;
    int refusals = 0;
    /// Daemon and stream of the current placement.
    std::string endpoint;
    std::uint64_t stream = 0;
    bool placed = false;
    /// The request has a credit of its tenant's quota.
    bool charged = false;
    /// The request waits for such a credit until this time.
    std::optional<core::TimePoint> credit_deadline;
    /// Earlier placements at daemons that stopped responding; they may still deliver a result.
    std::vector<Placement> unresponsive;
    /// The request may have run at a server whose response was lost.
    bool may_have_run = false;
    core::Cause last_cause = core::Cause::kNone;
    /// Last response of a server that failed the request; passed on if no other server succeeds.
    std::optional<http::Response> failure;
    /// Admitted share of requests of this kind at arrival, and the service that limited it.
    double admitted_share = 1;
    std::string limited_by;
  };
  using ExchangePointer = std::shared_ptr<Exchange>;

  /// Refuses a request before it is routed.
  void refuse_unrouted(const std::shared_ptr<CallerRequest>& caller, int status, std::string_view reason,
                       core::Duration retry_after);
  /// Finds the running request that made this call and takes over its repeat flag, and its priority if that is higher.
  void inherit_from_parent(Exchange& exchange, core::TimePoint now);
  /// Checks the key of a request, replaces it by its tenant's name and takes over the tenant's priority.
  /// @return Whether the request may enter.
  [[nodiscard]] bool authorize(Exchange& exchange);
  /// @return Whether the daemon is stopping and might end before the request.
  [[nodiscard]] bool arrived_too_late(const Exchange& exchange, core::TimePoint now) const noexcept;
  /// Charges the tenant's quota.
  /// @return Whether the request may continue; otherwise it was answered or waits for credit.
  [[nodiscard]] bool charge_quota(const ExchangePointer& exchange, core::TimePoint now);
  /// Passes a request through the throttle and places it.
  void enter(const ExchangePointer& exchange, core::TimePoint now);
  void retry_credit(const ExchangePointer& exchange, core::TimePoint now);
  void refuse_over_quota(const ExchangePointer& exchange);
  /// Decides whether a new request passes the throttle, and counts it there.
  [[nodiscard]] bool admit(Exchange& exchange, core::TimePoint now);
  [[nodiscard]] std::optional<std::string> choose(const Exchange& exchange, core::TimePoint now);
  /// Sends the request to a server, or leaves it to `tick` if none can be reached yet.
  void place(const ExchangePointer& exchange, core::TimePoint now);
  void send_to_daemon(const ExchangePointer& exchange, const std::string& endpoint, core::TimePoint now);
  void on_result(const ExchangePointer& exchange, std::uint64_t stream, const peer::Result& result);
  /// Sends a second copy elsewhere if the connection to the daemon is interrupted and that is worth it.
  void on_interrupted(const ExchangePointer& exchange, std::uint64_t stream);
  void apply_next_step(const ExchangePointer& exchange, const peer::Result& result, core::TimePoint now);
  /// Handles the result of an earlier placement whose daemon had stopped responding.
  void on_late_result(const ExchangePointer& exchange, std::uint64_t stream, const peer::Result& result);
  [[nodiscard]] retry::PlacementOutcome placement_facts(const Exchange& exchange, core::TimePoint now);
  void record_delivery(Exchange& exchange, const std::string& endpoint);
  void cancel_placements(Exchange& exchange);
  void cancel(const Placement& placement);
  void pass_on(const ExchangePointer& exchange, const http::Response& response);
  /// Ends a request that is not placed again: passes on the last failure, waits for an unresponsive daemon, or
  /// reports whether it may have run.
  void give_up(const ExchangePointer& exchange, core::Cause cause);
  void refuse(const ExchangePointer& exchange, core::Cause cause);
  /// Ends a request that has not run with a status that tells so.
  void refuse(const ExchangePointer& exchange, int status, core::Cause cause);
  void fail(const ExchangePointer& exchange, int status, core::Cause cause);
  void finish(const ExchangePointer& exchange, http::Response response, std::string_view outcome, core::Cause cause);
  /// Value of Retry-After for a refused request.
  [[nodiscard]] core::Duration retry_delay(const Exchange& exchange, core::TimePoint now);
  /// The service of a request of this route and those that its nested calls are known to reach.
  [[nodiscard]] std::vector<std::string> needed_services(const route::RouteTable& table, const route::Route& route,
                                                         const std::string& service, core::TimePoint now) const;
  [[nodiscard]] std::vector<std::string> needed_services(const Exchange& exchange, core::TimePoint now) const;
  [[nodiscard]] bool overloaded(const Exchange& exchange, core::TimePoint now) const;

  Dependencies dependencies_;
  std::string own_endpoint_;
  core::Incarnation incarnation_;
  core::Random random_;
  std::shared_ptr<const route::RouteTable> table_;
  route::WeightedSplit split_;
  entrance::Throttle throttle_;
  RequestOptions options_;
  overlay::InterestTable interests_;
  std::string local_service_;
  std::map<std::uint64_t, ExchangePointer> exchanges_;
  std::uint64_t next_number_ = 1;
  core::TimePoint last_observed_;
  std::optional<ShutdownTimes> shutdown_;
};

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_INGRESS_H_
