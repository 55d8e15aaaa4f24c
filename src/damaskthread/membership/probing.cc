// Probes, suspicion and the spread of news.

#include <algorithm>
#include <array>
#include <random>
#include <utility>

#include "damaskthread/membership/membership.h"

namespace damaskthread::membership {
namespace {

using wire::Health;

// Two ring neighbours and one member at random per period.
constexpr std::size_t kProbesPerPeriod = 3;
constexpr std::size_t kRingProbes = 2;
// Random probes go to a small set, of which one member in 64 probes is exchanged: a probe of any member would open a
// new connection each second at 2,400 members.
constexpr std::size_t kPartners = 32;
constexpr std::uint64_t kProbesPerExchange = 64;
// Silence after which a failed probe says more about this daemon than about its target. Six messages a second arrive at
// a daemon that can be reached.
constexpr core::Duration kSilence = std::chrono::seconds{1};
constexpr std::size_t kIsolationMembers = 4;
constexpr int kMaxSlowness = 8;
constexpr std::size_t kMaxRelays = 256;
constexpr core::Duration kRelayLife = std::chrono::seconds{2};
// Every daemon that has heard of a suspicion ends it by itself, so its death needs little spreading.
constexpr std::size_t kDeathSends = 4;
constexpr std::size_t kVerificationsPerTick = 2;
// For this long after its start a daemon introduces itself on every probe, since its targets may not know it.
constexpr core::Duration kNewcomer = std::chrono::seconds{10};

}  // namespace

core::ServerId Membership::random_member(core::Random& random) const {
  const auto ring = table_.ring();
  return ring[std::uniform_int_distribution<std::size_t>{0, ring.size() - 1}(random)].id;
}

core::ServerId Membership::random_partner(core::Random& random) {
  if (partners_.size() < std::min(kPartners, table_.ring().size())) {
    partners_.push_back(random_member(random));
    return partners_.back();
  }
  core::ServerId& partner = partners_[std::uniform_int_distribution<std::size_t>{0, partners_.size() - 1}(random)];
  const Entry* entry = table_.find(partner);
  const bool gone = entry == nullptr || entry->health == Health::kDead;
  if (gone || random() % kProbesPerExchange == 0) partner = random_member(random);
  return partner;
}

void Membership::send_ping(std::uint32_t number, core::ServerId target, bool with_self, const wire::MemberDelta* claim,
                           Out& out) {
  const Entry* entry = table_.find(target);
  wire::Message ping = message(wire::Ping{.probe = number, .target = target, .view_hash = view_hash()});
  if (claim != nullptr) {
    ping.deltas.push_back(*claim);
    ping.deltas.back().info = nullptr;
  } else if (entry->health != Health::kAlive) {
    ping.deltas.push_back(MemberTable::delta_of(*entry, false, now_));
  }
  if (with_self || now_ - started_ < kNewcomer) ping.deltas.push_back(self_delta(true));
  fill(ping);
  out.push_back({entry->member.info->control_address, std::move(ping)});
}

void Membership::start_probe(core::ServerId target, bool of_dead, const wire::MemberDelta* claim, Out& out) {
  if (std::ranges::find(probes_, target, &Probe::target) != probes_.end()) return;
  probes_.push_back(
      {.number = next_number_++, .target = target, .started = now_, .indirect = false, .of_dead = of_dead});
  ++counters_.probes;
  send_ping(probes_.back().number, target, of_dead, claim, out);
}

void Membership::probe_next(core::Random& random, Out& out) {
  if (next_probe_ > now_) return;
  next_probe_ = std::max(next_probe_ + options_.probe_period / static_cast<int>(kProbesPerPeriod), now_);
  const std::size_t slot = probe_slot_++ % kProbesPerPeriod;
  if (table_.ring().empty()) return;
  if (slot < kRingProbes) {
    const auto next = table_.successors(MemberTable::hash(self_.id), kRingProbes);
    if (slot < next.size()) return start_probe(next[slot], false, nullptr, out);
  }
  start_probe(random_partner(random), false, nullptr, out);
}

void Membership::probe_dead(core::Random& random, Out& out) {
  if (next_dead_probe_ > now_) return;
  next_dead_probe_ = now_ + options_.dead_probe_period;
  const auto dead = table_.dead();
  if (dead.empty()) return;
  const core::ServerId id = dead[std::uniform_int_distribution<std::size_t>{0, dead.size() - 1}(random)];
  if (!table_.displaced(*table_.find(id))) start_probe(id, true, nullptr, out);
}

void Membership::verify_claims(Out& out) {
  for (std::size_t i = 0; i < kVerificationsPerTick && !to_verify_.empty(); ++i) {
    const wire::MemberDelta claim = std::move(to_verify_.front());
    to_verify_.pop_front();
    const Entry* entry = table_.find(claim.id);
    if (entry == nullptr || entry->health == Health::kDead || entry->member.refutation > claim.refutation) continue;
    start_probe(claim.id, false, &claim, out);
  }
}

void Membership::check_probes(core::Random& random, Out& out) {
  std::vector<Probe> failed;
  for (Probe& probe : probes_) {
    const core::Duration elapsed = now_ - probe.started;
    if (elapsed >= widened(options_.probe_timeout)) {
      failed.push_back(probe);
    } else if (!probe.indirect && !probe.of_dead && elapsed >= widened(options_.direct_timeout)) {
      probe.indirect = true;
      if (table_.find(probe.target) == nullptr || table_.ring().empty()) continue;
      ask_proxies(probe, random, out);
      // The target may not have answered because it does not know this daemon.
      send_ping(probe.number, probe.target, true, nullptr, out);
    }
  }
  for (const Probe& probe : failed) {
    std::erase_if(probes_, [&](const Probe& other) { return other.number == probe.number; });
    probe_failed(probe, out);
  }
}

void Membership::ask_proxies(const Probe& probe, core::Random& random, Out& out) {
  // One proxy of the target's failure domain tells a dead member from a broken link between two domains.
  const std::string& zone = table_.find(probe.target)->member.info->zone;
  std::vector<core::ServerId> proxies;
  bool near = false;
  for (std::size_t draw = 0; draw < 8 * options_.proxies && proxies.size() < options_.proxies; ++draw) {
    const core::ServerId id = random_member(random);
    const Entry* entry = table_.find(id);
    if (id == probe.target || entry->health != Health::kAlive || std::ranges::count(proxies, id) > 0) continue;
    const bool same_zone = entry->member.info->zone == zone;
    const bool last = proxies.size() + 1 == options_.proxies;
    if (last && !near && !same_zone && draw < 6 * options_.proxies) continue;
    near = near || same_zone;
    proxies.push_back(id);
  }
  for (const core::ServerId id : proxies) {
    wire::Message request = message(wire::PingRequest{.probe = probe.number, .target = probe.target});
    fill(request);
    out.push_back({address_of(id), std::move(request)});
  }
}

void Membership::probe_failed(const Probe& probe, Out& out) {
  if (probe.of_dead) return;
  ++counters_.probe_failures;
  const bool silent = now_ - last_heard_ >= kSilence;
  if (silent) {
    ++silent_failures_;
    slowness_ = std::min(slowness_ + 1, kMaxSlowness);
    if (table_.ring().size() >= kIsolationMembers) return;
  }
  const Entry* entry = table_.find(probe.target);
  if (entry == nullptr || entry->health != Health::kAlive) return;
  wire::MemberDelta claim = MemberTable::delta_of(*entry, false, now_);
  claim.health = Health::kSuspect;
  if (table_.merge(claim, now_) != Merge::kApplied) return;
  ++counters_.suspicions;
  updates_.push(probe.target, sends());
  next_gossip_ = now_;
  notify_suspect(*entry, out);
}

void Membership::notify_suspect(const Entry& entry, Out& out) const {
  wire::Message notice = message(wire::Gossip{});
  notice.deltas.push_back(MemberTable::delta_of(entry, false, now_));
  out.push_back({entry.member.info->control_address, std::move(notice)});
}

void Membership::end_isolation(Out& out) {
  // Probes and news that went out during the silence reached nobody.
  probes_.clear();
  table_.restart_suspicions(now_);
  for (const core::ServerId id : table_.suspects()) {
    updates_.push(id, sends());
    notify_suspect(*table_.find(id), out);
  }
  if (leaving_) updates_.push(self_.id, sends());
}

void Membership::end_suspicions() {
  if (table_.suspects().empty() || isolated(now_ + paused_)) return;
  const std::vector<core::ServerId> suspects = table_.suspects();
  for (const core::ServerId id : suspects) {
    const Entry* entry = table_.find(id);
    if (now_ - entry->suspect_since < widened(options_.suspicion)) continue;
    wire::MemberDelta claim = MemberTable::delta_of(*entry, false, now_);
    claim.health = Health::kDead;
    if (table_.merge(claim, now_) != Merge::kApplied) continue;
    ++counters_.deaths;
    updates_.push(id, kDeathSends);
  }
}

void Membership::gossip_to(core::ServerId id, Out& out) {
  wire::Message news = message(wire::Gossip{});
  fill(news);
  out.push_back({address_of(id), std::move(news)});
}

void Membership::gossip(core::Random& random, Out& out) {
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
    gossip_to(id, out);
  }
}

void Membership::handle(const wire::Sender& sender, const wire::Ping& body, const wire::Message&, Out& out) {
  const std::string address = address_of(sender.id);
  if (address.empty()) return;
  if (body.target != self_.id) {
    // Another server was at this address before.
    wire::Message answer = message(wire::Gossip{});
    answer.deltas.push_back(self_delta(true));
    out.push_back({address, std::move(answer)});
    return;
  }
  wire::Message answer = message(wire::Ack{.probe = body.probe, .subject = self_.id});
  fill(answer);
  out.push_back({address, std::move(answer)});
  if (body.view_hash == view_hash() || !sync_due()) return;
  wire::ViewDigest digest;
  digest.buckets.reserve(wire::kViewBuckets);
  for (const std::uint64_t bucket : view_buckets()) digest.buckets.push_back(static_cast<std::uint32_t>(bucket));
  out.push_back({address, message(std::move(digest))});
}

void Membership::handle(const wire::Sender&, const wire::Ack& body, const wire::Message&, Out& out) {
  const auto probe = std::ranges::find(probes_, body.probe, &Probe::number);
  if (probe != probes_.end() && probe->target == body.subject) {
    probes_.erase(probe);
    slowness_ = std::max(slowness_ - 1, 0);
    return;
  }
  const auto relay = std::ranges::find(relays_, body.probe, &Relay::number);
  if (relay == relays_.end() || relay->target != body.subject) return;
  wire::Message answer = message(wire::Ack{.probe = relay->requester_probe, .subject = body.subject});
  fill(answer);
  out.push_back({relay->requester_address, std::move(answer)});
  relays_.erase(relay);
}

void Membership::handle(const wire::Sender& sender, const wire::PingRequest& body, const wire::Message&, Out& out) {
  while (!relays_.empty() && (relays_.front().expires <= now_ || relays_.size() >= kMaxRelays)) relays_.pop_front();
  const std::string address = address_of(sender.id);
  if (address.empty() || table_.find(body.target) == nullptr) return;
  relays_.push_back({.number = next_number_++,
                     .target = body.target,
                     .requester_probe = body.probe,
                     .requester_address = address,
                     .expires = now_ + kRelayLife});
  send_ping(relays_.back().number, body.target, false, nullptr, out);
}

}  // namespace damaskthread::membership
