#include "damaskthread/gate/server_lifecycle.h"

#include <doctest/doctest.h>

namespace damaskthread::gate {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::TimePoint kStart{seconds{100}};

ServerHeartbeat heartbeat(std::string id, std::int64_t started_at_ms, std::int64_t sequence, bool leaving = false) {
  ServerHeartbeat result;
  result.id = std::move(id);
  result.service = std::string("s");
  result.capacity = 10;
  result.started_at_ms = started_at_ms;
  result.sequence = sequence;
  result.leaving = leaving;
  return result;
}

// Start time of the last departure, or -1 if it was not this server.
std::int64_t departed_start(const ServerLifecycle& life, std::string_view id) {
  return life.departed() && life.departed()->id == id ? life.departed()->started_at_ms : -1;
}

}  // namespace

TEST_CASE("a heartbeat of an older incarnation is ignored") {
  ServerLifecycle life(seconds{5});
  CHECK(life.on_heartbeat(heartbeat("new", 2000, 1), kStart) == ServerLifecycle::Effect::kNewIncarnation);
  CHECK(life.on_heartbeat(heartbeat("old", 1000, 50, true), kStart) == ServerLifecycle::Effect::kIgnored);
  CHECK(life.last_heartbeat()->id == "new");
  CHECK(life.state(kStart) == ServerState::kReady);
}

// Another writer's heartbeat must neither take the place of the server nor shut it out: its start time may be later
// than that of the server.
TEST_CASE("a heartbeat for another service or address is ignored") {
  ServerLifecycle life(seconds{5}, {"s", "10.0.0.1:80"});
  ServerHeartbeat own = heartbeat("a", 1000, 1);
  own.address = std::string("10.0.0.1:80");
  CHECK(life.on_heartbeat(own, kStart) == ServerLifecycle::Effect::kNewIncarnation);
  ServerHeartbeat other_service = own;
  other_service.id = std::string("b");
  other_service.started_at_ms = 2000;
  ServerHeartbeat other_address = other_service;
  other_service.service = std::string("t");
  other_address.address = std::string("10.0.0.2:80");
  for (const ServerHeartbeat& foreign : {other_service, other_address}) {
    CHECK(life.on_heartbeat(foreign, kStart) == ServerLifecycle::Effect::kForeign);
    CHECK(life.last_heartbeat()->id == "a");
  }
  own.sequence = 2;
  CHECK(life.on_heartbeat(own, kStart + seconds{1}) == ServerLifecycle::Effect::kRenewed);
  CHECK(life.state(kStart + seconds{1}) == ServerState::kReady);
}

TEST_CASE("after a change of the expected server the previous one is unknown") {
  ServerLifecycle life(seconds{5}, {"s", ""});
  (void)life.on_heartbeat(heartbeat("a", 1000, 1), kStart);
  life.expect({"t", ""});
  CHECK(life.state(kStart) == ServerState::kUnknown);
  CHECK(life.on_heartbeat(heartbeat("a", 1000, 2), kStart) == ServerLifecycle::Effect::kForeign);
  CHECK(life.state(kStart) == ServerState::kUnknown);
}

TEST_CASE("a delayed heartbeat does not revert an announced leave") {
  ServerLifecycle life(seconds{5});
  (void)life.on_heartbeat(heartbeat("a", 1000, 1), kStart);
  (void)life.on_heartbeat(heartbeat("a", 1000, 3, true), kStart);
  CHECK(life.state(kStart) == ServerState::kLeaving);
  CHECK(life.on_heartbeat(heartbeat("a", 1000, 2), kStart) == ServerLifecycle::Effect::kIgnored);
  CHECK(life.state(kStart) == ServerState::kLeaving);
}

TEST_CASE("a server that deregisters without draining stays gone until its next incarnation") {
  ServerLifecycle life(seconds{5});
  (void)life.on_heartbeat(heartbeat("a", 1000, 1), kStart);
  CHECK(life.on_deregistration("a", kStart) == ServerLifecycle::Effect::kChanged);
  (void)life.on_heartbeat(heartbeat("a", 1000, 2), kStart);
  CHECK(life.state(kStart) == ServerState::kGone);
  (void)life.on_heartbeat(heartbeat("a", 2000, 1), kStart);
  CHECK(life.state(kStart) == ServerState::kReady);
}

TEST_CASE("after a daemon restart a delayed heartbeat does not make a departed server ready") {
  ServerLifecycle known(seconds{5});
  known.restore_departed({"a", 1000});
  (void)known.on_heartbeat(heartbeat("a", 1000, 7), kStart);
  CHECK(known.state(kStart) == ServerState::kGone);

  ServerLifecycle unknown(seconds{5});
  (void)unknown.on_heartbeat(heartbeat("a", 1000, 7), kStart);
  CHECK(unknown.state(kStart) == ServerState::kUnverified);
  unknown.record_health_check("a", false);
  CHECK(unknown.state(kStart) == ServerState::kUnverified);
  unknown.record_health_check("a", true);
  CHECK(unknown.state(kStart) == ServerState::kReady);
}

// A server keeps its id when it starts again. A departure that is remembered by the id alone would outlast the restart
// of the server and, restored after a restart of the daemon, leave the service without this server for good.
TEST_CASE("after a daemon restart a server that started again under the id of a departed one is used") {
  ServerLifecycle life(seconds{5});
  life.restore_departed({"a", 1000});
  (void)life.on_heartbeat(heartbeat("a", 2000, 7), kStart);
  CHECK(life.state(kStart) == ServerState::kUnverified);
  life.record_health_check("a", true);
  CHECK(life.state(kStart) == ServerState::kReady);
  // A heartbeat of the departed incarnation that was delayed changes nothing.
  CHECK(life.on_heartbeat(heartbeat("a", 1000, 8), kStart) == ServerLifecycle::Effect::kIgnored);
  CHECK(life.state(kStart) == ServerState::kReady);
}

// A deregistration has no start time, and the first heartbeat of the server that sent it may still be on its way.
TEST_CASE("after a deregistration received before any heartbeat a server under that id is probed") {
  ServerLifecycle life(seconds{5});
  (void)life.on_deregistration("a", kStart);
  (void)life.on_heartbeat(heartbeat("a", 2000, 1), kStart);
  CHECK(life.state(kStart) == ServerState::kUnverified);
  life.record_health_check("a", false);
  CHECK(life.state(kStart) == ServerState::kUnverified);
  life.record_health_check("a", true);
  CHECK(life.state(kStart) == ServerState::kReady);
}

TEST_CASE("a deregistration received before any heartbeat does not apply to later starts under that id") {
  ServerLifecycle life(seconds{5});
  (void)life.on_deregistration("a", kStart);
  (void)life.on_heartbeat(heartbeat("a", 2000, 1), kStart);
  (void)life.on_heartbeat(heartbeat("a", 3000, 7), kStart);
  CHECK(life.state(kStart) == ServerState::kReady);
  CHECK(life.on_heartbeat(heartbeat("a", 1999, 8), kStart) == ServerLifecycle::Effect::kIgnored);
}

TEST_CASE("a departure restored after the first heartbeat takes effect") {
  ServerLifecycle life(seconds{5});
  (void)life.on_heartbeat(heartbeat("a", 1000, 7), kStart);
  life.restore_departed({"a", 1000});
  CHECK(life.state(kStart) == ServerState::kGone);
  (void)life.on_heartbeat(heartbeat("a", 1000, 9), kStart);
  CHECK(life.state(kStart) == ServerState::kGone);
}

TEST_CASE("the last departure is known with its start time, however it was announced") {
  ServerLifecycle life(seconds{5});
  CHECK(!life.departed());
  (void)life.on_heartbeat(heartbeat("a", 1000, 1), kStart);
  (void)life.on_heartbeat(heartbeat("a", 1000, 2, true), kStart);
  CHECK(departed_start(life, "a") == 1000);
  (void)life.on_heartbeat(heartbeat("a", 2000, 1, true), kStart);
  CHECK(departed_start(life, "a") == 2000);
  (void)life.on_heartbeat(heartbeat("a", 3000, 1), kStart);
  (void)life.on_deregistration("a", kStart);
  CHECK(departed_start(life, "a") == 3000);
}

TEST_CASE("an unverified server becomes ready after repeated heartbeats") {
  ServerLifecycle life(seconds{5});
  (void)life.on_heartbeat(heartbeat("a", 1000, 7), kStart);
  (void)life.on_heartbeat(heartbeat("a", 1000, 8), kStart);
  CHECK(life.state(kStart) == ServerState::kUnverified);
  (void)life.on_heartbeat(heartbeat("a", 1000, 9), kStart);
  CHECK(life.state(kStart) == ServerState::kReady);
}

TEST_CASE("a deregistration received before any heartbeat takes effect") {
  ServerLifecycle life(seconds{5});
  (void)life.on_deregistration("a", kStart);
  (void)life.on_heartbeat(heartbeat("a", 1000, 7), kStart);
  CHECK(life.state(kStart) == ServerState::kGone);
}

TEST_CASE("missing heartbeats and refused connections make the server state unknown") {
  ServerLifecycle life(seconds{5});
  (void)life.on_heartbeat(heartbeat("a", 1000, 1), kStart);
  CHECK(life.state(kStart + milliseconds{5001}) == ServerState::kUnknown);
  (void)life.on_heartbeat(heartbeat("a", 1000, 2), kStart + seconds{6});
  CHECK(life.state(kStart + seconds{6}) == ServerState::kReady);
  life.mark_unreachable();
  CHECK(life.state(kStart + seconds{6}) == ServerState::kUnknown);
  CHECK(life.on_heartbeat(heartbeat("a", 1000, 3), kStart + seconds{7}) == ServerLifecycle::Effect::kChanged);
  CHECK(life.state(kStart + seconds{7}) == ServerState::kReady);
}

}  // namespace damaskthread::gate
