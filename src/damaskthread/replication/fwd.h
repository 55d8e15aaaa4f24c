#ifndef DAMASKTHREAD_REPLICATION_FWD_H_
#define DAMASKTHREAD_REPLICATION_FWD_H_

namespace damaskthread::replication {

class ConfigSink;
class ConfigSource;
class Replication;

}  // namespace damaskthread::replication

#endif  // DAMASKTHREAD_REPLICATION_FWD_H_
