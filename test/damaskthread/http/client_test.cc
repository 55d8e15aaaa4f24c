#include "damaskthread/http/client.h"

#include <doctest/doctest.h>

#include <string>
#include <thread>
#include <vector>

#include "damaskthread/http/raw_server.h"

namespace damaskthread::http {
namespace {

constexpr core::Duration kTimeout = std::chrono::seconds(5);

ExchangeResult exchange(const std::string& reply) {
  RawServer server({{reply, true}});
  Client client;
  return client.send({"127.0.0.1", server.port()}, {.method = "GET", .target = "/", .headers = {}, .body = {}},
                     kTimeout);
}

FailureKind kind_of(const ExchangeResult& result) {
  REQUIRE(std::holds_alternative<Failure>(result));
  return std::get<Failure>(result).kind;
}

}  // namespace

TEST_CASE("complete responses are received completely") {
  std::string big;
  big.resize(20'000'000, 'x');
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhelloworld", "helloworld"},
      {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ""},
      {"HTTP/1.1 204 No Content\r\n\r\n", ""},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n5\r\nworld\r\n0\r\n\r\n", "helloworld"},
      {"HTTP/1.1 200 OK\r\nContent-Length: 20000000\r\n\r\n" + big, big},
  };
  for (const auto& [reply, body] : cases) {
    const ExchangeResult result = exchange(reply);
    REQUIRE(std::holds_alternative<Response>(result));
    CHECK(std::get<Response>(result).body == body);
  }
}

// Guards against the cases in which the HTTP client of cxxtools reports a truncated response as status 200.
TEST_CASE("a truncated response is never reported as complete") {
  const std::vector<std::string> incomplete = {
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n5\r\nworld\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n5\r\nwor",
      "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello",
      "HTTP/1.1 200 OK\r\n\r\nhelloworld",
      "HTTP/1.1 100 Continue\r\n\r\n",
  };
  for (const std::string& reply : incomplete) CHECK(kind_of(exchange(reply)) == FailureKind::kIncomplete);
  // Numbers that are no status; callers got those above 599 as responses.
  for (const std::string status : {"000", "099", "600", "999"}) {
    CHECK(!std::holds_alternative<Response>(exchange("HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n")));
  }
  const std::vector<std::string> broken = {"", "HTTP/1.1 200 OK\r\nContent-Le", "garbage\r\n\r\n",
                                           "HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nhello",
                                           "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 9\r\n\r\nhello"};
  for (const std::string& reply : broken) CHECK(kind_of(exchange(reply)) == FailureKind::kConnectionLost);
}

// Guards against a client that resends a request when a reused connection is lost, as the cxxtools client does: a
// payment would run twice.
TEST_CASE("a request on a reused connection that is lost is not resent") {
  RawServer server({{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false}, {"", true}, {"", true}});
  Client client;
  const Endpoint endpoint{"127.0.0.1", server.port()};
  const Request request{.method = "POST", .target = "/pay", .headers = {}, .body = ""};
  REQUIRE(std::holds_alternative<Response>(client.send(endpoint, request, kTimeout)));
  CHECK(kind_of(client.send(endpoint, request, kTimeout)) == FailureKind::kConnectionLost);
  CHECK(server.requests() == 2);
  CHECK(client.connections_opened() == 1);
}

TEST_CASE("a refused connection is reported as nothing sent") {
  std::uint16_t port = 0;
  { port = RawServer({}).port(); }
  Client client;
  CHECK(kind_of(client.send({"127.0.0.1", port}, {}, kTimeout)) == FailureKind::kConnect);
  CHECK(kind_of(client.send({"not-an-ip", 80}, {}, kTimeout)) == FailureKind::kConnect);
}

TEST_CASE("an exchange ends at its timeout or when it is cancelled") {
  // The reply never completes: the server waits for more requests on the open connection.
  RawServer server({{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhe", false}});
  Client client;
  CHECK(kind_of(client.send({"127.0.0.1", server.port()}, {}, std::chrono::milliseconds(100))) ==
        FailureKind::kTimeout);

  RawServer other({{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhe", false}});
  Cancellation cancellation;
  std::thread canceller([&] {
    while (other.requests() == 0) std::this_thread::yield();
    cancellation.cancel();
  });
  CHECK(kind_of(client.send({"127.0.0.1", other.port()}, {}, kTimeout, ConnectionReuse::kAllowed, &cancellation)) ==
        FailureKind::kCancelled);
  canceller.join();
  CHECK(kind_of(client.send({"127.0.0.1", other.port()}, {}, kTimeout, ConnectionReuse::kAllowed, &cancellation)) ==
        FailureKind::kConnect);
}

}  // namespace damaskthread::http
