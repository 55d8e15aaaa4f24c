#ifndef DAMASKTHREAD_SLO_FWD_H_
#define DAMASKTHREAD_SLO_FWD_H_

namespace damaskthread::slo {

struct Objective;
struct Counts;
struct ObjectiveBurn;
struct BurnSnapshot;
class BurnTracker;

}  // namespace damaskthread::slo

#endif  // DAMASKTHREAD_SLO_FWD_H_
