#include <doctest/doctest.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "damaskthread/http/server.h"
#include "support/child_process.h"
#include "support/http_caller.h"

namespace damaskthread::support {
namespace {

/// A server stand-in, and in front of it a daemon that answers as the test says.
class Setting {
 public:
  explicit Setting(const http::Handler& daemon)
      : backend_(program_path("test/backend_server"),
                 {"--service=s", "--service_ms=1", "--slots=50", "--port=" + std::to_string(backend_port_)}),
        daemon_({.address = "127.0.0.1", .port = daemon_port_}, daemon) {
    REQUIRE(wait_for_port(backend_port_));
  }

  /// Runs the caller and returns what it prints.
  nlohmann::json run(std::vector<std::string> flags, std::uint16_t port = 0) const {
    const auto output = std::filesystem::temp_directory_path() / ("load-caller-" + std::to_string(daemon_port_));
    flags.push_back("--service=s");
    flags.push_back("--daemons=127.0.0.1:" + std::to_string(port == 0 ? daemon_port_ : port));
    flags.push_back("--journals=127.0.0.1:" + std::to_string(backend_port_));
    flags.push_back("--journal_delay_ms=50");
    ChildProcess caller(program_path("test/load_caller"), flags, output);
    REQUIRE(caller.wait(std::chrono::seconds(30)) == 0);
    std::ifstream file(output);
    auto result = nlohmann::json::parse(file);
    std::filesystem::remove(output);
    return result;
  }

  [[nodiscard]] std::uint16_t backend_port() const noexcept { return backend_port_; }

  /// Runs the request at the server and returns the server's answer.
  [[nodiscard]] static http::Response forward(std::uint16_t port, const http::Request& request) {
    HttpCaller caller("127.0.0.1", port);
    HttpAnswer answer = caller.call({.method = request.method, .target = request.target});
    return {answer.status, {}, std::move(answer.body)};
  }

 private:
  const std::uint16_t backend_port_ = free_port();
  const std::uint16_t daemon_port_ = free_port();
  ChildProcess backend_;
  http::Server daemon_;
};

http::Response refused() { return {503, {{"Damask-Verdict", "not-run"}, {"Damask-Request-Id", "minted"}}, "{}\n"}; }

std::uint64_t count(const nlohmann::json& result, const char* field) { return result.at(field).get<std::uint64_t>(); }

}  // namespace

// Guards against a caller that counts what it did not send or takes right answers for wrong ones; the seed fixes what
// is sent.
TEST_CASE("a healthy server gives good answers only") {
  const Setting setting([](http::Request&&, const http::ConnectionInfo&) { return refused(); });
  const std::vector<std::string> flags = {"--rate=200", "--duration=1", "--mix=critical:1:POST:/pay,normal:3"};
  const auto result = setting.run(flags, setting.backend_port());
  CHECK(count(result, "offered") > 150);
  CHECK(count(result, "good") == count(result, "offered"));
  CHECK(count(result.at("journal"), "executions") == count(result, "offered"));
  CHECK(result.at("by_importance").at("critical").at("offered") > 20);
  const auto documents =
      setting.run({"--rate=50", "--duration=1", "--bytes=100000", "--prefix=doc"}, setting.backend_port());
  CHECK(count(documents, "good") == count(documents, "offered"));
}

// Guards against wrong, foreign and cut answers that are counted as good.
TEST_CASE("wrong and partial answers are told apart") {
  std::atomic<int> number{0};
  const Setting setting([&](http::Request&& request, const http::ConnectionInfo&) -> http::Response {
    const std::string key = request.target.substr(request.target.find("op=") + 3);
    const std::string right = "{\"key\":\"" + key + "\"}\n";
    switch (number++ % 4) {
      case 0:
        return {200, {}, right};
      case 1:
        return {200, {}, "{\"key\":\"other\"}\n"};
      case 2:
        return {200, {}, right.substr(0, right.size() - 2)};
      default:
        return {500, {{"Damask-Verdict", "ran"}}, ""};
    }
  });
  const auto result = setting.run({"--rate=200", "--duration=1", "--threads=4"});
  const auto quarter = count(result, "offered") / 4;
  for (const char* outcome : {"good", "wrong", "partial", "failed"}) {
    CAPTURE(outcome);
    CHECK(count(result, outcome) >= quarter);
    CHECK(count(result, outcome) <= quarter + 1);
  }
}

// Guards against a "not run" that did run, or a second execution under one token, passing unseen.
TEST_CASE("false verdicts and second executions are found in the journal") {
  std::uint16_t backend = 0;
  std::atomic<int> bare{0};
  const Setting setting([&](http::Request&& request, const http::ConnectionInfo&) -> http::Response {
    if (request.method == "GET") {
      (void)Setting::forward(backend, request);
      return refused();  // A lie.
    }
    if (http::find(request.headers, "Damask-Token").empty()) {
      ++bare;
      return {428, {{"Damask-Verdict", "not-run"}, {"Damask-Token", "t"}}, ""};
    }
    (void)Setting::forward(backend, request);
    return Setting::forward(backend, request);
  });
  backend = setting.backend_port();
  const auto lies = setting.run({"--rate=50", "--duration=1", "--prefix=lie"});
  CHECK(count(lies, "refused") == count(lies, "offered"));
  CHECK(count(lies.at("journal"), "false_not_run") == count(lies, "offered"));
  const auto twice = setting.run({"--rate=50", "--duration=1", "--prefix=pay", "--method=POST", "--path=/pay"});
  CHECK(count(twice, "good") == count(twice, "offered"));
  CHECK(count(twice, "retries") == 0);
  CHECK(static_cast<std::uint64_t>(bare) == count(twice, "offered"));
  CHECK(count(twice.at("journal"), "at_most_once") == count(twice, "offered"));
  CHECK(count(twice.at("journal"), "ran_twice") == count(twice, "offered"));
}

// Guards against a caller that retries more or less than it is told, or with a new id.
TEST_CASE("refused requests are repeated as often as asked, with their id") {
  std::atomic<int> calls{0};
  std::atomic<int> with_id{0};
  const Setting setting([&](http::Request&& request, const http::ConnectionInfo&) {
    ++calls;
    with_id += http::find(request.headers, "Damask-Request-Id") == "minted" ? 1 : 0;
    return refused();
  });
  const auto result = setting.run({"--rate=50", "--duration=1", "--retries=3"});
  const auto offered = count(result, "offered");
  CHECK(count(result, "refused") == offered);
  CHECK(static_cast<std::uint64_t>(calls) == 4 * offered);
  CHECK(static_cast<std::uint64_t>(with_id) == 3 * offered);
  CHECK(count(result, "retries") == 3 * offered);
  CHECK(count(result.at("journal"), "executions") == 0);
  const auto polite = setting.run({"--rate=50", "--duration=1", "--retries=3", "--polite"});
  CHECK(count(polite, "retries") == 0);  // Without Retry-After.
}

}  // namespace damaskthread::support
