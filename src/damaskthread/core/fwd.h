#ifndef DAMASKTHREAD_CORE_FWD_H_
#define DAMASKTHREAD_CORE_FWD_H_

#include <cstdint>

namespace damaskthread::core {

enum class Importance : std::uint8_t;
enum class Execution : std::uint8_t;
enum class Cause : std::uint8_t;
struct Verdict;
struct RequestKey;
struct ServerId;
struct ServiceId;
struct Incarnation;

}  // namespace damaskthread::core

#endif  // DAMASKTHREAD_CORE_FWD_H_
