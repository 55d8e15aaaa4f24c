#include "damaskthread/gate/server_life.h"

namespace damaskthread::gate {
namespace {

// A server whose first heartbeat heard here has at most this number has just started and cannot have left before.
constexpr std::int64_t kFreshSequence = 2;

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

ServerLife::Effect ServerLife::hear(const Announcement& announcement, core::TimePoint now) {
  if (current_ && announcement.born < current_->born) return Effect::kIgnored;
  const bool new_life = !current_ || announcement.born > current_->born || announcement.id != current_->id;
  if (new_life) {
    const bool first = !current_;
    current_ = announcement;
    heard_ = now;
    gone_ = announcement.id == left_before_;
    reachable_ = true;
    verified_ = !first || announcement.sequence <= kFreshSequence || announcement.leaving;
    first_sequence_ = announcement.sequence;
    return Effect::kNewLife;
  }
  if (announcement.sequence <= current_->sequence) return Effect::kIgnored;
  const ServerState before = state(now);
  const bool changed = announcement.leaving != current_->leaving || announcement.capacity != current_->capacity ||
                       announcement.service != current_->service;
  current_ = announcement;
  heard_ = now;
  reachable_ = true;
  if (announcement.leaving || announcement.sequence > first_sequence_ + 1) verified_ = true;
  return changed || state(now) != before ? Effect::kChanged : Effect::kRenewed;
}

ServerLife::Effect ServerLife::depart(std::string_view id, core::TimePoint now) {
  if (!current_ || current_->id != id) {
    if (!current_) left_before_ = id;
    return Effect::kIgnored;
  }
  heard_ = now;
  if (gone_) return Effect::kRenewed;
  gone_ = true;
  return Effect::kChanged;
}

void ServerLife::verify(std::string_view id, bool ready) {
  if (!current_ || current_->id != id || verified_) return;
  if (ready) verified_ = true;
}

ServerState ServerLife::state(core::TimePoint now) const noexcept {
  if (!current_) return ServerState::kUnknown;
  if (gone_) return ServerState::kGone;
  if (current_->leaving) return ServerState::kLeaving;
  if (now - heard_ > lapse_ || !reachable_) return ServerState::kUnknown;
  return verified_ ? ServerState::kReady : ServerState::kUnverified;
}

}  // namespace damaskthread::gate
