#ifndef DAMASKTHREAD_TRANSPORT_FWD_H_
#define DAMASKTHREAD_TRANSPORT_FWD_H_

namespace damaskthread::transport {

class ControlSocket;

}  // namespace damaskthread::transport

#endif  // DAMASKTHREAD_TRANSPORT_FWD_H_
