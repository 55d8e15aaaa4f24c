#include "damaskthread/membership/member_table.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

namespace damaskthread::membership {
namespace {

using wire::Health;

constexpr std::array<std::string_view, 4> kStateNames = {"alive", "suspect", "leaving", "dead"};

State derive_state(Health health, bool leaving) noexcept {
  if (health == Health::kDead) return State::kDead;
  if (leaving) return State::kLeaving;
  return health == Health::kSuspect ? State::kSuspect : State::kAlive;
}

}  // namespace

std::string_view to_string(State state) noexcept { return kStateNames[static_cast<std::size_t>(state)]; }

std::uint64_t MemberTable::hash(core::ServerId id) noexcept { return XXH3_64bits(&id.value, sizeof id.value); }

std::uint64_t MemberTable::fingerprint(core::ServerId id, core::Incarnation incarnation, std::uint32_t refutation,
                                       bool leaving) noexcept {
  const std::array<std::uint64_t, 3> fields = {id.value, incarnation.value,
                                               (std::uint64_t{refutation} << 1) | (leaving ? 1U : 0U)};
  return XXH3_64bits(fields.data(), sizeof fields);
}

const MemberTable::Entry* MemberTable::find(core::ServerId id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second;
}

MemberTable::Entry* MemberTable::find(core::ServerId id) {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second;
}

wire::MemberDelta MemberTable::delta_of(const Entry& entry, bool with_info, core::TimePoint now) {
  wire::MemberDelta delta{.id = entry.member.id,
                          .incarnation = entry.member.incarnation,
                          .refutation = entry.member.refutation,
                          .health = entry.health,
                          .leaving = entry.leaving,
                          .suspected_for = {},
                          .info = with_info ? entry.member.info : nullptr};
  if (entry.health == Health::kSuspect) {
    delta.suspected_for = std::chrono::duration_cast<std::chrono::milliseconds>(now - entry.suspect_since);
  }
  return delta;
}

void MemberTable::add_to_indexes(Entry& entry, core::TimePoint now) {
  const core::ServerId id = entry.member.id;
  entry.member.state = derive_state(entry.health, entry.leaving);
  ++version_;
  if (entry.health == Health::kDead) {
    entry.dead_since = now;
    dead_.push_back(id);
    return;
  }
  const std::uint64_t point = hash(id);
  const RingPoint ring_point{point, id};
  ring_.insert(std::ranges::lower_bound(ring_, ring_point), ring_point);
  buckets_[bucket_of(point)] ^= fingerprint(id, entry.member.incarnation, entry.member.refutation, entry.leaving);
  if (entry.health == Health::kSuspect) suspects_.push_back(id);
}

void MemberTable::remove_from_indexes(const Entry& entry) {
  const core::ServerId id = entry.member.id;
  if (entry.health == Health::kDead) {
    std::erase(dead_, id);
    return;
  }
  const std::uint64_t point = hash(id);
  const auto found = std::ranges::lower_bound(ring_, RingPoint{point, id});
  if (found != ring_.end() && found->id == id) ring_.erase(found);
  buckets_[bucket_of(point)] ^= fingerprint(id, entry.member.incarnation, entry.member.refutation, entry.leaving);
  if (entry.health == Health::kSuspect) std::erase(suspects_, id);
}

template <typename Change>
void MemberTable::update(Entry& entry, const Change& change, core::TimePoint now) {
  remove_from_indexes(entry);
  change();
  add_to_indexes(entry, now);
}

bool MemberTable::address_taken_by_newer(const wire::MemberDelta& delta) const {
  const auto found = by_address_.find(delta.info->control_address);
  if (found == by_address_.end() || found->second == delta.id) return false;
  const Entry* other = find(found->second);
  return other != nullptr && other->member.incarnation > delta.incarnation;
}

void MemberTable::mark_previous_dead(const wire::MemberDelta& delta, core::TimePoint now) {
  const auto found = by_address_.find(delta.info->control_address);
  if (found == by_address_.end() || found->second == delta.id) return;
  Entry* other = find(found->second);
  if (other == nullptr || other->health == Health::kDead) return;
  update(
      *other, [&] { other->health = Health::kDead; }, now);
}

MergeResult MemberTable::insert(const wire::MemberDelta& delta, core::TimePoint now) {
  if (entries_.size() >= options_.max_members) {
    if (dead_.empty()) return MergeResult::kIgnored;
    remove(dead_.front());
  }
  if (address_taken_by_newer(delta)) return MergeResult::kIgnored;
  if (delta.health != Health::kDead) mark_previous_dead(delta, now);
  Entry& entry = entries_[delta.id];
  entry.member = {.id = delta.id,
                  .incarnation = delta.incarnation,
                  .refutation = delta.refutation,
                  .state = State::kAlive,
                  .info = delta.info};
  entry.health = delta.health;
  entry.leaving = delta.leaving;
  entry.suspect_since = now - delta.suspected_for;
  entry.known_since = now;
  by_address_[delta.info->control_address] = delta.id;
  add_to_indexes(entry, now);
  return MergeResult::kApplied;
}

MergeResult MemberTable::merge(const wire::MemberDelta& delta, core::TimePoint now) {
  Entry* entry = find(delta.id);
  if (entry == nullptr) return delta.info ? insert(delta, now) : MergeResult::kInfoMissing;
  if (delta.incarnation < entry->member.incarnation) return MergeResult::kIgnored;
  if (delta.incarnation > entry->member.incarnation) {
    if (!delta.info) return MergeResult::kInfoMissing;
    if (address_taken_by_newer(delta)) return MergeResult::kIgnored;
    remove(delta.id);
    return insert(delta, now);
  }
  const bool newer = delta.refutation > entry->member.refutation ||
                     (delta.refutation == entry->member.refutation && delta.health > entry->health);
  const bool starts_leaving = delta.leaving && !entry->leaving;
  if (!newer && !starts_leaving) return MergeResult::kIgnored;
  // A dead member whose control address is registered to another id stays dead regardless of later claims.
  if (delta.health != Health::kDead && entry->health == Health::kDead && is_superseded(*entry))
    return MergeResult::kIgnored;
  update(
      *entry,
      [&] {
        entry->leaving = entry->leaving || delta.leaving;
        if (!newer) return;
        entry->member.refutation = delta.refutation;
        entry->health = delta.health;
        entry->suspect_since = now - delta.suspected_for;
        if (delta.health == Health::kAlive) entry->last_notified.reset();
      },
      now);
  return MergeResult::kApplied;
}

std::vector<core::ServerId> MemberTable::successors(std::uint64_t point, std::size_t count) const {
  std::vector<core::ServerId> result;
  if (ring_.empty()) return result;
  auto next = std::ranges::upper_bound(ring_, point, {}, &RingPoint::hash);
  for (std::size_t seen = 0; seen < ring_.size() && result.size() < count; ++seen, ++next) {
    if (next == ring_.end()) next = ring_.begin();
    const Entry* entry = find(next->id);
    if (entry->health == Health::kAlive) result.push_back(next->id);
  }
  return result;
}

std::vector<core::ServerId> MemberTable::ids_in_bucket(std::size_t bucket) const {
  std::vector<core::ServerId> result;
  for (const RingPoint& point : ring_) {
    if (bucket_of(point.hash) == bucket) result.push_back(point.id);
  }
  return result;
}

void MemberTable::remove(core::ServerId id) {
  const auto found = entries_.find(id);
  remove_from_indexes(found->second);
  const std::string& address = found->second.member.info->control_address;
  const auto at = by_address_.find(address);
  if (at != by_address_.end() && at->second == id) by_address_.erase(at);
  entries_.erase(found);
  ++version_;
}

void MemberTable::restart_suspicions(core::TimePoint now) {
  for (const core::ServerId id : suspects_) find(id)->suspect_since = now;
}

bool MemberTable::is_superseded(const Entry& entry) const {
  const auto at = by_address_.find(entry.member.info->control_address);
  return at != by_address_.end() && at->second != entry.member.id;
}

bool MemberTable::has_live_member_at(const std::string& address) const {
  const auto at = by_address_.find(address);
  if (at == by_address_.end()) return false;
  const Entry* entry = find(at->second);
  return entry != nullptr && entry->health != Health::kDead;
}

void MemberTable::expire(core::TimePoint now) {
  while (!dead_.empty()) {
    const Entry* oldest = find(dead_.front());
    if (dead_.size() <= options_.max_dead && now - oldest->dead_since < options_.dead_retention) return;
    remove(dead_.front());
  }
}

}  // namespace damaskthread::membership
