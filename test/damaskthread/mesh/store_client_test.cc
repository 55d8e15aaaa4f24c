#include "damaskthread/mesh/store_client.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <charconv>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "damaskthread/mesh/http_listener.h"
#include "support/mesh_adapter.h"

namespace damaskthread::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kTestTimeout = seconds(10);

// Adapter whose pages and changes consist of the next offset only.
class OffsetAdapter : public support::TestAdapter {
 public:
  [[nodiscard]] http::Request newest(Topic topic, std::string_view /*after*/) const override {
    http::Request request;
    request.method = "GET";
    request.target = topic == Topic::kConfiguration ? "/newest" : "/members";
    return request;
  }
  [[nodiscard]] http::Request changes(Topic /*topic*/, std::uint64_t from, milliseconds /*wait*/) const override {
    http::Request request;
    request.method = "GET";
    request.target = "/changes/" + std::to_string(from);
    return request;
  }
  [[nodiscard]] boost::leaf::result<NewestPage> parse_newest(const http::Response& response) const override {
    return NewestPage{{}, false, offset_in(response)};
  }
  [[nodiscard]] boost::leaf::result<Changes> parse_changes(const http::Response& response,
                                                           std::uint64_t /*from*/) const override {
    return Changes{{}, false, offset_in(response)};
  }

 private:
  static std::uint64_t offset_in(const http::Response& response) {
    std::uint64_t offset = 0;
    std::from_chars(response.body.data(), response.body.data() + response.body.size(), offset);
    return offset;
  }
};

// A client of a store that answers reads of the newest records at once and holds watches until the test answers them.
struct StoreClientFixture {
  StoreClientFixture()
      : log("test", {}),
        store(io, {"127.0.0.1", 0}, 10, [this](const auto& request) { handle(request); }),
        client(io, adapter, {"127.0.0.1", store.port()}, log,
               {[](const std::string&) {}, [](const std::vector<KeyedRecord>&) {}, [] { return false; },
                [] { return true; }, [] {}}) {
    client.start();
    client.set_watch_enabled(true);
  }
  ~StoreClientFixture() { client.close(); }
  StoreClientFixture(const StoreClientFixture&) = delete;
  StoreClientFixture& operator=(const StoreClientFixture&) = delete;

  void handle(const std::shared_ptr<CallerRequest>& request) {
    if (request->request.target.starts_with("/changes/")) {
      watch = request;
      return;
    }
    if (request->request.target == "/newest") ++configuration_reads;
    answer(*request, end);
  }

  void answer(CallerRequest& request, int next_offset) const {
    request.answer({200, {{"Era", std::to_string(era)}}, std::to_string(next_offset)});
  }

  template <typename Condition>
  bool wait(Condition condition) {
    const auto deadline = std::chrono::steady_clock::now() + kTestTimeout;
    while (!condition() && std::chrono::steady_clock::now() < deadline) {
      io.run_for(milliseconds(2));
      io.restart();
    }
    return condition();
  }

  boost::asio::io_context io;
  OffsetAdapter adapter;
  EventLog log;
  int era = 1;
  int end = 10;
  int configuration_reads = 0;
  std::shared_ptr<CallerRequest> watch;
  HttpListener store;
  StoreClient client;
};

}  // namespace

TEST_CASE("a watch whose response shows that the store was restored reads the newest configuration") {
  StoreClientFixture fixture;
  REQUIRE(fixture.wait([&] { return fixture.watch != nullptr; }));
  fixture.era = 2;
  fixture.end = 7;
  fixture.answer(*std::exchange(fixture.watch, nullptr), 10);
  REQUIRE(fixture.wait([&] { return fixture.watch != nullptr; }));
  CHECK(fixture.configuration_reads == 2);
  CHECK(fixture.watch->request.target == "/changes/7");
}

// The watch went on at its former offset, behind a configuration that was written under a reassigned one.
TEST_CASE("a watch does not go on at an offset of the former era if another daemon has told of the restore first") {
  StoreClientFixture fixture;
  REQUIRE(fixture.wait([&] { return fixture.watch != nullptr; }));
  fixture.era = 2;
  fixture.end = 7;
  fixture.client.observe_era(2);
  fixture.answer(*std::exchange(fixture.watch, nullptr), 10);
  REQUIRE(fixture.wait([&] { return fixture.watch != nullptr; }));
  CHECK(fixture.configuration_reads == 2);
  CHECK(fixture.watch->request.target == "/changes/7");
}

}  // namespace damaskthread::mesh
