#include "damaskthread/mesh/ingress.h"

#include <doctest/doctest.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

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
        quota(kOwnEndpoint, log,
              {.send = [](const std::string&, const peer::Message&) { return false; },
               .reachable = [](const std::string&) { return false; },
               .reachable_count = [] { return std::size_t{0}; },
               .lease_held = [](core::TimePoint) { return false; },
               .granted = [] {}}),
        ingress({adapter, log, registry, pool, graph, fleet, executor, quota, policy}, kOwnEndpoint,
                core::Incarnation{7}),
        listener(io, {"127.0.0.1", 0}, 10, [this](const auto& request) { ingress.handle(request); }),
        caller(io) {
    gate::ServerHeartbeat announcement;
    announcement.id = "i-1";
    announcement.service = "s";
    announcement.address = settings::to_string(settings().local_server);
    announcement.capacity = 10;
    announcement.sequence = 1;
    REQUIRE(executor.on_heartbeat(announcement));
    route.name = "r";
    route.host = "h.example";
    route.prefix = "/";
    route.idempotent = idempotent;
    route.objective = seconds{1};
    route.max_servers = 2;
    route.parts = {{"s", 1}};
    set_tenants({});
    for (const char* endpoint : {kOwnEndpoint, "127.0.0.1:1"}) {
      pool.set_reachable(endpoint, true);
      // The local server is in the same zone, so that it is chosen first.
      pool.set_server(endpoint, std::string(endpoint) == kOwnEndpoint, {"s", true, {10, 0, 0, milliseconds{1}}}, now());
    }
    connect();
  }

  void connect() {
    caller = boost::asio::ip::tcp::socket(io);
    caller.connect({boost::asio::ip::make_address("127.0.0.1"), listener.port()});
    caller.non_blocking(true);
  }

  MeshSettings settings() const {
    MeshSettings result;
    result.local_server = {server.endpoint().host, server.endpoint().port};
    return result;
  }

  void set_tenants(std::vector<tenant::Declaration> declarations) {
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
          BOOST_LEAF_AUTO(tenants, tenant::Directory::create(std::move(declarations)));
          ingress.set_table(std::make_shared<route::RouteTable>(
              ++version, std::vector<route::Route>{route}, std::unordered_map<std::string, route::ServiceProperties>{},
              route::CallerLimits{}, std::move(tenants)));
          return {};
        },
        [] { FAIL("the tenants are invalid"); });
  }

  void write_request(const std::string& headers, const std::string& attempt = "a") {
    boost::asio::write(caller, boost::asio::buffer("GET /x HTTP/1.1\r\nHost: h.example\r\nAttempt: " + attempt +
                                                   "\r\nTime-Left: 3000\r\n" + headers + "\r\n"));
  }

  // Sends a request whose caller leaves as soon as the server has it.
  void send_abandoned_request(const std::string& headers) {
    const std::size_t before = server.requests.size();
    write_request(headers);
    REQUIRE(run_until([&] { return server.requests.size() > before; }));
    connect();
    REQUIRE(run_until([&] { return executor.active() == 0; }));
  }

  template <typename Condition>
  bool run_until(Condition condition) {
    const auto end = std::chrono::steady_clock::now() + kTestTimeout;
    while (!condition()) {
      if (std::chrono::steady_clock::now() > end) return false;
      io.run_for(milliseconds(2));
      io.restart();
      executor.tick(now());
      ingress.tick(now());
    }
    return true;
  }

  std::string send_request(const std::string& headers = "", const std::string& attempt = "a") {
    write_request(headers, attempt);
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
  route::Route route;
  std::uint64_t version = 0;
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
  QuotaService quota;
  Ingress ingress;
  HttpListener listener;
  boost::asio::ip::tcp::socket caller;
};

std::string answer(int status, const std::string& attempt = "a") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nAttempt: " + attempt +
         "\r\nSeal: x\r\nContent-Length: 0\r\n\r\n";
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

// The key of a tenant reached the server, and a caller could pass for any tenant.
TEST_CASE("the server gets the tenant of the key and neither the key nor a tenant that the caller names") {
  IngressFixture fixture(true);
  fixture.server.script = [](const http::Request&, ScriptedServer::Connection& connection) {
    connection.write(answer(200));
  };
  fixture.set_tenants({{{"a", std::nullopt, 0, 0}, {"secret"}}, {{"b", std::nullopt, 0, 0}, {"other"}}});
  CHECK(fixture.send_request("Credentials: Bearer secret\r\nTenant: b\r\n").starts_with("HTTP/1.1 200"));
  REQUIRE(fixture.server.requests.size() == 1);
  CHECK(http::find(fixture.server.requests[0].headers, "Tenant") == "a");
  CHECK(http::find(fixture.server.requests[0].headers, "Credentials").empty());
}

// The Connection header of a caller removed the tenant that the daemon had added.
TEST_CASE("a caller cannot remove the tenant by naming it in the Connection header") {
  IngressFixture fixture(true);
  fixture.server.script = [](const http::Request&, ScriptedServer::Connection& connection) {
    connection.write(answer(200));
  };
  fixture.set_tenants({{{"a", std::nullopt, 0, 0}, {"secret"}}});
  CHECK(fixture.send_request("Credentials: Bearer secret\r\nConnection: Tenant\r\n").starts_with("HTTP/1.1 200"));
  REQUIRE(fixture.server.requests.size() == 1);
  CHECK(http::find(fixture.server.requests[0].headers, "Tenant") == "a");
}

// A nested call carries no key, so that no tenant may be named for it; not the one that the server names either.
TEST_CASE("a nested call without a key runs without a tenant") {
  IngressFixture fixture(true);
  std::shared_ptr<CallerRequest> nested;
  fixture.server.script = [&](const http::Request& request, ScriptedServer::Connection& connection) {
    if (http::find(request.headers, "Attempt") != "a") {
      connection.write("HTTP/1.1 200 X\r\nAttempt: a/1\r\nSeal: x\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    http::Request call;
    call.method = "GET";
    call.target = "/x";
    call.headers = {{"Host", "h.example"}, {"Attempt", "a/1"}, {"Time-Left", "2000"}, {"Tenant", "b"}};
    nested = std::make_shared<CallerRequest>(std::move(call), now());
    fixture.ingress.handle(nested);
    connection.write(answer(200));
  };
  fixture.set_tenants({{{"a", std::nullopt, 0, 0}, {"secret"}}, {{"b", std::nullopt, 0, 0}, {"other"}}});
  CHECK(fixture.send_request("Credentials: Bearer secret\r\n").starts_with("HTTP/1.1 200"));
  const auto end = std::chrono::steady_clock::now() + kTestTimeout;
  while (fixture.server.requests.size() < 2 && std::chrono::steady_clock::now() < end) {
    fixture.io.run_for(milliseconds(2));
    fixture.io.restart();
  }
  REQUIRE(fixture.server.requests.size() == 2);
  CHECK(http::find(fixture.server.requests[1].headers, "Tenant").empty());
}

// The server got 401 for its call and failed a request that it was running (review/8).
TEST_CASE("the call of a request whose caller has left needs no key") {
  IngressFixture fixture(false);
  fixture.server.script = [](const http::Request& request, ScriptedServer::Connection& connection) {
    const std::string attempt(http::find(request.headers, "Attempt"));
    if (attempt != "a") connection.write(answer(200, attempt));
  };
  fixture.set_tenants({{{"a", std::nullopt, 0, 0}, {"secret"}}});
  fixture.send_abandoned_request("Credentials: Bearer secret\r\n");
  const std::string received = fixture.send_request("", "a/1");
  CHECK_MESSAGE(received.starts_with("HTTP/1.1 200"), received);
  CHECK(fixture.send_request("").starts_with("HTTP/1.1 401"));
}

// The server may be running requests that only the process before a restart knew. 401 would be final for their calls.
TEST_CASE("a call of an unknown request is refused as not run soon after the start") {
  IngressFixture fixture(false);
  fixture.server.script = [](const http::Request&, ScriptedServer::Connection& connection) {
    connection.write(answer(200));
  };
  fixture.set_tenants({{{"a", std::nullopt, 0, 0}, {"secret"}}});
  const std::string received = fixture.send_request("", "unknown/1");
  CHECK_MESSAGE(received.starts_with("HTTP/1.1 503"), received);
  CHECK(received.find("Retry-After: ") != std::string::npos);
  CHECK(fixture.send_request("Credentials: Bearer wrong\r\n", "unknown/1").starts_with("HTTP/1.1 401"));
  CHECK(fixture.server.requests.empty());
}

// A connection outlives the key that its first requests carried.
TEST_CASE("a key that a new configuration no longer contains is refused on an open connection") {
  IngressFixture fixture(true);
  fixture.server.script = [](const http::Request&, ScriptedServer::Connection& connection) {
    connection.write(answer(200));
  };
  fixture.set_tenants({{{"a", std::nullopt, 0, 0}, {"secret", "kept"}}});
  CHECK(fixture.send_request("Credentials: Bearer secret\r\n").starts_with("HTTP/1.1 200"));
  fixture.set_tenants({{{"a", std::nullopt, 0, 0}, {"kept"}}});
  CHECK(fixture.send_request("Credentials: Bearer secret\r\n").starts_with("HTTP/1.1 401"));
  CHECK(fixture.send_request("Credentials: Bearer kept\r\n").starts_with("HTTP/1.1 200"));
  CHECK(fixture.server.requests.size() == 2);
}

}  // namespace damaskthread::mesh
