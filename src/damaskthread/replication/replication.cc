#include "damaskthread/replication/replication.h"

#include <xxhash.h>

#include <algorithm>

namespace damaskthread::replication {
namespace {

std::uint64_t rendezvous_weight(core::ServerId id, std::string_view zone) noexcept {
  return XXH3_64bits_withSeed(zone.data(), zone.size(), XXH3_64bits(&id.value, sizeof id.value));
}

}  // namespace

bool is_poller(core::ServerId self, std::string_view zone, std::span<const membership::Member> members,
               std::size_t count) {
  const std::uint64_t own = rendezvous_weight(self, zone);
  std::size_t higher_ranked = 0;
  for (const membership::Member& member : members) {
    if (member.id == self || member.state != membership::State::kAlive || member.info->zone != zone) continue;
    const std::uint64_t other = rendezvous_weight(member.id, zone);
    if (other > own || (other == own && member.id > self)) ++higher_ranked;
  }
  return higher_ranked < count;
}

Replication::Replication(core::ServerId self, ConfigSource& source, ConfigSink& sink, Options options)
    : self_{self}, source_{source}, sink_{sink}, options_{options} {}

wire::ConfigDigest Replication::digest() const { return {.revision = source_.revision(), .offset = source_.offset()}; }

void Replication::set_view(std::span<const membership::Member> members, core::TimePoint now) {
  std::unordered_set<core::ServerId> live_ids;
  for (const membership::Member& member : members) {
    if (member.id == self_) {
      polls_log_ = is_poller(self_, member.info->zone, members, options_.pollers_per_zone);
      continue;
    }
    if (member.state == membership::State::kDead) continue;
    live_ids.insert(member.id);
    Peer& peer = peers_[member.id];
    if (peer.incarnation != member.incarnation) {
      peer = Peer{.incarnation = member.incarnation,
                  .address = {},
                  .digest = {},
                  .heard = now,
                  .behind_since = {},
                  .lag_noted = false};
    }
    peer.address = member.info->control_address;
  }
  std::erase_if(peers_, [&](const auto& item) { return !live_ids.contains(item.first); });
}

void Replication::update_peer_digest(core::ServerId id, Peer& peer, const wire::ConfigDigest& digest,
                                     core::TimePoint now) {
  // Messages may be reordered; a daemon's configuration never reverts within an incarnation.
  if (peer.digest && digest < *peer.digest) return;
  peer.digest = digest;
  peer.heard = now;
  highest_known_revision_ = std::max(highest_known_revision_, digest.revision);
  if (digest.revision >= source_.revision()) {
    peer.behind_since.reset();
  } else if (!peer.behind_since) {
    peer.behind_since = now;
    lag_candidates_.insert(id);
  }
}

bool Replication::should_fetch(const wire::ConfigDigest& digest, core::TimePoint now) const {
  if (digest.revision != source_.revision()) return digest.revision > source_.revision();
  return digest.offset > source_.offset() && (!offset_fetched_ || now - *offset_fetched_ >= options_.offset_refresh);
}

std::vector<wire::Outgoing> Replication::receive(const wire::Sender& sender, const wire::Message& message,
                                                 core::TimePoint now) {
  std::vector<wire::Outgoing> out;
  const auto found = peers_.find(sender.id);
  if (found == peers_.end() || found->second.incarnation != sender.incarnation) return out;
  if (message.digest) {
    update_peer_digest(sender.id, found->second, *message.digest, now);
    if (!fetch_ && should_fetch(*message.digest, now)) fetch(sender.id, false, now, out);
  }
  if (const auto* request = std::get_if<wire::ConfigRequest>(&message.body)) {
    serve(*request, found->second.address, out);
  } else if (const auto* chunk = std::get_if<wire::ConfigChunk>(&message.body)) {
    handle_chunk(sender.id, *chunk, now, out);
  }
  return out;
}

void Replication::fetch(core::ServerId id, bool state, core::TimePoint now, std::vector<wire::Outgoing>& out) {
  fetch_ = Fetch{.peer = id,
                 .request = {.state = state, .offset = source_.offset(), .part = 0},
                 .sent = now,
                 .source_digest = {},
                 .parts = 1,
                 .received_bytes = {}};
  const auto peer = peers_.find(id);
  if (peer->second.digest && peer->second.digest->revision == source_.revision()) offset_fetched_ = now;
  request_part(now, out);
}

void Replication::request_part(core::TimePoint now, std::vector<wire::Outgoing>& out) {
  const auto peer = peers_.find(fetch_->peer);
  if (peer == peers_.end()) {
    fetch_.reset();
    return;
  }
  fetch_->sent = now;
  ++counters_.requests_sent;
  wire::Message message;
  message.body = fetch_->request;
  message.digest = digest();
  out.push_back({peer->second.address, std::move(message)});
}

const std::string& Replication::cached_state() {
  const wire::ConfigDigest current = digest();
  if (!state_cache_ || state_cache_->source_digest != current) state_cache_ = Payload{current, source_.state()};
  return state_cache_->bytes;
}

void Replication::serve(const wire::ConfigRequest& request, const std::string& address,
                        std::vector<wire::Outgoing>& out) {
  std::optional<std::string> records;
  if (!request.state) records = source_.records_since(request.offset, options_.records_bytes);
  const std::string& payload = records ? *records : cached_state();
  const std::size_t parts =
      std::max<std::size_t>(1, (payload.size() + wire::kMaxChunkBytes - 1) / wire::kMaxChunkBytes);
  if (request.part >= parts) return;
  ++counters_.requests_served;
  wire::Message message;
  message.digest = digest();
  message.body = wire::ConfigChunk{.state = !records,
                                   .source_digest = digest(),
                                   .from_offset = request.offset,
                                   .part = request.part,
                                   .parts = static_cast<std::uint32_t>(parts),
                                   .bytes = payload.substr(request.part * wire::kMaxChunkBytes, wire::kMaxChunkBytes)};
  out.push_back({address, std::move(message)});
}

void Replication::handle_chunk(core::ServerId from, const wire::ConfigChunk& chunk, core::TimePoint now,
                               std::vector<wire::Outgoing>& out) {
  if (!fetch_ || fetch_->peer != from || chunk.part != fetch_->request.part ||
      chunk.from_offset != fetch_->request.offset) {
    ++counters_.stale_dropped;
    return;
  }
  if (std::size_t{chunk.parts} * wire::kMaxChunkBytes > options_.max_transfer_bytes) {
    ++counters_.transfers_refused;
    fetch_.reset();
    return;
  }
  const bool first = chunk.part == 0;
  // The peer's configuration changed between two parts, so they belong to different payloads.
  if (!first && (fetch_->source_digest != chunk.source_digest || fetch_->parts != chunk.parts ||
                 fetch_->request.state != chunk.state)) {
    fetch(from, fetch_->request.state, now, out);
    return;
  }
  if (first) {
    fetch_->source_digest = chunk.source_digest;
    fetch_->parts = chunk.parts;
    fetch_->request.state = chunk.state;
  }
  fetch_->received_bytes += chunk.bytes;
  if (++fetch_->request.part < fetch_->parts) return request_part(now, out);
  finish_transfer(now, out);
}

void Replication::finish_transfer(core::TimePoint now, std::vector<wire::Outgoing>& out) {
  const Fetch finished_fetch = std::move(*fetch_);
  fetch_.reset();
  const wire::ConfigDigest before = digest();
  // The log may have been polled during the transfer. A state that is not newer is never applied, and records only if
  // they continue at the current offset.
  const bool stale = finished_fetch.request.state ? finished_fetch.source_digest->revision <= before.revision &&
                                                        finished_fetch.source_digest->offset <= before.offset
                                                  : finished_fetch.request.offset != before.offset;
  if (stale || (finished_fetch.request.state && finished_fetch.source_digest->revision < before.revision)) {
    ++counters_.stale_dropped;
    return;
  }
  const bool applied = finished_fetch.request.state ? sink_.apply_state(finished_fetch.received_bytes)
                                                    : sink_.apply_records(finished_fetch.received_bytes);
  const bool advanced = applied && digest() > before;
  ++(advanced ? counters_.transfers_applied : counters_.transfers_refused);
  const auto peer = peers_.find(finished_fetch.peer);
  if (peer == peers_.end() || finished_fetch.source_digest->revision <= source_.revision()) return;
  // Fetch further records if the last ones were applied. Otherwise fetch the state, which does not depend on this
  // daemon's offset.
  if (advanced) {
    fetch(finished_fetch.peer, false, now, out);
  } else if (!finished_fetch.request.state) {
    fetch(finished_fetch.peer, true, now, out);
  }
}

void Replication::update_lag_note(core::ServerId id, Peer& peer, core::TimePoint now) {
  const bool is_lagging =
      peer.behind_since && now - peer.heard < options_.fresh && now - *peer.behind_since >= options_.lag_after;
  if (is_lagging == peer.lag_noted || (!is_lagging && peer.behind_since)) return;
  peer.lag_noted = is_lagging;
  const core::Duration behind = is_lagging ? now - *peer.behind_since : core::Duration{0};
  lag_notes_.push_back({.id = id,
                        .incarnation = peer.incarnation,
                        .revision = peer.digest->revision,
                        .behind = std::chrono::duration_cast<std::chrono::milliseconds>(behind)});
}

void Replication::fetch_from_peer_ahead(core::TimePoint now, core::Random& random, std::vector<wire::Outgoing>& out) {
  std::vector<core::ServerId> peers_ahead;
  const std::uint64_t revision = source_.revision();
  for (const auto& [id, peer] : peers_) {
    if (peer.digest && peer.digest->revision > revision) peers_ahead.push_back(id);
  }
  if (peers_ahead.empty()) {
    highest_known_revision_ = revision;
    return;
  }
  fetch(peers_ahead[std::uniform_int_distribution<std::size_t>{0, peers_ahead.size() - 1}(random)], false, now, out);
}

std::vector<wire::Outgoing> Replication::tick(core::TimePoint now, core::Random& random) {
  std::vector<wire::Outgoing> out;
  if (fetch_ && now - fetch_->sent >= options_.request_timeout) {
    ++counters_.timeouts;
    fetch_.reset();
  }
  if (!fetch_ && highest_known_revision_ > source_.revision()) fetch_from_peer_ahead(now, random, out);
  std::erase_if(lag_candidates_, [&](core::ServerId id) {
    const auto peer = peers_.find(id);
    if (peer == peers_.end()) return true;
    update_lag_note(id, peer->second, now);
    return !peer->second.behind_since && !peer->second.lag_noted;
  });
  return out;
}

std::vector<PeerConfig> Replication::peers(core::TimePoint now) const {
  std::vector<PeerConfig> result;
  result.reserve(peers_.size());
  for (const auto& [id, peer] : peers_) {
    const core::Duration silence = now - peer.heard;
    PeerConfig config{.id = id, .digest = {}, .heard = peer.heard, .behind = {}};
    if (silence < options_.unknown_after) config.digest = peer.digest;
    if (peer.behind_since && silence < options_.fresh) config.behind = now - *peer.behind_since;
    result.push_back(config);
  }
  std::ranges::sort(result, {}, &PeerConfig::id);
  return result;
}

}  // namespace damaskthread::replication
