// Joining, and anti-entropy: comparing views to repair updates that gossip missed.

#include <algorithm>
#include <random>
#include <unordered_set>
#include <utility>

#include "damaskthread/membership/membership.h"

namespace damaskthread::membership {
namespace {

using wire::Health;

constexpr core::Duration kJoinPeriod = std::chrono::seconds{1};
// A seed that is not a known live member may belong to a part of the fleet that this daemon does not know.
constexpr core::Duration kSeedPeriod = std::chrono::seconds{30};
// When the whole fleet starts at once, separate groups form around each seed and merge only through the seeds.
constexpr core::Duration kStartupSeedPeriod = std::chrono::seconds{3};
constexpr core::Duration kStartupPeriod = std::chrono::minutes{1};
constexpr std::size_t kSampleMembers = 8;
// Reserves space for the envelope of a message with members.
constexpr std::size_t kMaxMembersBytes = wire::kMaxMessageBytes - 1024;
// Maximum size of the answers to one summary; the rest follows with the next comparison.
constexpr std::size_t kSyncBytes = 4 * wire::kMaxDatagramBytes;

}  // namespace

void Membership::request_members_from_seed(core::Random& random, Outbox& out) {
  std::vector<std::string_view> unknown_seeds;
  for (const std::string& seed : seeds_) {
    if (seed != info_->control_address && !table_.has_live_member_at(seed)) unknown_seeds.push_back(seed);
  }
  if (unknown_seeds.empty()) return;
  const std::string seed{
      unknown_seeds[std::uniform_int_distribution<std::size_t>{0, unknown_seeds.size() - 1}(random)]};
  wire::Message request = message(wire::MembersRequest{.all = false});
  request.deltas.push_back(self_delta(true));
  out.push_back({seed, std::move(request)});
}

void Membership::join(core::Random& random, Outbox& out) {
  if (joined_ && !table_.ring().empty()) {
    if (next_seed_ > now_) return;
    next_seed_ = now_ + (now_ - started_ < kStartupPeriod ? kStartupSeedPeriod : kSeedPeriod);
    return request_members_from_seed(random, out);
  }
  if (next_join_ > now_) return;
  next_join_ = now_ + kJoinPeriod;
  // Every other attempt uses a seed even if members are known, since those may have failed.
  if (table_.ring().empty() || join_attempts_++ % 2 == 1) return request_members_from_seed(random, out);
  wire::Message request = message(wire::MembersRequest{.all = true});
  request.deltas.push_back(self_delta(true));
  out.push_back({address_of(random_member(random)), std::move(request)});
}

bool Membership::sync_due() {
  if (next_sync_ > now_) return false;
  next_sync_ = now_ + options_.sync_period;
  ++counters_.syncs;
  return true;
}

void Membership::send_members(const std::string& address, std::span<const core::ServerId> ids, bool all,
                              std::size_t max_bytes, Outbox& out) const {
  wire::Message part = message(wire::MemberState{.all = all, .requested_ids = {}});
  std::size_t used = wire::kEnvelopeBytes;
  for (const core::ServerId id : ids) {
    auto delta = delta_of(id, true);
    if (!delta) continue;
    const std::size_t size = wire::max_encoded_size(*delta);
    if (used + size > max_bytes) {
      out.push_back({address, std::exchange(part, message(wire::MemberState{.all = all, .requested_ids = {}}))});
      used = wire::kEnvelopeBytes;
    }
    used += size;
    part.deltas.push_back(std::move(*delta));
  }
  if (!part.deltas.empty()) out.push_back({address, std::move(part)});
}

void Membership::handle(const wire::Sender&, const wire::Gossip&, const wire::Message&, Outbox&) {}
void Membership::handle(const wire::Sender&, const wire::ConfigRequest&, const wire::Message&, Outbox&) {}
void Membership::handle(const wire::Sender&, const wire::ConfigChunk&, const wire::Message&, Outbox&) {}

void Membership::handle(const wire::Sender& sender, const wire::MembersRequest& body, const wire::Message&,
                        Outbox& out) {
  const std::string address = address_of(sender.id);
  if (address.empty()) return;
  const auto ring = table_.ring();
  std::vector<core::ServerId> ids = {self_.id};
  const std::size_t count = body.all ? ring.size() : std::min(kSampleMembers, ring.size());
  // Joining daemons receive different samples, so that no single member has to send its whole view to all of them.
  for (std::size_t i = 0; i < count; ++i) ids.push_back(ring[(rotation_offset_ + i) % ring.size()].id);
  rotation_offset_ += count;
  send_members(address, ids, body.all, body.all ? kMaxMembersBytes : wire::kMaxDatagramBytes, out);
}

void Membership::handle(const wire::Sender& sender, const wire::ViewDigest& body, const wire::Message&, Outbox& out) {
  const std::string address = address_of(sender.id);
  const auto own = view_buckets();
  if (address.empty() || body.buckets.size() != own.size()) return;
  wire::MemberSummary summary;
  wire::Message answer = message(wire::Gossip{});
  std::size_t used = wire::kEnvelopeBytes;
  ++rotation_offset_;
  for (std::size_t i = 0; i < own.size(); ++i) {
    const std::size_t bucket = (rotation_offset_ + i) % own.size();
    if (static_cast<std::uint32_t>(own[bucket]) == body.buckets[bucket]) continue;
    std::vector<core::ServerId> ids = table_.ids_in_bucket(bucket);
    if (MemberTable::bucket_of(MemberTable::hash(self_.id)) == bucket) ids.push_back(self_.id);
    constexpr std::size_t kDeltaBytesWithoutInfo = 28;
    // At 2,400 members one bucket fits into a datagram. A larger bucket is sent alone in the answer to a digest.
    used += 2 + ids.size() * kDeltaBytesWithoutInfo;
    if (used > wire::kMaxDatagramBytes && !summary.buckets.empty()) break;
    if (used > wire::kMaxMessageBytes) break;
    summary.buckets.push_back(static_cast<std::uint8_t>(bucket));
    for (const core::ServerId id : ids) {
      wire::MemberDelta delta = *delta_of(id, false);
      delta.info = nullptr;
      answer.deltas.push_back(std::move(delta));
    }
  }
  if (summary.buckets.empty()) return;
  answer.body = std::move(summary);
  out.push_back({address, std::move(answer)});
}

std::vector<wire::MemberDelta> Membership::newer_than(const wire::MemberSummary& body,
                                                      const wire::Message& message) const {
  std::vector<wire::MemberDelta> result;
  std::unordered_set<core::ServerId> listed;
  for (const wire::MemberDelta& delta : message.deltas) {
    listed.insert(delta.id);
    const auto own = delta_of(delta.id, true);
    if (!own || own->incarnation < delta.incarnation) continue;
    const bool newer = own->incarnation > delta.incarnation || own->refutation > delta.refutation ||
                       (own->leaving && !delta.leaving) || (own->health == Health::kDead);
    if (!newer) continue;
    result.push_back(*own);
    if (own->incarnation == delta.incarnation) result.back().info = nullptr;
  }
  for (const std::uint8_t bucket : body.buckets) {
    std::vector<core::ServerId> ids = table_.ids_in_bucket(bucket);
    if (MemberTable::bucket_of(MemberTable::hash(self_.id)) == bucket) ids.push_back(self_.id);
    for (const core::ServerId id : ids) {
      if (!listed.contains(id)) result.push_back(*delta_of(id, true));
    }
  }
  return result;
}

void Membership::handle(const wire::Sender& sender, const wire::MemberSummary& body, const wire::Message& summary,
                        Outbox& out) {
  const std::string address = address_of(sender.id);
  if (address.empty()) return;
  wire::Message part = message(wire::MemberState{});
  std::size_t used = wire::kEnvelopeBytes;
  std::size_t total = 0;
  for (wire::MemberDelta& delta : newer_than(body, summary)) {
    const std::size_t size = wire::max_encoded_size(delta);
    total += size;
    if (total > kSyncBytes) break;
    if (used + size > wire::kMaxDatagramBytes) {
      out.push_back({address, std::exchange(part, message(wire::MemberState{}))});
      used = wire::kEnvelopeBytes;
    }
    used += size;
    part.deltas.push_back(std::move(delta));
  }
  if (!part.deltas.empty()) out.push_back({address, std::move(part)});
}

void Membership::handle(const wire::Sender& sender, const wire::MemberState& body, const wire::Message& message,
                        Outbox& out) {
  joined_ = joined_ || body.all;
  // The seed's sample contains members that can be asked for the full list.
  if (!joined_) next_join_ = now_;
  const std::string address = address_of(sender.id);
  if (body.requested_ids.empty() || address.empty()) return;
  static_cast<void>(message);
  send_members(address, body.requested_ids, false, wire::kMaxDatagramBytes, out);
}

}  // namespace damaskthread::membership
