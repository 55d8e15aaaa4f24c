#include "damaskthread/mesh/fleet.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <map>
#include <string>

#include "damaskthread/mesh/clock.h"

namespace damaskthread::mesh {
namespace {

// The fleet as seen by a daemon whose connections are never established.
struct FleetFixture {
  FleetFixture()
      : log("test", {}),
        fleet(
            io, {"127.0.0.1:1", "a", "s"}, core::Incarnation{1}, log,
            {nullptr, nullptr, [](const std::string&, bool) {}, [](const std::string&) {}, nullptr, nullptr, nullptr}) {
  }

  void learn(int count, const std::string& service, Source source) {
    for (int i = 0; i < count; ++i) {
      fleet.learn({"127.0.1." + std::to_string(++learned) + ":2", learned % 2 == 0 ? "a" : "b", service}, source);
    }
  }
  void open_all() {
    for (int i = 0; i < 100; ++i) fleet.tick(now());
  }

  boost::asio::io_context io;
  EventLog log;
  Fleet fleet;
  int learned = 0;
};

const std::map<std::string, overlay::Interest, std::less<>> uses_service_t = {{"t", overlay::Interest::kUsed}};

}  // namespace

TEST_CASE("the number of servers of a service includes unconnected ones") {
  FleetFixture fixture;
  fixture.learn(100, "t", Source::kIntroduced);
  fixture.learn(3, "s", Source::kIntroduced);
  CHECK(fixture.fleet.servers("t") == 100);
  // Includes the local server.
  CHECK(fixture.fleet.servers("s") == 4);
  CHECK(fixture.fleet.servers("u") == 0);
  fixture.fleet.plan(uses_service_t, {}, now());
  fixture.open_all();
  CHECK(fixture.fleet.servers("t") == 100);
  CHECK(fixture.fleet.links().size() < 50);
}

TEST_CASE("an unknown daemon connects to all others, a known one only to those of its link plan") {
  for (const bool known : {false, true}) {
    FleetFixture fixture;
    fixture.learn(100, "t", Source::kListed);
    if (known) fixture.fleet.mark_introduced();
    fixture.fleet.plan(uses_service_t, {}, now());
    fixture.open_all();
    if (known) {
      CHECK(fixture.fleet.links().size() < 50);
    } else {
      CHECK(fixture.fleet.links().size() == 100);
    }
  }
}

TEST_CASE("a tick opens a limited number of connections") {
  FleetFixture fixture;
  fixture.learn(100, "t", Source::kListed);
  fixture.fleet.tick(now());
  CHECK(fixture.fleet.links().size() <= 20);
}

TEST_CASE("a daemon that introduces itself with another service is counted for the new service") {
  FleetFixture fixture;
  fixture.fleet.learn({"127.0.1.1:2", "a", "t"}, Source::kIntroduced);
  fixture.fleet.learn({"127.0.1.1:2", "a", "u"}, Source::kListed);
  CHECK(fixture.fleet.servers("t") == 1);
  fixture.fleet.learn({"127.0.1.1:2", "a", "u"}, Source::kIntroduced);
  CHECK(fixture.fleet.servers("t") == 0);
  CHECK(fixture.fleet.servers("u") == 1);
}

}  // namespace damaskthread::mesh
