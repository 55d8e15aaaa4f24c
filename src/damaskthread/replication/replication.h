#ifndef DAMASKTHREAD_REPLICATION_REPLICATION_H_
#define DAMASKTHREAD_REPLICATION_REPLICATION_H_

/// @file
/// @brief How configuration reaches every daemon: who polls the log, and fetching from peers that are ahead.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/membership/member.h"
#include "damaskthread/replication/fwd.h"
#include "damaskthread/wire/message.h"

namespace damaskthread::replication {

/// What a daemon holds of the configuration. The bytes are opaque to this module.
class ConfigSource {
 public:
  virtual ~ConfigSource() = default;
  /// Number of accepted changes in force.
  [[nodiscard]] virtual std::uint64_t revision() const = 0;
  /// Position in the log up to which records are replayed.
  [[nodiscard]] virtual std::uint64_t offset() const = 0;
  /// @brief Whole records after an offset, in log order.
  /// @param offset Where the asking daemon stands.
  /// @param max_bytes Bound on the answer; one record is returned even if it is larger.
  /// @return Nothing if the records after `offset` are no longer held; the state is sent then.
  [[nodiscard]] virtual std::optional<std::string> records_since(std::uint64_t offset, std::size_t max_bytes) const = 0;
  /// Everything in force, with its revision and offset.
  [[nodiscard]] virtual std::string state() const = 0;
};

/// Takes configuration that came from a peer. Implementations never move to a lower revision.
class ConfigSink {
 public:
  virtual ~ConfigSink() = default;
  /// @return Whether the bytes were well-formed and continue at the offset in force.
  virtual bool apply_records(std::string_view bytes) = 0;
  /// @return Whether the bytes were well-formed and not older than what is in force.
  virtual bool apply_state(std::string_view bytes) = 0;
};

/// Tuning of Replication.
struct Options {
  /// Daemons per failure domain that poll the log. Two can die at once without a gap.
  std::size_t pollers_per_zone = 3;
  /// After this a peer that has not answered a request is passed over.
  core::Duration request_timeout = std::chrono::seconds{1};
  /// Offsets move without a change of revision when a record is refused; following them is not urgent.
  core::Duration offset_refresh = std::chrono::seconds{30};
  /// A member is reported as lagging when it stays behind for longer than a change may take to be in force everywhere.
  core::Duration lag_after = std::chrono::seconds{12};
  /// Time without word from a member after which its revision counts as unknown.
  core::Duration unknown_after = std::chrono::hours{1};
  /// A digest heard longer ago says nothing about whether its sender is behind now. Ring neighbours are heard every
  /// second.
  core::Duration fresh = std::chrono::seconds{5};
  /// Records asked for at once.
  std::size_t records_bytes = std::size_t{48} * 1024;
  /// Bound on a state that is put together from parts: 230 services with the largest declaration fit.
  std::size_t max_transfer_bytes = std::size_t{32} * 1024 * 1024;
};

/// What is known about the configuration of one member.
struct PeerConfig {
  core::ServerId id;
  std::optional<wire::ConfigDigest> digest;  ///< Last one heard; nothing if the member is unknown.
  core::TimePoint heard{};
  /// How long it has been behind this daemon; nothing if it is not, or has not been heard lately.
  std::optional<core::Duration> behind;
};

struct Counters {
  std::uint64_t requests_sent = 0;
  std::uint64_t requests_served = 0;
  std::uint64_t transfers_applied = 0;
  std::uint64_t transfers_refused = 0;  ///< Refused by the sink, too large or out of step.
  std::uint64_t stale_dropped = 0;      ///< Not ahead of what is in force.
  std::uint64_t timeouts = 0;
};

/// Decides without I/O; the daemon polls the log, sends what is returned and hands in what arrives.
class Replication {
 public:
  Replication(core::ServerId self, ConfigSource& source, ConfigSink& sink, Options options = {});

  /// @brief Takes a new view; called when the version of the membership has changed.
  void set_view(std::span<const membership::Member> members, core::TimePoint now);

  /// @brief Whether this daemon is one of those in its failure domain that poll the log.
  [[nodiscard]] bool polls_log() const noexcept { return polls_log_; }

  /// @brief What rides on every control message; handed to Membership::set_digest().
  [[nodiscard]] wire::ConfigDigest digest() const;

  /// @brief Takes any message: the digest that rides on it, a request or a chunk.
  [[nodiscard]] std::vector<wire::Outgoing> receive(const wire::Sender& sender, const wire::Message& message,
                                                    core::TimePoint now);
  /// @brief Repeats requests that were not answered and notes who lags.
  [[nodiscard]] std::vector<wire::Outgoing> tick(core::TimePoint now, core::Random& random);

  /// @brief Lag notes to spread, of members that this daemon hears directly; handed to Membership::spread().
  [[nodiscard]] std::vector<wire::LagNote> take_lag_notes() { return std::exchange(lag_notes_, {}); }

  /// @brief What is known about every member's configuration, by id.
  [[nodiscard]] std::vector<PeerConfig> peers(core::TimePoint now) const;

  [[nodiscard]] const Counters& counters() const noexcept { return counters_; }

 private:
  struct Peer {
    core::Incarnation incarnation;
    std::string address;
    std::optional<wire::ConfigDigest> digest;
    core::TimePoint heard{};
    std::optional<core::TimePoint> behind_since;
    bool lag_noted = false;
  };
  struct Fetch {
    core::ServerId peer;
    wire::ConfigRequest request;
    core::TimePoint sent;
    std::optional<wire::ConfigDigest> reaches;  ///< Of the parts gathered so far.
    std::uint32_t parts = 1;
    std::string gathered;
  };
  struct Payload {
    wire::ConfigDigest reaches;
    std::string bytes;
  };

  void hear(core::ServerId id, Peer& peer, const wire::ConfigDigest& digest, core::TimePoint now);
  void retry(core::TimePoint now, core::Random& random, std::vector<wire::Outgoing>& out);
  void note_lag(core::ServerId id, Peer& peer, core::TimePoint now);
  [[nodiscard]] bool worth_fetching(const wire::ConfigDigest& digest, core::TimePoint now) const;
  void fetch(core::ServerId id, bool state, core::TimePoint now, std::vector<wire::Outgoing>& out);
  void request_part(core::TimePoint now, std::vector<wire::Outgoing>& out);
  void serve(const wire::ConfigRequest& request, const std::string& address, std::vector<wire::Outgoing>& out);
  [[nodiscard]] const std::string& cached_state();
  void take_chunk(core::ServerId from, const wire::ConfigChunk& chunk, core::TimePoint now,
                  std::vector<wire::Outgoing>& out);
  void finish_transfer(core::TimePoint now, std::vector<wire::Outgoing>& out);

  core::ServerId self_;
  ConfigSource& source_;
  ConfigSink& sink_;
  Options options_;
  bool polls_log_ = true;
  std::unordered_map<core::ServerId, Peer> peers_;
  std::unordered_set<core::ServerId> watched_;  ///< Peers that are behind or noted as such.
  std::uint64_t highest_heard_ = 0;             ///< Revision; spares the search for peers that are ahead.
  std::optional<Fetch> fetch_;
  std::optional<core::TimePoint> offset_fetched_;
  std::optional<Payload> state_cache_;
  std::vector<wire::LagNote> lag_notes_;
  Counters counters_;
};

/// @brief Whether a daemon is among those of its failure domain that poll the log: rendezvous hash over the view.
/// @param self The daemon.
/// @param zone Its failure domain.
/// @param members The view; `self` may be missing from it. Members that are leaving, suspect or dead do not count.
/// @param count Pollers per failure domain.
[[nodiscard]] bool is_poller(core::ServerId self, std::string_view zone, std::span<const membership::Member> members,
                             std::size_t count);

}  // namespace damaskthread::replication

#endif  // DAMASKTHREAD_REPLICATION_REPLICATION_H_
