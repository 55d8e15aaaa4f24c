#ifndef DAMASKTHREAD_ROUTING_ROUTER_H_
#define DAMASKTHREAD_ROUTING_ROUTER_H_

/// @file
/// @brief Selects a server for each attempt to call a service.

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "damaskthread/config/config.h"
#include "damaskthread/core/types.h"
#include "damaskthread/core/verdict.h"
#include "damaskthread/routing/fwd.h"

namespace damaskthread::routing {

/// Membership information about one server of the service.
struct ServerInfo {
  core::ServerId id{};
  core::Incarnation incarnation{};
  std::uint32_t zone = 0;
  std::uint32_t region = 0;
  int slots = 1;
  int connections = 1;  ///< Total connections that the server accepts from daemons.
  bool leaving = false;
  bool suspect = false;
  /// Load reported by the server, from 0 to 1. Only a hint: it raises the cost of the server by a quarter at most.
  float reported_load = 0;
};

/// Number of daemons that call the service, including this one. Zero if unknown.
struct CallerCounts {
  int zone = 0;    ///< In the zone of this daemon.
  int region = 0;  ///< In its region.
  int all = 0;
};

struct ServiceRouterOptions {
  core::ServerId self{};  ///< Id of this daemon; seeds the selection of its subset.
  std::uint32_t zone = 0;
  std::uint32_t region = 0;
  int max_members = 24;  ///< Maximum number of servers used per tier (zone, region, elsewhere).
  core::Duration partition_window = std::chrono::seconds(3);
  core::Duration warm_up = std::chrono::seconds(10);
  core::Duration connection_cost = std::chrono::milliseconds(1);
  core::Duration connection_idle = std::chrono::seconds(60);  ///< Time after which idle connections are closed.
  core::Duration probe_cost = std::chrono::milliseconds(6);
  double probe_share = 0.02;                            ///< Share of time that probes and new connections may each use.
  core::Duration probe_idle = std::chrono::seconds(2);  ///< A member without attempts for this time is probed.
  core::Duration max_retention = std::chrono::hours(2);             ///< Maximum time that missing servers are retained.
  core::Duration max_retention_failing = std::chrono::seconds(30);  ///< The same for a server that fails all attempts.
};

/// Outcome of an attempt, as far as it is informative about the server.
enum class AttemptOutcome : std::uint8_t {
  kAnswered,     ///< Complete response from the server.
  kRefused,      ///< Not run because of overload; another server may have capacity.
  kLeaving,      ///< Not run because the server is leaving.
  kFailed,       ///< Error, crash or incomplete response.
  kUnreachable,  ///< No connection.
  kTimeout,      ///< No response in time.
  kNeutral,      ///< Not informative about the server.
};

/// @brief Maps the verdict on an attempt to its outcome for the server.
/// @param verdict Verdict on an attempt without a regular response.
/// @return The outcome.
[[nodiscard]] AttemptOutcome outcome_of(const core::Verdict& verdict) noexcept;

/// Whether an attempt may be used to probe a server that is expected to fail.
enum class Probe : std::uint8_t { kAllowed, kNotAllowed };

/// Status of one member of the subset, for status pages and tests.
struct MemberStatus {
  core::ServerId id;
  int tier = 0;  ///< 0: same zone, 1: same region, 2: elsewhere.
  int in_flight = 0;
  int quota = 0;  ///< Maximum number of attempts in flight.
  core::Duration cost{0};
  bool retained = false;
};

/// @brief Routes the attempts of one daemon to the servers of one service. Thread-safe; `choose`, `started` and
/// `finished` take the lock of one shard and allocate nothing, except that a refusal with cause `leaving` rebuilds the
/// subset.
class ServiceRouter {
 public:
  explicit ServiceRouter(ServiceRouterOptions options);
  ~ServiceRouter();
  ServiceRouter(const ServiceRouter&) = delete;
  ServiceRouter& operator=(const ServiceRouter&) = delete;

  /// @brief Updates the membership view. Must be called on each change and at least once per second.
  /// @param servers All servers of the service that are alive, suspect or leaving according to membership.
  /// @param callers Number of daemons that share these servers.
  /// @param now Current time.
  void set_servers(std::span<const ServerInfo> servers, CallerCounts callers, core::TimePoint now);

  /// @brief Chooses a server for one attempt.
  /// @param random Random source.
  /// @param tried Servers that this request has already tried.
  /// @param now Current time.
  /// @param probe Whether the attempt may go to a server that is expected to fail. Must not be allowed for a request
  /// that cannot be retried after "may have run".
  /// @return The server, or nothing if no eligible server is left.
  [[nodiscard]] std::optional<core::ServerId> choose(core::Random& random, std::span<const core::ServerId> tried,
                                                     core::TimePoint now, Probe probe = Probe::kAllowed) noexcept;
  /// @brief Records the start of an attempt.
  void started(core::ServerId server, core::TimePoint now) noexcept;
  /// @brief Records the end of an attempt for which `started` was called.
  void finished(core::ServerId server, AttemptOutcome outcome, core::Duration latency, core::TimePoint now) noexcept;

  /// @return Whether more than half of the servers disappeared within one partition window and are retained.
  [[nodiscard]] bool partition_suspected() const noexcept;
  /// @return The status of the servers in the subset.
  [[nodiscard]] std::vector<MemberStatus> members(core::TimePoint now) const;

 private:
  static constexpr std::size_t kTiers = 3;
  struct Member;
  struct alignas(DAMASKTHREAD_CACHE_LINE_BYTES) Shard {
    std::mutex mutex;
  };
  class ReadLock;
  class WriteLock;
  // Written while holding the locks of all shards, read while holding any of them.
  struct ServerSubset {
    std::array<std::vector<Member*>, kTiers> tiers;
    std::array<int, kTiers> quota{};
    std::vector<std::pair<core::ServerId, Member*>> by_id;  // Sorted.
    float mean_slots = 1;
  };

  struct Candidate {
    Member* member = nullptr;
    float cost = 0;
  };

  Member* find_used(core::ServerId server) const noexcept;
  Member* find_member(core::ServerId server) const noexcept;
  void update_members(std::span<const ServerInfo> servers, core::TimePoint now);
  void detect_partition(core::TimePoint now);
  void rebuild_subset();
  void refresh_statistics(core::TimePoint now) noexcept;
  float cost_of(const Member& member, core::TimePoint now) const noexcept;
  bool is_eligible(const Member& member, std::span<const core::ServerId> tried) const noexcept;
  Member* find_eligible(std::size_t tier, std::size_t start, std::span<const core::ServerId> tried,
                        const Member* except) const noexcept;
  Candidate sample_two(std::size_t tier, core::Random& random, std::span<const core::ServerId> tried,
                       core::TimePoint now) const noexcept;
  Member* next_probe_target(std::span<const core::ServerId> tried, core::TimePoint now) noexcept;

  ServiceRouterOptions options_;
  CallerCounts callers_;
  bool has_view_ = false;  // Whether a view was set before; servers that appear later are cold.
  std::unordered_map<core::ServerId, std::unique_ptr<Member>> members_by_id_;
  ServerSubset subset_;
  std::atomic<bool> partition_suspected_{false};
  // Read-mostly: written a few times per second.
  std::atomic<float> typical_cost_us_{0};
  std::array<std::atomic<float>, kTiers> spill_share_{};
  std::atomic<core::Duration::rep> next_refresh_;
  std::atomic<core::Duration::rep> next_probe_;
  std::atomic<int> new_connections_left_{0};
  mutable std::array<Shard, DAMASKTHREAD_SHARD_COUNT> shards_;
};

}  // namespace damaskthread::routing

#endif  // DAMASKTHREAD_ROUTING_ROUTER_H_
