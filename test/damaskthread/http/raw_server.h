#ifndef TEST_DAMASKTHREAD_HTTP_RAW_SERVER_H_
#define TEST_DAMASKTHREAD_HTTP_RAW_SERVER_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace damaskthread::http {

// Accepts connections on a loopback port and writes the next raw reply for each request, then closes or keeps
// the connection. Counts the requests.
class RawServer {
 public:
  struct Reply {
    std::string bytes;
    bool close = true;
  };

  explicit RawServer(std::vector<Reply> replies) : replies_(std::move(replies)) {
    listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0)
      throw std::runtime_error("cannot bind a loopback port");
    ::listen(listener_, 16);
    socklen_t size = sizeof(address);
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] { run(); });
  }
  ~RawServer() {
    ::shutdown(listener_, SHUT_RDWR);
    thread_.join();
    ::close(listener_);
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  [[nodiscard]] std::uint16_t port() const { return port_; }
  [[nodiscard]] int requests() const { return requests_; }

 private:
  void run() {
    std::size_t next = 0;
    for (;;) {
      const int connection = ::accept(listener_, nullptr, nullptr);
      if (connection < 0) return;
      bool open = true;
      while (open && read_request(connection)) {
        ++requests_;
        if (next >= replies_.size()) break;
        const Reply& reply = replies_[next++];
        std::size_t sent = 0;
        while (sent < reply.bytes.size()) {
          const ssize_t n = ::send(connection, reply.bytes.data() + sent, reply.bytes.size() - sent, MSG_NOSIGNAL);
          if (n <= 0) break;
          sent += static_cast<std::size_t>(n);
        }
        open = !reply.close;
      }
      ::close(connection);
    }
  }

  // Reads until the end of the headers; the tests send no body that would follow in another segment.
  static bool read_request(int connection) {
    std::string data;
    char buffer[4096];
    while (data.find("\r\n\r\n") == std::string::npos) {
      const ssize_t n = ::recv(connection, buffer, sizeof(buffer), 0);
      if (n <= 0) return false;
      data.append(buffer, static_cast<std::size_t>(n));
    }
    return true;
  }

  std::vector<Reply> replies_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::atomic<int> requests_ = 0;
  std::thread thread_;
};

}  // namespace damaskthread::http

#endif  // TEST_DAMASKTHREAD_HTTP_RAW_SERVER_H_
