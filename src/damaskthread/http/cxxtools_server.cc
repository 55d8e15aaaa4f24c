#include "damaskthread/http/cxxtools_server.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/regex.h>

#include <algorithm>
#include <array>
#include <istream>
#include <ostream>
#include <thread>

namespace damaskthread {
namespace http {
namespace internal {
namespace {

// Header limit of the library, minus a reserve for the headers that it adds.
constexpr std::size_t kMaxHeaderBytes = cxxtools::http::MessageHeader::MAXHEADERSIZE - 256;

cxxtools::Milliseconds to_millis(std::chrono::milliseconds duration) {
  return cxxtools::Milliseconds(static_cast<double>(duration.count()));
}

class CallbackService final : public cxxtools::http::Service {
 public:
  CallbackService(const CxxtoolsServerOptions& options, CxxtoolsServer::Callback callback)
      : options_(options), callback_(std::move(callback)) {}

  std::size_t max_body_bytes() const noexcept { return options_.max_body_bytes; }
  Reply call(ReceivedRequest&& request) const { return callback_(std::move(request)); }

 protected:
  cxxtools::http::Responder* createResponder(const cxxtools::http::Request& request) override;
  void releaseResponder(cxxtools::http::Responder* responder) override { delete responder; }

 private:
  const CxxtoolsServerOptions& options_;
  CxxtoolsServer::Callback callback_;
};

class CallbackResponder final : public cxxtools::http::Responder {
 public:
  explicit CallbackResponder(CallbackService& service) : Responder(service), service_(service) {}

  void beginRequest(cxxtools::net::TcpSocket& socket, std::istream& /*in*/,
                    cxxtools::http::Request& /*request*/) override {
    received_.descriptor = socket.getFd();
    received_.peer = socket.getPeerAddr();
  }

  std::size_t readBody(std::istream& in) override {
    std::array<char, 16384> buffer{};
    std::size_t total = 0;
    std::streamsize available = in.rdbuf()->in_avail();
    while (available > 0) {
      const auto size = in.rdbuf()->sgetn(
          buffer.data(), std::min<std::streamsize>(available, static_cast<std::streamsize>(buffer.size())));
      if (size <= 0) break;
      total += static_cast<std::size_t>(size);
      append_body(buffer.data(), static_cast<std::size_t>(size));
      available = in.rdbuf()->in_avail();
    }
    return total;
  }

  void reply(std::ostream& out, cxxtools::http::Request& request, cxxtools::http::Reply& reply) override {
    received_.method = request.method();
    received_.target = request.url();
    if (!request.qparams().empty()) received_.target += "?" + request.qparams();
    for (const auto& header : request.header()) received_.headers.emplace_back(header.first, header.second);
    received_.chunked = request.header().chunkedTransferEncoding();
    const Reply response = service_.call(std::move(received_));
    reply.httpReturn(response.status, "-");
    std::size_t header_bytes = 0;
    for (const auto& header : response.headers) {
      header_bytes += header.first.size() + header.second.size() + 2;
      if (header_bytes > kMaxHeaderBytes) break;
      reply.addHeader(header.first.c_str(), header.second.c_str());
    }
    out.write(response.body.data(), static_cast<std::streamsize>(response.body.size()));
  }

 private:
  // Discards the rest of an oversized body, so that the caller receives the 413 response.
  void append_body(const char* data, std::size_t size) {
    if (received_.body.size() + size > service_.max_body_bytes()) received_.too_large = true;
    if (!received_.too_large) received_.body.append(data, size);
  }

  CallbackService& service_;
  ReceivedRequest received_;
};

cxxtools::http::Responder* CallbackService::createResponder(const cxxtools::http::Request& /*request*/) {
  return new CallbackResponder(*this);
}

}  // namespace

struct CxxtoolsServer::Impl {
  Impl(CxxtoolsServerOptions server_options, Callback callback)
      : options(std::move(server_options)), service(options, std::move(callback)), server(loop) {
    server.readTimeout(to_millis(options.read_timeout));
    server.writeTimeout(to_millis(options.write_timeout));
    server.keepAliveTimeout(to_millis(options.keep_alive_timeout));
    server.maxThreads(options.max_threads);
    server.minThreads(std::min(16U, options.max_threads));
    server.addService(cxxtools::Regex(".*"), service);
    server.listen(options.address, options.port);
    thread = std::thread([this] { loop.run(); });
  }

  ~Impl() {
    loop.exit();
    thread.join();
    service.waitIdle();
  }

  CxxtoolsServerOptions options;
  CallbackService service;
  cxxtools::EventLoop loop;
  cxxtools::http::Server server;
  std::thread thread;
};

CxxtoolsServer::CxxtoolsServer(CxxtoolsServerOptions options, Callback callback)
    : impl_(new Impl(std::move(options), std::move(callback))) {}
CxxtoolsServer::~CxxtoolsServer() = default;

}  // namespace internal
}  // namespace http
}  // namespace damaskthread
