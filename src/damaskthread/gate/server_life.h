#ifndef DAMASKTHREAD_GATE_SERVER_LIFE_H_
#define DAMASKTHREAD_GATE_SERVER_LIFE_H_

/// @file
/// @brief What the daemon believes about the server beside it, from the heartbeats that the server sends.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "damaskthread/core/types.h"

namespace damaskthread::gate {

/// One heartbeat: what a server says of itself.
struct Announcement {
  std::string id;
  std::string service;
  std::string address;
  std::string zone;
  /// Requests that it runs at once.
  int capacity = 0;
  bool leaving = false;
  /// Grows with each heartbeat of one life.
  std::int64_t sequence = 0;
  /// Wall-clock start of this life in milliseconds; tells two lives under one id apart.
  std::int64_t born = 0;
  /// How much longer the server is slow after its start.
  core::Duration warm_up_left{0};
};

enum class ServerState : std::uint8_t {
  kUnknown,     ///< Nothing heard in this life of the daemon, or the heartbeats lapsed.
  kUnverified,  ///< Heard, but a late heartbeat from before an announced leave cannot be ruled out yet.
  kReady,
  kLeaving,  ///< Finishes what it runs and takes nothing new.
  kGone,     ///< It deregistered.
};

[[nodiscard]] std::string_view to_string(ServerState state) noexcept;

/// @brief Orders the heartbeats of all lives at one address. A heartbeat that a partition delayed can arrive after a
/// newer life has registered; it changes nothing.
class ServerLife {
 public:
  enum class Effect : std::uint8_t { kIgnored, kRenewed, kChanged, kNewLife };

  /// @param lapse Silence after which the server is no longer believed to be there.
  explicit ServerLife(core::Duration lapse) noexcept : lapse_(lapse) {}

  /// @brief Takes a heartbeat in.
  Effect hear(const Announcement& announcement, core::TimePoint now);
  /// @brief Takes a deregistration in. It also binds when no heartbeat of that server was heard before.
  Effect depart(std::string_view id, core::TimePoint now);
  /// @brief Remembers from an earlier life of the daemon that a server had announced its leave.
  void remember_leave(std::string_view id) { left_before_ = id; }
  /// @brief Ends the doubt about a server first heard of in the middle of its life.
  /// @param ready Whether the server itself said that it takes requests.
  void verify(std::string_view id, bool ready);
  /// @brief Notes that the server did not accept connections; it counts as unknown until its next heartbeat.
  void unreachable() noexcept { reachable_ = false; }

  [[nodiscard]] ServerState state(core::TimePoint now) const noexcept;
  /// @return The newest announcement, or nothing before the first one.
  [[nodiscard]] const std::optional<Announcement>& announcement() const noexcept { return current_; }

 private:
  core::Duration lapse_;
  std::optional<Announcement> current_;
  core::TimePoint heard_;
  bool verified_ = false;
  bool gone_ = false;
  bool reachable_ = true;
  /// Sequence at which an unverified server was first heard.
  std::int64_t first_sequence_ = 0;
  std::string left_before_;
};

}  // namespace damaskthread::gate

#endif  // DAMASKTHREAD_GATE_SERVER_LIFE_H_
