#ifndef DAMASKTHREAD_ROUTING_ROUTER_H_
#define DAMASKTHREAD_ROUTING_ROUTER_H_

/// @file
/// @brief Choice of a server for each attempt towards one service.

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

/// What membership knows about one server of the service.
struct ServerInfo {
  core::ServerId id{};
  core::Incarnation incarnation{};
  std::uint32_t zone = 0;
  std::uint32_t region = 0;
  int slots = 1;
  int connections = 1;  ///< Connections that the server accepts from all daemons.
  bool leaving = false;
  bool suspect = false;
  /// Load that the server reports, from 0 to 1. A hint: it changes the server's share by a quarter at most.
  float reported_load = 0;
};

/// Daemons that call the service, this one included. Zero if unknown.
struct CallerCounts {
  int zone = 0;    ///< In the zone of this daemon.
  int region = 0;  ///< In its region.
  int all = 0;
};

struct RouterOptions {
  core::ServerId self{};  ///< This daemon; seeds its choice of a subset.
  std::uint32_t zone = 0;
  std::uint32_t region = 0;
  int max_members = 24;  ///< Largest number of servers used in the own zone, the region and elsewhere, each.
  core::Duration suspicion_window = std::chrono::seconds(3);
  core::Duration warm_up = std::chrono::seconds(10);
  core::Duration connection_cost = std::chrono::milliseconds(1);
  core::Duration connection_idle = std::chrono::seconds(60);  ///< Unused connections are closed after this time.
  core::Duration probe_cost = std::chrono::milliseconds(6);
  double probe_share = 0.02;  ///< Share of time that probes and new connections may each take.
  core::Duration probe_idle = std::chrono::seconds(2);     ///< A member without attempts for so long is probed.
  core::Duration hold_limit = std::chrono::hours(2);       ///< Longest time that a doubtful removal is put off.
  core::Duration hold_failing = std::chrono::seconds(30);  ///< The same for a server that fails whenever it is tried.
};

/// How an attempt ended, as far as it tells something about the server.
enum class AttemptOutcome : std::uint8_t {
  kAnswered,     ///< Whole answer of the server.
  kRefused,      ///< Not run for overload; another server may have room.
  kLeaving,      ///< Not run because the server is leaving.
  kFailed,       ///< Error, crash or incomplete answer.
  kUnreachable,  ///< No connection.
  kTimeout,      ///< No answer in time.
  kNeutral,      ///< Says nothing about this server.
};

/// @brief Maps the verdict on an attempt to what it says about the server.
/// @param verdict Verdict on an attempt without an ordinary answer.
/// @return The outcome.
[[nodiscard]] AttemptOutcome outcome_of(const core::Verdict& verdict) noexcept;

/// Whether an attempt may be used to probe a server that is expected to fail.
enum class Probe : std::uint8_t { kAllowed, kNotAllowed };

/// State of one member for status pages and tests.
struct MemberStatus {
  core::ServerId id;
  int tier = 0;  ///< 0 for the own zone, 1 for the region, 2 for elsewhere.
  int in_flight = 0;
  int quota = 0;  ///< Largest number of attempts in flight.
  core::Duration cost{0};
  bool held = false;
};

/// @brief Chooses servers of one service for one daemon. Thread-safe; `choose`, `started` and `finished` take the lock
/// of one shard and allocate nothing, except that a refusal with cause `leaving` rebuilds the subset.
class ServiceRouter {
 public:
  explicit ServiceRouter(RouterOptions options);
  ~ServiceRouter();
  ServiceRouter(const ServiceRouter&) = delete;
  ServiceRouter& operator=(const ServiceRouter&) = delete;

  /// @brief Takes over the view of membership. To be called on each change and at least once per second.
  /// @param servers All servers of the service that membership holds to be alive, suspect or leaving.
  /// @param callers Daemons that share these servers.
  /// @param now Current time.
  void set_servers(std::span<const ServerInfo> servers, CallerCounts callers, core::TimePoint now);

  /// @brief Chooses a server for one attempt.
  /// @param random Random source.
  /// @param tried Servers that this request has tried before.
  /// @param now Current time.
  /// @param probe Whether the attempt may go to a server that is expected to fail. Not to be allowed for a request that
  /// cannot be repeated after "may have run".
  /// @return The server, or nothing if none is left.
  [[nodiscard]] std::optional<core::ServerId> choose(core::Random& random, std::span<const core::ServerId> tried,
                                                     core::TimePoint now, Probe probe = Probe::kAllowed) noexcept;
  /// @brief Notes that an attempt is sent.
  void started(core::ServerId server, core::TimePoint now) noexcept;
  /// @brief Notes the end of an attempt for which `started` was called.
  void finished(core::ServerId server, AttemptOutcome outcome, core::Duration latency, core::TimePoint now) noexcept;

  /// @return True while more than half of the servers vanished within one suspicion window and are kept in use.
  [[nodiscard]] bool doubtful() const noexcept;
  /// @return The servers in use.
  [[nodiscard]] std::vector<MemberStatus> members(core::TimePoint now) const;

 private:
  static constexpr std::size_t kTiers = 3;
  struct Member;
  struct alignas(DAMASKTHREAD_CACHE_LINE_BYTES) Shard {
    std::mutex mutex;
  };
  class ReadLock;
  class WriteLock;
  // Written under the locks of all shards, read under the lock of any.
  struct Pool {
    std::array<std::vector<Member*>, kTiers> tiers;
    std::array<int, kTiers> quota{};
    std::vector<std::pair<core::ServerId, Member*>> by_id;  // Sorted.
    float mean_slots = 1;
  };

  struct Candidate {
    Member* member = nullptr;
    float cost = 0;
  };

  Member* find(core::ServerId server) const noexcept;
  Member* find_known(core::ServerId server) const noexcept;
  void update_known(std::span<const ServerInfo> servers, core::TimePoint now);
  void judge_view(core::TimePoint now);
  void rebuild();
  void refresh(core::TimePoint now) noexcept;
  float cost_of(const Member& member, core::TimePoint now) const noexcept;
  bool usable(const Member& member, std::span<const core::ServerId> tried) const noexcept;
  Member* scan(std::size_t tier, std::size_t start, std::span<const core::ServerId> tried,
               const Member* except) const noexcept;
  Candidate pick(std::size_t tier, core::Random& random, std::span<const core::ServerId> tried,
                 core::TimePoint now) const noexcept;
  Member* probe_due(std::span<const core::ServerId> tried, core::TimePoint now) noexcept;

  RouterOptions options_;
  CallerCounts callers_;
  bool filled_ = false;  // A view was set before; servers that appear from now on are cold.
  std::unordered_map<core::ServerId, std::unique_ptr<Member>> known_;
  Pool pool_;
  std::atomic<bool> doubtful_{false};
  // Read-mostly: written a few times per second.
  std::atomic<float> typical_us_{0};
  std::array<std::atomic<float>, kTiers> spill_{};
  std::atomic<core::Duration::rep> next_refresh_;
  std::atomic<core::Duration::rep> next_probe_;
  std::atomic<int> dials_left_{0};
  mutable std::array<Shard, DAMASKTHREAD_SHARD_COUNT> shards_;
};

}  // namespace damaskthread::routing

#endif  // DAMASKTHREAD_ROUTING_ROUTER_H_
