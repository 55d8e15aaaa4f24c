#include "damaskthread/mesh/local_executor.h"

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
// Long enough that the tests pass on a busy machine.
constexpr auto kTestTimeout = seconds(10);

std::string answer(const http::Request& request, std::string_view body, std::string_view extra = "") {
  return "HTTP/1.1 200 OK\r\nAttempt: " + std::string(http::find(request.headers, "Attempt")) + "\r\nSeal: x\r\n" +
         std::string(extra) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

// An executor with a scripted server that has announced itself as ready.
struct ExecutorFixture {
  explicit ExecutorFixture(double repeat_slack = 100)
      : server(io),
        log("test", {}),
        executor(io, adapter, settings(server, repeat_slack), log, tally,
                 LocalExecutor::Hooks{
                     [] {}, [this](const quarantine::CrashReport& report) { crashes.push_back(report); },
                     [](const std::string&) { return std::string("/health"); }, [](const std::string&) { return 1; }}) {
    send_heartbeat(1);
  }

  static MeshSettings settings(const ScriptedServer& server, double repeat_slack) {
    MeshSettings result;
    result.service = "s";
    result.local_server = {server.endpoint().host, server.endpoint().port};
    result.promises.repeat_slack = repeat_slack;
    return result;
  }

  [[nodiscard]] gate::ServerHeartbeat heartbeat(std::int64_t sequence) const {
    gate::ServerHeartbeat announcement;
    announcement.id = "i-1";
    announcement.service = "s";
    announcement.address = settings::to_string({server.endpoint().host, server.endpoint().port});
    announcement.capacity = 10;
    announcement.sequence = sequence;
    announcement.started_at_ms = 1;
    return announcement;
  }

  void send_heartbeat(std::int64_t sequence, bool leaving = false, int capacity = 10) {
    gate::ServerHeartbeat announcement = heartbeat(sequence);
    announcement.capacity = capacity;
    announcement.leaving = leaving;
    REQUIRE(executor.on_heartbeat(announcement));
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
    execute.max_wait = seconds{5};
    execute.sent_at = now();
    execute.request.method = "POST";
    execute.request.target = "/pay/1";
    execute.body = std::make_shared<const std::string>("body");
    return execute;
  }

  LocalExecutor::Reply reply() {
    return [this](const peer::Result& result) { results.push_back(result); };
  }

  // Runs the event loop until the condition holds or the timeout expires.
  template <typename Condition>
  bool wait(Condition condition) {
    const auto end = std::chrono::steady_clock::now() + kTestTimeout;
    while (!condition() && std::chrono::steady_clock::now() < end) {
      io.run_for(milliseconds(2));
      io.restart();
      executor.tick(now());
    }
    return condition();
  }
  void run_briefly() {
    io.run_for(milliseconds(50));
    io.restart();
  }
  peer::Result execute_and_wait(peer::Execute execute) {
    const std::size_t before = results.size();
    executor.execute(kSender, std::move(execute), reply());
    REQUIRE(wait([&] { return results.size() > before; }));
    return results.back();
  }

  boost::asio::io_context io;
  support::TestAdapter adapter;
  ScriptedServer server;
  EventLog log;
  quarantine::CrashCounter tally;
  std::vector<peer::Result> results;
  std::vector<quarantine::CrashReport> crashes;
  LocalExecutor executor;
};

// The fingerprint of a request is private to the executor, so it is taken from the report of a crash.
std::uint64_t fingerprint_of(const peer::Execute& execute) {
  ExecutorFixture fixture;
  fixture.server.script = [&](const http::Request&, ScriptedServer::Connection& connection) { connection.reset(); };
  (void)fixture.execute_and_wait(execute);
  gate::ServerHeartbeat restarted_server = fixture.heartbeat(1);
  restarted_server.id = "i-2";
  restarted_server.started_at_ms = 2;
  REQUIRE(fixture.executor.on_heartbeat(restarted_server));
  REQUIRE(fixture.crashes.size() == 1);
  return fixture.crashes.front().running.front();
}

}  // namespace

TEST_CASE("a request reaches the server once, with headers for caller, target and remaining time") {
  ExecutorFixture fixture;
  fixture.server.script = [](const http::Request& request, ScriptedServer::Connection& connection) {
    connection.write(answer(request, "done"));
  };
  const peer::Result result = fixture.execute_and_wait(ExecutorFixture::request(1));
  CHECK(result.answered);
  CHECK(result.response.body == "done");
  REQUIRE(fixture.server.requests.size() == 1);
  const http::Headers& headers = fixture.server.requests.front().headers;
  CHECK(http::find(headers, "Attempt") == "attempt-1");
  CHECK(http::find(headers, "Caller-Service") == "caller");
  CHECK(http::find(headers, "Target") == "i-1");
  CHECK(std::stoi(std::string(http::find(headers, "Time-Left"))) <= 5000);
}

TEST_CASE("a second response to an earlier request is skipped and its connection is not reused") {
  ExecutorFixture fixture;
  fixture.server.script = [&](const http::Request& request, ScriptedServer::Connection& connection) {
    if (fixture.server.requests.size() == 1) {
      connection.write(answer(request, "first"));
      return;
    }
    connection.write(answer(fixture.server.requests.front(), "stale") + answer(request, "second"));
  };
  CHECK(fixture.execute_and_wait(ExecutorFixture::request(1)).response.body == "first");
  CHECK(fixture.execute_and_wait(ExecutorFixture::request(2)).response.body == "second");
  CHECK(fixture.server.accepted == 1);
  CHECK(fixture.execute_and_wait(ExecutorFixture::request(3)).answered);
  CHECK(fixture.server.accepted == 2);
}

TEST_CASE("a late copy of a failure without an attempt id is not matched to the next request on the connection") {
  ExecutorFixture fixture;
  const std::string failure = "HTTP/1.1 500 No\r\nSeal: x\r\nContent-Length: 0\r\n\r\n";
  fixture.server.script = [&](const http::Request& request, ScriptedServer::Connection& connection) {
    if (fixture.server.requests.size() == 1) return connection.write(answer(request, "first"));
    if (fixture.server.requests.size() == 2) return connection.write(failure + answer(request, "second"));
    connection.write(failure);
  };
  CHECK(fixture.execute_and_wait(ExecutorFixture::request(1)).answered);
  const peer::Result second = fixture.execute_and_wait(ExecutorFixture::request(2));
  CHECK((!second.answered || second.response.body == "second"));
  CHECK(second.verdict.execution != core::Execution::kNotRun);
  // On a new connection the failure can only belong to the one request sent on it.
  const peer::Result third = fixture.execute_and_wait(ExecutorFixture::request(3));
  CHECK(third.answered);
  CHECK(third.response.status == 500);
}

// A server that rejects an attempt and later sends the rejection once more. The attempt is sent to it again in the
// meantime; a copy taken for the response to the second send makes the request run at yet another server, or tells the
// caller that it has not run.
TEST_CASE("a late copy of a rejection is not taken for the response to a repeat of the same attempt") {
  for (const std::string echo : {"Attempt: attempt-1\r\n", ""}) {
    ExecutorFixture fixture;
    const std::string rejection = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\n" + echo + "Content-Length: 0\r\n\r\n";
    ScriptedServer::Connection* first = nullptr;
    fixture.server.script = [&](const http::Request& request, ScriptedServer::Connection& connection) {
      if (fixture.server.requests.size() == 1) {
        first = &connection;
        return connection.write(rejection);
      }
      first->write(rejection);
      connection.write(answer(request, "done"));
    };
    CHECK(fixture.execute_and_wait(ExecutorFixture::request(1)).verdict.execution == core::Execution::kNotRun);
    peer::Execute repeat = ExecutorFixture::request(2);
    repeat.attempt_id = "attempt-1";
    const peer::Result result = fixture.execute_and_wait(repeat);
    CHECK(result.answered);
    CHECK(result.response.body == "done");
    CHECK(fixture.server.requests.size() == 2);
  }
}

TEST_CASE("a late copy of a rejection of another attempt is not taken for the response to the next request") {
  for (const std::string echo : {"Attempt: attempt-1\r\n", ""}) {
    ExecutorFixture fixture;
    const std::string rejection = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\n" + echo + "Content-Length: 0\r\n\r\n";
    fixture.server.script = [&](const http::Request& request, ScriptedServer::Connection& connection) {
      connection.write(rejection);
      if (fixture.server.requests.size() > 1) connection.write(answer(request, "done"));
    };
    CHECK(fixture.execute_and_wait(ExecutorFixture::request(1)).verdict.execution == core::Execution::kNotRun);
    CHECK(fixture.execute_and_wait(ExecutorFixture::request(2)).response.body == "done");
    CHECK(fixture.server.accepted == 1);
  }
}

TEST_CASE("a connection that carried an attempt is kept for other attempts") {
  ExecutorFixture fixture;
  fixture.server.script = [&](const http::Request& request, ScriptedServer::Connection& connection) {
    if (fixture.server.requests.size() > 2) return connection.write(answer(request, "done"));
    connection.write("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nAttempt: attempt-1\r\nContent-Length: 0\r\n\r\n");
  };
  (void)fixture.execute_and_wait(ExecutorFixture::request(1));
  peer::Execute repeat = ExecutorFixture::request(2);
  repeat.attempt_id = "attempt-1";
  (void)fixture.execute_and_wait(repeat);
  CHECK(fixture.server.accepted == 2);
  CHECK(fixture.execute_and_wait(ExecutorFixture::request(3)).answered);
  CHECK(fixture.server.accepted == 2);
}

TEST_CASE("an endless response uses bounded memory and the next request is served") {
  ExecutorFixture fixture;
  const std::string piece(std::size_t{1} << 20U, 'x');
  std::size_t written = 0;
  fixture.server.script = [&](const http::Request& request, ScriptedServer::Connection& connection) {
    if (fixture.server.requests.size() > 1) return connection.write(answer(request, "done"));
    connection.write("HTTP/1.1 200 OK\r\nAttempt: attempt-1\r\nSeal: x\r\n\r\n");
    for (int i = 0; i < 40; ++i, written += piece.size()) connection.write(piece);
  };
  const peer::Result result = fixture.execute_and_wait(ExecutorFixture::request(1));
  CHECK(!result.answered);
  CHECK(result.verdict.execution == core::Execution::kMayHaveRun);
  CHECK(written > kMaxResponseBytes);
  CHECK(fixture.execute_and_wait(ExecutorFixture::request(2)).response.body == "done");
}

TEST_CASE("a truncated, unsealed or malformed response is never passed on") {
  const std::vector<std::string> answers = {
      "HTTP/1.1 200 OK\r\nAttempt: attempt-1\r\nSeal: x\r\nContent-Length: 100\r\n\r\nshort",
      "HTTP/1.1 200 OK\r\nAttempt: attempt-1\r\nSeal: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
      "HTTP/1.1 200 OK\r\nAttempt: attempt-1\r\nContent-Length: 2\r\n\r\nok",
      "HTTP/1.1 200 OK\r\nAttempt: attempt-1\r\nSeal: x\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
      "HTTP/1.1 503 Busy\r\nAttempt: attempt-1\r\nSeal: x\r\nContent-Length: 0\r\n\r\n",
      "garbage\r\n\r\n",
      ""};
  for (const std::string& bytes : answers) {
    ExecutorFixture fixture;
    fixture.server.script = [&](const http::Request&, ScriptedServer::Connection& connection) {
      connection.write(bytes);
      connection.finish();
    };
    const peer::Result result = fixture.execute_and_wait(ExecutorFixture::request(1));
    CHECK_MESSAGE(!result.answered, bytes);
    CHECK_MESSAGE(result.verdict.execution == core::Execution::kMayHaveRun, bytes);
    CHECK(fixture.server.requests.size() == 1);
  }
}

// A server in trouble sends numbers that are no status. Callers got those above 599 as responses, and those below 100
// were passed over like interim responses, so that a later response counted.
TEST_CASE("a response whose status is no HTTP status is never passed on") {
  for (const std::string status : {"000", "001", "099", "600", "999"}) {
    ExecutorFixture fixture;
    fixture.server.script = [&](const http::Request&, ScriptedServer::Connection& connection) {
      connection.write("HTTP/1.1 " + status + " X\r\nAttempt: attempt-1\r\nSeal: x\r\nContent-Length: 2\r\n\r\nno");
      connection.write("HTTP/1.1 200 OK\r\nAttempt: attempt-1\r\nSeal: x\r\nContent-Length: 2\r\n\r\nok");
    };
    const peer::Result result = fixture.execute_and_wait(ExecutorFixture::request(1));
    CHECK_MESSAGE(!result.answered, status);
    CHECK_MESSAGE(result.verdict.execution == core::Execution::kMayHaveRun, status);
  }
}

// The serializer of Beast throws for a TRACE with a body, which ended the daemon.
TEST_CASE("a TRACE request with a body is sent like any other") {
  ExecutorFixture fixture;
  fixture.server.script = [](const http::Request&, ScriptedServer::Connection& connection) {
    connection.write("HTTP/1.1 200 OK\r\nAttempt: attempt-1\r\nSeal: x\r\nContent-Length: 2\r\n\r\nok");
  };
  peer::Execute execute = ExecutorFixture::request(1);
  execute.request.method = "TRACE";
  CHECK(fixture.execute_and_wait(std::move(execute)).answered);
  REQUIRE(fixture.server.requests.size() == 1);
  CHECK(fixture.server.requests.front().body == "body");
}

// A server that stops in the middle of its head: what has arrived must not pass for a response without a body.
TEST_CASE("a response that ends within its head is never passed on") {
  const std::string framing = "HTTP/1.1 200 OK\r\nAttempt: attempt-1\r\nSeal: x\r\n";
  for (const std::string& head : {framing + "Content-Length: 2\r\n\r\n", framing + "Transfer-Encoding: chunked\r\n\r\n",
                                  "HTTP/1.1 100 Continue\r\n\r\n" + framing + "\r\n"}) {
    const bool until_close = head.ends_with("Seal: x\r\n\r\n");
    for (std::size_t size = 0; size < head.size() + (until_close ? 0 : 1); ++size) {
      ExecutorFixture fixture;
      fixture.server.script = [&](const http::Request&, ScriptedServer::Connection& connection) {
        connection.write(head.substr(0, size));
        connection.finish();
      };
      const peer::Result result = fixture.execute_and_wait(ExecutorFixture::request(1));
      CHECK_MESSAGE(!result.answered, head.substr(0, size));
      CHECK(result.verdict.execution == core::Execution::kMayHaveRun);
    }
  }
}

TEST_CASE("a response without a length is complete when its connection is closed cleanly") {
  ExecutorFixture fixture;
  fixture.server.script = [](const http::Request&, ScriptedServer::Connection& connection) {
    connection.write("HTTP/1.1 200 OK\r\nAttempt: attempt-1\r\nSeal: x\r\n\r\nwhole");
    connection.finish();
  };
  CHECK(fixture.execute_and_wait(ExecutorFixture::request(1)).response.body == "whole");
}

TEST_CASE("a request that the server reports as not executed counts as not run") {
  for (const std::string status : {"503 Full", "421 Misdirected", "429 Slow"}) {
    ExecutorFixture fixture;
    fixture.server.script = [&](const http::Request&, ScriptedServer::Connection& connection) {
      connection.write("HTTP/1.1 " + status + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
    };
    const peer::Result result = fixture.execute_and_wait(ExecutorFixture::request(1));
    CHECK(result.verdict.execution == core::Execution::kNotRun);
    CHECK(result.reached_server);
  }
}

TEST_CASE("a sender resumes a request after its connection broke, and the request runs once") {
  ExecutorFixture fixture;
  ScriptedServer::Connection* waiting = nullptr;
  fixture.server.script = [&](const http::Request&, ScriptedServer::Connection& connection) { waiting = &connection; };
  fixture.executor.execute(kSender, ExecutorFixture::request(1), fixture.reply());
  REQUIRE(fixture.wait([&] { return waiting != nullptr; }));
  fixture.executor.detach(kSender);
  fixture.executor.resume({kSender, 1}, false, fixture.reply());
  CHECK(fixture.results.empty());
  waiting->write(answer(fixture.server.requests.front(), "done"));
  REQUIRE(fixture.wait([&] { return !fixture.results.empty(); }));
  CHECK(fixture.results.front().response.body == "done");
  // Resumed again, as if the result had been lost in transit.
  fixture.executor.resume({kSender, 1}, false, fixture.reply());
  REQUIRE(fixture.results.size() == 2);
  CHECK(fixture.results.back().response.body == "done");
  CHECK(fixture.server.requests.size() == 1);
}

TEST_CASE("resuming a request that never arrived refuses it permanently") {
  ExecutorFixture fixture;
  fixture.executor.resume({kSender, 1}, false, fixture.reply());
  REQUIRE(fixture.results.size() == 1);
  CHECK(fixture.results.front().verdict.execution == core::Execution::kNotRun);
  // The request arrives afterwards on the old connection.
  fixture.executor.execute(kSender, ExecutorFixture::request(1), fixture.reply());
  fixture.run_briefly();
  CHECK(fixture.results.size() == 1);
  CHECK(fixture.server.requests.empty());
}

TEST_CASE("after a change of the local server's address requests wait for a heartbeat from there") {
  ExecutorFixture fixture;
  ScriptedServer other(fixture.io);
  other.script = [](const http::Request& request, ScriptedServer::Connection& connection) {
    connection.write(answer(request, "other"));
  };
  fixture.executor.set_local_server("s", {other.endpoint().host, other.endpoint().port});
  CHECK(fixture.execute_and_wait(ExecutorFixture::request(1)).verdict == core::not_run(core::Cause::kNoServer));
  CHECK(!fixture.executor.on_heartbeat(fixture.heartbeat(2)));
  gate::ServerHeartbeat moved = fixture.heartbeat(1);
  moved.id = "i-2";
  moved.address = settings::to_string({other.endpoint().host, other.endpoint().port});
  moved.started_at_ms = 2;
  CHECK(fixture.executor.on_heartbeat(moved));
  CHECK(fixture.execute_and_wait(ExecutorFixture::request(2)).response.body == "other");
}

// Two seconds after its departure was acknowledged, the server got a request again whose response it had lost
// (review/9).
TEST_CASE("a request whose reused connection broke is not resent to a server that is leaving") {
  for (const bool leaving : {true, false}) {
    ExecutorFixture fixture;
    ScriptedServer::Connection* open = nullptr;
    fixture.server.script = [&](const http::Request& request, ScriptedServer::Connection& connection) {
      if (http::find(request.headers, "Attempt") == "attempt-2" && open == nullptr) {
        open = &connection;
      } else {
        connection.write(answer(request, "done"));
      }
    };
    for (std::uint64_t i = 0; i < 20; ++i)
      CHECK(fixture.execute_and_wait(ExecutorFixture::request(100 + i, true)).answered);
    fixture.executor.execute(kSender, ExecutorFixture::request(2, true), fixture.reply());
    REQUIRE(fixture.wait([&] { return open != nullptr; }));
    fixture.send_heartbeat(2, leaving);
    const std::size_t before = fixture.results.size();
    open->reset();
    REQUIRE(fixture.wait([&] { return fixture.results.size() > before; }));
    CHECK(fixture.results.back().answered == !leaving);
    CHECK(fixture.server.requests.size() == (leaving ? 21U : 22U));
    if (leaving) CHECK(fixture.results.back().verdict.execution == core::Execution::kMayHaveRun);
  }
}

// The resent request named the server of another service that had taken over the address, so that it would have run
// there.
TEST_CASE("a request whose reused connection broke is not resent to a server that must not get it") {
  for (const bool quarantined : {true, false}) {
    ExecutorFixture fixture;
    ScriptedServer::Connection* open = nullptr;
    fixture.server.script = [&](const http::Request& request, ScriptedServer::Connection& connection) {
      if (http::find(request.headers, "Attempt") == "attempt-2") {
        open = &connection;
      } else {
        connection.write(answer(request, "done"));
      }
    };
    for (std::uint64_t i = 0; i < 20; ++i)
      CHECK(fixture.execute_and_wait(ExecutorFixture::request(100 + i, true)).answered);
    peer::Execute execute = ExecutorFixture::request(2, true);
    execute.request.target = "/other";
    const peer::Execute copy = execute;
    fixture.executor.execute(kSender, std::move(execute), fixture.reply());
    REQUIRE(fixture.wait([&] { return open != nullptr; }));
    if (quarantined) {
      for (std::uint64_t crash = 1; crash <= 3; ++crash) {
        (void)fixture.tally.add({crash, {fingerprint_of(copy)}}, now());
      }
    } else {
      fixture.executor.set_local_server("t", {fixture.server.endpoint().host, fixture.server.endpoint().port});
      gate::ServerHeartbeat other = fixture.heartbeat(1);
      other.id = "i-2";
      other.service = "t";
      other.started_at_ms = 2;
      REQUIRE(fixture.executor.on_heartbeat(other));
    }
    const std::size_t before = fixture.results.size();
    open->reset();
    REQUIRE(fixture.wait([&] { return fixture.results.size() > before; }));
    CHECK(!fixture.results.back().answered);
    CHECK(fixture.server.requests.size() == 21);
  }
}

TEST_CASE("a leaving server gets no new requests, and running ones are completed") {
  ExecutorFixture fixture;
  ScriptedServer::Connection* waiting = nullptr;
  fixture.server.script = [&](const http::Request&, ScriptedServer::Connection& connection) { waiting = &connection; };
  fixture.executor.execute(kSender, ExecutorFixture::request(1), fixture.reply());
  REQUIRE(fixture.wait([&] { return waiting != nullptr; }));
  fixture.send_heartbeat(2, true);
  const peer::Result refused = fixture.execute_and_wait(ExecutorFixture::request(2));
  CHECK(refused.verdict == core::not_run(core::Cause::kLeaving));
  waiting->write(answer(fixture.server.requests.front(), "done"));
  REQUIRE(fixture.wait([&] { return fixture.results.size() == 2; }));
  CHECK(fixture.results.back().answered);
  CHECK(fixture.server.requests.size() == 1);
}

TEST_CASE("requests beyond the capacity are queued, and queued requests are refused when the server leaves") {
  ExecutorFixture fixture;
  fixture.send_heartbeat(2, false, 1);
  fixture.server.script = [](const http::Request&, ScriptedServer::Connection&) {};
  fixture.executor.execute(kSender, ExecutorFixture::request(1), fixture.reply());
  fixture.executor.execute(kSender, ExecutorFixture::request(2), fixture.reply());
  REQUIRE(fixture.wait([&] { return !fixture.server.requests.empty(); }));
  fixture.run_briefly();
  CHECK(fixture.server.requests.size() == 1);
  CHECK(fixture.executor.load(now()).queued == 1);
  fixture.send_heartbeat(3, true, 1);
  REQUIRE(fixture.results.size() == 1);
  CHECK(fixture.results.front().stream == 2);
  CHECK(fixture.results.front().verdict == core::not_run(core::Cause::kLeaving));
}

TEST_CASE("after a suspension no request starts before the messages received meanwhile are read") {
  ExecutorFixture fixture;
  fixture.server.script = [](const http::Request& request, ScriptedServer::Connection& connection) {
    connection.write(answer(request, "done"));
  };
  fixture.executor.tick(now());
  // The process is suspended while a request and the server's departure arrive; the request is read first.
  std::this_thread::sleep_for(milliseconds(450));
  fixture.executor.execute(kSender, ExecutorFixture::request(1), fixture.reply());
  fixture.send_heartbeat(2, true);
  REQUIRE(fixture.wait([&] { return !fixture.results.empty(); }));
  CHECK(fixture.results.front().verdict == core::not_run(core::Cause::kLeaving));
  CHECK(fixture.server.requests.empty());
}

TEST_CASE("a request that expired in transit is refused and does not run") {
  ExecutorFixture fixture;
  fixture.server.script = [](const http::Request& request, ScriptedServer::Connection& connection) {
    connection.write(answer(request, "done"));
  };
  CHECK(fixture.execute_and_wait(ExecutorFixture::request(1)).answered);
  // The request was in transit for longer than its time left; the clock offset is known from the first request.
  peer::Execute late = ExecutorFixture::request(2);
  late.time_left = milliseconds{300};
  late.sent_at = now() - milliseconds{400};
  CHECK(fixture.execute_and_wait(std::move(late)).verdict == core::not_run(core::Cause::kDeadline));
  CHECK(fixture.server.requests.size() == 1);
}

TEST_CASE("cancelling a request closes its connection to the server within half a second") {
  ExecutorFixture fixture;
  fixture.server.script = [](const http::Request&, ScriptedServer::Connection&) {};
  fixture.executor.execute(kSender, ExecutorFixture::request(1, true), fixture.reply());
  REQUIRE(fixture.wait([&] { return !fixture.server.requests.empty(); }));
  fixture.executor.cancel({kSender, 1});
  REQUIRE(fixture.wait([&] { return fixture.server.closed == 1; }));
  CHECK(fixture.results.empty());
  CHECK(fixture.executor.active() == 0);
}

// A server that goes on working after its caller has left still makes calls, which were refused.
TEST_CASE("the calls of a request whose sender has left or whose response was lost are known until its deadline") {
  for (const bool lost : {false, true}) {
    ExecutorFixture fixture;
    fixture.server.script = [&](const http::Request&, ScriptedServer::Connection& connection) {
      if (lost) connection.reset();
    };
    peer::Execute execute = ExecutorFixture::request(1);
    execute.time_left = milliseconds{400};
    execute.priority = 3;
    fixture.executor.execute(kSender, std::move(execute), fixture.reply());
    REQUIRE(fixture.wait([&] { return !fixture.server.requests.empty(); }));
    if (!lost) fixture.executor.cancel({kSender, 1});
    REQUIRE(fixture.wait([&] { return fixture.executor.active() == 0; }));
    REQUIRE(fixture.executor.find_parent("attempt-1"));
    CHECK(fixture.executor.find_parent("attempt-1")->priority == 3);
    CHECK(!fixture.executor.find_parent("attempt-2"));
    CHECK(fixture.wait([&] { return !fixture.executor.find_parent("attempt-1"); }));
  }
}

TEST_CASE("the calls of a request that was answered or did not run are unknown") {
  ExecutorFixture fixture;
  fixture.server.script = [](const http::Request& request, ScriptedServer::Connection& connection) {
    const bool first = http::find(request.headers, "Attempt") == "attempt-1";
    connection.write(first ? answer(request, "done") : "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
  };
  (void)fixture.execute_and_wait(ExecutorFixture::request(1));
  (void)fixture.execute_and_wait(ExecutorFixture::request(2));
  CHECK(!fixture.executor.find_parent("attempt-1"));
  CHECK(!fixture.executor.find_parent("attempt-2"));
}

TEST_CASE("only an idempotent request is resent after the server closed a reused connection") {
  for (const bool idempotent : {true, false}) {
    // Earlier requests; the repeat budget is a share of them.
    constexpr std::size_t kEarlierRequests = 20;
    ExecutorFixture fixture;
    fixture.server.script = [&](const http::Request& request, ScriptedServer::Connection& connection) {
      if (fixture.server.requests.size() == kEarlierRequests + 1) {
        connection.reset();
        return;
      }
      connection.write(answer(request, "done"));
    };
    for (std::size_t i = 0; i < kEarlierRequests; ++i)
      CHECK(fixture.execute_and_wait(ExecutorFixture::request(100 + i, true)).answered);
    const peer::Result result = fixture.execute_and_wait(ExecutorFixture::request(2, idempotent));
    CHECK(result.answered == idempotent);
    CHECK(fixture.server.requests.size() == kEarlierRequests + (idempotent ? 2U : 1U));
    if (!idempotent) CHECK(result.verdict.execution == core::Execution::kMayHaveRun);
  }
}

TEST_CASE("requests that were running when the server crashed are reported once") {
  ExecutorFixture fixture;
  fixture.server.script = [&](const http::Request&, ScriptedServer::Connection& connection) {
    fixture.server.stop();
    connection.reset();
  };
  CHECK(fixture.execute_and_wait(ExecutorFixture::request(1)).verdict.execution == core::Execution::kMayHaveRun);
  CHECK(fixture.execute_and_wait(ExecutorFixture::request(2)).verdict.execution == core::Execution::kNotRun);
  REQUIRE(fixture.crashes.size() == 1);
  CHECK(fixture.crashes.front().running.size() == 1);
  CHECK(fixture.executor.server_state(now()) == gate::ServerState::kUnknown);
}

TEST_CASE("a request quarantined after three crashes is refused") {
  ExecutorFixture fixture;
  fixture.server.script = [](const http::Request& request, ScriptedServer::Connection& connection) {
    connection.write(answer(request, "done"));
  };
  // The fingerprint of a request is private to the executor, so it is taken from a crash report.
  fixture.server.script = [&](const http::Request&, ScriptedServer::Connection& connection) { connection.reset(); };
  (void)fixture.execute_and_wait(ExecutorFixture::request(1));
  gate::ServerHeartbeat restarted_server = fixture.heartbeat(1);
  restarted_server.id = "i-2";
  restarted_server.started_at_ms = 2;
  REQUIRE(fixture.executor.on_heartbeat(restarted_server));
  REQUIRE(fixture.crashes.size() == 1);
  const std::uint64_t poison = fixture.crashes.front().running.front();
  (void)fixture.tally.add({1001, {poison}}, now());
  (void)fixture.tally.add({1002, {poison}}, now());
  CHECK(fixture.execute_and_wait(ExecutorFixture::request(2)).verdict == core::not_run(core::Cause::kQuarantined));
}

TEST_CASE("a failure result tells whether a nested call was refused for lack of capacity") {
  for (const bool refused : {true, false}) {
    ExecutorFixture fixture;
    fixture.server.script = [&](const http::Request& request, ScriptedServer::Connection& connection) {
      if (refused) fixture.executor.record_refused_call(http::find(request.headers, "Attempt"));
      std::string failure = answer(request, "failed");
      connection.write(failure.replace(failure.find("200 OK"), 6, "500 No"));
    };
    const peer::Result result = fixture.execute_and_wait(ExecutorFixture::request(1, true));
    CHECK(result.answered);
    CHECK(result.response.status == 500);
    CHECK(result.call_refused == refused);
  }
}

TEST_CASE("a nested call learns how many calls its tree has left") {
  constexpr int kCalls = 3;
  ExecutorFixture fixture;
  std::vector<int> calls_left;
  fixture.server.script = [&](const http::Request& request, ScriptedServer::Connection& connection) {
    const std::string attempt(http::find(request.headers, "Attempt"));
    for (int call = 0; call < kCalls; ++call) {
      calls_left.push_back(fixture.executor.find_parent(attempt)->calls_left);
      fixture.executor.record_served_call(attempt);
    }
    connection.write(answer(request, "done"));
  };
  (void)fixture.execute_and_wait(ExecutorFixture::request(1));
  CHECK(calls_left == std::vector<int>{1, 1, 1});  // Nothing is known about the kind yet.
  calls_left.clear();
  peer::Execute nested = ExecutorFixture::request(2);
  nested.calls_left = 5;  // Four calls of its ancestors follow.
  (void)fixture.execute_and_wait(std::move(nested));
  CHECK(calls_left == std::vector<int>{7, 6, 5});
}

// Without requests there is no newer value, so that a server whose VM was slow once would stay avoided.
TEST_CASE("a reported work time expires") {
  ExecutorFixture fixture;
  fixture.server.script = [](const http::Request& request, ScriptedServer::Connection& connection) {
    connection.write(answer(request, "", "Load: 1,0,10,250\r\n"));
  };
  CHECK(fixture.execute_and_wait(ExecutorFixture::request(1)).load.work_time == doctest::Approx(2.5));
  CHECK(fixture.executor.load(now() + seconds(30)).work_time == 1);
}

// After a step of the clock a server that runs for long has a start time in the future.
TEST_CASE("a server with a start time in the future does not ramp up") {
  ExecutorFixture fixture;
  fixture.server.script = [](const http::Request& request, ScriptedServer::Connection& connection) {
    connection.write(answer(request, "", "Load: 1,0,10,100\r\n"));
  };
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  gate::ServerHeartbeat heartbeat = fixture.heartbeat(1000);
  heartbeat.started_at_ms = std::chrono::duration_cast<milliseconds>(wall + std::chrono::hours(1)).count();
  REQUIRE(fixture.executor.on_heartbeat(heartbeat));
  CHECK(fixture.execute_and_wait(ExecutorFixture::request(1)).load.pace == 1);
}

TEST_CASE("a server that has just started ramps up") {
  ExecutorFixture fixture;
  fixture.server.script = [](const http::Request& request, ScriptedServer::Connection& connection) {
    connection.write(answer(request, "", "Load: 1,0,10,100\r\n"));
  };
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  gate::ServerHeartbeat heartbeat = fixture.heartbeat(1);
  heartbeat.started_at_ms = std::chrono::duration_cast<milliseconds>(wall).count();
  REQUIRE(fixture.executor.on_heartbeat(heartbeat));
  CHECK(fixture.execute_and_wait(ExecutorFixture::request(1)).load.pace < 1);
}

TEST_CASE("a rejection by the server with free slots leaves no demand") {
  ExecutorFixture fixture;
  bool reject = false;
  fixture.server.script = [&](const http::Request& request, ScriptedServer::Connection& connection) {
    std::string response = answer(request, "", reject ? "Not-Run: 1\r\n" : "");
    connection.write(reject ? response.replace(response.find("200 OK"), 6, "503 No") : response);
  };
  (void)fixture.execute_and_wait(ExecutorFixture::request(1));
  reject = true;
  const double demand = fixture.executor.load(now()).demand;
  const peer::Result result = fixture.execute_and_wait(ExecutorFixture::request(2));
  CHECK(result.verdict.execution == core::Execution::kNotRun);
  CHECK(result.reached_server);
  CHECK(fixture.executor.load(now()).demand <= demand);
}

TEST_CASE("resending a request after its connection broke is charged to the repeat budget") {
  ExecutorFixture fixture(0);
  int arrivals = 0;
  bool lose = false;
  fixture.server.script = [&](const http::Request& request, ScriptedServer::Connection& connection) {
    ++arrivals;
    if (!lose) return connection.write(answer(request, "ok"));
    // The response is lost after execution, unlike on a connection that the server closed while idle.
    auto timer = std::make_shared<boost::asio::steady_timer>(fixture.io, milliseconds(30));
    timer->async_wait([timer, lost = connection.shared_from_this()](const auto&) { lost->reset(); });
  };
  constexpr int kRounds = 10;
  for (std::uint64_t round = 0; round < kRounds; ++round) {
    lose = false;
    CHECK(fixture.execute_and_wait(ExecutorFixture::request(2 * round, true)).answered);
    // Sent on the connection kept open after the previous response.
    lose = true;
    CHECK(!fixture.execute_and_wait(ExecutorFixture::request(2 * round + 1, true)).answered);
  }
  constexpr int kFirstAttempts = 2 * kRounds;
  CHECK(arrivals - kFirstAttempts <= kFirstAttempts / 5);
}

}  // namespace damaskthread::mesh
