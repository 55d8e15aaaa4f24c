#ifndef DAMASKTHREAD_ROUTE_FWD_H_
#define DAMASKTHREAD_ROUTE_FWD_H_

namespace damaskthread::route {

struct WeightedService;
struct Route;
struct CallerLimits;
class RouteTable;
class WeightedSplit;

}  // namespace damaskthread::route

#endif  // DAMASKTHREAD_ROUTE_FWD_H_
