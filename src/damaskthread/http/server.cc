#include "damaskthread/http/server.h"

#include <algorithm>
#include <chrono>
#include <exception>
#include <optional>
#include <utility>

#include "damaskthread/http/cxxtools_server.h"
#include "damaskthread/http/disconnect_monitor.h"

namespace damaskthread::http {
namespace {

std::chrono::milliseconds to_millis(core::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

Response bad_request(int status, std::string text) {
  return {status,
          {{"Content-Type", "text/plain"}, {"Damask-Verdict", "not-run"}, {"Damask-Cause", "bad-request"}},
          std::move(text) + "\n"};
}

}  // namespace

struct Server::Impl {
  Impl(const ServerOptions& options, Handler request_handler) : handler(std::move(request_handler)) {
    if (options.detect_disconnects) monitor.emplace();
    server.emplace(
        internal::CxxtoolsServerOptions{options.address, options.port, options.max_threads, options.max_body_bytes,
                                        to_millis(options.read_timeout), to_millis(options.write_timeout),
                                        to_millis(options.keep_alive_timeout)},
        [this](internal::ReceivedRequest&& request) { return reply(std::move(request)); });
  }

  internal::Reply reply(internal::ReceivedRequest&& request) {
    Response response = handle_request(std::move(request));
    internal::Reply reply;
    reply.status = static_cast<unsigned>(response.status);
    for (Header& header : response.headers) {
      if (equal_names(header.name, "content-length") || equal_names(header.name, "transfer-encoding")) continue;
      reply.headers.emplace_back(std::move(header.name), std::move(header.value));
    }
    reply.body = std::move(response.body);
    return reply;
  }

  Response handle_request(internal::ReceivedRequest&& received) {
    // A truncated chunked request body cannot be detected, so a Content-Length is required.
    if (received.chunked) return bad_request(411, "a request body needs a Content-Length");
    if (received.too_large) return bad_request(413, "the request body is too large");
    Request request;
    request.method = std::move(received.method);
    request.target = std::move(received.target);
    for (auto& [name, value] : received.headers) request.headers.push_back({std::move(name), std::move(value)});
    request.body = std::move(received.body);
    Cancellation caller_disconnected;
    const internal::DisconnectMonitor::Registration registration(monitor ? &*monitor : nullptr, received.descriptor,
                                                                 caller_disconnected);
    try {
      return handler(std::move(request), {caller_disconnected, received.peer});
    } catch (const std::exception& error) {
      // The handler may have executed part of the call.
      return {
          500, {{"Content-Type", "text/plain"}, {"Damask-Verdict", "may-have-run"}}, std::string(error.what()) + "\n"};
    }
  }

  Handler handler;
  std::optional<internal::DisconnectMonitor> monitor;
  std::optional<internal::CxxtoolsServer> server;
};

Server::Server(const ServerOptions& options, Handler handler)
    : impl_(std::make_unique<Impl>(options, std::move(handler))) {}
Server::~Server() = default;

}  // namespace damaskthread::http
