#include "damaskthread/mesh/gate_host.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "damaskthread/mesh/clock.h"
#include "scripted_server.h"
#include "support/mesh_adapter.h"

namespace damaskthread::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::Incarnation kSender{42};
// Generous: a busy machine must not turn these tests red.
constexpr auto kPatience = seconds(10);

std::string answer(const http::Request& request, std::string_view body, std::string_view extra = "") {
  return "HTTP/1.1 200 OK\r\nAttempt: " + std::string(http::find(request.headers, "Attempt")) + "\r\nSeal: x\r\n" +
         std::string(extra) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

// A gate in front of a scripted server that has said that it is ready.
struct Bench {
  explicit Bench(double repeat_slack = 100)
      : server(io),
        log("test", {}),
        gate(io, adapter, settings(server, repeat_slack), log, tally,
             GateHost::Hooks{[] {}, [this](const quarantine::CrashReport& report) { crashes.push_back(report); },
                             [](const std::string&) { return std::string("/health"); },
                             [](const std::string&) { return 1; }}) {
    beat(1);
  }

  static MeshSettings settings(const ScriptedServer& server, double repeat_slack) {
    MeshSettings result;
    result.local_server = {server.endpoint().host, server.endpoint().port};
    result.promises.repeat_slack = repeat_slack;
    return result;
  }

  void beat(std::int64_t sequence, bool leaving = false, int capacity = 10) {
    gate::ServerHeartbeat announcement;
    announcement.id = "i-1";
    announcement.service = "s";
    announcement.capacity = capacity;
    announcement.sequence = sequence;
    announcement.started_at_ms = 1;
    announcement.leaving = leaving;
    gate.hear(announcement);
  }

  static peer::Execute request(std::uint64_t stream, bool idempotent = false) {
    peer::Execute execute;
    execute.stream = stream;
    execute.attempt_id = "attempt-" + std::to_string(stream);
    execute.service = "s";
    execute.kind = "route";
    execute.caller_service = "caller";
    execute.idempotent = idempotent;
    execute.time_left = seconds{5};
    execute.patience = seconds{5};
    execute.sent = now();
    execute.request.method = "POST";
    execute.request.target = "/pay/1";
    execute.request.body = "body";
    return execute;
  }

  GateHost::Reply reply() {
    return [this](const peer::Result& result) { results.push_back(result); };
  }

  // Runs the loop until the condition holds.
  template <typename Condition>
  bool wait(Condition condition) {
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (!condition() && std::chrono::steady_clock::now() < end) {
      io.run_for(milliseconds(2));
      io.restart();
      gate.tick(now());
    }
    return condition();
  }
  void settle() {
    io.run_for(milliseconds(50));
    io.restart();
  }
  peer::Result result_of(peer::Execute execute) {
    const std::size_t before = results.size();
    gate.execute(kSender, std::move(execute), reply());
    REQUIRE(wait([&] { return results.size() > before; }));
    return results.back();
  }

  boost::asio::io_context io;
  support::TestAdapter adapter;
  ScriptedServer server;
  EventLog log;
  quarantine::CrashTally tally;
  std::vector<peer::Result> results;
  std::vector<quarantine::CrashReport> crashes;
  GateHost gate;
};

}  // namespace

TEST_CASE("a request reaches the server once, with the headers that name caller, target and time") {
  Bench bench;
  bench.server.script = [](const http::Request& request, ScriptedServer::Connection& connection) {
    connection.write(answer(request, "done"));
  };
  const peer::Result result = bench.result_of(Bench::request(1));
  CHECK(result.answered);
  CHECK(result.response.body == "done");
  REQUIRE(bench.server.requests.size() == 1);
  const http::Headers& headers = bench.server.requests.front().headers;
  CHECK(http::find(headers, "Attempt") == "attempt-1");
  CHECK(http::find(headers, "Caller-Service") == "caller");
  CHECK(http::find(headers, "Target") == "i-1");
  CHECK(std::stoi(std::string(http::find(headers, "Time-Left"))) <= 5000);
}

TEST_CASE("a late second answer to an earlier request is skipped, and its connection not used again") {
  Bench bench;
  bench.server.script = [&](const http::Request& request, ScriptedServer::Connection& connection) {
    if (bench.server.requests.size() == 1) {
      connection.write(answer(request, "first"));
      return;
    }
    connection.write(answer(bench.server.requests.front(), "stale") + answer(request, "second"));
  };
  CHECK(bench.result_of(Bench::request(1)).response.body == "first");
  CHECK(bench.result_of(Bench::request(2)).response.body == "second");
  CHECK(bench.server.accepted == 1);
  CHECK(bench.result_of(Bench::request(3)).answered);
  CHECK(bench.server.accepted == 2);
}

TEST_CASE("a late copy of a failure that names no request is not given to the next request of the connection") {
  Bench bench;
  const std::string failure = "HTTP/1.1 500 No\r\nSeal: x\r\nContent-Length: 0\r\n\r\n";
  bench.server.script = [&](const http::Request& request, ScriptedServer::Connection& connection) {
    if (bench.server.requests.size() == 1) return connection.write(answer(request, "first"));
    if (bench.server.requests.size() == 2) return connection.write(failure + answer(request, "second"));
    connection.write(failure);
  };
  CHECK(bench.result_of(Bench::request(1)).answered);
  const peer::Result second = bench.result_of(Bench::request(2));
  CHECK((!second.answered || second.response.body == "second"));
  CHECK(second.verdict.execution != core::Execution::kNotRun);
  // On a new connection it can only be the answer to the request that was sent there.
  const peer::Result third = bench.result_of(Bench::request(3));
  CHECK(third.answered);
  CHECK(third.response.status == 500);
}

TEST_CASE("a server that writes without end costs a bounded memory, and the next request is served") {
  Bench bench;
  const std::string piece(std::size_t{1} << 20U, 'x');
  std::size_t written = 0;
  bench.server.script = [&](const http::Request& request, ScriptedServer::Connection& connection) {
    if (bench.server.requests.size() > 1) return connection.write(answer(request, "done"));
    connection.write("HTTP/1.1 200 OK\r\nAttempt: attempt-1\r\nSeal: x\r\n\r\n");
    for (int i = 0; i < 40; ++i, written += piece.size()) connection.write(piece);
  };
  const peer::Result result = bench.result_of(Bench::request(1));
  CHECK(!result.answered);
  CHECK(result.verdict.execution == core::Execution::kMayHaveRun);
  CHECK(written > kMaxAnswerBytes);
  CHECK(bench.result_of(Bench::request(2)).response.body == "done");
}

TEST_CASE("an answer that ends early, lacks its seal or is no answer is never passed on") {
  const std::vector<std::string> answers = {
      "HTTP/1.1 200 OK\r\nAttempt: attempt-1\r\nSeal: x\r\nContent-Length: 100\r\n\r\nshort",
      "HTTP/1.1 200 OK\r\nAttempt: attempt-1\r\nSeal: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
      "HTTP/1.1 200 OK\r\nAttempt: attempt-1\r\nContent-Length: 2\r\n\r\nok",
      "HTTP/1.1 200 OK\r\nAttempt: attempt-1\r\nSeal: x\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
      "HTTP/1.1 503 Busy\r\nAttempt: attempt-1\r\nSeal: x\r\nContent-Length: 0\r\n\r\n",
      "garbage\r\n\r\n",
      ""};
  for (const std::string& bytes : answers) {
    Bench bench;
    bench.server.script = [&](const http::Request&, ScriptedServer::Connection& connection) {
      connection.write(bytes);
      connection.finish();
    };
    const peer::Result result = bench.result_of(Bench::request(1));
    CHECK_MESSAGE(!result.answered, bytes);
    CHECK_MESSAGE(result.verdict.execution == core::Execution::kMayHaveRun, bytes);
    CHECK(bench.server.requests.size() == 1);
  }
}

TEST_CASE("an answer without a length is whole when its connection ends in order") {
  Bench bench;
  bench.server.script = [](const http::Request&, ScriptedServer::Connection& connection) {
    connection.write("HTTP/1.1 200 OK\r\nAttempt: attempt-1\r\nSeal: x\r\n\r\nwhole");
    connection.finish();
  };
  CHECK(bench.result_of(Bench::request(1)).response.body == "whole");
}

TEST_CASE("what the server says it did not run, did not run") {
  for (const std::string status : {"503 Full", "421 Misdirected", "429 Slow"}) {
    Bench bench;
    bench.server.script = [&](const http::Request&, ScriptedServer::Connection& connection) {
      connection.write("HTTP/1.1 " + status + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
    };
    const peer::Result result = bench.result_of(Bench::request(1));
    CHECK(result.verdict.execution == core::Execution::kNotRun);
    CHECK(result.reached_server);
  }
}

TEST_CASE("a request whose connection broke is found again by its sender, and runs once") {
  Bench bench;
  ScriptedServer::Connection* waiting = nullptr;
  bench.server.script = [&](const http::Request&, ScriptedServer::Connection& connection) { waiting = &connection; };
  bench.gate.execute(kSender, Bench::request(1), bench.reply());
  REQUIRE(bench.wait([&] { return waiting != nullptr; }));
  bench.gate.detach(kSender);
  bench.gate.resume({kSender, 1}, false, bench.reply());
  CHECK(bench.results.empty());
  waiting->write(answer(bench.server.requests.front(), "done"));
  REQUIRE(bench.wait([&] { return !bench.results.empty(); }));
  CHECK(bench.results.front().response.body == "done");
  // Asked once more, for an answer that was lost on its way.
  bench.gate.resume({kSender, 1}, false, bench.reply());
  REQUIRE(bench.results.size() == 2);
  CHECK(bench.results.back().response.body == "done");
  CHECK(bench.server.requests.size() == 1);
}

TEST_CASE("a request that was never seen is refused for good when its sender asks for it") {
  Bench bench;
  bench.gate.resume({kSender, 1}, false, bench.reply());
  REQUIRE(bench.results.size() == 1);
  CHECK(bench.results.front().verdict.execution == core::Execution::kNotRun);
  // It arrives after all, on the old connection.
  bench.gate.execute(kSender, Bench::request(1), bench.reply());
  bench.settle();
  CHECK(bench.results.size() == 1);
  CHECK(bench.server.requests.empty());
}

TEST_CASE("a server that leaves gets nothing new from the moment it says so; what runs is finished") {
  Bench bench;
  ScriptedServer::Connection* waiting = nullptr;
  bench.server.script = [&](const http::Request&, ScriptedServer::Connection& connection) { waiting = &connection; };
  bench.gate.execute(kSender, Bench::request(1), bench.reply());
  REQUIRE(bench.wait([&] { return waiting != nullptr; }));
  bench.beat(2, true);
  const peer::Result refused = bench.result_of(Bench::request(2));
  CHECK(refused.verdict == core::not_run(core::Cause::kLeaving));
  waiting->write(answer(bench.server.requests.front(), "done"));
  REQUIRE(bench.wait([&] { return bench.results.size() == 2; }));
  CHECK(bench.results.back().answered);
  CHECK(bench.server.requests.size() == 1);
}

TEST_CASE("requests beyond the slots wait at the gate, and those waiting move on when the server leaves") {
  Bench bench;
  bench.beat(2, false, 1);
  bench.server.script = [](const http::Request&, ScriptedServer::Connection&) {};
  bench.gate.execute(kSender, Bench::request(1), bench.reply());
  bench.gate.execute(kSender, Bench::request(2), bench.reply());
  REQUIRE(bench.wait([&] { return !bench.server.requests.empty(); }));
  bench.settle();
  CHECK(bench.server.requests.size() == 1);
  CHECK(bench.gate.load(now()).queued == 1);
  bench.beat(3, true, 1);
  REQUIRE(bench.results.size() == 1);
  CHECK(bench.results.front().stream == 2);
  CHECK(bench.results.front().verdict == core::not_run(core::Cause::kLeaving));
}

TEST_CASE("after a pause nothing starts before the news that came meanwhile were read") {
  Bench bench;
  bench.server.script = [](const http::Request& request, ScriptedServer::Connection& connection) {
    connection.write(answer(request, "done"));
  };
  bench.gate.tick(now());
  // The process stands still; a request and the server's leave arrive, and the request is read first.
  std::this_thread::sleep_for(milliseconds(450));
  bench.gate.execute(kSender, Bench::request(1), bench.reply());
  bench.beat(2, true);
  REQUIRE(bench.wait([&] { return !bench.results.empty(); }));
  CHECK(bench.results.front().verdict == core::not_run(core::Cause::kLeaving));
  CHECK(bench.server.requests.empty());
}

TEST_CASE("a request whose time ran out on its way is refused, and does not run") {
  Bench bench;
  bench.server.script = [](const http::Request& request, ScriptedServer::Connection& connection) {
    connection.write(answer(request, "done"));
  };
  CHECK(bench.result_of(Bench::request(1)).answered);
  // It was held up for longer than its caller waits; the sender's clock is known from the first request.
  peer::Execute late = Bench::request(2);
  late.time_left = milliseconds{300};
  late.sent = now() - milliseconds{400};
  CHECK(bench.result_of(std::move(late)).verdict == core::not_run(core::Cause::kDeadline));
  CHECK(bench.server.requests.size() == 1);
}

TEST_CASE("a cancelled request is taken from the server within half a second") {
  Bench bench;
  bench.server.script = [](const http::Request&, ScriptedServer::Connection&) {};
  bench.gate.execute(kSender, Bench::request(1, true), bench.reply());
  REQUIRE(bench.wait([&] { return !bench.server.requests.empty(); }));
  bench.gate.cancel({kSender, 1});
  REQUIRE(bench.wait([&] { return bench.server.closed == 1; }));
  CHECK(bench.results.empty());
  CHECK(bench.gate.active() == 0);
}

TEST_CASE("an idempotent request on a connection that the server had closed is sent again, another one is not") {
  for (const bool idempotent : {true, false}) {
    // Requests before, of which the budget of repeats is a share.
    constexpr std::size_t kBefore = 20;
    Bench bench;
    bench.server.script = [&](const http::Request& request, ScriptedServer::Connection& connection) {
      if (bench.server.requests.size() == kBefore + 1) {
        connection.reset();
        return;
      }
      connection.write(answer(request, "done"));
    };
    for (std::size_t i = 0; i < kBefore; ++i) CHECK(bench.result_of(Bench::request(100 + i, true)).answered);
    const peer::Result result = bench.result_of(Bench::request(2, idempotent));
    CHECK(result.answered == idempotent);
    CHECK(bench.server.requests.size() == kBefore + (idempotent ? 2U : 1U));
    if (!idempotent) CHECK(result.verdict.execution == core::Execution::kMayHaveRun);
  }
}

TEST_CASE("requests that ran when the server crashed are reported once") {
  Bench bench;
  bench.server.script = [&](const http::Request&, ScriptedServer::Connection& connection) {
    bench.server.stop();
    connection.reset();
  };
  CHECK(bench.result_of(Bench::request(1)).verdict.execution == core::Execution::kMayHaveRun);
  CHECK(bench.result_of(Bench::request(2)).verdict.execution == core::Execution::kNotRun);
  REQUIRE(bench.crashes.size() == 1);
  CHECK(bench.crashes.front().running.size() == 1);
  CHECK(bench.gate.server_state(now()) == gate::ServerState::kUnknown);
}

TEST_CASE("a request held by three crashes is refused") {
  Bench bench;
  bench.server.script = [](const http::Request& request, ScriptedServer::Connection& connection) {
    connection.write(answer(request, "done"));
  };
  // The fingerprint of a request is not public; a crash report carries it.
  bench.server.script = [&](const http::Request&, ScriptedServer::Connection& connection) { connection.reset(); };
  (void)bench.result_of(Bench::request(1));
  gate::ServerHeartbeat next_life;
  next_life.id = "i-2";
  next_life.service = "s";
  next_life.capacity = 10;
  next_life.sequence = 1;
  next_life.started_at_ms = 2;
  bench.gate.hear(next_life);
  REQUIRE(bench.crashes.size() == 1);
  const std::uint64_t poison = bench.crashes.front().running.front();
  (void)bench.tally.add({1001, {poison}}, now());
  (void)bench.tally.add({1002, {poison}}, now());
  CHECK(bench.result_of(Bench::request(2)).verdict == core::not_run(core::Cause::kQuarantined));
}

TEST_CASE("a failure says whether a call of the run was turned away for lack of capacity") {
  for (const bool refused : {true, false}) {
    Bench bench;
    bench.server.script = [&](const http::Request& request, ScriptedServer::Connection& connection) {
      if (refused) bench.gate.note_refused_call(http::find(request.headers, "Attempt"));
      std::string failure = answer(request, "failed");
      connection.write(failure.replace(failure.find("200 OK"), 6, "500 No"));
    };
    const peer::Result result = bench.result_of(Bench::request(1, true));
    CHECK(result.answered);
    CHECK(result.response.status == 500);
    CHECK(result.call_refused == refused);
  }
}

TEST_CASE("a request that is sent again since its connection broke draws on the budget of repeats") {
  Bench bench(0);
  int arrivals = 0;
  bool lose = false;
  bench.server.script = [&](const http::Request& request, ScriptedServer::Connection& connection) {
    ++arrivals;
    if (!lose) return connection.write(answer(request, "ok"));
    // The answer is lost after the run, which is nothing that a server does with a connection closed while idle.
    auto timer = std::make_shared<boost::asio::steady_timer>(bench.io, milliseconds(30));
    timer->async_wait([timer, lost = connection.shared_from_this()](const auto&) { lost->reset(); });
  };
  constexpr int kRounds = 10;
  for (std::uint64_t round = 0; round < kRounds; ++round) {
    lose = false;
    CHECK(bench.result_of(Bench::request(2 * round, true)).answered);
    // Sent on the connection that the answer left open.
    lose = true;
    CHECK(!bench.result_of(Bench::request(2 * round + 1, true)).answered);
  }
  constexpr int kFirsts = 2 * kRounds;
  CHECK(arrivals - kFirsts <= kFirsts / 5);
}

}  // namespace damaskthread::mesh
