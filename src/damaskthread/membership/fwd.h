#ifndef DAMASKTHREAD_MEMBERSHIP_FWD_H_
#define DAMASKTHREAD_MEMBERSHIP_FWD_H_

#include <cstdint>

namespace damaskthread::membership {

enum class State : std::uint8_t;
class Membership;
struct Member;

}  // namespace damaskthread::membership

#endif  // DAMASKTHREAD_MEMBERSHIP_FWD_H_
