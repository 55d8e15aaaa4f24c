#ifndef DAMASKTHREAD_GATE_SERVER_LIFECYCLE_H_
#define DAMASKTHREAD_GATE_SERVER_LIFECYCLE_H_

/// @file
/// @brief Tracks the state of the local server from its heartbeats.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "damaskthread/core/types.h"

namespace damaskthread::gate {

/// A heartbeat sent by a server.
struct ServerHeartbeat {
  std::string id;
  std::string service;
  std::string address;
  std::string zone;
  /// Maximum number of concurrent requests.
  int capacity = 0;
  bool leaving = false;
  /// Increases with each heartbeat of an incarnation.
  std::int64_t sequence = 0;
  /// Wall-clock start time of this incarnation in milliseconds; distinguishes incarnations with the same id.
  std::int64_t started_at_ms = 0;
  /// Remaining warm-up time.
  core::Duration warm_up_left{0};
};

/// The server beside a daemon, as the settings name it. An empty field stands for any value.
struct ServerIdentity {
  std::string service;
  std::string address;
  [[nodiscard]] bool matches(const ServerHeartbeat& heartbeat) const noexcept;
};

/// One start of a server. A server may start again under the same id.
struct ServerIncarnation {
  std::string id;
  /// Wall-clock start time in milliseconds; zero if unknown.
  std::int64_t started_at_ms = 0;
  bool operator==(const ServerIncarnation&) const = default;
};

enum class ServerState : std::uint8_t {
  kUnknown,     ///< No heartbeat since the daemon started, or the heartbeats timed out.
  kUnverified,  ///< Heartbeat received, but it may be a delayed one from before an announced leave.
  kReady,
  kLeaving,  ///< Finishes what it runs and takes nothing new.
  kGone,     ///< Deregistered.
};

[[nodiscard]] std::string_view to_string(ServerState state) noexcept;

/// @brief Orders the heartbeats of all incarnations at one address. A heartbeat delayed by a network partition may
/// arrive after a newer incarnation has registered; it is ignored. So is one that another writer sent.
class ServerLifecycle {
 public:
  enum class Effect : std::uint8_t {
    kForeign,  ///< Not from the expected server.
    kIgnored,  ///< Delayed or repeated.
    kRenewed,
    kChanged,
    kNewIncarnation,
  };

  /// @param heartbeat_timeout Time without heartbeats after which the state of the server is unknown.
  /// @param expected The server whose heartbeats are processed.
  explicit ServerLifecycle(core::Duration heartbeat_timeout, ServerIdentity expected = {}) noexcept
      : heartbeat_timeout_(heartbeat_timeout), expected_(std::move(expected)) {}

  /// @brief Changes the expected server. A server that is not the expected one counts as unknown.
  void expect(ServerIdentity expected);
  /// @brief Processes a heartbeat.
  Effect on_heartbeat(const ServerHeartbeat& heartbeat, core::TimePoint now);
  /// @brief Processes a deregistration. It also takes effect if no heartbeat of that server was received before.
  Effect on_deregistration(std::string_view id, core::TimePoint now);
  /// @brief Restores a leave that a server announced before the daemon restarted. It also takes effect if a heartbeat
  /// of that incarnation was received before.
  void restore_departed(ServerIncarnation departed);
  /// @brief Records the result of a health check of a server whose first heartbeats were missed.
  /// @param ready Whether the server reported that it accepts requests.
  void record_health_check(std::string_view id, bool ready);
  /// @brief Notes that the server did not accept connections; it counts as unknown until its next heartbeat.
  void mark_unreachable() noexcept { reachable_ = false; }

  [[nodiscard]] ServerState state(core::TimePoint now) const noexcept;
  /// @return The last incarnation that announced its leave, or nothing if none did.
  [[nodiscard]] const std::optional<ServerIncarnation>& departed() const noexcept { return departed_; }
  /// @return The latest heartbeat, or nothing before the first one.
  [[nodiscard]] const std::optional<ServerHeartbeat>& last_heartbeat() const noexcept { return last_heartbeat_; }

 private:
  /// @return Whether a heartbeat was sent by an incarnation that had announced its leave.
  [[nodiscard]] bool is_departed(const ServerHeartbeat& heartbeat) const noexcept;

  core::Duration heartbeat_timeout_;
  ServerIdentity expected_;
  std::optional<ServerHeartbeat> last_heartbeat_;
  core::TimePoint last_heartbeat_time_;
  bool verified_ = false;
  bool deregistered_ = false;
  bool reachable_ = true;
  /// Sequence number of the first heartbeat received from this incarnation.
  std::int64_t first_sequence_ = 0;
  std::optional<ServerIncarnation> departed_;
};

}  // namespace damaskthread::gate

#endif  // DAMASKTHREAD_GATE_SERVER_LIFECYCLE_H_
