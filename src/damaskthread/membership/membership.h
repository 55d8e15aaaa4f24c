#ifndef DAMASKTHREAD_MEMBERSHIP_MEMBERSHIP_H_
#define DAMASKTHREAD_MEMBERSHIP_MEMBERSHIP_H_

/// @file
/// @brief Who is there: gossip with direct and indirect probes. Does no I/O.

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

struct Counters {
  std::uint64_t probes = 0;
  std::uint64_t probe_failures = 0;
  std::uint64_t suspicions = 0;   ///< Started here.
  std::uint64_t deaths = 0;       ///< Declared here after a suspicion.
  std::uint64_t refutations = 0;  ///< Of claims about this daemon.
  std::uint64_t pauses = 0;       ///< Late ticks.
  std::uint64_t stale_messages = 0;
  std::uint64_t syncs = 0;  ///< Digests sent because views differ.
};

/// The membership of one daemon. Not thread-safe.
class Membership {
 public:
  /// @param self Id and incarnation of this daemon.
  /// @param info What it announces.
  /// @param seeds Control addresses to join through.
  Membership(wire::Sender self, wire::MemberInfo info, std::vector<std::string> seeds, Options options = {});

  /// @brief Does what is due; called every `Options::tick_period`.
  [[nodiscard]] std::vector<wire::Outgoing> tick(core::TimePoint now, core::Random& random);
  /// @brief Takes a message that Authenticator::open() has let through.
  [[nodiscard]] std::vector<wire::Outgoing> receive(const wire::Sender& sender, const wire::Message& message,
                                                    core::TimePoint now);

  /// @brief Announces that this daemon takes no new work; cannot be taken back within the incarnation. The next tick
  /// sends it out.
  void announce_leaving();
  /// @brief Adds addresses to join through, such as those of announcement records on the log.
  void add_seeds(std::vector<std::string> addresses);

  /// @brief The digest that rides on probes and acks from now on.
  void set_digest(const wire::ConfigDigest& digest) { digest_ = digest; }
  /// @brief Spreads crash marks of this daemon, or raised counts of them.
  void spread(const std::vector<wire::CrashMark>& marks, core::TimePoint now);
  /// @brief Spreads lag notes of this daemon.
  void spread(const std::vector<wire::LagNote>& notes, core::TimePoint now);
  /// @brief Marks heard from others since the last call, each once per raised count.
  [[nodiscard]] std::vector<wire::CrashMark> take_marks();
  /// @brief The members that are reported to lag, with how long.
  [[nodiscard]] std::vector<wire::LagNote> lagging(core::TimePoint now) const;

  /// @brief All members including this daemon and the remembered dead, in no order.
  [[nodiscard]] std::vector<Member> members() const;
  /// @brief A member by id, this daemon included.
  [[nodiscard]] std::optional<Member> find(core::ServerId id) const;
  /// @brief Raised by every change that members() shows; routers are refreshed when it has moved.
  [[nodiscard]] std::uint64_t version() const noexcept { return table_.version() + self_version_; }
  /// Members not held to be dead, without this daemon.
  [[nodiscard]] std::size_t living() const noexcept { return table_.ring().size(); }
  /// Whether the members have been received from another daemon since the start.
  [[nodiscard]] bool joined() const noexcept { return joined_; }
  /// Whether nothing arrives from anybody; nobody is declared dead meanwhile.
  [[nodiscard]] bool isolated(core::TimePoint now) const;
  [[nodiscard]] const Counters& counters() const noexcept { return counters_; }

 private:
  using Entry = MemberTable::Entry;
  using Out = std::vector<wire::Outgoing>;

  struct Probe {
    std::uint32_t number = 0;
    core::ServerId target;
    core::TimePoint started;
    bool indirect = false;
    bool of_dead = false;
  };
  struct Relay {
    std::uint32_t number = 0;
    core::ServerId target;
    std::uint32_t requester_probe = 0;
    std::string requester_address;
    core::TimePoint expires;
  };
  struct Mark {
    wire::CrashMark mark;
    core::TimePoint last_crash;
  };
  struct Lag {
    wire::LagNote note;
    core::TimePoint since;
    core::TimePoint heard;
  };

  // Time that leaves out pauses of this process, so that a pause ends no timer.
  core::TimePoint advance(core::TimePoint now);
  [[nodiscard]] core::Duration widened(core::Duration timeout) const noexcept { return timeout * (1 + slowness_); }

  // membership.cc
  // Applies news that spreads. Ids that are known nowhere here go to `wanted`.
  void merge_fresh(const wire::MemberDelta& delta, std::vector<core::ServerId>& wanted);
  // Applies what another view holds; claims of a death are left to verify_claims().
  void merge_synced(const wire::MemberDelta& delta, bool spread, std::vector<core::ServerId>& wanted);
  void hear_about_self(const wire::MemberDelta& delta);
  void answer_claims_about(const wire::Sender& sender, Out& out);
  [[nodiscard]] wire::MemberDelta self_delta(bool with_info) const;
  [[nodiscard]] wire::Message message(wire::Body body) const;
  void fill(wire::Message& message, std::size_t used = 0);
  [[nodiscard]] std::size_t sends() const noexcept;
  [[nodiscard]] std::uint64_t view_hash() const noexcept;
  [[nodiscard]] std::array<std::uint64_t, wire::kViewBuckets> view_buckets() const noexcept;
  void hear_marks(const std::vector<wire::CrashMark>& marks, bool own);
  void hear_lags(const std::vector<wire::LagNote>& notes);

  // probing.cc
  void send_ping(std::uint32_t number, core::ServerId target, bool with_self, const wire::MemberDelta* claim, Out& out);
  void start_probe(core::ServerId target, bool of_dead, const wire::MemberDelta* claim, Out& out);
  void check_probes(core::Random& random, Out& out);
  void ask_proxies(const Probe& probe, core::Random& random, Out& out);
  void probe_failed(const Probe& probe, Out& out);
  // Gives a suspect the chance to refute at once.
  void notify_suspect(const Entry& entry, Out& out) const;
  void end_suspicions();
  void end_isolation(Out& out);
  void probe_next(core::Random& random, Out& out);
  void probe_dead(core::Random& random, Out& out);
  void verify_claims(Out& out);
  void gossip(core::Random& random, Out& out);
  void gossip_to(core::ServerId id, Out& out);
  [[nodiscard]] core::ServerId random_member(core::Random& random) const;
  [[nodiscard]] core::ServerId random_partner(core::Random& random);
  void handle(const wire::Sender& sender, const wire::Ping& body, const wire::Message& message, Out& out);
  void handle(const wire::Sender& sender, const wire::Ack& body, const wire::Message& message, Out& out);
  void handle(const wire::Sender& sender, const wire::PingRequest& body, const wire::Message& message, Out& out);

  // sync.cc
  void join(core::Random& random, Out& out);
  void ask_seed(core::Random& random, Out& out);
  void handle(const wire::Sender& sender, const wire::Gossip& body, const wire::Message& message, Out& out);
  void handle(const wire::Sender& sender, const wire::MembersRequest& body, const wire::Message& message, Out& out);
  void handle(const wire::Sender& sender, const wire::ViewDigest& body, const wire::Message& message, Out& out);
  void handle(const wire::Sender& sender, const wire::MemberSummary& body, const wire::Message& message, Out& out);
  void handle(const wire::Sender& sender, const wire::MemberState& body, const wire::Message& message, Out& out);
  void handle(const wire::Sender& sender, const wire::ConfigRequest& body, const wire::Message& message, Out& out);
  void handle(const wire::Sender& sender, const wire::ConfigChunk& body, const wire::Message& message, Out& out);
  void send_members(const std::string& address, std::span<const core::ServerId> ids, bool all, std::size_t max_bytes,
                    Out& out) const;
  // Deltas of what this view holds newer than, or beside, a summary of another.
  [[nodiscard]] std::vector<wire::MemberDelta> newer_than(const wire::MemberSummary& body,
                                                          const wire::Message& message) const;
  [[nodiscard]] bool sync_due();
  [[nodiscard]] std::optional<wire::MemberDelta> delta_of(core::ServerId id, bool with_info) const;
  // Empty if the member is not known.
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
  // Raised by a late tick and by failed probes, lowered by answered ones; widens this daemon's timeouts.
  int slowness_ = 0;
  core::TimePoint last_heard_{};
  std::size_t silent_failures_ = 0;

  std::uint32_t next_number_ = 0;
  std::vector<Probe> probes_;
  std::deque<Relay> relays_;
  std::deque<wire::MemberDelta> to_verify_;
  core::TimePoint next_probe_{};
  core::TimePoint next_dead_probe_{};
  core::TimePoint next_gossip_{};
  core::TimePoint next_expiry_{};
  std::size_t probe_slot_ = 0;
  std::vector<core::ServerId> partners_;

  bool joined_ = false;
  core::TimePoint next_join_{};
  core::TimePoint next_sync_{};
  core::TimePoint next_seed_{};
  std::size_t rotation_ = 0;
  std::size_t join_turn_ = 0;

  std::unordered_map<std::uint64_t, Mark> marks_;  ///< By fingerprint and origin.
  std::deque<std::uint64_t> mark_order_;
  UpdateQueue<std::uint64_t> mark_updates_;
  std::vector<wire::CrashMark> heard_marks_;
  std::unordered_map<core::ServerId, Lag> lags_;
  UpdateQueue<core::ServerId> lag_updates_;
  Counters counters_;
};

}  // namespace damaskthread::membership

#endif  // DAMASKTHREAD_MEMBERSHIP_MEMBERSHIP_H_
