#include "damaskthread/mesh/lease_client.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <charconv>
#include <chrono>
#include <memory>
#include <string>

#include "damaskthread/mesh/clock.h"
#include "damaskthread/mesh/http_listener.h"
#include "support/mesh_adapter.h"

namespace damaskthread::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kTestTimeout = seconds(10);

// Adapter whose reads return the end and the holder, separated by a space.
class LeaseAdapter : public support::TestAdapter {
 public:
  [[nodiscard]] http::Request newest(Topic topic, std::string_view /*after*/) const override {
    http::Request request;
    request.method = "GET";
    request.target = topic == Topic::kLeases ? "/read" : "/other";
    return request;
  }
  [[nodiscard]] http::Request put_at(Topic /*topic*/, std::string_view key, std::string_view value,
                                     std::uint64_t end) const override {
    http::Request request;
    request.method = "POST";
    request.target = "/write/" + std::to_string(end);
    request.body.append(key).append("=").append(value);
    return request;
  }
  [[nodiscard]] boost::leaf::result<NewestPage> parse_newest(const http::Response& response) const override {
    NewestPage page;
    const char* const end = response.body.data() + response.body.size();
    const char* const rest = std::from_chars(response.body.data(), end, page.end).ptr;
    if (rest < end) page.records.push_back({"quotas", std::string(rest + 1, end)});
    return page;
  }
};

// A store with one record, and the clients of two daemons.
struct LeaseFixture {
  LeaseFixture()
      : log("test", {}),
        store(io, {"127.0.0.1", 0}, 10, [this](const auto& request) { handle(*request); }),
        first(io, adapter, {"127.0.0.1", store.port()}, log, "a"),
        second(io, adapter, {"127.0.0.1", store.port()}, log, "b") {}

  void handle(CallerRequest& request) {
    ++calls;
    const std::string& target = request.request.target;
    if (target == "/read") return request.answer({200, {}, std::to_string(end) + (holder.empty() ? "" : " " + holder)});
    if (target != "/write/" + std::to_string(end)) return request.answer({412, {}, ""});
    ++end;
    holder = request.request.body.substr(request.request.body.find('=') + 1);
    request.answer({200, {}, ""});
  }

  template <typename Condition>
  bool run_until(Condition condition, bool first_wants, bool second_wants) {
    const auto deadline = std::chrono::steady_clock::now() + kTestTimeout;
    while (!condition()) {
      if (std::chrono::steady_clock::now() > deadline) return false;
      first.tick(first_wants, now());
      second.tick(second_wants, now());
      io.run_for(milliseconds(2));
      io.restart();
    }
    return true;
  }

  boost::asio::io_context io;
  LeaseAdapter adapter;
  EventLog log;
  HttpListener store;
  std::string holder;
  int end = 0;
  int calls = 0;
  LeaseClient first;
  LeaseClient second;
};

}  // namespace

TEST_CASE("one of two daemons that want the lease at the same time gets it") {
  LeaseFixture fixture;
  REQUIRE(fixture.run_until([&] { return fixture.calls >= 4; }, true, true));
  REQUIRE(fixture.run_until([&] { return fixture.first.held(now()) || fixture.second.held(now()); }, true, true));
  CHECK(fixture.first.held(now()) != fixture.second.held(now()));
  CHECK(fixture.holder == (fixture.first.held(now()) ? "a" : "b"));
  CHECK(fixture.end == 1);
}

// Every call to the store has a price.
TEST_CASE("without need for the lease the store is not called") {
  LeaseFixture fixture;
  const auto start = now();
  REQUIRE(fixture.run_until([&] { return now() - start > milliseconds(200); }, false, false));
  CHECK(fixture.calls == 0);
}

TEST_CASE("the lease of another daemon is not taken") {
  LeaseFixture fixture;
  fixture.holder = "c";
  fixture.end = 5;
  REQUIRE(fixture.run_until([&] { return fixture.calls >= 2; }, true, true));
  const auto start = now();
  REQUIRE(fixture.run_until([&] { return now() - start > milliseconds(200); }, true, true));
  CHECK(!fixture.first.held(now()));
  CHECK(!fixture.second.held(now()));
  CHECK(fixture.end == 5);
}

}  // namespace damaskthread::mesh
