#ifndef DAMASKTHREAD_GATE_FWD_H_
#define DAMASKTHREAD_GATE_FWD_H_

namespace damaskthread::gate {

struct ServerHeartbeat;
struct Arrival;
struct Load;
struct Ticket;
class DemandMeter;
class ServerGate;
class ServerLifecycle;

}  // namespace damaskthread::gate

#endif  // DAMASKTHREAD_GATE_FWD_H_
