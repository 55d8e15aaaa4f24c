#ifndef DAMASKTHREAD_HTTP_CXXTOOLS_SERVER_H_
#define DAMASKTHREAD_HTTP_CXXTOOLS_SERVER_H_

/// @file
/// @brief Adapter for the cxxtools HTTP server. Its headers do not compile as C++20 (they use allocator members that
/// C++20 removed), so the adapter's source is compiled as C++17 and this header uses the standard library only.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace damaskthread {
namespace http {
namespace internal {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

struct ReceivedRequest {
  std::string method;
  std::string target;
  HeaderList headers;
  std::string body;
  bool chunked = false;
  bool too_large = false;
  int descriptor = -1;
  std::string peer;
};

struct Reply {
  unsigned status = 200;
  HeaderList headers;
  std::string body;
};

struct CxxtoolsServerOptions {
  std::string address;
  std::uint16_t port = 0;
  unsigned max_threads = 0;
  std::size_t max_body_bytes = 0;
  std::chrono::milliseconds read_timeout{0};
  std::chrono::milliseconds write_timeout{0};
  std::chrono::milliseconds keep_alive_timeout{0};
};

/// Listens during its lifetime.
class CxxtoolsServer {
 public:
  using Callback = std::function<Reply(ReceivedRequest&&)>;

  /// @param options Address and limits.
  /// @param callback Handles a request; called on a server thread.
  CxxtoolsServer(CxxtoolsServerOptions options, Callback callback);
  ~CxxtoolsServer();
  CxxtoolsServer(const CxxtoolsServer&) = delete;
  CxxtoolsServer& operator=(const CxxtoolsServer&) = delete;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace internal
}  // namespace http
}  // namespace damaskthread

#endif  // DAMASKTHREAD_HTTP_CXXTOOLS_SERVER_H_
