#ifndef DAMASKTHREAD_WIRE_FWD_H_
#define DAMASKTHREAD_WIRE_FWD_H_

namespace damaskthread::wire {

class Authenticator;
struct ConfigDigest;
struct CrashMark;
struct MemberDelta;
struct MemberInfo;
struct Message;
struct Received;
struct Sender;

}  // namespace damaskthread::wire

#endif  // DAMASKTHREAD_WIRE_FWD_H_
