#ifndef DAMASKTHREAD_PACE_FWD_H_
#define DAMASKTHREAD_PACE_FWD_H_

namespace damaskthread::pace {

struct RampUpOptions;
class RampUp;

}  // namespace damaskthread::pace

#endif  // DAMASKTHREAD_PACE_FWD_H_
