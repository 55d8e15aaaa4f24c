#ifndef TEST_SUPPORT_POLICY_FIXTURE_H_
#define TEST_SUPPORT_POLICY_FIXTURE_H_

/// @file
/// @brief Runs the policies on the declared call graphs under virtual time: timed events, fixed delays, servers with
/// slots and log-normal service times, and callers that retry hard.

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <span>
#include <string>
#include <vector>

#include "damaskthread/admission/level.h"
#include "damaskthread/core/types.h"
#include "damaskthread/core/verdict.h"

namespace damaskthread::test {

using core::Duration;
using core::TimePoint;

struct ServiceSpec {
  std::string name;
  int servers = 1;
  int slots = 1;
  int connections = 1;
};

/// One call of an operation's graph; its children are called together once its own work is done.
struct CallSpec {
  int service = 0;
  double work_ms = 1;
  std::vector<CallSpec> children;
};

struct OperationSpec {
  std::string name;
  core::Importance importance = core::Importance::kNormal;
  /// Share of the requests.
  double share = 1;
  Duration deadline{0};
  /// Time after which the caller gives up one try.
  Duration try_timeout{0};
  CallSpec root;
};

struct Deployment {
  std::string name;
  std::vector<ServiceSpec> services;
  std::vector<OperationSpec> operations;
  /// The service that saturates first and that the faults slow down.
  int bottleneck = 0;
  Duration hop{0};
  Duration client_hop{0};
};

[[nodiscard]] Deployment birchrun();
[[nodiscard]] Deployment lindqvist();

/// @brief Requests per second of the whole mix at which the bottleneck is just full.
[[nodiscard]] double capacity(const Deployment& deployment);
/// @brief Whole requests per second that can be answered when more important classes are served first.
/// @param load Offered load as a multiple of `capacity`.
/// @param speed Speed of the bottleneck service.
[[nodiscard]] double ideal_rate(const Deployment& deployment, double load, double speed);

struct Phase {
  Duration from{0};
  /// Offered load as a multiple of `capacity`.
  double load = 1;
  /// Speed of the bottleneck service.
  double speed = 1;
};

struct Scenario {
  std::vector<Phase> phases;
  Duration measure_from = std::chrono::seconds{5};
  Duration end = std::chrono::seconds{20};
  /// End of the overload, from which recovery is measured.
  Duration recovery_from{0};
  /// Time of the first poison request; zero for none.
  Duration poison_at{0};
  /// Delay of news about crashes between daemons.
  Duration news_delay = std::chrono::milliseconds{50};
  int caller_retries = 3;
  std::uint64_t seed = 1;
};

struct Result {
  double goodput = 0;
  /// Share of the most important requests answered whole and in time.
  double critical = 0;
  double recovery_s = 0;
  /// Share of the work at depth 2 and below that was spent on requests that failed.
  double wasted = 0;
  int crashes = 0;
  std::uint64_t events = 0;
};

/// One side of a call as a policy sees it.
struct PolicyCall {
  /// Handle of the sending side, or of the try at a server.
  std::uint64_t id = 0;
  /// Handle of the try whose server makes this call; zero for a call from outside.
  std::uint64_t parent = 0;
  int operation = 0;
  int service = 0;
  int server = 0;
  /// Index of the daemon that sends it; every server has one.
  int daemon = 0;
  std::uint64_t fingerprint = 0;
  TimePoint deadline;
  /// Retries made for this call.
  int retries = 0;
};

struct HopStep {
  enum class Kind { kSend, kWait, kFail };
  Kind kind = Kind::kFail;
  int server = 0;
  Duration delay{0};
};

/// Outcome of one try as the sending daemon sees it.
struct HopAnswer {
  bool ok = false;
  bool timed_out = false;
  core::Verdict verdict{};
  admission::Level level{};
  int unspent = 0;
  Duration latency{0};
  /// Time for which the server's daemon holds the answer back.
  Duration hold{0};
};

/// How a call ended at its server.
struct ServerOutcome {
  bool ok = false;
  bool crashed = false;
  /// The server refused the call or was not there; it did not run.
  bool refused = false;
  Duration latency{0};
};

/// What a policy may ask of the fixture.
class PolicyHost {
 public:
  virtual ~PolicyHost() = default;
  virtual void start_call(std::uint64_t id) = 0;
  virtual void refuse_call(std::uint64_t id, const HopAnswer& answer) = 0;
  virtual void after(Duration delay, std::function<void()> action) = 0;
  [[nodiscard]] virtual TimePoint now() const = 0;
  [[nodiscard]] virtual core::Random& random() = 0;
};

/// @brief Strategy of one way to control overload. The defaults control nothing.
class Policy {
 public:
  virtual ~Policy() = default;
  virtual void set_up(const Deployment& deployment, const Scenario& scenario, PolicyHost& host);
  /// @return Whether calls carry the deadline of their request.
  [[nodiscard]] virtual bool carries_deadline() const { return false; }

  /// @brief A call enters its daemon.
  [[nodiscard]] virtual HopStep begin(const PolicyCall& hop) { return choose(hop); }
  /// @brief A try is on its way.
  virtual void sent(const PolicyCall& /*hop*/, std::uint64_t /*attempt*/) {}
  /// @brief A try has failed or timed out, or is answered.
  /// @return The next step; not looked at if the answer is whole.
  [[nodiscard]] virtual HopStep answered(const PolicyCall& hop, const HopAnswer& answer);
  /// @brief Goes on after a wait.
  [[nodiscard]] virtual HopStep resume(const PolicyCall& hop) { return choose(hop); }
  virtual void end_hop(const PolicyCall& /*hop*/) {}

  /// @brief A call reaches a server; to be answered with `start_call` or `refuse_call`, now or later.
  virtual void arrive(const PolicyCall& call) { host_->start_call(call.id); }
  /// @brief A started call ends at its server.
  /// @return The answer to its caller.
  [[nodiscard]] virtual HopAnswer finish(const PolicyCall& /*call*/, const ServerOutcome& outcome) {
    return {.ok = outcome.ok};
  }
  /// @brief A server crashed; the calls that ran there end next.
  virtual void crash(int /*server*/) {}

 protected:
  /// @brief Whether a failed call is tried again at this hop.
  [[nodiscard]] virtual bool retry(const PolicyCall& /*call*/) { return false; }
  [[nodiscard]] HopStep choose(const PolicyCall& hop);

  /// @brief Index of the first server of a service; the servers of all services are numbered in order.
  [[nodiscard]] int first_server(int service) const { return first_server_[static_cast<std::size_t>(service)]; }
  [[nodiscard]] int server_count() const { return first_server_.back(); }
  [[nodiscard]] const ServiceSpec& spec_of(int service) const {
    return deployment_->services[static_cast<std::size_t>(service)];
  }

  const Deployment* deployment_ = nullptr;
  const Scenario* scenario_ = nullptr;
  PolicyHost* host_ = nullptr;

 private:
  std::vector<int> first_server_;
};

enum class PolicyKind { kNone, kFixed, kAdaptive, kDamaskthread };
[[nodiscard]] std::unique_ptr<Policy> make_policy(PolicyKind kind);
/// @brief The policy that runs the engine of the daemons.
[[nodiscard]] std::unique_ptr<Policy> make_damaskthread_policy();

/// @brief Runs one scenario; the result depends on its arguments only.
[[nodiscard]] Result run(const Deployment& deployment, const Scenario& scenario, Policy& policy);

}  // namespace damaskthread::test

#endif  // TEST_SUPPORT_POLICY_FIXTURE_H_
