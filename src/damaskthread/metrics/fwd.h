#ifndef DAMASKTHREAD_METRICS_FWD_H_
#define DAMASKTHREAD_METRICS_FWD_H_

namespace damaskthread::metrics {

class Counter;
class Gauge;
class Quantiles;
class Registry;

}  // namespace damaskthread::metrics

#endif  // DAMASKTHREAD_METRICS_FWD_H_
