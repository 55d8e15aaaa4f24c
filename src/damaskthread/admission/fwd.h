#ifndef DAMASKTHREAD_ADMISSION_FWD_H_
#define DAMASKTHREAD_ADMISSION_FWD_H_

#include <cstdint>

namespace damaskthread::admission {

struct Level;
struct Ticket;
struct Arrival;
struct CallResult;
struct Decision;
struct QueueEvent;
struct AdmissionOptions;
struct GateOptions;
enum class Admission : std::uint8_t;
enum class QueueEventKind : std::uint8_t;
class ServerAdmission;
class EntranceGate;

}  // namespace damaskthread::admission

#endif  // DAMASKTHREAD_ADMISSION_FWD_H_
