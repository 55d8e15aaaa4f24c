// Probing, suspicion and dissemination of updates.

#include <algorithm>
#include <array>
#include <random>
#include <utility>

#include "damaskthread/membership/membership.h"

namespace damaskthread::membership {
namespace {

using wire::Health;

// Two ring successors and one random member per period.
constexpr std::size_t kProbesPerPeriod = 3;
constexpr std::size_t kRingProbes = 2;
// Random probes go to a small set in which one member is replaced every 64 probes on average. Probing arbitrary members
// would open a new connection each second at 2,400 members.
constexpr std::size_t kProbePartners = 32;
constexpr std::uint64_t kProbesPerExchange = 64;
// After this long without messages, a failed probe more likely indicates a fault of this daemon than of its target. A
// reachable daemon receives six messages per second.
constexpr core::Duration kSilenceThreshold = std::chrono::seconds{1};
constexpr std::size_t kIsolationMembers = 4;
constexpr int kMaxLocalHealthMultiplier = 8;
constexpr std::size_t kMaxRelays = 256;
constexpr core::Duration kRelayTimeout = std::chrono::seconds{2};
// Every daemon that knows of a suspicion expires it on its own, so the death needs few transmissions.
constexpr std::size_t kDeathTransmits = 4;
constexpr std::size_t kVerificationsPerTick = 2;
// For this long after its start a daemon attaches its own MemberInfo to every probe, as targets may not know it.
constexpr core::Duration kSelfAnnouncePeriod = std::chrono::seconds{10};

}  // namespace

core::ServerId Membership::random_member(core::Random& random) const {
  const auto ring = table_.ring();
  return ring[std::uniform_int_distribution<std::size_t>{0, ring.size() - 1}(random)].id;
}

core::ServerId Membership::random_probe_partner(core::Random& random) {
  if (probe_partners_.size() < std::min(kProbePartners, table_.ring().size())) {
    probe_partners_.push_back(random_member(random));
    return probe_partners_.back();
  }
  core::ServerId& partner =
      probe_partners_[std::uniform_int_distribution<std::size_t>{0, probe_partners_.size() - 1}(random)];
  const Entry* entry = table_.find(partner);
  const bool gone = entry == nullptr || entry->health == Health::kDead;
  if (gone || random() % kProbesPerExchange == 0) partner = random_member(random);
  return partner;
}

void Membership::send_ping(std::uint32_t number, core::ServerId target, bool with_self, const wire::MemberDelta* claim,
                           Outbox& out) {
  const Entry* entry = table_.find(target);
  wire::Message ping = message(wire::Ping{.probe = number, .target = target, .view_hash = view_hash()});
  if (claim != nullptr) {
    ping.deltas.push_back(*claim);
    ping.deltas.back().info = nullptr;
  } else if (entry->health != Health::kAlive) {
    ping.deltas.push_back(MemberTable::delta_of(*entry, false, now_));
  }
  if (with_self || now_ - started_ < kSelfAnnouncePeriod) ping.deltas.push_back(self_delta(true));
  piggyback_updates(ping);
  out.push_back({entry->member.info->control_address, std::move(ping)});
}

void Membership::start_probe(core::ServerId target, bool target_dead, const wire::MemberDelta* claim, Outbox& out) {
  if (std::ranges::find(probes_, target, &Probe::target) != probes_.end()) return;
  probes_.push_back(
      {.number = next_number_++, .target = target, .started = now_, .indirect = false, .target_dead = target_dead});
  ++counters_.probes;
  send_ping(probes_.back().number, target, target_dead, claim, out);
}

void Membership::probe_next(core::Random& random, Outbox& out) {
  if (next_probe_ > now_) return;
  next_probe_ = std::max(next_probe_ + options_.probe_period / static_cast<int>(kProbesPerPeriod), now_);
  const std::size_t slot = probe_slot_++ % kProbesPerPeriod;
  if (table_.ring().empty()) return;
  if (slot < kRingProbes) {
    const auto next = table_.successors(MemberTable::hash(self_.id), kRingProbes);
    if (slot < next.size()) return start_probe(next[slot], false, nullptr, out);
  }
  start_probe(random_probe_partner(random), false, nullptr, out);
}

void Membership::probe_dead(core::Random& random, Outbox& out) {
  if (next_dead_probe_ > now_) return;
  next_dead_probe_ = now_ + options_.dead_probe_period;
  const auto dead = table_.dead();
  if (dead.empty()) return;
  const core::ServerId id = dead[std::uniform_int_distribution<std::size_t>{0, dead.size() - 1}(random)];
  if (!table_.is_superseded(*table_.find(id))) start_probe(id, true, nullptr, out);
}

void Membership::verify_claims(Outbox& out) {
  for (std::size_t i = 0; i < kVerificationsPerTick && !pending_verifications_.empty(); ++i) {
    const wire::MemberDelta claim = std::move(pending_verifications_.front());
    pending_verifications_.pop_front();
    const Entry* entry = table_.find(claim.id);
    if (entry == nullptr || entry->health == Health::kDead || entry->member.refutation > claim.refutation) continue;
    start_probe(claim.id, false, &claim, out);
  }
}

void Membership::check_probes(core::Random& random, Outbox& out) {
  std::vector<Probe> failed;
  for (Probe& probe : probes_) {
    const core::Duration elapsed = now_ - probe.started;
    if (elapsed >= scaled_timeout(options_.probe_timeout)) {
      failed.push_back(probe);
    } else if (!probe.indirect && !probe.target_dead && elapsed >= scaled_timeout(options_.direct_timeout)) {
      probe.indirect = true;
      if (table_.find(probe.target) == nullptr || table_.ring().empty()) continue;
      send_ping_requests(probe, random, out);
      // The target may not have answered because it does not know this daemon.
      send_ping(probe.number, probe.target, true, nullptr, out);
    }
  }
  for (const Probe& probe : failed) {
    std::erase_if(probes_, [&](const Probe& other) { return other.number == probe.number; });
    handle_probe_failure(probe, out);
  }
}

void Membership::send_ping_requests(const Probe& probe, core::Random& random, Outbox& out) {
  // A proxy in the target's failure domain distinguishes a dead member from a broken link between failure domains.
  const std::string& zone = table_.find(probe.target)->member.info->zone;
  std::vector<core::ServerId> proxies;
  bool has_same_zone = false;
  for (std::size_t draw = 0; draw < 8 * options_.proxies && proxies.size() < options_.proxies; ++draw) {
    const core::ServerId id = random_member(random);
    const Entry* entry = table_.find(id);
    if (id == probe.target || entry->health != Health::kAlive || std::ranges::count(proxies, id) > 0) continue;
    const bool same_zone = entry->member.info->zone == zone;
    const bool last = proxies.size() + 1 == options_.proxies;
    if (last && !has_same_zone && !same_zone && draw < 6 * options_.proxies) continue;
    has_same_zone = has_same_zone || same_zone;
    proxies.push_back(id);
  }
  for (const core::ServerId id : proxies) {
    wire::Message request = message(wire::PingRequest{.probe = probe.number, .target = probe.target});
    piggyback_updates(request);
    out.push_back({address_of(id), std::move(request)});
  }
}

void Membership::handle_probe_failure(const Probe& probe, Outbox& out) {
  if (probe.target_dead) return;
  ++counters_.probe_failures;
  const bool silent = now_ - last_heard_ >= kSilenceThreshold;
  if (silent) {
    ++silent_failures_;
    local_health_multiplier_ = std::min(local_health_multiplier_ + 1, kMaxLocalHealthMultiplier);
    if (table_.ring().size() >= kIsolationMembers) return;
  }
  const Entry* entry = table_.find(probe.target);
  if (entry == nullptr || entry->health != Health::kAlive) return;
  wire::MemberDelta claim = MemberTable::delta_of(*entry, false, now_);
  claim.health = Health::kSuspect;
  if (table_.merge(claim, now_) != MergeResult::kApplied) return;
  ++counters_.suspicions;
  updates_.push(probe.target, retransmit_limit());
  next_gossip_ = now_;
  notify_suspect(*entry, out);
}

void Membership::notify_suspect(const Entry& entry, Outbox& out) const {
  wire::Message notice = message(wire::Gossip{});
  notice.deltas.push_back(MemberTable::delta_of(entry, false, now_));
  out.push_back({entry.member.info->control_address, std::move(notice)});
}

void Membership::end_isolation(Outbox& out) {
  // Probes and updates sent during the isolation reached no member.
  probes_.clear();
  table_.restart_suspicions(now_);
  for (const core::ServerId id : table_.suspects()) {
    updates_.push(id, retransmit_limit());
    notify_suspect(*table_.find(id), out);
  }
  if (leaving_) updates_.push(self_.id, retransmit_limit());
}

void Membership::expire_suspicions() {
  if (table_.suspects().empty() || isolated(now_ + paused_)) return;
  const std::vector<core::ServerId> suspects = table_.suspects();
  for (const core::ServerId id : suspects) {
    const Entry* entry = table_.find(id);
    if (now_ - entry->suspect_since < scaled_timeout(options_.suspicion_timeout)) continue;
    wire::MemberDelta claim = MemberTable::delta_of(*entry, false, now_);
    claim.health = Health::kDead;
    if (table_.merge(claim, now_) != MergeResult::kApplied) continue;
    ++counters_.deaths;
    updates_.push(id, kDeathTransmits);
  }
}

void Membership::send_gossip(core::ServerId id, Outbox& out) {
  wire::Message updates = message(wire::Gossip{});
  piggyback_updates(updates);
  out.push_back({address_of(id), std::move(updates)});
}

void Membership::gossip(core::Random& random, Outbox& out) {
  if (next_gossip_ > now_ || table_.ring().empty()) return;
  if (updates_.empty() && mark_updates_.empty() && lag_updates_.empty()) return;
  next_gossip_ = now_ + options_.gossip_period;
  const std::size_t targets = std::exchange(announce_leaving_, false) ? options_.leave_fan_out : options_.fan_out;
  std::vector<core::ServerId> chosen;
  for (std::size_t draw = 0; draw < 2 * targets && chosen.size() < targets; ++draw) {
    const core::ServerId id = random_member(random);
    if (std::ranges::count(chosen, id) == 0) chosen.push_back(id);
  }
  for (const core::ServerId id : chosen) {
    if (updates_.empty() && mark_updates_.empty() && lag_updates_.empty()) return;
    send_gossip(id, out);
  }
}

void Membership::handle(const wire::Sender& sender, const wire::Ping& body, const wire::Message&, Outbox& out) {
  const std::string address = address_of(sender.id);
  if (address.empty()) return;
  if (body.target != self_.id) {
    // The probe was meant for a server that previously used this address.
    wire::Message answer = message(wire::Gossip{});
    answer.deltas.push_back(self_delta(true));
    out.push_back({address, std::move(answer)});
    return;
  }
  wire::Message answer = message(wire::Ack{.probe = body.probe, .subject = self_.id});
  piggyback_updates(answer);
  out.push_back({address, std::move(answer)});
  if (body.view_hash == view_hash() || !sync_due()) return;
  wire::ViewDigest digest;
  digest.buckets.reserve(wire::kViewBuckets);
  for (const std::uint64_t bucket : view_buckets()) digest.buckets.push_back(static_cast<std::uint32_t>(bucket));
  out.push_back({address, message(std::move(digest))});
}

void Membership::handle(const wire::Sender&, const wire::Ack& body, const wire::Message&, Outbox& out) {
  const auto probe = std::ranges::find(probes_, body.probe, &Probe::number);
  if (probe != probes_.end() && probe->target == body.subject) {
    probes_.erase(probe);
    local_health_multiplier_ = std::max(local_health_multiplier_ - 1, 0);
    return;
  }
  const auto relay = std::ranges::find(relays_, body.probe, &Relay::number);
  if (relay == relays_.end() || relay->target != body.subject) return;
  wire::Message answer = message(wire::Ack{.probe = relay->requester_probe, .subject = body.subject});
  piggyback_updates(answer);
  out.push_back({relay->requester_address, std::move(answer)});
  relays_.erase(relay);
}

void Membership::handle(const wire::Sender& sender, const wire::PingRequest& body, const wire::Message&, Outbox& out) {
  while (!relays_.empty() && (relays_.front().expires <= now_ || relays_.size() >= kMaxRelays)) relays_.pop_front();
  const std::string address = address_of(sender.id);
  if (address.empty() || table_.find(body.target) == nullptr) return;
  relays_.push_back({.number = next_number_++,
                     .target = body.target,
                     .requester_probe = body.probe,
                     .requester_address = address,
                     .expires = now_ + kRelayTimeout});
  send_ping(relays_.back().number, body.target, false, nullptr, out);
}

}  // namespace damaskthread::membership
