#ifndef DAMASKTHREAD_PLATFORM_FWD_H_
#define DAMASKTHREAD_PLATFORM_FWD_H_

namespace damaskthread::platform {

struct LogClientOptions;
struct LogInfo;
class LogClient;

}  // namespace damaskthread::platform

#endif  // DAMASKTHREAD_PLATFORM_FWD_H_
