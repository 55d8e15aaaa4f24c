#include "damaskthread/entrance/call_graph.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace damaskthread::entrance {
namespace {

using std::chrono::seconds;

constexpr core::TimePoint kStart{seconds{100}};

std::vector<std::string> sorted(std::vector<std::string> values) {
  std::sort(values.begin(), values.end());
  return values;
}

}  // namespace

TEST_CASE("calls are followed transitively, including cycles") {
  CallGraph graph;
  graph.record_call("lookup", "ledger", true, kStart);
  graph.record_call("ledger", "index", false, kStart);
  graph.record_call("index", "tariff", false, kStart);
  graph.record_call("tariff", "lookup", false, kStart);
  CHECK(sorted(graph.reachable_kinds("lookup", kStart)) ==
        std::vector<std::string>{"index", "ledger", "lookup", "tariff"});
  CHECK(graph.reachable_kinds("waiver", kStart) == std::vector<std::string>{"waiver"});
}

TEST_CASE("an edge that is not observed again expires") {
  CallGraph graph(seconds{60});
  graph.record_call("a", "b", true, kStart);
  CHECK(graph.reachable_kinds("a", kStart + seconds{60}).size() == 2);
  CHECK(graph.reachable_kinds("a", kStart + seconds{61}).size() == 1);
}

TEST_CASE("only locally observed edges are shared") {
  CallGraph graph;
  graph.record_call("a", "b", true, kStart);
  graph.record_call("b", "c", false, kStart);
  graph.record_call("a", "b", false, kStart);
  const auto edges = graph.local_edges(kStart);
  REQUIRE(edges.size() == 1);
  CHECK(edges.front() == CallGraph::Edge("a", "b"));
}

}  // namespace damaskthread::entrance
