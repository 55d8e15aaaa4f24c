#ifndef DAMASKTHREAD_ROUTING_FWD_H_
#define DAMASKTHREAD_ROUTING_FWD_H_

#include <cstdint>

namespace damaskthread::routing {

struct ServerInfo;
struct CallerCounts;
struct ServiceRouterOptions;
enum class AttemptOutcome : std::uint8_t;
enum class Probe : std::uint8_t;
struct MemberStatus;
class ServiceRouter;
struct SubsetShape;

}  // namespace damaskthread::routing

#endif  // DAMASKTHREAD_ROUTING_FWD_H_
