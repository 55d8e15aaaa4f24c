#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <csignal>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "support/child_process.h"
#include "support/content_pattern.h"
#include "support/http_caller.h"

namespace damaskthread::support {
namespace {

class Backend {
 public:
  explicit Backend(std::vector<std::string> flags)
      : process_(program_path("test/backend_server"), with_port(std::move(flags), port_)) {
    REQUIRE(wait_for_port(port_));
  }

  [[nodiscard]] std::uint16_t port() const noexcept { return port_; }
  ChildProcess& process() noexcept { return process_; }

  [[nodiscard]] HttpAnswer call(const HttpCall& request) const { return HttpCaller("127.0.0.1", port_).call(request); }
  [[nodiscard]] HttpAnswer get(const std::string& target) const { return call({.target = target}); }
  [[nodiscard]] nlohmann::json json(const std::string& target) const { return nlohmann::json::parse(get(target).body); }
  void control(const std::string& body) const {
    REQUIRE(call({.method = "POST", .target = "/control", .body = body}).status == 200);
  }

 private:
  static std::vector<std::string> with_port(std::vector<std::string> flags, std::uint16_t port) {
    flags.push_back("--port=" + std::to_string(port));
    return flags;
  }

  const std::uint16_t port_ = free_port();
  ChildProcess process_;
};

}  // namespace

// Guards against a check that takes damaged, mixed-up or foreign content for whole.
TEST_CASE("the content pattern shows every damage") {
  CHECK(rc::check([](const std::string& key, std::uint16_t size, std::uint16_t at, char byte) {
    std::string content = make_content(key, size);
    RC_ASSERT(content.size() == size);
    RC_ASSERT(is_content_prefix(key, content));
    if (size < 16) return;
    RC_ASSERT(!is_content_prefix(key + "x", content));
    RC_ASSERT(!is_content_prefix(key, content.substr(1)));
    if (size >= 48) RC_ASSERT(!is_content_prefix(key, content.substr(0, 16) + content.substr(32)));
    char& target = content[at % size];
    if (target == byte) return;
    target = byte;
    RC_ASSERT(!is_content_prefix(key, content));
  }));
}

// Guards against a caller stand-in that counts a cut answer as whole, or a server stand-in that cuts nothing.
TEST_CASE("every way of cutting an answer is told from a whole one") {
  const Backend backend({"--service=documents", "--service_ms=0"});
  const std::string target = "/document?op=a&bytes=100000";
  const HttpAnswer whole = backend.get(target);
  CHECK(whole.exchange == Exchange::kWhole);
  CHECK(whole.body.size() == 100'000);
  CHECK(is_content_prefix("a", whole.body));
  for (const char* mode : {"length", "chunk", "reset"}) {
    CAPTURE(mode);
    CHECK(backend.get(target + "&truncate=" + mode).exchange == Exchange::kPartial);
  }
  CHECK(backend.get(target + "&truncate=head").exchange == Exchange::kNoAnswer);
  CHECK(backend.get(target + "&truncate=none").exchange == Exchange::kNoAnswer);
  CHECK(HttpCaller("127.0.0.1", free_port()).call({}).exchange == Exchange::kNotSent);
  CHECK(backend.get("/document?op=b&bytes=20000000").body.size() == 20'000'000);
}

// Guards against a server stand-in with more capacity than it claims, which would make overload tests vacuous.
TEST_CASE("slots bound what runs and a full server sheds") {
  const Backend backend({"--service=s", "--slots=2", "--service_ms=300", "--shed"});
  std::vector<int> statuses(6);
  {
    std::vector<std::jthread> threads;
    threads.reserve(statuses.size());
    for (std::size_t i = 0; i < statuses.size(); ++i) {
      threads.emplace_back([&, i] { statuses[i] = backend.get("/q?op=" + std::to_string(i)).status; });
    }
  }
  CHECK(std::count(statuses.begin(), statuses.end(), 200) == 2);
  CHECK(std::count(statuses.begin(), statuses.end(), 503) == 4);
  const auto stats = backend.json("/stats");
  CHECK(stats["max_running"] == 2);
  CHECK(stats["shed"] == 4);
  CHECK(backend.json("/journal")["keys"] == 2);
}

// Guards against a journal that misses an execution, on which the at-most-once checks rest.
TEST_CASE("the journal counts every execution of a key") {
  const Backend backend({"--service=s", "--service_ms=0"});
  for (int i = 0; i < 3; ++i) CHECK(backend.call({.method = "POST", .target = "/pay?op=7"}).status == 200);
  CHECK(backend.get("/pay?op=8").status == 200);
  const auto journal = backend.json("/journal");
  CHECK(journal["executions"]["POST /pay 7"] == 3);
  CHECK(journal["executions"]["GET /pay 8"] == 1);
  CHECK(backend.json("/journal?min=2")["executions"].size() == 1);
}

// Guards against slots that stay taken by requests nobody waits for.
TEST_CASE("deadlines and cancellation end a running request") {
  const Backend backend({"--service=s", "--slots=1", "--service_ms=10000"});
  CHECK(backend.call({.headers = {{"Damask-Deadline-Ms", "50"}}}).status == 504);
  CHECK(backend.call({.target = "/gone", .timeout = std::chrono::milliseconds(100)}).exchange == Exchange::kTimedOut);
  std::jthread canceller([&backend] {
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    (void)backend.call({.method = "POST", .target = "/cancel?id=r1"});
  });
  CHECK(backend.call({.headers = {{"Damask-Request-Id", "r1"}}, .timeout = std::chrono::seconds(5)}).status == 499);
  const auto stats = backend.json("/stats");
  CHECK(stats["expired"] == 1);
  CHECK(stats["cancelled"] == 2);
  CHECK(stats["running"] == 0);
}

// Guards against a server that locks up when a request with an id waits for a slot, whether it is cancelled or not.
TEST_CASE("requests that wait for a slot can be cancelled") {
  const Backend backend({"--service=s", "--slots=1", "--service_ms=600"});
  HttpAnswer first;
  HttpAnswer waiting;
  HttpAnswer cancelled;
  {
    const std::jthread running([&] { first = backend.call({.headers = {{"Damask-Request-Id", "r0"}}}); });
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    const std::jthread second([&] { waiting = backend.call({.headers = {{"Damask-Request-Id", "r1"}}}); });
    const std::jthread third([&] { cancelled = backend.call({.headers = {{"Damask-Request-Id", "r2"}}}); });
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    (void)backend.call({.method = "POST", .target = "/cancel?id=r2"});
  }
  CHECK(first.status == 200);
  CHECK(waiting.status == 200);
  CHECK(cancelled.status != 200);
  CHECK(backend.json("/stats")["cancelled"] == 1);
}

// Guards against a chain whose context is lost at the server, or a parent that takes somebody else's answer for its
// own.
TEST_CASE("onward calls copy the context headers") {
  const Backend child({"--service=child", "--service_ms=5"});
  const Backend parent({"--service=parent", "--service_ms=0", "--calls=child:/price,child:POST:/hold",
                        "--daemon=127.0.0.1:" + std::to_string(child.port())});
  CHECK(parent.call({.target = "/book?op=k1", .headers = {{"Damask-Depth", "2"}}}).status == 200);
  const auto journal = child.json("/journal");
  CHECK(journal["executions"]["GET /price k1"] == 1);
  CHECK(journal["executions"]["POST /hold k1"] == 1);
  CHECK(child.json("/stats")["deep_work_ms"].get<double>() > 0);
  child.control(R"({"refuse": true})");
  CHECK(parent.get("/book?op=k2").status == 502);
}

// Guards against faults on demand that do not happen.
TEST_CASE("control, lies, draining and crashes") {
  Backend backend({"--service=s", "--service_ms=1", "--allow_crash"});
  backend.control(R"({"health": "down", "load": "busy"})");
  CHECK(backend.get("/health").status == 503);
  CHECK(backend.json("/load")["running"] == 10);
  backend.control(R"({"health": "up", "load": "idle", "hang": true})");
  CHECK(backend.call({.target = "/x", .timeout = std::chrono::milliseconds(200)}).exchange == Exchange::kTimedOut);
  backend.control(R"({"hang": false})");
  CHECK(backend.call({.method = "POST", .target = "/control", .body = "{\"x\""}).status == 400);
  CHECK(backend.call({.method = "POST", .target = "/drain"}).status == 200);
  CHECK(backend.get("/x").status == 503);
  CHECK(backend.get("/health").status == 200);  // Still told to lie.
  backend.control(R"({"drain": false})");
  CHECK(backend.get("/crash").exchange == Exchange::kNoAnswer);
  CHECK(backend.process().wait(std::chrono::seconds(5)) == 134);
}

// Guards against a stand-in that has to be killed at the end of a test.
TEST_CASE("a server without the crash flag survives and ends on SIGTERM") {
  Backend backend({"--service=s", "--service_ms=0"});
  CHECK(backend.get("/crash").status == 200);
  backend.process().signal(SIGTERM);
  CHECK(backend.process().wait(std::chrono::seconds(5)) == 0);
}

}  // namespace damaskthread::support
