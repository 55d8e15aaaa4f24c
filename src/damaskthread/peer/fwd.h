#ifndef DAMASKTHREAD_PEER_FWD_H_
#define DAMASKTHREAD_PEER_FWD_H_

namespace damaskthread::peer {

struct Hello;
struct Execute;
struct Result;
struct Cancel;
struct Resume;
struct Status;
struct Configuration;
struct ConfigurationRequest;
struct CrashNotice;
struct LoadUpdate;
class FrameReader;

}  // namespace damaskthread::peer

#endif  // DAMASKTHREAD_PEER_FWD_H_
