#ifndef DAMASKTHREAD_DAEMON_FWD_H_
#define DAMASKTHREAD_DAEMON_FWD_H_

namespace damaskthread::daemon {

class Directory;
class QueueEventDispatcher;
class ControlPlane;
class DataPlane;
class AdminApi;
class Daemon;

}  // namespace damaskthread::daemon

#endif  // DAMASKTHREAD_DAEMON_FWD_H_
