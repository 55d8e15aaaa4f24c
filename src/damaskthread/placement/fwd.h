#ifndef DAMASKTHREAD_PLACEMENT_FWD_H_
#define DAMASKTHREAD_PLACEMENT_FWD_H_

namespace damaskthread::placement {

struct Candidate;
struct PlacementCost;
struct ServerReport;
struct PlacementRequest;
class ServerPool;

}  // namespace damaskthread::placement

#endif  // DAMASKTHREAD_PLACEMENT_FWD_H_
