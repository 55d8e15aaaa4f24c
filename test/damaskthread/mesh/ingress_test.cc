#include "damaskthread/mesh/ingress.h"

#include <doctest/doctest.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <string>

#include "damaskthread/mesh/clock.h"
#include "scripted_server.h"
#include "support/mesh_adapter.h"

namespace damaskthread::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kOwnEndpoint = "127.0.0.1:2";
constexpr auto kTestTimeout = seconds(10);

// An ingress with a local server, and a second server at a daemon without a connection.
struct IngressFixture {
  explicit IngressFixture(bool idempotent)
      : server(io),
        log("test", {}),
        executor(io, adapter, settings(), log, tally,
                 {[] {}, [](const quarantine::CrashReport&) {}, [](const std::string&) { return std::string(); },
                  [](const std::string&) { return 2; }}),
        fleet(io, {kOwnEndpoint, "z", "s"}, core::Incarnation{7}, log, {}),
        ingress({adapter, log, registry, pool, graph, fleet, executor, policy}, kOwnEndpoint, core::Incarnation{7}),
        listener(io, {"127.0.0.1", 0}, 10, [this](const auto& request) { ingress.handle(request); }),
        caller(io) {
    gate::ServerHeartbeat announcement;
    announcement.id = "i-1";
    announcement.service = "s";
    announcement.address = settings::to_string(settings().local_server);
    announcement.capacity = 10;
    announcement.sequence = 1;
    REQUIRE(executor.on_heartbeat(announcement));
    route::Route route;
    route.name = "r";
    route.host = "h.example";
    route.prefix = "/";
    route.idempotent = idempotent;
    route.objective = seconds{1};
    route.max_servers = 2;
    route.parts = {{"s", 1}};
    ingress.set_table(std::make_shared<route::RouteTable>(1, std::vector<route::Route>{route},
                                                          std::unordered_map<std::string, route::ServiceProperties>{},
                                                          route::CallerLimits{}));
    for (const char* endpoint : {kOwnEndpoint, "127.0.0.1:1"}) {
      pool.set_reachable(endpoint, true);
      // The local server is in the same zone, so that it is chosen first.
      pool.set_server(endpoint, std::string(endpoint) == kOwnEndpoint, {"s", true, {10, 0, 0, milliseconds{1}}}, now());
    }
    caller.connect({boost::asio::ip::make_address("127.0.0.1"), listener.port()});
    caller.non_blocking(true);
  }

  MeshSettings settings() const {
    MeshSettings result;
    result.local_server = {server.endpoint().host, server.endpoint().port};
    return result;
  }

  std::string send_request() {
    boost::asio::write(caller, boost::asio::buffer(std::string(
                                   "GET /x HTTP/1.1\r\nHost: h.example\r\nAttempt: a\r\nTime-Left: 3000\r\n\r\n")));
    std::string received;
    const auto end = std::chrono::steady_clock::now() + kTestTimeout;
    while (received.find("\r\n\r\n") == std::string::npos && std::chrono::steady_clock::now() < end) {
      io.run_for(milliseconds(2));
      io.restart();
      executor.tick(now());
      ingress.tick(now());
      std::array<char, 4096> buffer{};
      boost::system::error_code error;
      const std::size_t size = caller.read_some(boost::asio::buffer(buffer), error);
      received.append(buffer.data(), size);
    }
    return received;
  }

  boost::asio::io_context io;
  support::TestAdapter adapter;
  ScriptedServer server;
  EventLog log;
  metrics::Registry registry;
  Policy policy;
  quarantine::CrashCounter tally;
  placement::ServerPool pool;
  entrance::CallGraph graph;
  LocalExecutor executor;
  Fleet fleet;
  Ingress ingress;
  HttpListener listener;
  boost::asio::ip::tcp::socket caller;
};

std::string answer(int status) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nAttempt: a\r\nSeal: x\r\nContent-Length: 0\r\n\r\n";
}

}  // namespace

TEST_CASE("a server's failure response is passed on when no other server can be reached") {
  IngressFixture fixture(true);
  fixture.server.script = [](const http::Request&, ScriptedServer::Connection& connection) {
    connection.write(answer(500));
  };
  const std::string received = fixture.send_request();
  CHECK(fixture.server.requests.size() == 1);
  // The response keeps the server's seal and is not replaced by one that says the request did not run.
  CHECK_MESSAGE(received.starts_with("HTTP/1.1 500"), received);
  CHECK(received.find("Seal: x") != std::string::npos);
}

TEST_CASE("a request that no server ran is refused with Retry-After") {
  IngressFixture fixture(false);
  fixture.server.script = [](const http::Request&, ScriptedServer::Connection& connection) {
    connection.write("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
  };
  fixture.pool.remove("127.0.0.1:1");
  const std::string received = fixture.send_request();
  CHECK_MESSAGE(received.starts_with("HTTP/1.1 503"), received);
  CHECK(received.find("Retry-After: ") != std::string::npos);
}

}  // namespace damaskthread::mesh
