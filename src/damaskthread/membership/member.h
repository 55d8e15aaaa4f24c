#ifndef DAMASKTHREAD_MEMBERSHIP_MEMBER_H_
#define DAMASKTHREAD_MEMBERSHIP_MEMBER_H_

/// @file
/// @brief A member as the view shows it.

#include <cstdint>
#include <memory>
#include <string_view>

#include "damaskthread/core/types.h"
#include "damaskthread/membership/fwd.h"
#include "damaskthread/wire/message.h"

namespace damaskthread::membership {

/// State of a member. Of two claims with equal incarnation and refutation the larger holds. A member that is leaving
/// shows as leaving even while it is suspect.
enum class State : std::uint8_t { kAlive, kSuspect, kLeaving, kDead };

/// @brief Name of a state, for status and metrics.
[[nodiscard]] std::string_view to_string(State state) noexcept;

/// One daemon and the server beside it.
struct Member {
  core::ServerId id;
  core::Incarnation incarnation;
  std::uint32_t refutation = 0;
  State state = State::kAlive;
  /// Never null; shared, so that copying a view is cheap.
  std::shared_ptr<const wire::MemberInfo> info;

  /// Whether new work may be sent there.
  [[nodiscard]] bool available() const noexcept { return state == State::kAlive || state == State::kSuspect; }
};

}  // namespace damaskthread::membership

#endif  // DAMASKTHREAD_MEMBERSHIP_MEMBER_H_
