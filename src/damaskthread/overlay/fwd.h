#ifndef DAMASKTHREAD_OVERLAY_FWD_H_
#define DAMASKTHREAD_OVERLAY_FWD_H_

namespace damaskthread::overlay {

class ConfigurationPull;
class InterestTable;
class LinkPlan;
class WatchDuty;
struct Candidate;
struct ConfigurationOffer;
struct WatcherState;

}  // namespace damaskthread::overlay

#endif  // DAMASKTHREAD_OVERLAY_FWD_H_
