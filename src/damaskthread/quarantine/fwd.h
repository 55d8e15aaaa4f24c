#ifndef DAMASKTHREAD_QUARANTINE_FWD_H_
#define DAMASKTHREAD_QUARANTINE_FWD_H_

#include <cstdint>

namespace damaskthread::quarantine {

struct CrashId;
struct CrashMark;
struct QuarantineOptions;
enum class StartResult : std::uint8_t;
enum class Treatment : std::uint8_t;
class CrashQuarantine;

}  // namespace damaskthread::quarantine

#endif  // DAMASKTHREAD_QUARANTINE_FWD_H_
