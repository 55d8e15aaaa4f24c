#include "damaskthread/engine/inbound_call.h"

#include <doctest/doctest.h>

#include "damaskthread/engine/outbound_call.h"

namespace damaskthread::engine {
namespace {

constexpr core::TimePoint kNow{std::chrono::hours(1)};

std::shared_ptr<const resource::ServiceTable> services() {
  auto booking = std::make_shared<resource::ServiceDeclaration>();
  booking->name = "booking";
  booking->operations = {{.method = "POST", .path_prefix = "/pay", .at_most_once = true}};
  auto fleet = std::make_shared<resource::ServiceDeclaration>();
  fleet->name = "fleet";
  resource::ServiceTable::Map entries;
  entries["booking"] = {booking, 1};
  entries["fleet"] = {fleet, 2};
  return std::make_shared<const resource::ServiceTable>(std::move(entries), 2);
}

}  // namespace

// Guards against lookups within a payment that require a token and are not retried because the server copied the
// context of the payment to them.
TEST_CASE("a call that copies the context of an at-most-once call is not at-most-once itself") {
  NodeOptions options;
  options.self = {1};
  options.incarnation = {1};
  options.service = "booking";
  options.admission.limit = {.slots = 4, .warm_up = core::Duration{0}};
  Node node(options);
  node.set_services(services());
  const routing::ServerInfo server{.id = {2}, .incarnation = {1}, .slots = 4, .connections = 16};
  node.set_servers("fleet", {&server, 1}, {}, kNow);

  PeerRequest payment;
  payment.method = "POST";
  payment.target = "/pay";
  payment.fingerprint = 7;
  payment.context.service = "booking";
  payment.context.at_most_once = true;
  payment.context.time_left = std::chrono::seconds(2);
  payment.context.token = node.issue_token(7, kNow).value();
  payment.attempt = {1, 1};
  std::vector<admission::QueueEvent> events;
  InboundCall running(node, payment);
  const InboundStep step = running.begin(kNow, events);
  REQUIRE(step.kind == InboundAction::kRun);
  CHECK(step.at_most_once);

  CallRequest lookup;
  lookup.service = "fleet";
  lookup.method = "GET";
  lookup.target = "/availability";
  lookup.context = step.context;
  OutboundCall call(node, lookup);
  core::Random random(1);
  const OutboundStep first = call.begin(random, kNow);
  CHECK(first.kind == OutboundAction::kSend);
  CHECK_FALSE(first.context.at_most_once);
  CHECK(first.context.depth == 1);
}

}  // namespace damaskthread::engine
