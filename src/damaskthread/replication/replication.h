#ifndef DAMASKTHREAD_REPLICATION_REPLICATION_H_
#define DAMASKTHREAD_REPLICATION_REPLICATION_H_

/// @file
/// @brief Configuration replication: selects the daemons that poll the log and fetches from peers that are ahead.

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

/// Configuration held by a daemon. The bytes are opaque to this module.
class ConfigSource {
 public:
  virtual ~ConfigSource() = default;
  /// Number of accepted changes that are in force.
  [[nodiscard]] virtual std::uint64_t revision() const = 0;
  /// Log position up to which records have been replayed.
  [[nodiscard]] virtual std::uint64_t offset() const = 0;
  /// @brief Returns complete records after an offset, in log order.
  /// @param offset Current offset of the requesting daemon.
  /// @param max_bytes Maximum size of the answer; one record is returned even if it is larger.
  /// @return `std::nullopt` if the records after `offset` are no longer held; the state is sent instead.
  [[nodiscard]] virtual std::optional<std::string> records_since(std::uint64_t offset, std::size_t max_bytes) const = 0;
  /// Serialized configuration in force, including its revision and offset.
  [[nodiscard]] virtual std::string state() const = 0;
};

/// Applies configuration received from a peer. Implementations must never revert to a lower revision.
class ConfigSink {
 public:
  virtual ~ConfigSink() = default;
  /// @return Whether the bytes are well-formed and continue at the current offset.
  virtual bool apply_records(std::string_view bytes) = 0;
  /// @return Whether the bytes are well-formed and not older than the configuration in force.
  virtual bool apply_state(std::string_view bytes) = 0;
};

/// Options of Replication.
struct Options {
  /// Daemons per failure domain that poll the log. Polling continues if two fail at once.
  std::size_t pollers_per_zone = 3;
  /// Time after which an unanswered request to a peer is abandoned.
  core::Duration request_timeout = std::chrono::seconds{1};
  /// Minimum time between fetches that advance only the offset. A rejected record advances the offset but not the
  /// revision, so these are not urgent.
  core::Duration offset_refresh = std::chrono::seconds{30};
  /// Time that a member must have been behind to be reported as lagging. Longer than a change may take to be in force
  /// everywhere.
  core::Duration lag_after = std::chrono::seconds{12};
  /// Time without a digest from a member after which its revision is considered unknown.
  core::Duration unknown_after = std::chrono::hours{1};
  /// Maximum age of a digest used to decide whether its sender is behind. Ring neighbours send one every second.
  core::Duration fresh = std::chrono::seconds{5};
  /// Maximum size of the records in one answer.
  std::size_t records_bytes = std::size_t{48} * 1024;
  /// Maximum size of a transfer assembled from parts. Fits 230 services with declarations of the maximum size.
  std::size_t max_transfer_bytes = std::size_t{32} * 1024 * 1024;
};

/// Last known configuration position of one member.
struct PeerConfig {
  core::ServerId id;
  std::optional<wire::ConfigDigest> digest;  ///< Last received digest; empty if none arrived lately.
  core::TimePoint heard{};
  /// How long it has been behind this daemon; empty if it is not behind or its digest is too old.
  std::optional<core::Duration> behind;
};

/// Counters of transfers at one daemon.
struct Counters {
  std::uint64_t requests_sent = 0;
  std::uint64_t requests_served = 0;
  std::uint64_t transfers_applied = 0;
  std::uint64_t transfers_refused = 0;  ///< Too large, rejected by the sink, or did not advance the digest.
  std::uint64_t stale_dropped = 0;      ///< Unexpected chunks, and transfers not newer than the current configuration.
  std::uint64_t timeouts = 0;
};

/// Replication protocol of one daemon. Performs no I/O: the daemon polls the log, sends the returned messages and
/// passes in received ones.
class Replication {
 public:
  Replication(core::ServerId self, ConfigSource& source, ConfigSink& sink, Options options = {});

  /// @brief Updates the member list. Must be called when the membership version changes.
  void set_view(std::span<const membership::Member> members, core::TimePoint now);

  /// @brief Returns whether this daemon polls the log for its failure domain.
  [[nodiscard]] bool polls_log() const noexcept { return polls_log_; }

  /// @brief Returns the digest attached to every control message; passed to Membership::set_digest().
  [[nodiscard]] wire::ConfigDigest digest() const;

  /// @brief Handles the digest, request or chunk of a received message.
  [[nodiscard]] std::vector<wire::Outgoing> receive(const wire::Sender& sender, const wire::Message& message,
                                                    core::TimePoint now);
  /// @brief Abandons requests that timed out, starts new fetches and updates lag notes.
  [[nodiscard]] std::vector<wire::Outgoing> tick(core::TimePoint now, core::Random& random);

  /// @brief Returns new lag notes about members that send to this daemon directly; passed to Membership::spread().
  [[nodiscard]] std::vector<wire::LagNote> take_lag_notes() { return std::exchange(lag_notes_, {}); }

  /// @brief Returns the last known configuration position of every member, sorted by id.
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
    std::optional<wire::ConfigDigest> source_digest;  ///< Digest of the parts received so far.
    std::uint32_t parts = 1;
    std::string received_bytes;
  };
  struct Payload {
    wire::ConfigDigest source_digest;
    std::string bytes;
  };

  void update_peer_digest(core::ServerId id, Peer& peer, const wire::ConfigDigest& digest, core::TimePoint now);
  void fetch_from_peer_ahead(core::TimePoint now, core::Random& random, std::vector<wire::Outgoing>& out);
  void update_lag_note(core::ServerId id, Peer& peer, core::TimePoint now);
  [[nodiscard]] bool should_fetch(const wire::ConfigDigest& digest, core::TimePoint now) const;
  void fetch(core::ServerId id, bool state, core::TimePoint now, std::vector<wire::Outgoing>& out);
  void request_part(core::TimePoint now, std::vector<wire::Outgoing>& out);
  void serve(const wire::ConfigRequest& request, const std::string& address, std::vector<wire::Outgoing>& out);
  [[nodiscard]] const std::string& cached_state();
  void handle_chunk(core::ServerId from, const wire::ConfigChunk& chunk, core::TimePoint now,
                    std::vector<wire::Outgoing>& out);
  void finish_transfer(core::TimePoint now, std::vector<wire::Outgoing>& out);

  core::ServerId self_;
  ConfigSource& source_;
  ConfigSink& sink_;
  Options options_;
  bool polls_log_ = true;
  std::unordered_map<core::ServerId, Peer> peers_;
  std::unordered_set<core::ServerId> lag_candidates_;  ///< Peers that are behind or reported as lagging.
  std::uint64_t highest_known_revision_ = 0;           ///< Avoids searching for peers that are ahead.
  std::optional<Fetch> fetch_;
  std::optional<core::TimePoint> offset_fetched_;
  std::optional<Payload> state_cache_;
  std::vector<wire::LagNote> lag_notes_;
  Counters counters_;
};

/// @brief Returns whether a daemon polls the log for its failure domain, selected by rendezvous hashing over the view.
/// @param self The daemon.
/// @param zone Failure domain of the daemon.
/// @param members The view; `self` may be missing from it. Leaving, suspect and dead members are ignored.
/// @param count Number of pollers per failure domain.
[[nodiscard]] bool is_poller(core::ServerId self, std::string_view zone, std::span<const membership::Member> members,
                             std::size_t count);

}  // namespace damaskthread::replication

#endif  // DAMASKTHREAD_REPLICATION_REPLICATION_H_
