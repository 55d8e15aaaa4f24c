#include "damaskthread/membership/membership.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <utility>

namespace damaskthread::membership {
namespace {

using wire::Health;

// For this long after an incarnation is first seen, claims about it include its MemberInfo, for daemons that do not
// know it.
constexpr core::Duration kInfoAttachPeriod = std::chrono::seconds{30};
// Interval between notices to a suspect or dead member, which needs time to spread its refutation.
constexpr core::Duration kNotifyPeriod = std::chrono::seconds{1};
// With fewer other members, silence more likely means that they have failed than that this daemon is isolated.
constexpr std::size_t kIsolationMembers = 4;
constexpr std::size_t kIsolationFailures = 3;
constexpr core::Duration kIsolationSilence = std::chrono::seconds{2};
constexpr int kMaxLocalHealthMultiplier = 8;
constexpr std::size_t kMaxPendingVerifications = 64;
constexpr std::size_t kMaxReceivedMarks = 1024;
// Updates learned from another daemon's view are sent only a few times, as most daemons learn them the same way.
constexpr std::size_t kSyncedTransmits = 4;

std::uint64_t key_of(const wire::CrashMark& mark) noexcept {
  const std::array<std::uint64_t, 2> fields = {mark.fingerprint, mark.origin.value};
  return XXH3_64bits(fields.data(), sizeof fields);
}

std::chrono::milliseconds milliseconds(core::Duration duration) noexcept {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

}  // namespace

Membership::Membership(wire::Sender self, wire::MemberInfo info, std::vector<std::string> seeds, Options options)
    : self_{self},
      info_{std::make_shared<const wire::MemberInfo>(std::move(info))},
      seeds_{std::move(seeds)},
      options_{options},
      table_{options},
      self_hash_{MemberTable::fingerprint(self.id, self.incarnation, 0, false)},
      // Probe numbers start differently per incarnation so that acks to an earlier incarnation match no probe.
      next_number_{static_cast<std::uint32_t>(MemberTable::hash({self.incarnation.value}))} {
  updates_.push(self_.id, retransmit_limit());
}

core::TimePoint Membership::update_clock(core::TimePoint now) {
  if (!last_tick_) {
    last_tick_ = now;
    started_ = last_heard_ = now;
  }
  now = std::max(now, *last_tick_);
  const core::Duration gap = now - *last_tick_;
  if (gap > options_.pause_threshold) {
    paused_ += gap - options_.tick_period;
    local_health_multiplier_ = std::min(local_health_multiplier_ + 2, kMaxLocalHealthMultiplier);
    ++counters_.pauses;
    last_tick_ = now;
  }
  now_ = std::max(now_, now - paused_);
  return now_;
}

std::vector<wire::Outgoing> Membership::tick(core::TimePoint now, core::Random& random) {
  const bool first = !last_tick_;
  update_clock(now);
  last_tick_ = std::max(now, *last_tick_);
  Outbox out;
  if (first) {
    // Random phase, so that daemons that start together do not probe simultaneously.
    const auto phase = std::uniform_int_distribution<std::int64_t>{0, options_.probe_period.count()}(random);
    next_probe_ = now_ + core::Duration{phase};
    next_dead_probe_ = now_ + options_.dead_probe_period;
    next_seed_ = now_ + options_.probe_period;
  }
  join(random, out);
  check_probes(random, out);
  expire_suspicions();
  probe_next(random, out);
  probe_dead(random, out);
  verify_claims(out);
  gossip(random, out);
  if (next_expiry_ <= now_) {
    next_expiry_ = now_ + std::chrono::minutes{1};
    table_.expire(now_);
    std::erase_if(lags_, [&](const auto& item) {
      const Entry* entry = table_.find(item.first);
      return now_ - item.second.received_at > std::chrono::hours{1} ||
             (entry != nullptr && entry->health == Health::kDead);
    });
  }
  return out;
}

std::vector<wire::Outgoing> Membership::receive(const wire::Sender& sender, const wire::Message& message,
                                                core::TimePoint now) {
  update_clock(now);
  Outbox out;
  const Entry* known = table_.find(sender.id);
  if (known != nullptr && sender.incarnation < known->member.incarnation) {
    ++counters_.stale_messages;
    return out;
  }
  if (isolated(now)) end_isolation(out);
  last_heard_ = now_;
  silent_failures_ = 0;

  std::vector<core::ServerId> requested_ids;
  const auto* state = std::get_if<wire::MemberState>(&message.body);
  const bool synced = state != nullptr || std::holds_alternative<wire::MemberSummary>(message.body);
  for (const wire::MemberDelta& delta : message.deltas) {
    if (synced) {
      merge_synced(delta, state == nullptr || !state->all, requested_ids);
    } else {
      merge_gossiped(delta, requested_ids);
    }
  }
  merge_marks(message.marks, false);
  merge_lag_notes(message.lags);
  notify_if_not_alive(sender, out);
  std::visit([&](const auto& body) { handle(sender, body, message, out); }, message.body);
  const std::string address = address_of(sender.id);
  if (!requested_ids.empty() && !address.empty() && joined_) {
    out.push_back({address, this->message(wire::MemberState{.all = false, .requested_ids = std::move(requested_ids)})});
  }
  return out;
}

void Membership::merge_gossiped(const wire::MemberDelta& delta, std::vector<core::ServerId>& requested_ids) {
  if (delta.id == self_.id) return handle_self_claim(delta);
  switch (table_.merge(delta, now_)) {
    case MergeResult::kIgnored:
      return;
    case MergeResult::kInfoMissing:
      if (delta.health != Health::kDead) requested_ids.push_back(delta.id);
      return;
    case MergeResult::kApplied:
      updates_.push(delta.id, retransmit_limit());
      return;
  }
}

void Membership::merge_synced(const wire::MemberDelta& delta, bool spread, std::vector<core::ServerId>& requested_ids) {
  if (delta.id == self_.id) return handle_self_claim(delta);
  const Entry* entry = table_.find(delta.id);
  if (entry != nullptr && delta.health != Health::kAlive && delta.incarnation == entry->member.incarnation) {
    // The other side of a partition considers members dead that it could not reach. Probe the member itself; its
    // refutation corrects the other side.
    const bool outranks = delta.refutation >= entry->member.refutation && delta.health > entry->health;
    if (!outranks || delta.health != Health::kDead || pending_verifications_.size() >= kMaxPendingVerifications) return;
    if (std::ranges::find(pending_verifications_, delta.id, &wire::MemberDelta::id) != pending_verifications_.end())
      return;
    pending_verifications_.push_back(delta);
    return;
  }
  switch (table_.merge(delta, now_)) {
    case MergeResult::kIgnored:
      return;
    case MergeResult::kInfoMissing:
      if (delta.health == Health::kAlive) requested_ids.push_back(delta.id);
      return;
    case MergeResult::kApplied:
      if (spread) updates_.push(delta.id, kSyncedTransmits);
      return;
  }
}

void Membership::handle_self_claim(const wire::MemberDelta& delta) {
  if (delta.incarnation != self_.incarnation) return;
  const bool claim = delta.health != Health::kAlive && delta.refutation >= refutation_;
  if (!claim && delta.refutation <= refutation_) return;
  refutation_ = delta.refutation + 1;
  self_hash_ = MemberTable::fingerprint(self_.id, self_.incarnation, refutation_, leaving_);
  ++self_version_;
  ++counters_.refutations;
  // Higher than any other item, so that it is sent with the next message.
  updates_.push(self_.id, retransmit_limit() + 2);
  next_gossip_ = now_;
}

void Membership::notify_if_not_alive(const wire::Sender& sender, Outbox& out) {
  Entry* entry = table_.find(sender.id);
  if (entry == nullptr || entry->health == Health::kAlive || entry->member.incarnation != sender.incarnation) return;
  if (table_.is_superseded(*entry)) return;
  if (entry->last_notified && now_ - *entry->last_notified < kNotifyPeriod) return;
  entry->last_notified = now_;
  wire::Message answer = message(wire::Gossip{});
  answer.deltas.push_back(MemberTable::delta_of(*entry, false, now_));
  out.push_back({entry->member.info->control_address, std::move(answer)});
}

wire::MemberDelta Membership::self_delta(bool with_info) const {
  return {.id = self_.id,
          .incarnation = self_.incarnation,
          .refutation = refutation_,
          .health = Health::kAlive,
          .leaving = leaving_,
          .suspected_for = {},
          .info = with_info ? info_ : nullptr};
}

std::optional<wire::MemberDelta> Membership::delta_of(core::ServerId id, bool with_info) const {
  if (id == self_.id) return self_delta(with_info || now_ - started_ < kInfoAttachPeriod);
  const Entry* entry = table_.find(id);
  if (entry == nullptr) return std::nullopt;
  return MemberTable::delta_of(*entry, with_info || now_ - entry->known_since < kInfoAttachPeriod, now_);
}

wire::Message Membership::message(wire::Body body) const {
  wire::Message result;
  result.body = std::move(body);
  result.digest = digest_;
  return result;
}

void Membership::piggyback_updates(wire::Message& message, std::size_t used) {
  used += wire::kEnvelopeBytes;
  for (const wire::MemberDelta& delta : message.deltas) used += wire::max_encoded_size(delta);
  const auto reserve = [&](std::size_t size) {
    if (used + size > wire::kMaxDatagramBytes) return false;
    used += size;
    return true;
  };
  mark_updates_.fill([&](std::uint64_t key) {
    const auto found = marks_.find(key);
    if (found == marks_.end()) return true;
    if (!reserve(wire::kMarkBytes)) return false;
    wire::CrashMark& mark = message.marks.emplace_back(found->second.mark);
    mark.age = milliseconds(now_ - found->second.last_crash);
    return true;
  });
  updates_.fill([&](core::ServerId id) {
    auto delta = delta_of(id, false);
    if (!delta) return true;
    if (!reserve(wire::max_encoded_size(*delta))) return false;
    message.deltas.push_back(std::move(*delta));
    return true;
  });
  lag_updates_.fill([&](core::ServerId id) {
    const auto found = lags_.find(id);
    if (found == lags_.end()) return true;
    if (!reserve(wire::kMarkBytes)) return false;
    wire::LagNote& note = message.lags.emplace_back(found->second.note);
    if (note.behind.count() > 0) note.behind = milliseconds(now_ - found->second.since);
    return true;
  });
}

std::size_t Membership::retransmit_limit() const noexcept {
  // If every daemon sends an update log2(n) + 2 times to random members, a given daemon misses it with probability
  // e^-(log2(n) + 2), which is 8e-7 at 2,400 members.
  return static_cast<std::size_t>(std::bit_width(table_.ring().size() + 1)) + 2;
}

std::array<std::uint64_t, wire::kViewBuckets> Membership::view_buckets() const noexcept {
  auto buckets = table_.bucket_hashes();
  buckets[MemberTable::bucket_of(MemberTable::hash(self_.id))] ^= self_hash_;
  return buckets;
}

std::uint64_t Membership::view_hash() const noexcept {
  std::uint64_t hash = 0;
  for (const std::uint64_t bucket : view_buckets()) hash ^= bucket;
  return hash;
}

bool Membership::isolated(core::TimePoint now) const {
  return table_.ring().size() >= kIsolationMembers && silent_failures_ >= kIsolationFailures &&
         now - paused_ - last_heard_ >= kIsolationSilence;
}

void Membership::announce_leaving() {
  if (leaving_) return;
  leaving_ = announce_leaving_ = true;
  ++refutation_;
  self_hash_ = MemberTable::fingerprint(self_.id, self_.incarnation, refutation_, leaving_);
  ++self_version_;
  updates_.push(self_.id, std::max(retransmit_limit() + 2, options_.leave_fan_out + retransmit_limit()));
  next_gossip_ = now_;
}

void Membership::add_seeds(std::vector<std::string> addresses) {
  // A few reachable addresses are enough to join.
  constexpr std::size_t kMaxSeeds = 64;
  for (std::string& address : addresses) {
    if (seeds_.size() >= kMaxSeeds) return;
    if (std::ranges::find(seeds_, address) == seeds_.end()) seeds_.push_back(std::move(address));
  }
}

void Membership::spread(const std::vector<wire::CrashMark>& marks, core::TimePoint now) {
  update_clock(now);
  merge_marks(marks, true);
}

void Membership::spread(const std::vector<wire::LagNote>& notes, core::TimePoint now) {
  update_clock(now);
  merge_lag_notes(notes);
}

void Membership::merge_marks(const std::vector<wire::CrashMark>& marks, bool own) {
  for (const wire::CrashMark& mark : marks) {
    const std::uint64_t key = key_of(mark);
    const auto found = marks_.find(key);
    if (found != marks_.end() && found->second.mark.crashes >= mark.crashes) continue;
    if (found == marks_.end()) {
      if (marks_.size() >= options_.max_marks) {
        marks_.erase(mark_order_.front());
        mark_order_.pop_front();
      }
      mark_order_.push_back(key);
    }
    marks_[key] = {mark, now_ - mark.age};
    mark_updates_.push(key, retransmit_limit());
    next_gossip_ = std::min(next_gossip_, now_);
    if (!own && received_marks_.size() < kMaxReceivedMarks) received_marks_.push_back(mark);
  }
}

void Membership::merge_lag_notes(const std::vector<wire::LagNote>& notes) {
  for (const wire::LagNote& note : notes) {
    const auto found = lags_.find(note.id);
    if (found != lags_.end()) {
      const wire::LagNote& known = found->second.note;
      const auto rank = [](const wire::LagNote& lag) {
        return std::tuple{lag.incarnation, lag.revision, lag.behind.count() == 0};
      };
      if (rank(note) <= rank(known)) continue;
    } else if (lags_.size() >= options_.max_members) {
      continue;
    }
    lags_[note.id] = {note, now_ - note.behind, now_};
    lag_updates_.push(note.id, retransmit_limit());
  }
}

std::vector<wire::CrashMark> Membership::take_marks() { return std::exchange(received_marks_, {}); }

std::vector<wire::LagNote> Membership::lagging(core::TimePoint now) const {
  std::vector<wire::LagNote> result;
  for (const auto& [id, lag] : lags_) {
    if (lag.note.behind.count() == 0) continue;
    const Entry* entry = table_.find(id);
    if (id != self_.id && (entry == nullptr || entry->health == Health::kDead)) continue;
    result.push_back(lag.note);
    result.back().behind = milliseconds(now - paused_ - lag.since);
  }
  return result;
}

std::vector<Member> Membership::members() const {
  std::vector<Member> result;
  result.reserve(table_.size() + 1);
  result.push_back({self_.id, self_.incarnation, refutation_, leaving_ ? State::kLeaving : State::kAlive, info_});
  for (const auto& [id, entry] : table_.entries()) result.push_back(entry.member);
  return result;
}

std::optional<Member> Membership::find(core::ServerId id) const {
  if (id == self_.id) {
    return Member{self_.id, self_.incarnation, refutation_, leaving_ ? State::kLeaving : State::kAlive, info_};
  }
  const Entry* entry = table_.find(id);
  if (entry == nullptr) return std::nullopt;
  return entry->member;
}

std::string Membership::address_of(core::ServerId id) const {
  const Entry* entry = table_.find(id);
  return entry == nullptr ? std::string{} : entry->member.info->control_address;
}

}  // namespace damaskthread::membership
