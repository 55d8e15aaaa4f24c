#ifndef DAMASKTHREAD_MEMBERSHIP_MEMBER_TABLE_H_
#define DAMASKTHREAD_MEMBERSHIP_MEMBER_TABLE_H_

/// @file
/// @brief Member table of one daemon and the precedence rules for claims about members.

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/membership/member.h"
#include "damaskthread/membership/options.h"
#include "damaskthread/wire/message.h"

namespace damaskthread::membership {

/// Result of merging a claim.
enum class MergeResult : std::uint8_t {
  kIgnored,      ///< Older than or equal to what is known.
  kApplied,      ///< Newer than the stored state; the table was updated.
  kInfoMissing,  ///< The member or incarnation is unknown and the claim carries no MemberInfo.
};

/// Members other than the local daemon, including dead ones, and a hash ring of those that are not dead.
class MemberTable {
 public:
  struct Entry {
    Member member;
    wire::Health health = wire::Health::kAlive;
    bool leaving = false;
    core::TimePoint suspect_since{};  ///< On the clock of the `now` arguments, minus the age of the claim.
    core::TimePoint dead_since{};
    core::TimePoint known_since{};                 ///< When this incarnation was first seen.
    std::optional<core::TimePoint> last_notified;  ///< When the member was last notified that it is suspect or dead.
  };
  struct RingPoint {
    std::uint64_t hash = 0;
    core::ServerId id;
    auto operator<=>(const RingPoint&) const = default;
  };

  explicit MemberTable(const Options& options) : options_{options} {}

  /// @brief Applies a claim if it is newer, ordered by incarnation, then refutation counter, then health. The leaving
  /// flag is sticky for the rest of the incarnation.
  MergeResult merge(const wire::MemberDelta& delta, core::TimePoint now);

  [[nodiscard]] const Entry* find(core::ServerId id) const;
  [[nodiscard]] Entry* find(core::ServerId id);
  /// @brief Builds the claim that this daemon sends about a member.
  /// @param with_info Whether to include MemberInfo, which daemons that do not know the member need.
  [[nodiscard]] static wire::MemberDelta delta_of(const Entry& entry, bool with_info, core::TimePoint now);

  /// Members that are not dead, sorted by hash.
  [[nodiscard]] std::span<const RingPoint> ring() const noexcept { return ring_; }
  /// Ids of the retained dead members, oldest first.
  [[nodiscard]] std::span<const core::ServerId> dead() const noexcept { return dead_; }
  [[nodiscard]] const std::vector<core::ServerId>& suspects() const noexcept { return suspects_; }
  /// @brief Returns the alive members that follow a point on the ring.
  /// @param hash Point on the ring.
  /// @param count Maximum number of members.
  [[nodiscard]] std::vector<core::ServerId> successors(std::uint64_t hash, std::size_t count) const;
  /// Ids of the members in a bucket that are not dead.
  [[nodiscard]] std::vector<core::ServerId> ids_in_bucket(std::size_t bucket) const;
  /// Hash per bucket over id, incarnation, refutation counter and leaving flag of the members that are not dead.
  [[nodiscard]] const std::array<std::uint64_t, wire::kViewBuckets>& bucket_hashes() const noexcept { return buckets_; }

  /// @brief Restarts all suspicion timeouts, for a daemon that could not have received a refutation.
  void restart_suspicions(core::TimePoint now);
  /// @brief Returns whether this member's control address is registered to another id.
  [[nodiscard]] bool is_superseded(const Entry& entry) const;
  /// @brief Returns whether a member that is not dead has this control address.
  [[nodiscard]] bool has_live_member_at(const std::string& address) const;

  /// @brief Removes dead members that exceed the retention time or the maximum count.
  void expire(core::TimePoint now);

  /// Incremented on every change visible through members().
  [[nodiscard]] std::uint64_t version() const noexcept { return version_; }
  [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }
  [[nodiscard]] const std::unordered_map<core::ServerId, Entry>& entries() const noexcept { return entries_; }

  /// @brief Returns the hash that determines the ring position and bucket of an id.
  [[nodiscard]] static std::uint64_t hash(core::ServerId id) noexcept;
  [[nodiscard]] static std::size_t bucket_of(std::uint64_t hash) noexcept { return hash % wire::kViewBuckets; }
  /// @brief Returns the hash that one member contributes to its bucket hash.
  [[nodiscard]] static std::uint64_t fingerprint(core::ServerId id, core::Incarnation incarnation,
                                                 std::uint32_t refutation, bool leaving) noexcept;

 private:
  // Removes the entry from the ring, lists and hashes, applies `change` and adds it back.
  template <typename Change>
  void update(Entry& entry, const Change& change, core::TimePoint now);
  void add_to_indexes(Entry& entry, core::TimePoint now);
  void remove_from_indexes(const Entry& entry);
  MergeResult insert(const wire::MemberDelta& delta, core::TimePoint now);
  // When two servers claim one address, the larger incarnation holds it.
  [[nodiscard]] bool address_taken_by_newer(const wire::MemberDelta& delta) const;
  void mark_previous_dead(const wire::MemberDelta& delta, core::TimePoint now);
  void remove(core::ServerId id);

  Options options_;
  std::unordered_map<core::ServerId, Entry> entries_;
  std::unordered_map<std::string, core::ServerId> by_address_;
  std::vector<RingPoint> ring_;
  std::vector<core::ServerId> dead_;
  std::vector<core::ServerId> suspects_;
  std::array<std::uint64_t, wire::kViewBuckets> buckets_{};
  std::uint64_t version_ = 1;
};

}  // namespace damaskthread::membership

#endif  // DAMASKTHREAD_MEMBERSHIP_MEMBER_TABLE_H_
