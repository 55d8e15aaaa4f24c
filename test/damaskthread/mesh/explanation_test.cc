#include "damaskthread/mesh/explanation.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "damaskthread/core/error.h"
#include "damaskthread/mesh/clock.h"
#include "damaskthread/mesh/ingress.h"
#include "support/mesh_adapter.h"

namespace damaskthread::mesh {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kOwnEndpoint = "127.0.0.1:2";
constexpr const char* kOtherEndpoint = "127.0.0.1:1";

// An ingress without any connection. Its pool lists servers of two services, between which the route is split.
struct ExplainFixture {
  explicit ExplainFixture(std::uint64_t seed = 7)
      : log("test", {}),
        executor(io, adapter, {}, log, tally,
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
                core::Incarnation{seed}) {
    add("s", kOwnEndpoint, true);
    add("s", kOtherEndpoint, false);
    add("s", "127.0.0.1:3", false);
    pool.set_reachable("127.0.0.1:3", false);
    add("t", "127.0.0.1:4", false);
  }

  void add(const std::string& service, const std::string& endpoint, bool same_zone) {
    pool.set_reachable(endpoint, true);
    pool.set_server(endpoint, same_zone, {service, true, {10, 0, 0, milliseconds{1}}}, time);
  }

  void configure(std::vector<tenant::Declaration> declarations = {}, bool is_public = false) {
    route::Route route;
    route.name = "r";
    route.host = "h.example";
    route.prefix = "/a/";
    route.objective = seconds{1};
    route.priority = 3;
    route.is_public = is_public;
    route.parts = {{"s", 3}, {"t", 1}};
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
          BOOST_LEAF_AUTO(tenants, tenant::Directory::create(std::move(declarations)));
          quota.set_tenants(tenants, time);
          ingress.set_table(std::make_shared<route::RouteTable>(
              5, std::vector<route::Route>{route}, std::unordered_map<std::string, route::ServiceProperties>{},
              route::CallerLimits{}, std::move(tenants)));
          return {};
        },
        [] { FAIL("the tenants are invalid"); });
  }

  http::Response get(const std::string& target, const std::string& method = "GET") const {
    return answer_explain({method, target, {}, {}},
                          [this](const ExplainQuery& query) { return ingress.explain(query, time); });
  }

  Json explain(const std::string& target) const {
    const http::Response response = get(target);
    REQUIRE_MESSAGE(response.status == 200, response.body);
    return Json::parse(response.body);
  }

  /// Stands still, so that credits and reports do not age on a busy machine.
  core::TimePoint time = now();
  boost::asio::io_context io;
  support::TestAdapter adapter;
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
};

constexpr const char* kTarget = "/explain?host=h.example&path=/a/b";

}  // namespace

// Guards against an explanation that names another route, split, priority or server than a request would meet.
TEST_CASE("an explanation names the route, the split and the servers with the chosen one") {
  ExplainFixture fixture;
  fixture.configure();
  const Json json = fixture.explain("/explain?host=H.example:80&path=%2Fa%2Fb%3Fq%3D1");
  CHECK(json["refusal"].is_null());
  CHECK(json["configuration"] == 5);
  CHECK(json["route"] == "r");
  CHECK(json["priority"] == 3);
  CHECK(json["tenant"].is_null());
  CHECK(json["quota"].is_null());
  REQUIRE(json["services"].size() == 2);
  const Json& service = json["services"][0];
  CHECK(service["service"] == "s");
  CHECK(service["split_share"] == 0.75);
  CHECK(service["admitted_share"] == 1);
  CHECK(service["limited_by"].is_null());
  CHECK(service["chosen"] == kOwnEndpoint);
  REQUIRE(service["candidates"].size() == 3);
  CHECK(service["candidates"][0]["endpoint"] == kOwnEndpoint);
  CHECK(service["candidates"][0]["excluded"].is_null());
  CHECK(service["candidates"][1]["cost"]["cross_zone"] == fixture.policy.placement.cross_zone_cost);
  CHECK(service["candidates"][2]["excluded"] == "unreachable");
  CHECK(json["services"][1]["chosen"] == "127.0.0.1:4");
}

// Guards against an admission share of other services than those that the request and its nested calls need.
TEST_CASE("an explanation names the service that limits admission") {
  ExplainFixture fixture;
  fixture.configure();
  fixture.pool.set_server("127.0.0.1:4", false, {"t", true, {10, 10, 60, milliseconds{1}, 60}}, fixture.time);
  // The throttle observes the services that the configuration declares.
  std::unordered_map<std::string, route::ServiceProperties> services;
  services["s"] = {};
  services["t"] = {};
  const route::Route route = fixture.ingress.table()->routes().front();
  fixture.ingress.set_table(std::make_shared<route::RouteTable>(6, std::vector<route::Route>{route}, services,
                                                                route::CallerLimits{}, tenant::Directory()));
  core::TimePoint time = fixture.time;
  for (int i = 0; i < 50; ++i) fixture.ingress.tick(time += milliseconds{100});
  const Json json = fixture.explain(kTarget);
  CHECK(json["services"][0]["admitted_share"] == 1);
  CHECK(json["services"][1]["admitted_share"] < 1);
  CHECK(json["services"][1]["limited_by"] == "t");
}

// Guards against a tenant whose priority or quota is left out, and against a credit that an explanation uses.
TEST_CASE("an explanation contains the tenant's priority and quota and uses no credit") {
  ExplainFixture fixture;
  fixture.configure({{{"acme", 1, 10, 5}, {"secret"}}});
  const std::string target = std::string(kTarget) + "&tenant=acme";
  Json json = fixture.explain(target);
  CHECK(json["tenant"] == "acme");
  CHECK(json["priority"] == 1);
  CHECK(json["quota"]["admission"] == "wait");
  CHECK(json["refusal"].is_null());
  fixture.quota.ledger().on_grant({1, true, {{"acme", 1, false}}}, fixture.time);
  for (int i = 0; i < 3; ++i) json = fixture.explain(target);
  CHECK(json["quota"]["admission"] == "admit");
  CHECK(json["quota"]["credits"] == 1);
  CHECK(json["quota"]["arrivals_per_s"] == 0);
  CHECK(fixture.quota.ledger().arrive("acme", fixture.time) == quota::Admission::kAdmit);
  fixture.quota.ledger().on_grant({2, true, {{"acme", 0, true}}}, fixture.time);
  CHECK(fixture.explain(target)["refusal"]["status"] == 429);
}

// Guards against an explanation that promises a server to a request that would be refused before.
TEST_CASE("an explanation names the refusal that a request would get") {
  ExplainFixture fixture;
  CHECK(fixture.explain(kTarget)["refusal"]["status"] == 503);
  // Nothing tells yet whether this is a name or a key.
  CHECK(fixture.get(std::string(kTarget) + "&tenant=secret").body.find("secret") == std::string::npos);
  fixture.configure({{{"acme", std::nullopt, 0, 0}, {"secret"}}});
  CHECK(fixture.explain(kTarget)["refusal"]["status"] == 401);
  CHECK(fixture.explain(std::string(kTarget) + "&tenant=acme")["refusal"].is_null());
  CHECK(fixture.explain("/explain?host=h.example&path=/b")["refusal"]["status"] == 404);
  fixture.configure({{{"acme", std::nullopt, 0, 0}, {"secret"}}}, true);
  CHECK(fixture.explain(kTarget)["refusal"].is_null());
}

// Guards against a mistyped query that explains another request, and against a key that is shown in the error.
TEST_CASE("an invalid query is answered with the parameter that is wrong and without its value") {
  ExplainFixture fixture;
  fixture.configure({{{"acme", std::nullopt, 0, 0}, {"secret"}}});
  const std::map<std::string, std::string> errors = {
      {"/explain", "host: expected a value"},
      {"/explain?path=/a/", "host: expected a value"},
      {"/explain?host=&path=/a/", "host: expected a value"},
      {"/explain?host=h.example", "path: expected a path that begins with /"},
      {"/explain?host=h.example&path=a", "path: expected a path that begins with /"},
      {"/explain?host=h.example&host=h.example&path=/a/", "host: expected only once"},
      {"/explain?host=h.example&path=/a/%2", "query: expected valid percent-encoding"},
      {"/explain?host=h.example&path=/a/&key=secret", "query: expected only the parameters host, path and tenant"},
      {"/explain?host=h.example&path=/a/&tenant=", "tenant: expected a value"},
      {"/explain?host=h.example&path=/a/&tenant=secret", "tenant: expected the name of a tenant of the configuration"}};
  for (const auto& entry : errors) {
    const http::Response response = fixture.get(entry.first);
    CHECK_MESSAGE(response.status == 400, entry.first);
    CHECK(Json::parse(response.body)["error"] == entry.second);
    CHECK(response.body.find("secret") == std::string::npos);
  }
  CHECK(fixture.get(kTarget, "POST").status == 405);
  CHECK(is_explain_target(kTarget));
  CHECK(is_explain_target("/explain"));
  CHECK_FALSE(is_explain_target("/explained"));
}

// Guards against explanations that change what happens to requests: the split of the first request depends on the
// random numbers of the daemon, and the one after it on the credits of the split.
TEST_CASE("explanations change no counter, no interest and no choice of a later request") {
  for (std::uint64_t seed = 1; seed <= 32; ++seed) {
    ExplainFixture explained(seed);
    ExplainFixture untouched(seed);
    std::map<std::string, int> statuses;
    for (ExplainFixture* const fixture : {&explained, &untouched}) {
      fixture->configure();
      if (fixture == &explained) {
        for (int i = 0; i < 5; ++i) (void)fixture->explain(kTarget);
      }
      CHECK(fixture->registry.expose() == metrics::Registry().expose());
      CHECK(fixture->ingress.interests(fixture->time).empty());
      CHECK(fixture->ingress.active() == 0);
      const auto caller = std::make_shared<CallerRequest>(
          http::Request{"GET", "/a/b", {{"Host", "h.example"}, {"Attempt", "a"}}, {}}, fixture->time);
      fixture->ingress.handle(caller);
    }
    const auto first = explained.ingress.interests(explained.time);
    const auto second = untouched.ingress.interests(untouched.time);
    REQUIRE(first.size() == 1);
    REQUIRE(second.size() == 1);
    CHECK(first.begin()->first == second.begin()->first);
  }
}

}  // namespace damaskthread::mesh
