#include "socket_descriptor.h"

#include <cxxtools/net/tcpsocket.h>

namespace damaskthread {
namespace standin {

int descriptor_of(const cxxtools::net::TcpSocket& socket) { return socket.getFd(); }

}  // namespace standin
}  // namespace damaskthread
