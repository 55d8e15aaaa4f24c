#include "damaskthread/context/call_context.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <boost/leaf/handle_errors.hpp>

#include "damaskthread/core/error.h"

namespace damaskthread::context {
namespace {

struct Outcome {
  std::optional<CallContext> context;
  std::string where;
};

Outcome try_parse(const std::vector<HeaderView>& headers) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<Outcome> {
        BOOST_LEAF_AUTO(context, parse(headers));
        return Outcome{std::move(context), ""};
      },
      [](const core::Error& error) {
        return Outcome{std::nullopt, error.where};
      },
      [] { return Outcome{}; });
}

}  // namespace

// Guards against fields that are lost or changed between two daemons.
TEST_CASE("a context round-trips through formatting and parsing") {
  CHECK(rc::check([] {
    CallContext context;
    context.service = "booking";
    context.request_id = "r" + std::to_string(*rc::gen::arbitrary<unsigned>());
    context.importance = static_cast<core::Importance>(*rc::gen::inRange(0, core::kImportanceCount));
    context.time_left = std::chrono::milliseconds(*rc::gen::inRange(0, 3'600'000));
    context.retries = *rc::gen::inRange(0, kMaxRetries + 1);
    context.at_most_once = *rc::gen::arbitrary<bool>();
    context.attempt = *rc::gen::inRange(0, kMaxAttempt + 1);
    context.depth = *rc::gen::inRange(0, kMaxDepth + 1);
    context.root = core::RequestKey{*rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint64_t>()};
    context.parent = to_hex(*context.root);
    HeaderPairs pairs;
    append_headers(context, pairs);
    std::vector<HeaderView> views;
    for (const auto& [name, value] : pairs) views.push_back({name, value});
    const Outcome outcome = try_parse(views);
    RC_ASSERT(outcome.context.has_value());
    RC_ASSERT(outcome.context->service == context.service);
    RC_ASSERT(outcome.context->request_id == context.request_id);
    RC_ASSERT(outcome.context->importance == context.importance);
    RC_ASSERT(outcome.context->time_left == context.time_left);
    RC_ASSERT(outcome.context->retries == context.retries);
    RC_ASSERT(outcome.context->at_most_once == context.at_most_once);
    RC_ASSERT(outcome.context->attempt == context.attempt);
    RC_ASSERT(outcome.context->depth == context.depth);
    RC_ASSERT(outcome.context->root == context.root);
    RC_ASSERT(outcome.context->parent == context.parent);
  }));
}

// Guards against forged or malformed headers that change how a call is processed.
TEST_CASE("malformed, repeated and oversized headers are rejected") {
  const std::string oversized(129, 'a');
  const std::vector<HeaderView> malformed_headers = {
      {"Damask-Service", "Booking"}, {"Damask-Importance", "urgent"}, {"Damask-Deadline-Ms", "-1"},
      {"damask-deadline-ms", "1e3"}, {"Damask-Retries", "9"},         {"Damask-At-Most-Once", "maybe"},
      {"Damask-Attempt", "101"},     {"Damask-Parent", "zz"},         {"Damask-Depth", "17"},
      {"Damask-Call-Key", ""},       {"Damask-Root", "0123"},         {"Damask-Token", oversized}};
  for (const HeaderView& header : malformed_headers) {
    const Outcome outcome = try_parse({header});
    CHECK_FALSE_MESSAGE(outcome.context.has_value(), std::string(header.name));
  }
  CHECK_FALSE(try_parse({{"Damask-Depth", "1"}, {"damask-depth", "2"}}).context.has_value());
  const std::string max_size_value(128, 'a');
  CHECK_FALSE(try_parse({{"Damask-Token", max_size_value},
                         {"Damask-Request-Id", max_size_value},
                         {"Damask-Call-Key", "k"},
                         {"Damask-Service", "s"},
                         {"Damask-Token", max_size_value}})
                  .context.has_value());
  CHECK(try_parse({{"X-Other", oversized}, {"Damask-Newer", "1"}}).context.has_value());
}

TEST_CASE("arbitrary header bytes never crash the parser") {
  CHECK(rc::check([](const std::string& value) {
    for (const char* name :
         {"Damask-Service", "Damask-Deadline-Ms", "Damask-Parent", "Damask-Root", "Damask-Retries"}) {
      const Outcome outcome = try_parse({{name, value}});
      RC_ASSERT(outcome.context.has_value() || !outcome.where.empty());
    }
    std::string target = "/svc/" + value;
    const std::string name = extract_service_prefix(target);
    RC_ASSERT(name.empty() || is_service_name(name));
    RC_ASSERT(target.front() == '/');
  }));
}

TEST_CASE("the service prefix is removed from the target") {
  std::string target = "/svc/orders/a/b?c=1";
  CHECK(extract_service_prefix(target) == "orders");
  CHECK(target == "/a/b?c=1");
  target = "/svc/orders?c=1";
  CHECK(extract_service_prefix(target) == "orders");
  CHECK(target == "/?c=1");
  target = "/svcs/orders";
  CHECK(extract_service_prefix(target).empty());
}

}  // namespace damaskthread::context
