#ifndef DAMASKTHREAD_CLIENT_FWD_H_
#define DAMASKTHREAD_CLIENT_FWD_H_

namespace damaskthread::client {

struct CommandOptions;
struct LocalResource;
struct PublishResult;
class AdminClient;

}  // namespace damaskthread::client

#endif  // DAMASKTHREAD_CLIENT_FWD_H_
