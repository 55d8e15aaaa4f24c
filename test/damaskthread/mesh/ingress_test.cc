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

constexpr const char* kSelf = "127.0.0.1:2";
constexpr auto kPatience = seconds(10);

// An ingress with the server beside it, and a second server that no connection leads to.
struct Bench {
  explicit Bench(bool idempotent)
      : server(io),
        log("test", {}),
        gate(io, adapter, settings(), log, tally,
             {[] {}, [](const quarantine::CrashReport&) {}, [](const std::string&) { return std::string(); },
              [](const std::string&) { return 2; }}),
        fleet(io, {kSelf, "z", "s"}, core::Incarnation{7}, log, {}),
        ingress({adapter, log, registry, pool, graph, fleet, gate}, kSelf, core::Incarnation{7}),
        listener(io, {"127.0.0.1", 0}, 10, [this](const auto& request) { ingress.handle(request); }),
        caller(io) {
    gate::ServerHeartbeat announcement;
    announcement.id = "i-1";
    announcement.service = "s";
    announcement.capacity = 10;
    announcement.sequence = 1;
    gate.hear(announcement);
    route::Route route;
    route.name = "r";
    route.host = "h.example";
    route.prefix = "/";
    route.idempotent = idempotent;
    route.objective = seconds{1};
    route.max_servers = 2;
    route.parts = {{"s", 1}};
    ingress.set_table(std::make_shared<route::RouteTable>(1, std::vector<route::Route>{route},
                                                          std::unordered_map<std::string, route::ServiceFacts>{},
                                                          route::CallerBounds{}));
    for (const char* endpoint : {kSelf, "127.0.0.1:1"}) {
      pool.set_reachable(endpoint, true);
      // The server beside the daemon is nearer, so that it is asked first.
      pool.set_server(endpoint, std::string(endpoint) == kSelf, {"s", true, {10, 0, 0, milliseconds{1}}});
    }
    caller.connect({boost::asio::ip::make_address("127.0.0.1"), listener.port()});
    caller.non_blocking(true);
  }

  MeshSettings settings() const {
    MeshSettings result;
    result.local_server = {server.endpoint().host, server.endpoint().port};
    return result;
  }

  std::string ask() {
    boost::asio::write(caller, boost::asio::buffer(std::string(
                                   "GET /x HTTP/1.1\r\nHost: h.example\r\nAttempt: a\r\nTime-Left: 3000\r\n\r\n")));
    std::string received;
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (received.find("\r\n\r\n") == std::string::npos && std::chrono::steady_clock::now() < end) {
      io.run_for(milliseconds(2));
      io.restart();
      gate.tick(now());
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
  quarantine::CrashTally tally;
  placement::ServerPool pool;
  entrance::CallGraph graph;
  GateHost gate;
  Fleet fleet;
  Ingress ingress;
  HttpListener listener;
  boost::asio::ip::tcp::socket caller;
};

std::string answer(int status) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nAttempt: a\r\nSeal: x\r\nContent-Length: 0\r\n\r\n";
}

}  // namespace

TEST_CASE("the failure that a server answered is passed on when no other server can be reached") {
  Bench bench(true);
  bench.server.script = [](const http::Request&, ScriptedServer::Connection& connection) {
    connection.write(answer(500));
  };
  const std::string received = bench.ask();
  CHECK(bench.server.requests.size() == 1);
  // Never as not run, and with the server's seal.
  CHECK_MESSAGE(received.starts_with("HTTP/1.1 500"), received);
  CHECK(received.find("Seal: x") != std::string::npos);
}

TEST_CASE("a request that no server ran is refused with the time to come back") {
  Bench bench(false);
  bench.server.script = [](const http::Request&, ScriptedServer::Connection& connection) {
    connection.write("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
  };
  bench.pool.remove("127.0.0.1:1");
  const std::string received = bench.ask();
  CHECK_MESSAGE(received.starts_with("HTTP/1.1 503"), received);
  CHECK(received.find("Retry-After: ") != std::string::npos);
}

}  // namespace damaskthread::mesh
