#ifndef DAMASKTHREAD_LIMIT_FWD_H_
#define DAMASKTHREAD_LIMIT_FWD_H_

namespace damaskthread::limit {

struct AdaptiveLimitOptions;
class AdaptiveLimit;

}  // namespace damaskthread::limit

#endif  // DAMASKTHREAD_LIMIT_FWD_H_
