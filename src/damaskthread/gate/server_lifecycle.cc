#include "damaskthread/gate/server_lifecycle.h"

namespace damaskthread::gate {
namespace {

// A server whose first received heartbeat has at most this sequence number has just started and cannot have announced a
// leave before.
constexpr std::int64_t kMaxInitialSequence = 2;

}  // namespace

std::string_view to_string(ServerState state) noexcept {
  switch (state) {
    case ServerState::kUnknown:
      return "unknown";
    case ServerState::kUnverified:
      return "unverified";
    case ServerState::kReady:
      return "ready";
    case ServerState::kLeaving:
      return "leaving";
    case ServerState::kGone:
      return "gone";
  }
  return "unknown";
}

bool ServerIdentity::matches(const ServerHeartbeat& heartbeat) const noexcept {
  return (service.empty() || service == heartbeat.service) && (address.empty() || address == heartbeat.address);
}

void ServerLifecycle::expect(ServerIdentity expected) {
  expected_ = std::move(expected);
  if (last_heartbeat_ && !expected_.matches(*last_heartbeat_)) reachable_ = false;
}

ServerLifecycle::Effect ServerLifecycle::on_heartbeat(const ServerHeartbeat& heartbeat, core::TimePoint now) {
  if (!expected_.matches(heartbeat)) return Effect::kForeign;
  if (last_heartbeat_ && heartbeat.started_at_ms < last_heartbeat_->started_at_ms) return Effect::kIgnored;
  const bool new_incarnation = !last_heartbeat_ || heartbeat.started_at_ms > last_heartbeat_->started_at_ms ||
                               heartbeat.id != last_heartbeat_->id;
  if (new_incarnation) {
    const bool first = !last_heartbeat_;
    last_heartbeat_ = heartbeat;
    last_heartbeat_time_ = now;
    // A deregistration names no start time: this may be the incarnation that sent it, with a delayed first heartbeat,
    // or the next one. Its health check tells.
    const bool may_have_departed = departed_ && departed_->id == heartbeat.id && departed_->started_at_ms == 0;
    deregistered_ = is_departed(heartbeat);
    if (deregistered_ || heartbeat.leaving) {
      departed_ = ServerIncarnation{heartbeat.id, heartbeat.started_at_ms};
    } else if (may_have_departed) {
      departed_->started_at_ms = heartbeat.started_at_ms - 1;
    }
    reachable_ = true;
    const bool from_its_start = !first || heartbeat.sequence <= kMaxInitialSequence;
    verified_ = heartbeat.leaving || (from_its_start && !may_have_departed);
    first_sequence_ = heartbeat.sequence;
    return Effect::kNewIncarnation;
  }
  if (heartbeat.sequence <= last_heartbeat_->sequence) return Effect::kIgnored;
  const ServerState before = state(now);
  const bool changed = heartbeat.leaving != last_heartbeat_->leaving ||
                       heartbeat.capacity != last_heartbeat_->capacity || heartbeat.service != last_heartbeat_->service;
  last_heartbeat_ = heartbeat;
  last_heartbeat_time_ = now;
  reachable_ = true;
  if (heartbeat.leaving) departed_ = ServerIncarnation{heartbeat.id, heartbeat.started_at_ms};
  if (heartbeat.leaving || heartbeat.sequence > first_sequence_ + 1) verified_ = true;
  return changed || state(now) != before ? Effect::kChanged : Effect::kRenewed;
}

ServerLifecycle::Effect ServerLifecycle::on_deregistration(std::string_view id, core::TimePoint now) {
  if (!last_heartbeat_ || last_heartbeat_->id != id) {
    if (!last_heartbeat_) departed_ = ServerIncarnation{std::string(id), 0};
    return Effect::kIgnored;
  }
  last_heartbeat_time_ = now;
  if (deregistered_) return Effect::kRenewed;
  deregistered_ = true;
  departed_ = ServerIncarnation{last_heartbeat_->id, last_heartbeat_->started_at_ms};
  return Effect::kChanged;
}

void ServerLifecycle::restore_departed(ServerIncarnation departed) {
  departed_ = std::move(departed);
  if (last_heartbeat_ && is_departed(*last_heartbeat_)) deregistered_ = true;
}

bool ServerLifecycle::is_departed(const ServerHeartbeat& heartbeat) const noexcept {
  if (!departed_ || departed_->id != heartbeat.id) return false;
  if (departed_->started_at_ms == 0) return heartbeat.sequence > kMaxInitialSequence;
  return heartbeat.started_at_ms <= departed_->started_at_ms;
}

void ServerLifecycle::record_health_check(std::string_view id, bool ready) {
  if (!last_heartbeat_ || last_heartbeat_->id != id || verified_) return;
  if (ready) verified_ = true;
}

ServerState ServerLifecycle::state(core::TimePoint now) const noexcept {
  if (!last_heartbeat_) return ServerState::kUnknown;
  if (deregistered_) return ServerState::kGone;
  if (last_heartbeat_->leaving) return ServerState::kLeaving;
  if (now - last_heartbeat_time_ > heartbeat_timeout_ || !reachable_) return ServerState::kUnknown;
  return verified_ ? ServerState::kReady : ServerState::kUnverified;
}

}  // namespace damaskthread::gate
