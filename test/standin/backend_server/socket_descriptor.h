#ifndef TEST_STANDIN_BACKEND_SERVER_SOCKET_DESCRIPTOR_H_
#define TEST_STANDIN_BACKEND_SERVER_SOCKET_DESCRIPTOR_H_

namespace cxxtools {
namespace net {
class TcpSocket;
}  // namespace net
}  // namespace cxxtools

namespace damaskthread {
namespace standin {

/// @brief File descriptor of a socket of cxxtools. Its source is compiled as C++17, since the header of that class uses
/// allocator members that C++20 removed.
int descriptor_of(const cxxtools::net::TcpSocket& socket);

}  // namespace standin
}  // namespace damaskthread

#endif  // TEST_STANDIN_BACKEND_SERVER_SOCKET_DESCRIPTOR_H_
