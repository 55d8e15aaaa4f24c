#ifndef DAMASKTHREAD_MEMBERSHIP_MEMBERSHIP_H_
#define DAMASKTHREAD_MEMBERSHIP_MEMBERSHIP_H_

/// @file
/// @brief Gossip-based membership and failure detection with direct and indirect probes. Performs no I/O.

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/membership/member.h"
#include "damaskthread/membership/member_table.h"
#include "damaskthread/membership/options.h"
#include "damaskthread/membership/update_queue.h"
#include "damaskthread/wire/message.h"

namespace damaskthread::membership {

/// Counters of membership events at one daemon.
struct Counters {
  std::uint64_t probes = 0;
  std::uint64_t probe_failures = 0;
  std::uint64_t suspicions = 0;   ///< Started by this daemon.
  std::uint64_t deaths = 0;       ///< Declared by this daemon after a suspicion timed out.
  std::uint64_t refutations = 0;  ///< Claims about this daemon that it refuted.
  std::uint64_t pauses = 0;       ///< Process pauses detected by late ticks.
  std::uint64_t stale_messages = 0;
  std::uint64_t syncs = 0;  ///< View digests sent because views differ.
};

/// Membership protocol of one daemon. Not thread-safe.
class Membership {
 public:
  /// @param self Id and incarnation of this daemon.
  /// @param info Addresses and attributes that it announces.
  /// @param seeds Control addresses to join through.
  Membership(wire::Sender self, wire::MemberInfo info, std::vector<std::string> seeds, Options options = {});

  /// @brief Runs the timers that are due. Must be called every `Options::tick_period`.
  [[nodiscard]] std::vector<wire::Outgoing> tick(core::TimePoint now, core::Random& random);
  /// @brief Handles a message that Authenticator::open() has accepted.
  [[nodiscard]] std::vector<wire::Outgoing> receive(const wire::Sender& sender, const wire::Message& message,
                                                    core::TimePoint now);

  /// @brief Announces that this daemon accepts no new work. Cannot be undone within the incarnation. Sent on the next
  /// tick.
  void announce_leaving();
  /// @brief Adds join addresses, such as those from announcement records in the log.
  void add_seeds(std::vector<std::string> addresses);

  /// @brief Sets the configuration digest that is attached to all further messages.
  void set_digest(const wire::ConfigDigest& digest) { digest_ = digest; }
  /// @brief Spreads crash marks reported by this daemon, or increased crash counts.
  void spread(const std::vector<wire::CrashMark>& marks, core::TimePoint now);
  /// @brief Spreads lag notes reported by this daemon.
  void spread(const std::vector<wire::LagNote>& notes, core::TimePoint now);
  /// @brief Returns the marks received from others since the last call, each once per increase of its count.
  [[nodiscard]] std::vector<wire::CrashMark> take_marks();
  /// @brief Returns the members that are reported to lag, and for how long.
  [[nodiscard]] std::vector<wire::LagNote> lagging(core::TimePoint now) const;

  /// @brief Returns all members, including this daemon and retained dead members, in unspecified order.
  [[nodiscard]] std::vector<Member> members() const;
  /// @brief Finds a member by id; this daemon is included.
  [[nodiscard]] std::optional<Member> find(core::ServerId id) const;
  /// @brief Incremented on every change visible through members(); routers are refreshed when it changes.
  [[nodiscard]] std::uint64_t version() const noexcept { return table_.version() + self_version_; }
  /// Number of members that are not dead, excluding this daemon.
  [[nodiscard]] std::size_t live_count() const noexcept { return table_.ring().size(); }
  /// Whether a full member list has been received from another daemon since the start.
  [[nodiscard]] bool joined() const noexcept { return joined_; }
  /// Whether this daemon receives no messages at all; it declares no member dead while isolated.
  [[nodiscard]] bool isolated(core::TimePoint now) const;
  [[nodiscard]] const Counters& counters() const noexcept { return counters_; }

 private:
  using Entry = MemberTable::Entry;
  using Outbox = std::vector<wire::Outgoing>;

  struct Probe {
    std::uint32_t number = 0;
    core::ServerId target;
    core::TimePoint started;
    bool indirect = false;
    bool target_dead = false;
  };
  struct Relay {
    std::uint32_t number = 0;
    core::ServerId target;
    std::uint32_t requester_probe = 0;
    std::string requester_address;
    core::TimePoint expires;
  };
  struct MarkRecord {
    wire::CrashMark mark;
    core::TimePoint last_crash;
  };
  struct LagRecord {
    wire::LagNote note;
    core::TimePoint since;
    core::TimePoint received_at;
  };

  // Updates the internal clock, which excludes pauses of this process so that a pause does not expire timers.
  core::TimePoint update_clock(core::TimePoint now);
  [[nodiscard]] core::Duration scaled_timeout(core::Duration timeout) const noexcept {
    return timeout * (1 + local_health_multiplier_);
  }

  // membership.cc
  // Merges a gossiped update and forwards it. Ids without known MemberInfo are added to `requested_ids`.
  void merge_gossiped(const wire::MemberDelta& delta, std::vector<core::ServerId>& requested_ids);
  // Merges an entry of another daemon's view. Claims that a known member is dead are left to verify_claims().
  void merge_synced(const wire::MemberDelta& delta, bool spread, std::vector<core::ServerId>& requested_ids);
  void handle_self_claim(const wire::MemberDelta& delta);
  void notify_if_not_alive(const wire::Sender& sender, Outbox& out);
  [[nodiscard]] wire::MemberDelta self_delta(bool with_info) const;
  [[nodiscard]] wire::Message message(wire::Body body) const;
  void piggyback_updates(wire::Message& message, std::size_t used = 0);
  [[nodiscard]] std::size_t retransmit_limit() const noexcept;
  [[nodiscard]] std::uint64_t view_hash() const noexcept;
  [[nodiscard]] std::array<std::uint64_t, wire::kViewBuckets> view_buckets() const noexcept;
  void merge_marks(const std::vector<wire::CrashMark>& marks, bool own);
  void merge_lag_notes(const std::vector<wire::LagNote>& notes);

  // probing.cc
  void send_ping(std::uint32_t number, core::ServerId target, bool with_self, const wire::MemberDelta* claim,
                 Outbox& out);
  void start_probe(core::ServerId target, bool target_dead, const wire::MemberDelta* claim, Outbox& out);
  void check_probes(core::Random& random, Outbox& out);
  void send_ping_requests(const Probe& probe, core::Random& random, Outbox& out);
  void handle_probe_failure(const Probe& probe, Outbox& out);
  // Notifies a suspect so that it can refute immediately.
  void notify_suspect(const Entry& entry, Outbox& out) const;
  void expire_suspicions();
  void end_isolation(Outbox& out);
  void probe_next(core::Random& random, Outbox& out);
  void probe_dead(core::Random& random, Outbox& out);
  void verify_claims(Outbox& out);
  void gossip(core::Random& random, Outbox& out);
  void send_gossip(core::ServerId id, Outbox& out);
  [[nodiscard]] core::ServerId random_member(core::Random& random) const;
  [[nodiscard]] core::ServerId random_probe_partner(core::Random& random);
  void handle(const wire::Sender& sender, const wire::Ping& body, const wire::Message& message, Outbox& out);
  void handle(const wire::Sender& sender, const wire::Ack& body, const wire::Message& message, Outbox& out);
  void handle(const wire::Sender& sender, const wire::PingRequest& body, const wire::Message& message, Outbox& out);

  // sync.cc
  void join(core::Random& random, Outbox& out);
  void request_members_from_seed(core::Random& random, Outbox& out);
  void handle(const wire::Sender& sender, const wire::Gossip& body, const wire::Message& message, Outbox& out);
  void handle(const wire::Sender& sender, const wire::MembersRequest& body, const wire::Message& message, Outbox& out);
  void handle(const wire::Sender& sender, const wire::ViewDigest& body, const wire::Message& message, Outbox& out);
  void handle(const wire::Sender& sender, const wire::MemberSummary& body, const wire::Message& message, Outbox& out);
  void handle(const wire::Sender& sender, const wire::MemberState& body, const wire::Message& message, Outbox& out);
  void handle(const wire::Sender& sender, const wire::ConfigRequest& body, const wire::Message& message, Outbox& out);
  void handle(const wire::Sender& sender, const wire::ConfigChunk& body, const wire::Message& message, Outbox& out);
  void send_members(const std::string& address, std::span<const core::ServerId> ids, bool all, std::size_t max_bytes,
                    Outbox& out) const;
  // Returns deltas for entries that are newer than in, or missing from, the summary of another daemon.
  [[nodiscard]] std::vector<wire::MemberDelta> newer_than(const wire::MemberSummary& body,
                                                          const wire::Message& message) const;
  [[nodiscard]] bool sync_due();
  [[nodiscard]] std::optional<wire::MemberDelta> delta_of(core::ServerId id, bool with_info) const;
  // Returns an empty string if the member is unknown.
  [[nodiscard]] std::string address_of(core::ServerId id) const;

  wire::Sender self_;
  std::shared_ptr<const wire::MemberInfo> info_;
  std::uint32_t refutation_ = 0;
  bool leaving_ = false;
  bool announce_leaving_ = false;
  std::vector<std::string> seeds_;
  Options options_;
  MemberTable table_;
  UpdateQueue<core::ServerId> updates_;
  std::uint64_t self_version_ = 0;
  std::uint64_t self_hash_ = 0;
  std::optional<wire::ConfigDigest> digest_;

  std::optional<core::TimePoint> last_tick_;
  core::Duration paused_{0};
  core::TimePoint now_{};
  core::TimePoint started_{};
  // Incremented by late ticks and failed probes, decremented by answered probes. Scales this daemon's timeouts.
  int local_health_multiplier_ = 0;
  core::TimePoint last_heard_{};
  std::size_t silent_failures_ = 0;

  std::uint32_t next_number_ = 0;
  std::vector<Probe> probes_;
  std::deque<Relay> relays_;
  std::deque<wire::MemberDelta> pending_verifications_;
  core::TimePoint next_probe_{};
  core::TimePoint next_dead_probe_{};
  core::TimePoint next_gossip_{};
  core::TimePoint next_expiry_{};
  std::size_t probe_slot_ = 0;
  std::vector<core::ServerId> probe_partners_;

  bool joined_ = false;
  core::TimePoint next_join_{};
  core::TimePoint next_sync_{};
  core::TimePoint next_seed_{};
  std::size_t rotation_offset_ = 0;
  std::size_t join_attempts_ = 0;

  std::unordered_map<std::uint64_t, MarkRecord> marks_;  ///< Keyed by a hash of fingerprint and origin.
  std::deque<std::uint64_t> mark_order_;
  UpdateQueue<std::uint64_t> mark_updates_;
  std::vector<wire::CrashMark> received_marks_;
  std::unordered_map<core::ServerId, LagRecord> lags_;
  UpdateQueue<core::ServerId> lag_updates_;
  Counters counters_;
};

}  // namespace damaskthread::membership

#endif  // DAMASKTHREAD_MEMBERSHIP_MEMBERSHIP_H_
