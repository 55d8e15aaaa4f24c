#ifndef DAMASKTHREAD_QUOTA_FWD_H_
#define DAMASKTHREAD_QUOTA_FWD_H_

namespace damaskthread::quota {

struct Demand;
struct Report;
struct Credit;
struct Grant;
struct Usage;
struct QuotaState;
struct FleetView;
struct LeaseOptions;
class Ledger;
class Coordinator;
class Lease;

}  // namespace damaskthread::quota

#endif  // DAMASKTHREAD_QUOTA_FWD_H_
