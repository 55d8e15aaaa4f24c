#include "damaskthread/logservice/log_client.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <doctest/doctest.h>

#include <boost/leaf/handle_errors.hpp>
#include <optional>
#include <thread>

#include "damaskthread/http/client.h"
#include "support/child_process.h"

namespace damaskthread::logservice {
namespace {

using core::ErrorCode;
using std::chrono::milliseconds;

// Converts a result to an optional value and an optional error code.
template <typename Call>
auto outcome(Call&& call) {
  using Value = std::decay_t<decltype(call().value())>;
  struct Outcome {
    std::optional<Value> value;
    std::optional<ErrorCode> error;
  };
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<Outcome> {
        BOOST_LEAF_AUTO(value, call());
        return Outcome{value, std::nullopt};
      },
      [](const core::Error& error) {
        return Outcome{std::nullopt, error.code};
      },
      [] {
        return Outcome{std::nullopt, std::nullopt};
      });
}

struct LogFixture {
  std::uint16_t port = support::free_port();
  support::ChildProcess process{
      support::program_path("test/log_service"),
      {"--port=" + std::to_string(port), "--max_appends_per_second=20", "--retention_records=10"}};
  LogClient client{{.port = port, .timeout = milliseconds{300}}};

  LogFixture() { REQUIRE(support::wait_for_port(port)); }

  void control(const std::string& body) const {
    http::Client sender;
    const http::ExchangeResult result =
        sender.send({"127.0.0.1", port}, {.method = "POST", .target = "/control", .headers = {}, .body = body},
                    std::chrono::seconds{5});
    REQUIRE(std::holds_alternative<http::Response>(result));
  }
  [[nodiscard]] auto append(const std::string& record) const {
    return outcome([&] { return client.append(record); });
  }
  [[nodiscard]] auto read(std::uint64_t from, std::size_t max = 100) const {
    return outcome([&] { return client.read(from, max); });
  }
};

}  // namespace

// Guards against an unknown outcome for an append that was never sent.
TEST_CASE("a refused connection means that nothing was done") {
  const LogClient client{{.ip = "127.0.0.1", .port = 1}};
  CHECK(outcome([&] { return client.append("x"); }).error == ErrorCode::kUnavailable);
  CHECK(outcome([&] { return client.info(); }).error == ErrorCode::kUnavailable);
}

// Guards against a record that is altered in transit, including binary data.
TEST_CASE_FIXTURE(LogFixture, "records are read as they were appended") {
  const std::string bytes{"a\0\xff\n", 4};
  CHECK(append("first").value == 0);
  CHECK(append(bytes).value == 1);
  const auto slice = read(1).value;
  REQUIRE(slice.has_value());
  CHECK(*slice == resource::LogSlice{0, 2, {{1, bytes}}});
  CHECK(read(0, 1).value->entries.size() == 1);
  CHECK(read(9).value->entries.empty());
  CHECK(outcome([&] { return client.info(); }).value->next == 2);
  CHECK(append("").error == ErrorCode::kInvalidInput);
}

// Guards against a lost response reported as a refusal, which would let an operator publish twice.
TEST_CASE_FIXTURE(LogFixture, "a lost response has an unknown outcome, and a refused append has no effect") {
  control(R"({"lose_answers": 1})");
  CHECK(append("lost").error == ErrorCode::kUnknown);
  CHECK(read(0).value->next == 1);
  control(R"({"outage_ms": 400})");
  CHECK(append("refused").error == ErrorCode::kUnavailable);
  CHECK(read(0).error == ErrorCode::kUnavailable);
  std::this_thread::sleep_for(milliseconds{450});
  CHECK(read(0).value->next == 1);
  control(R"({"slow_ms": 600})");
  CHECK(append("slow").error == ErrorCode::kUnknown);
  CHECK(read(0).error == ErrorCode::kUnavailable);
  control(R"({"slow_ms": 0})");
  CHECK(read(1).value->entries.front().bytes == "slow");
}

TEST_CASE_FIXTURE(LogFixture, "the log refuses appends above its rate limit and retains a limited number of records") {
  int refused = 0;
  for (int i = 0; i < 30; ++i) {
    const auto result = append("r" + std::to_string(i));
    if (result.error) {
      CHECK(result.error == ErrorCode::kUnavailable);
      ++refused;
    }
  }
  CHECK(refused > 0);
  const auto slice = read(0).value;
  CHECK(slice->entries.size() == 10);
  CHECK(slice->first == slice->next - 10);
  control(R"({"truncate_before": )" + std::to_string(slice->next - 2) + "}");
  CHECK(read(0).value->entries.size() == 2);
}

}  // namespace damaskthread::logservice
