#ifndef DAMASKTHREAD_MEMBERSHIP_MEMBER_TABLE_H_
#define DAMASKTHREAD_MEMBERSHIP_MEMBER_TABLE_H_

/// @file
/// @brief The view of one daemon and the rules by which claims about members replace each other.

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

/// What came of a claim.
enum class Merge : std::uint8_t {
  kIgnored,   ///< Older than or equal to what is known.
  kApplied,   ///< News.
  kWantInfo,  ///< About a member or incarnation that is not known; the claim came without its facts.
};

/// Members other than the daemon itself, living and dead, with the ring of the living.
class MemberTable {
 public:
  struct Entry {
    Member member;
    wire::Health health = wire::Health::kAlive;
    bool leaving = false;
    core::TimePoint suspect_since{};  ///< In the time of the caller, with the age of the claim taken off.
    core::TimePoint dead_since{};
    core::TimePoint known_since{};        ///< When this incarnation was first heard of.
    std::optional<core::TimePoint> told;  ///< When it was last told that it is held suspect or dead.
  };
  struct RingPoint {
    std::uint64_t hash = 0;
    core::ServerId id;
    auto operator<=>(const RingPoint&) const = default;
  };

  explicit MemberTable(const Options& options) : options_{options} {}

  /// @brief Applies a claim if it is newer: by incarnation, then refutation counter, then health. That a member is
  /// leaving holds for the rest of its incarnation, whatever comes later.
  Merge merge(const wire::MemberDelta& delta, core::TimePoint now);

  [[nodiscard]] const Entry* find(core::ServerId id) const;
  [[nodiscard]] Entry* find(core::ServerId id);
  /// @brief What this daemon claims about a member.
  /// @param with_info Whether a daemon that does not know the member can use the claim.
  [[nodiscard]] static wire::MemberDelta delta_of(const Entry& entry, bool with_info, core::TimePoint now);

  /// Members not held to be dead, by their hash.
  [[nodiscard]] std::span<const RingPoint> ring() const noexcept { return ring_; }
  /// Ids of the remembered dead, oldest first.
  [[nodiscard]] std::span<const core::ServerId> dead() const noexcept { return dead_; }
  [[nodiscard]] const std::vector<core::ServerId>& suspects() const noexcept { return suspects_; }
  /// @brief The members that follow a point on the ring and are not suspect.
  /// @param hash The point.
  /// @param count How many.
  [[nodiscard]] std::vector<core::ServerId> successors(std::uint64_t hash, std::size_t count) const;
  /// Ids in a bucket, dead ones left out.
  [[nodiscard]] std::vector<core::ServerId> in_bucket(std::size_t bucket) const;
  /// Hash per bucket over id, incarnation, refutation and leaving of the members not held to be dead.
  [[nodiscard]] const std::array<std::uint64_t, wire::kViewBuckets>& bucket_hashes() const noexcept { return buckets_; }

  /// @brief Lets every suspicion start anew; for a daemon that could not have heard a refutation.
  void restart_suspicions(core::TimePoint now);
  /// @brief Whether a server with a newer incarnation is at the address of a member.
  [[nodiscard]] bool displaced(const Entry& entry) const;
  /// @brief Whether a member that is not held to be dead has this control address.
  [[nodiscard]] bool living_at(const std::string& address) const;

  /// @brief Forgets dead members past the retention or beyond the bound.
  void expire(core::TimePoint now);

  /// Raised by every change of what members() shows.
  [[nodiscard]] std::uint64_t version() const noexcept { return version_; }
  [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }
  [[nodiscard]] const std::unordered_map<core::ServerId, Entry>& entries() const noexcept { return entries_; }

  /// @brief Hash that places an id on the ring and in its bucket.
  [[nodiscard]] static std::uint64_t hash(core::ServerId id) noexcept;
  [[nodiscard]] static std::size_t bucket_of(std::uint64_t hash) noexcept { return hash % wire::kViewBuckets; }
  /// @brief Share of one member in its bucket's hash.
  [[nodiscard]] static std::uint64_t fingerprint(core::ServerId id, core::Incarnation incarnation,
                                                 std::uint32_t refutation, bool leaving) noexcept;

 private:
  // Takes the entry out of ring, lists and hashes, lets `change` alter it and puts it back.
  template <typename Change>
  void update(Entry& entry, const Change& change, core::TimePoint now);
  void link(Entry& entry, core::TimePoint now);
  void unlink(const Entry& entry);
  Merge insert(const wire::MemberDelta& delta, core::TimePoint now);
  // Of two servers at one address the one with the larger incarnation is there.
  [[nodiscard]] bool address_taken_by_newer(const wire::MemberDelta& delta) const;
  void retire_previous_at(const wire::MemberDelta& delta, core::TimePoint now);
  void forget(core::ServerId id);

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
