#ifndef DAMASKTHREAD_LOGSERVICE_FWD_H_
#define DAMASKTHREAD_LOGSERVICE_FWD_H_

namespace damaskthread::logservice {

struct LogClientOptions;
struct LogInfo;
class LogClient;

}  // namespace damaskthread::logservice

#endif  // DAMASKTHREAD_LOGSERVICE_FWD_H_
