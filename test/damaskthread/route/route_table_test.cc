#include "damaskthread/route/route_table.h"

#include <doctest/doctest.h>

#include <cmath>
#include <map>
#include <random>
#include <string>

#include "damaskthread/route/weighted_split.h"

namespace damaskthread::route {
namespace {

Route make_route(std::string name, std::string host, std::string prefix) {
  Route route;
  route.name = std::move(name);
  route.host = std::move(host);
  route.prefix = std::move(prefix);
  route.parts = {{"s", 1}};
  return route;
}

RouteTable make_table() {
  return RouteTable(7,
                    {make_route("root", "a.example", "/"), make_route("docs", "a.example", "/docs/"),
                     make_route("maps", "a.example", "/docs/maps/"), make_route("other", "b.example", "/docs/")},
                    {{"s", {"/health", 10}}}, {});
}

std::string matched_route(const RouteTable& routes, std::string_view host, std::string_view target) {
  const Route* const route = routes.find(host, target);
  return route == nullptr ? "" : route->name;
}

}  // namespace

TEST_CASE("the route with the longest prefix of the host is selected") {
  const RouteTable routes = make_table();
  CHECK(matched_route(routes, "a.example", "/docs/maps/1") == "maps");
  CHECK(matched_route(routes, "a.example", "/docs/maps") == "docs");
  CHECK(matched_route(routes, "a.example", "/docs/") == "docs");
  CHECK(matched_route(routes, "a.example", "/docsx/1") == "root");
  CHECK(matched_route(routes, "b.example", "/docs/1") == "other");
  CHECK(matched_route(routes, "b.example", "/").empty());
  CHECK(matched_route(routes, "c.example", "/docs/1").empty());
}

TEST_CASE("the port, the letter case of the host and the query are ignored") {
  const RouteTable routes = make_table();
  CHECK(matched_route(routes, "A.Example:8080", "/docs/1?next=/docs/maps/") == "docs");
}

TEST_CASE("services and routes are found by name") {
  const RouteTable routes = make_table();
  REQUIRE(routes.find_service("s") != nullptr);
  CHECK(routes.find_service("s")->health_path == "/health");
  CHECK(routes.find_service("t") == nullptr);
  CHECK(routes.find_by_name("maps")->prefix == "/docs/maps/");
  CHECK(routes.find_by_name("none") == nullptr);
}

TEST_CASE("each service gets its share of the requests even in a short window") {
  Route route = make_route("split", "a.example", "/");
  route.parts = {{"x", 90}, {"y", 10}};
  WeightedSplit split;
  core::Random random(20261204);
  std::map<std::string, int> counts;
  for (int i = 0; i < 30; ++i) ++counts[split.next(route, random).service];
  CHECK(std::abs(counts["x"] - 27) <= 1);
  CHECK(std::abs(counts["y"] - 3) <= 1);
}

TEST_CASE("daemons that start together do not all select the same service first") {
  Route route = make_route("split", "a.example", "/");
  route.parts = {{"x", 1}, {"y", 1}};
  std::map<std::string, int> first_counts;
  for (unsigned seed = 0; seed < 100; ++seed) {
    WeightedSplit split;
    core::Random random(seed);
    ++first_counts[split.next(route, random).service];
  }
  CHECK(first_counts["x"] >= 20);
  CHECK(first_counts["y"] >= 20);
}

}  // namespace damaskthread::route
