#include "damaskthread/http/server.h"

#include <doctest/doctest.h>

#include <atomic>
#include <string>
#include <thread>

#include "damaskthread/http/raw_server.h"
#include "damaskthread/http/socket_stream.h"

namespace damaskthread::http {
namespace {

constexpr core::Duration kTimeout = std::chrono::seconds(10);

std::uint16_t free_port() { return RawServer({}).port(); }

std::string raw_exchange(std::uint16_t port, const std::string& bytes) {
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  const internal::Socket socket = internal::connect({"127.0.0.1", port}, deadline);
  REQUIRE(socket.valid());
  internal::SocketStream stream(socket.descriptor(), deadline);
  boost::system::error_code error;
  stream.write_some(boost::asio::buffer(bytes), error);
  std::string response(65536, '\0');
  const std::size_t size = stream.read_some(boost::asio::buffer(response), error);
  response.resize(size);
  return response;
}

}  // namespace

TEST_CASE("server and client transfer complete requests and responses") {
  const std::uint16_t port = free_port();
  Server server({.port = port}, [](Request&& request, const ConnectionInfo&) {
    return Response{
        201, {{"X-Target", request.target}, {"X-Seen", std::string(find(request.headers, "x-one"))}}, request.body};
  });
  Client client;
  std::string document;
  document.resize(20'000'000, 'd');
  for (const std::string& body : {std::string(), std::string("pay"), document}) {
    const ExchangeResult result =
        client.send({"127.0.0.1", port}, {"POST", "/a/b?c=d&e=%20", {{"X-One", "1"}}, body}, kTimeout);
    REQUIRE(std::holds_alternative<Response>(result));
    const auto& response = std::get<Response>(result);
    CHECK(response.status == 201);
    CHECK(response.body == body);
    CHECK(find(response.headers, "x-target") == "/a/b?c=d&e=%20");
    CHECK(find(response.headers, "x-seen") == "1");
  }
  for (const char* method : {"GET", "PUT", "DELETE", "PATCH", "OPTIONS", "HEAD"}) {
    const ExchangeResult result = client.send({"127.0.0.1", port}, {method, "/", {}, ""}, kTimeout);
    REQUIRE_MESSAGE(std::holds_alternative<Response>(result), method);
  }
}

TEST_CASE("requests whose body is chunked or too large are refused") {
  const std::uint16_t port = free_port();
  std::atomic<int> handled = 0;
  Server server({.port = port, .max_body_bytes = 1000}, [&](Request&&, const ConnectionInfo&) {
    ++handled;
    return Response{};
  });
  const std::string chunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
  CHECK(raw_exchange(port, chunked).find(" 411 ") != std::string::npos);
  Client client;
  const ExchangeResult result = client.send({"127.0.0.1", port}, {"POST", "/", {}, std::string(5000, 'x')}, kTimeout);
  REQUIRE(std::holds_alternative<Response>(result));
  CHECK(std::get<Response>(result).status == 413);
  CHECK(handled == 0);
}

// Guards against work that continues after the caller has disconnected.
TEST_CASE("a caller that closes its connection cancels its call") {
  const std::uint16_t port = free_port();
  std::atomic<bool> running = false;
  std::atomic<bool> cancelled = false;
  Server server({.port = port}, [&](Request&&, const ConnectionInfo& arrival) {
    running = true;
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!arrival.caller_disconnected.cancelled() && std::chrono::steady_clock::now() < deadline)
      std::this_thread::yield();
    cancelled = arrival.caller_disconnected.cancelled();
    return Response{};
  });
  Client client;
  Cancellation cancellation;
  std::thread canceller([&] {
    while (!running) std::this_thread::yield();
    cancellation.cancel();
  });
  const ExchangeResult result = client.send({"127.0.0.1", port}, {}, kTimeout, ConnectionReuse::kNever, &cancellation);
  canceller.join();
  CHECK(std::holds_alternative<Failure>(result));
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!cancelled && std::chrono::steady_clock::now() < deadline) std::this_thread::yield();
  CHECK(cancelled);
}

TEST_CASE("malformed requests do not stop the server") {
  const std::uint16_t port = free_port();
  Server server({.port = port}, [](Request&&, const ConnectionInfo&) { return Response{}; });
  for (const std::string& bytes :
       {std::string("GET / HTTP/1.1\r\nX: ") + std::string(100'000, 'a') + "\r\n\r\n", std::string(5000, '\0'),
        std::string("POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n"), std::string("\r\n\r\n")}) {
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(1);
    const internal::Socket socket = internal::connect({"127.0.0.1", port}, deadline);
    internal::SocketStream stream(socket.descriptor(), deadline);
    boost::system::error_code error;
    stream.write_some(boost::asio::buffer(bytes), error);
  }
  Client client;
  CHECK(std::holds_alternative<Response>(client.send({"127.0.0.1", port}, {}, kTimeout)));
}

}  // namespace damaskthread::http
