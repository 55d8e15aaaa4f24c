#include "damaskthread/gate/server_lifecycle.h"

#include <doctest/doctest.h>

namespace damaskthread::gate {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::TimePoint kStart{seconds{100}};

ServerHeartbeat make_heartbeat(std::string id, std::int64_t incarnation_start_ms, std::int64_t sequence,
                               bool leaving = false) {
  ServerHeartbeat result;
  result.id = std::move(id);
  result.service = "s";
  result.capacity = 10;
  result.incarnation_start_ms = incarnation_start_ms;
  result.sequence = sequence;
  result.leaving = leaving;
  return result;
}

}  // namespace

TEST_CASE("a heartbeat of an older incarnation is ignored") {
  ServerLifecycle lifecycle(seconds{5});
  CHECK(lifecycle.on_heartbeat(make_heartbeat("new", 2000, 1), kStart) == ServerLifecycle::Effect::kNewIncarnation);
  CHECK(lifecycle.on_heartbeat(make_heartbeat("old", 1000, 50, true), kStart) == ServerLifecycle::Effect::kIgnored);
  CHECK(lifecycle.last_heartbeat()->id == "new");
  CHECK(lifecycle.state(kStart) == ServerState::kReady);
}

TEST_CASE("a delayed heartbeat does not revert an announced leave") {
  ServerLifecycle lifecycle(seconds{5});
  (void)lifecycle.on_heartbeat(make_heartbeat("a", 1000, 1), kStart);
  (void)lifecycle.on_heartbeat(make_heartbeat("a", 1000, 3, true), kStart);
  CHECK(lifecycle.state(kStart) == ServerState::kLeaving);
  CHECK(lifecycle.on_heartbeat(make_heartbeat("a", 1000, 2), kStart) == ServerLifecycle::Effect::kIgnored);
  CHECK(lifecycle.state(kStart) == ServerState::kLeaving);
}

TEST_CASE("a server that deregisters without draining stays gone until its next incarnation") {
  ServerLifecycle lifecycle(seconds{5});
  (void)lifecycle.on_heartbeat(make_heartbeat("a", 1000, 1), kStart);
  CHECK(lifecycle.on_deregistration("a", kStart) == ServerLifecycle::Effect::kChanged);
  (void)lifecycle.on_heartbeat(make_heartbeat("a", 1000, 2), kStart);
  CHECK(lifecycle.state(kStart) == ServerState::kGone);
  (void)lifecycle.on_heartbeat(make_heartbeat("a", 2000, 1), kStart);
  CHECK(lifecycle.state(kStart) == ServerState::kReady);
}

TEST_CASE("after a daemon restart a delayed heartbeat does not make a departed server ready") {
  ServerLifecycle with_stored_departure(seconds{5});
  with_stored_departure.restore_departed("a");
  (void)with_stored_departure.on_heartbeat(make_heartbeat("a", 1000, 7), kStart);
  CHECK(with_stored_departure.state(kStart) == ServerState::kGone);

  ServerLifecycle without_stored_departure(seconds{5});
  (void)without_stored_departure.on_heartbeat(make_heartbeat("a", 1000, 7), kStart);
  CHECK(without_stored_departure.state(kStart) == ServerState::kUnverified);
  without_stored_departure.record_health_check("a", false);
  CHECK(without_stored_departure.state(kStart) == ServerState::kUnverified);
  without_stored_departure.record_health_check("a", true);
  CHECK(without_stored_departure.state(kStart) == ServerState::kReady);
}

TEST_CASE("an unverified server becomes ready after repeated heartbeats") {
  ServerLifecycle lifecycle(seconds{5});
  (void)lifecycle.on_heartbeat(make_heartbeat("a", 1000, 7), kStart);
  (void)lifecycle.on_heartbeat(make_heartbeat("a", 1000, 8), kStart);
  CHECK(lifecycle.state(kStart) == ServerState::kUnverified);
  (void)lifecycle.on_heartbeat(make_heartbeat("a", 1000, 9), kStart);
  CHECK(lifecycle.state(kStart) == ServerState::kReady);
}

TEST_CASE("a deregistration received before any heartbeat takes effect") {
  ServerLifecycle lifecycle(seconds{5});
  (void)lifecycle.on_deregistration("a", kStart);
  (void)lifecycle.on_heartbeat(make_heartbeat("a", 1000, 7), kStart);
  CHECK(lifecycle.state(kStart) == ServerState::kGone);
}

TEST_CASE("missing heartbeats and refused connections make the server state unknown") {
  ServerLifecycle lifecycle(seconds{5});
  (void)lifecycle.on_heartbeat(make_heartbeat("a", 1000, 1), kStart);
  CHECK(lifecycle.state(kStart + milliseconds{5001}) == ServerState::kUnknown);
  (void)lifecycle.on_heartbeat(make_heartbeat("a", 1000, 2), kStart + seconds{6});
  CHECK(lifecycle.state(kStart + seconds{6}) == ServerState::kReady);
  lifecycle.mark_unreachable();
  CHECK(lifecycle.state(kStart + seconds{6}) == ServerState::kUnknown);
  CHECK(lifecycle.on_heartbeat(make_heartbeat("a", 1000, 3), kStart + seconds{7}) == ServerLifecycle::Effect::kChanged);
  CHECK(lifecycle.state(kStart + seconds{7}) == ServerState::kReady);
}

}  // namespace damaskthread::gate
