#ifndef DAMASKTHREAD_ENTRANCE_FWD_H_
#define DAMASKTHREAD_ENTRANCE_FWD_H_

namespace damaskthread::entrance {

class CallGraph;
class Throttle;

}  // namespace damaskthread::entrance

#endif  // DAMASKTHREAD_ENTRANCE_FWD_H_
