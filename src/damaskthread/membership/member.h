#ifndef DAMASKTHREAD_MEMBERSHIP_MEMBER_H_
#define DAMASKTHREAD_MEMBERSHIP_MEMBER_H_

/// @file
/// @brief Member of the fleet as seen by one daemon.

#include <cstdint>
#include <memory>
#include <string_view>

#include "damaskthread/core/types.h"
#include "damaskthread/membership/fwd.h"
#include "damaskthread/wire/message.h"

namespace damaskthread::membership {

/// State of a member. Between claims with equal incarnation and refutation counter, the larger value wins. A leaving
/// member is reported as leaving even while it is suspect.
enum class State : std::uint8_t { kAlive, kSuspect, kLeaving, kDead };

/// @brief Returns the name of a state for status output and metrics.
[[nodiscard]] std::string_view to_string(State state) noexcept;

/// A daemon and the backend server on the same VM.
struct Member {
  core::ServerId id;
  core::Incarnation incarnation;
  std::uint32_t refutation = 0;
  State state = State::kAlive;
  /// Never null. Shared so that copying a view is cheap.
  std::shared_ptr<const wire::MemberInfo> info;

  /// Returns whether new work may be sent to this member.
  [[nodiscard]] bool available() const noexcept { return state == State::kAlive || state == State::kSuspect; }
};

}  // namespace damaskthread::membership

#endif  // DAMASKTHREAD_MEMBERSHIP_MEMBER_H_
