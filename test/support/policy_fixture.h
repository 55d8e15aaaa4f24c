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

#include "damaskthread/admission/arrival.h"
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

/// A call as a policy sees it.
struct PolicyCall {
  int service = 0;
  int server = 0;
  /// Index of the daemon that sends it; every server has one.
  int daemon = 0;
  int depth = 0;
  core::Importance importance = core::Importance::kNormal;
  std::uint64_t request_hash = 0;
  std::uint64_t fingerprint = 0;
  TimePoint deadline;
  /// Retries made for this call.
  int retries = 0;
  /// Handle to be named in events.
  std::uint64_t id = 0;
  admission::Ticket ticket;
};

/// What a policy may ask of the fixture.
class PolicyHost {
 public:
  virtual ~PolicyHost() = default;
  virtual void start_call(std::uint64_t id) = 0;
  virtual void refuse_call(std::uint64_t id, core::Verdict verdict) = 0;
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
  /// @brief Whether the entrance sends a request on.
  [[nodiscard]] virtual bool admits(const PolicyCall& /*call*/) { return true; }
  /// @return The server to try, or -1.
  [[nodiscard]] virtual int choose(const PolicyCall& call, std::span<const int> tried);
  /// @brief A call reaches a server; to be answered with `start_call` or `refuse_call`, now or later.
  virtual void arrive(PolicyCall& call) { host_->start_call(call.id); }
  /// @brief A started call ends at its server.
  virtual void finish(const PolicyCall& /*call*/, const admission::CallResult& /*result*/) {}
  /// @brief A server crashed while these calls ran.
  virtual void crash(int /*server*/, std::span<const PolicyCall> /*running*/) {}
  /// @return The level that a server puts on its answers.
  [[nodiscard]] virtual admission::Level level(int /*server*/) { return {}; }
  /// @brief An answer with the highest level of its subtree reaches the sending daemon.
  virtual void answered(const PolicyCall& /*call*/, admission::Level /*level*/, core::Verdict /*verdict*/,
                        bool /*ok*/) {}
  /// @brief Whether a failed call is tried again at this hop.
  [[nodiscard]] virtual bool retry(const PolicyCall& /*call*/, core::Verdict /*verdict*/) { return false; }
  virtual void sent(const PolicyCall& /*call*/) {}

 protected:
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

/// @brief Runs one scenario; the result depends on its arguments only.
[[nodiscard]] Result run(const Deployment& deployment, const Scenario& scenario, Policy& policy);

}  // namespace damaskthread::test

#endif  // TEST_SUPPORT_POLICY_FIXTURE_H_
