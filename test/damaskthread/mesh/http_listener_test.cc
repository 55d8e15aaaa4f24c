#include "damaskthread/mesh/http_listener.h"

#include <doctest/doctest.h>
#include <sys/socket.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "damaskthread/mesh/clock.h"

namespace damaskthread::mesh {
namespace {

using std::chrono::milliseconds;
using Tcp = boost::asio::ip::tcp;

constexpr auto kTestTimeout = std::chrono::seconds(10);

struct HttpListenerFixture {
  HttpListenerFixture()
      : listener(io, {"127.0.0.1", 0}, 100, [this](const auto& request) { handle(request); }), socket(io) {
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), listener.port()});
    socket.non_blocking(true);
  }

  void handle(const std::shared_ptr<CallerRequest>& request) {
    requests.push_back(request);
    request->on_disconnect([this] { ++disconnects; });
    if (answer_immediately) request->answer({200, {}, request->request.body});
  }

  void send(std::string_view bytes) { boost::asio::write(socket, boost::asio::buffer(bytes)); }

  template <typename Condition>
  bool wait(Condition condition) {
    const auto end = std::chrono::steady_clock::now() + kTestTimeout;
    while (!condition() && std::chrono::steady_clock::now() < end) {
      io.run_for(milliseconds(2));
      io.restart();
      boost::system::error_code error;
      std::array<char, 65536> buffer{};
      const std::size_t size = socket.read_some(boost::asio::buffer(buffer), error);
      received.append(buffer.data(), size);
      if (error == boost::asio::error::eof) closed = true;
    }
    return condition();
  }

  boost::asio::io_context io;
  std::vector<std::shared_ptr<CallerRequest>> requests;
  bool answer_immediately = true;
  int disconnects = 0;
  HttpListener listener;
  Tcp::socket socket;
  std::string received;
  bool closed = false;
};

}  // namespace

TEST_CASE("bodies are received completely, with a length or chunked, however they are split") {
  HttpListenerFixture fixture;
  for (const std::string_view fragment : {"POST /a HTTP/1.1\r\nHost: x\r\nContent-Le", "ngth: 5\r\n\r\nhel", "lo"}) {
    fixture.send(fragment);
    fixture.wait([&] { return true; });
  }
  REQUIRE(fixture.wait([&] { return fixture.requests.size() == 1; }));
  CHECK(fixture.requests.front()->request.body == "hello");
  fixture.send("POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  REQUIRE(fixture.wait([&] { return fixture.requests.size() == 2; }));
  CHECK(fixture.requests.back()->request.body == "abcde");
}

TEST_CASE("pipelined requests are answered in order") {
  HttpListenerFixture fixture;
  fixture.send(
      "GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\nGET /3 HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(fixture.wait([&] { return fixture.requests.size() == 3; }));
  CHECK(fixture.requests[0]->request.target == "/1");
  CHECK(fixture.requests[2]->request.target == "/3");
}

// Two callers' requests that were sent ahead got each other's responses: bytes that arrived between a response and the
// deferred parsing of earlier bytes were parsed first.
TEST_CASE("requests sent ahead are processed in order when more bytes arrive together with a response") {
  HttpListenerFixture fixture;
  fixture.answer_immediately = false;
  fixture.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(fixture.wait([&] { return fixture.requests.size() == 1; }));
  fixture.send("POST /2 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
  fixture.io.run_for(milliseconds(20));
  fixture.io.restart();
  fixture.send("POST /3 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
  // Runs after the reactor has found the third request readable and before that request is read.
  boost::asio::post(fixture.io, [&] { fixture.requests.front()->answer({200, {}, {}}); });
  REQUIRE(fixture.wait([&] { return fixture.requests.size() == 2; }));
  CHECK(fixture.requests[1]->request.target == "/2");
  fixture.requests[1]->answer({200, {}, {}});
  REQUIRE(fixture.wait([&] { return fixture.requests.size() == 3; }));
  CHECK(fixture.requests[2]->request.target == "/3");
}

// Requests behind a slow one waited for it although nothing kept them from running.
TEST_CASE("pipelined requests that the rule allows run concurrently and are answered in request order") {
  HttpListenerFixture fixture;
  fixture.answer_immediately = false;
  fixture.listener.set_pipelining_rule([](const http::Request& request) { return request.method == "GET"; });
  std::string requests;
  for (int i = 0; i < 20; ++i) requests += "GET /" + std::to_string(i) + " HTTP/1.1\r\nHost: x\r\n\r\n";
  fixture.send(requests);
  REQUIRE(fixture.wait([&] { return fixture.requests.size() == 16; }));
  for (std::size_t i = 16; i-- > 1;) fixture.requests[i]->answer({200, {}, "body" + std::to_string(i) + "."});
  CHECK(fixture.received.empty());
  fixture.requests[0]->answer({200, {}, "body0."});
  REQUIRE(fixture.wait([&] { return fixture.received.find("body15.") != std::string::npos; }));
  for (int i = 1; i < 16; ++i) {
    CHECK(fixture.received.find("body" + std::to_string(i - 1)) < fixture.received.find("body" + std::to_string(i)));
  }
  REQUIRE(fixture.wait([&] { return fixture.requests.size() == 20; }));
}

// A pipelined request that may run once must not run if the response in front of it closes the connection, since its
// caller then sends it again.
TEST_CASE("a pipelined request that the rule does not allow waits until it is first") {
  HttpListenerFixture fixture;
  fixture.answer_immediately = false;
  fixture.listener.set_pipelining_rule([](const http::Request& request) { return request.method == "GET"; });
  fixture.send(
      "GET /1 HTTP/1.1\r\nHost: x\r\n\r\nPOST /2 HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx"
      "GET /3 HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(fixture.wait([&] { return fixture.requests.size() == 1; }));
  fixture.io.run_for(milliseconds(20));
  fixture.io.restart();
  CHECK(fixture.requests.size() == 1);
  fixture.listener.drain();
  fixture.requests[0]->answer({200, {}, {}});
  REQUIRE(fixture.wait([&] { return fixture.closed; }));
  CHECK(fixture.requests.size() == 1);
}

TEST_CASE("invalid input behind a pipelined request is rejected after the response to that request") {
  HttpListenerFixture fixture;
  fixture.answer_immediately = false;
  fixture.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\nnonsense\r\n\r\n");
  REQUIRE(fixture.wait([&] { return fixture.requests.size() == 1; }));
  fixture.requests[0]->answer({200, {}, {}});
  REQUIRE(fixture.wait([&] { return fixture.closed; }));
  CHECK(fixture.received.find(" 200 ") < fixture.received.find(" 400 "));
  CHECK(fixture.received.find(" 400 ") != std::string::npos);
}

// A stop must not cut off a request that was passed on, also if it stands behind another one.
TEST_CASE("while draining the response to the last request in progress closes the connection") {
  HttpListenerFixture fixture;
  fixture.answer_immediately = false;
  fixture.listener.set_pipelining_rule([](const http::Request&) { return true; });
  fixture.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(fixture.wait([&] { return fixture.requests.size() == 2; }));
  fixture.listener.drain();
  fixture.requests[0]->answer({200, {}, "first"});
  fixture.requests[1]->answer({200, {}, "second"});
  REQUIRE(fixture.wait([&] { return fixture.closed; }));
  CHECK(fixture.received.find("first") < fixture.received.find("second"));
  CHECK(fixture.received.find("second") != std::string::npos);
}

// The request ran although the response in front of it had closed the connection, and its caller sent it again.
TEST_CASE("a waiting request is not dispatched after a response that closes the connection") {
  HttpListenerFixture fixture;
  CallerMemory memory(100'000);
  fixture.listener.limit_memory(&memory);
  fixture.answer_immediately = false;
  fixture.listener.set_pipelining_rule([](const http::Request& request) { return request.method == "GET"; });
  fixture.send(
      "GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n"
      "POST /3 HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nxGET /4");
  REQUIRE(fixture.wait([&] { return fixture.requests.size() == 2 && memory.reading() > 0; }));
  fixture.listener.drain();
  // The first response defers the dispatch of the waiting request; the second one closes the connection before that.
  fixture.requests[0]->answer({200, {}, {}});
  fixture.requests[1]->answer({200, {}, {}});
  REQUIRE(fixture.wait([&] { return fixture.closed; }));
  CHECK(fixture.requests.size() == 2);
  CHECK(memory.reading() == 0);
}

// The caller could not know whether the request behind the last response had run.
TEST_CASE("while draining a waiting request is refused when the response in front of it closes the connection") {
  HttpListenerFixture fixture;
  fixture.answer_immediately = false;
  fixture.send(
      "POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx"
      "POST /2 HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx");
  REQUIRE(fixture.wait([&] { return fixture.requests.size() == 1; }));
  fixture.listener.drain();
  fixture.requests[0]->answer({200, {}, {}});
  REQUIRE(fixture.wait([&] { return fixture.closed; }));
  CHECK(fixture.requests.size() == 1);
  CHECK(fixture.received.find(" 503 ") > fixture.received.find(" 200 "));
  CHECK(fixture.received.find(" 503 ") != std::string::npos);
  CHECK(fixture.received.find("Connection: close") > fixture.received.find(" 503 "));
}

// While reading is paused, only a failed write shows that the caller is gone. The session and the memory of its
// requests were kept for good.
TEST_CASE("a connection that is reset while reading is paused is removed with its waiting requests") {
  HttpListenerFixture fixture;
  CallerMemory memory(1'000'000);
  fixture.listener.limit_memory(&memory);
  fixture.answer_immediately = false;
  fixture.send(
      "GET /1 HTTP/1.1\r\nHost: x\r\n\r\nPOST /2 HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx"
      "POST /3 HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\n" +
      std::string(150'000, 'x'));
  REQUIRE(fixture.wait([&] { return fixture.requests.size() == 1 && memory.reading() > 65'536; }));
  fixture.socket.set_option(boost::asio::socket_base::linger(true, 0));
  fixture.socket.close();
  fixture.requests[0]->answer({200, {}, {}});
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(2);
  while (fixture.listener.busy_sessions() > 0 && std::chrono::steady_clock::now() < end) {
    fixture.io.run_for(milliseconds(2));
    fixture.io.restart();
  }
  CHECK(fixture.listener.busy_sessions() == 0);
  CHECK(memory.reading() == 0);
  CHECK(fixture.requests.size() == 1);
}

// The caller waited for the interim response and the daemon for the body, until the request timed out.
TEST_CASE("a pipelined request that expects 100-continue gets it once it is first") {
  HttpListenerFixture fixture;
  fixture.answer_immediately = false;
  fixture.send(
      "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n"
      "POST /2 HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\n");
  REQUIRE(fixture.wait([&] { return fixture.requests.size() == 1; }));
  CHECK(fixture.received.empty());
  fixture.requests[0]->answer({200, {}, {}});
  REQUIRE(fixture.wait([&] { return fixture.received.find(" 100 Continue") != std::string::npos; }));
  CHECK(fixture.received.find(" 200 ") < fixture.received.find(" 100 Continue"));
  fixture.send("hello");
  REQUIRE(fixture.wait([&] { return fixture.requests.size() == 2; }));
  CHECK(fixture.requests[1]->request.body == "hello");
}

// A header of many short fields takes many times its size once it is parsed. Only bodies and unparsed bytes counted,
// so that callers could exhaust the memory with headers behind which a body never ends.
TEST_CASE("the memory of parsed headers counts until the request has ended") {
  HttpListenerFixture fixture;
  CallerMemory memory(1'000'000);
  fixture.listener.limit_memory(&memory);
  constexpr std::size_t kFields = 2'000;
  // Each field is at least two strings in a list.
  constexpr std::size_t kMinBytes = kFields * sizeof(http::Header);
  std::string head = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n";
  for (std::size_t i = 0; i < kFields; ++i) head += "a:b\r\n";
  fixture.send(head + "\r\nx");
  REQUIRE(fixture.wait([&] { return memory.reading() > 0; }));
  CHECK(memory.reading() >= kMinBytes);
  std::vector<Tcp::socket> others;
  for (int i = 0; i < 20; ++i) {
    others.emplace_back(fixture.io);
    others.back().connect({boost::asio::ip::make_address("127.0.0.1"), fixture.listener.port()});
    boost::asio::write(others.back(), boost::asio::buffer(head + "\r\nx"));
    fixture.io.run_for(milliseconds(5));
    fixture.io.restart();
    CHECK(memory.reading() <= 1'000'000);
  }
  boost::asio::write(others.back(), boost::asio::buffer(std::string("y")));
  REQUIRE(fixture.wait([&] { return fixture.requests.size() == 1; }));
  CHECK(memory.headers() >= kMinBytes);
  fixture.requests.clear();
  CHECK(memory.headers() == 0);
  CHECK(memory.accepted() == 0);
}

// Trailers and chunk extensions have no limit of their own, and a daemon kept them until it ran out of memory.
TEST_CASE("trailers and chunk extensions beyond the header limit are rejected") {
  for (const std::string& framing : {"0\r\nX: " + std::string(20'000, 'x'), "1;" + std::string(20'000, 'x')}) {
    HttpListenerFixture fixture;
    fixture.send("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + framing);
    REQUIRE(fixture.wait([&] { return fixture.closed; }));
    CHECK(fixture.received.find(" 431 ") != std::string::npos);
    CHECK(fixture.requests.empty());
  }
}

// A caller that starts a large body and never ends it must not keep others out.
TEST_CASE("above the memory limit the largest incomplete request is rejected and small ones are served") {
  CallerMemory memory(100'000);
  HttpListenerFixture fixture;
  fixture.listener.limit_memory(&memory);
  Tcp::socket second(fixture.io);
  second.connect({boost::asio::ip::make_address("127.0.0.1"), fixture.listener.port()});
  const std::string head = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 90000\r\n\r\n";
  fixture.send(head + std::string(80'000, 'x'));
  REQUIRE(fixture.wait([&] { return memory.reading() >= 80'000; }));
  boost::asio::write(second, boost::asio::buffer(head + std::string(40'000, 'x')));
  REQUIRE(fixture.wait([&] { return fixture.closed; }));
  CHECK(fixture.received.find(" 503 ") != std::string::npos);
  CHECK(fixture.received.find("Retry-After: ") != std::string::npos);
  CHECK(fixture.requests.empty());
  CHECK(memory.reading() <= 100'000);
  boost::asio::write(second, boost::asio::buffer(std::string(50'000, 'x')));
  REQUIRE(fixture.wait([&] { return fixture.requests.size() == 1; }));
  CHECK(fixture.requests.front()->request.body.size() == 90'000);
  CHECK(memory.reading() == 0);
  CHECK(memory.accepted() == 90'000);
  fixture.requests.clear();
  CHECK(memory.accepted() == 0);
}

TEST_CASE("a new connection takes the place of the quietest one without a request in progress") {
  HttpListenerFixture fixture;
  std::vector<Tcp::socket> others;
  for (int i = 0; i < 100; ++i) {
    others.emplace_back(fixture.io);
    others.back().connect({boost::asio::ip::make_address("127.0.0.1"), fixture.listener.port()});
    fixture.io.run_for(milliseconds(1));
    fixture.io.restart();
  }
  CHECK(fixture.wait([&] { return fixture.closed; }));
}

// The quietest connection may still be receiving its response, which was cut off.
TEST_CASE("a new connection does not take the place of one whose response is not sent completely") {
  HttpListenerFixture fixture;
  fixture.answer_immediately = false;
  fixture.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(fixture.wait([&] { return fixture.requests.size() == 1; }));
  const std::string body(std::size_t{6} << 20U, 'x');
  fixture.requests.front()->answer({200, {}, body});
  std::vector<Tcp::socket> others;
  for (int i = 0; i < 100; ++i) {
    others.emplace_back(fixture.io);
    others.back().connect({boost::asio::ip::make_address("127.0.0.1"), fixture.listener.port()});
    fixture.io.run_for(milliseconds(1));
    fixture.io.restart();
  }
  CHECK(fixture.wait([&] { return fixture.received.size() > body.size() || fixture.closed; }));
  CHECK(fixture.received.size() > body.size());
}

TEST_CASE("a request with conflicting lengths or beyond the limits is rejected and its connection closed") {
  const std::string huge(20'000, 'x');
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", " 400 "},
      {"GET / HTTP/1.1\r\nHost: x\r\nA: " + huge + "\r\n\r\n", " 431 "},
      {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n", " 413 "},
      {"nonsense\r\n\r\n", " 400 "}};
  for (const auto& [bytes, status] : cases) {
    HttpListenerFixture fixture;
    fixture.send(bytes);
    REQUIRE(fixture.wait([&] { return fixture.closed; }));
    CHECK_MESSAGE(fixture.received.find(status) != std::string::npos, fixture.received);
    CHECK(fixture.requests.empty());
  }
}

TEST_CASE("a disconnect of the caller is reported while its request is in progress") {
  HttpListenerFixture fixture;
  fixture.answer_immediately = false;
  fixture.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(fixture.wait([&] { return fixture.requests.size() == 1; }));
  fixture.socket.close();
  fixture.io.restart();
  const auto end = std::chrono::steady_clock::now() + kTestTimeout;
  while (fixture.disconnects == 0 && std::chrono::steady_clock::now() < end) {
    fixture.io.run_for(milliseconds(2));
    fixture.io.restart();
  }
  CHECK(fixture.disconnects == 1);
  fixture.requests.front()->answer({200, {}, "too late"});
}

TEST_CASE("while draining each response closes its connection") {
  HttpListenerFixture fixture;
  fixture.listener.drain();
  fixture.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(fixture.wait([&] { return fixture.closed; }));
  CHECK(fixture.received.find("200") != std::string::npos);
  CHECK(fixture.received.find("Connection: close") != std::string::npos);
}

TEST_CASE("a request that has arrived before a stop closes idle connections is answered") {
  HttpListenerFixture fixture;
  fixture.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(fixture.wait([&] { return fixture.requests.size() == 1; }));
  fixture.received.clear();
  fixture.listener.drain();
  // One request on the idle connection and one on a connection not accepted yet; the event loop has handled neither.
  Tcp::socket late(fixture.io);
  late.connect({boost::asio::ip::make_address("127.0.0.1"), fixture.listener.port()});
  boost::asio::write(late, boost::asio::buffer(std::string("GET /3 HTTP/1.1\r\nHost: x\r\n\r\n")));
  fixture.send("GET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
  fixture.listener.stop_accepting(now() + std::chrono::seconds{1});
  REQUIRE(fixture.wait([&] { return fixture.requests.size() == 3; }));
  REQUIRE(fixture.wait([&] { return fixture.closed; }));
  CHECK(fixture.received.find(" 200 ") != std::string::npos);
  late.non_blocking(true);
  std::string late_response;
  CHECK(fixture.wait([&] {
    std::array<char, 4096> buffer{};
    boost::system::error_code error;
    late_response.append(buffer.data(), late.read_some(boost::asio::buffer(buffer), error));
    return late_response.find(" 200 ") != std::string::npos;
  }));
}

TEST_CASE("a stop waits until a slow caller has read its response completely") {
  HttpListenerFixture fixture;
  fixture.answer_immediately = false;
  fixture.listener.drain();
  fixture.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  const auto end = std::chrono::steady_clock::now() + kTestTimeout;
  while (fixture.requests.empty() && std::chrono::steady_clock::now() < end) fixture.io.run_one_for(milliseconds(2));
  REQUIRE(fixture.requests.size() == 1);
  const std::string body(std::size_t{16} << 20U, 'x');
  fixture.requests.front()->answer({200, {}, body});
  fixture.listener.stop_accepting(now());
  CHECK(fixture.listener.busy_sessions() == 1);
  REQUIRE(fixture.wait([&] { return fixture.closed; }));
  CHECK(fixture.received.size() > body.size());
  CHECK(fixture.listener.busy_sessions() == 0);
}

TEST_CASE("an idle connection is kept for the configured idle time") {
  HttpListenerFixture fixture;
  route::CallerLimits limits;
  limits.idle_time = std::chrono::seconds{15};
  fixture.listener.set_caller_limits(limits);
  fixture.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(fixture.wait([&] { return fixture.requests.size() == 1; }));
  fixture.listener.sweep(now() + std::chrono::seconds{12});
  fixture.wait([&] { return true; });
  CHECK(!fixture.closed);
  fixture.listener.sweep(now() + std::chrono::seconds{16});
  CHECK(fixture.wait([&] { return fixture.closed; }));
}

}  // namespace damaskthread::mesh
