#ifndef DAMASKTHREAD_ADMISSION_FWD_H_
#define DAMASKTHREAD_ADMISSION_FWD_H_

#include <cstdint>

namespace damaskthread::admission {

struct Level;
struct Ticket;
struct Arrival;
struct CallResult;
struct AdmissionDecision;
struct QueueEvent;
struct AdmissionOptions;
struct CallerThrottleOptions;
enum class AdmissionResult : std::uint8_t;
enum class QueueEventKind : std::uint8_t;
class ServerAdmission;
class CallerThrottle;

}  // namespace damaskthread::admission

#endif  // DAMASKTHREAD_ADMISSION_FWD_H_
