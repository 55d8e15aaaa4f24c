#include "damaskthread/mesh/http_listener.h"

#include <doctest/doctest.h>
#include <sys/socket.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
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

constexpr auto kPatience = std::chrono::seconds(10);

struct Bench {
  Bench() : listener(io, {"127.0.0.1", 0}, 100, [this](const auto& request) { handle(request); }), socket(io) {
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), listener.port()});
    socket.non_blocking(true);
  }

  void handle(const std::shared_ptr<CallerRequest>& request) {
    requests.push_back(request);
    request->on_gone([this] { ++gone; });
    if (answer_at_once) request->answer({200, {}, request->request.body});
  }

  void send(std::string_view bytes) { boost::asio::write(socket, boost::asio::buffer(bytes)); }

  template <typename Condition>
  bool wait(Condition condition) {
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (!condition() && std::chrono::steady_clock::now() < end) {
      io.run_for(milliseconds(2));
      io.restart();
      boost::system::error_code error;
      std::array<char, 4096> buffer{};
      const std::size_t size = socket.read_some(boost::asio::buffer(buffer), error);
      received.append(buffer.data(), size);
      if (error == boost::asio::error::eof) ended = true;
    }
    return condition();
  }

  boost::asio::io_context io;
  std::vector<std::shared_ptr<CallerRequest>> requests;
  bool answer_at_once = true;
  int gone = 0;
  HttpListener listener;
  Tcp::socket socket;
  std::string received;
  bool ended = false;
};

}  // namespace

TEST_CASE("bodies arrive whole, with a length or in chunks, in any pieces") {
  Bench bench;
  for (const std::string_view piece : {"POST /a HTTP/1.1\r\nHost: x\r\nContent-Le", "ngth: 5\r\n\r\nhel", "lo"}) {
    bench.send(piece);
    bench.wait([&] { return true; });
  }
  REQUIRE(bench.wait([&] { return bench.requests.size() == 1; }));
  CHECK(bench.requests.front()->request.body == "hello");
  bench.send("POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  REQUIRE(bench.wait([&] { return bench.requests.size() == 2; }));
  CHECK(bench.requests.back()->request.body == "abcde");
}

TEST_CASE("requests sent without waiting are answered one after the other") {
  Bench bench;
  bench.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\nGET /3 HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(bench.wait([&] { return bench.requests.size() == 3; }));
  CHECK(bench.requests[0]->request.target == "/1");
  CHECK(bench.requests[2]->request.target == "/3");
}

TEST_CASE("a request with two lengths or beyond the bounds is refused and its connection closed") {
  const std::string huge(20'000, 'x');
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", " 400 "},
      {"GET / HTTP/1.1\r\nHost: x\r\nA: " + huge + "\r\n\r\n", " 431 "},
      {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n", " 413 "},
      {"nonsense\r\n\r\n", " 400 "}};
  for (const auto& [bytes, status] : cases) {
    Bench bench;
    bench.send(bytes);
    REQUIRE(bench.wait([&] { return bench.ended; }));
    CHECK_MESSAGE(bench.received.find(status) != std::string::npos, bench.received);
    CHECK(bench.requests.empty());
  }
}

TEST_CASE("a caller that leaves is noticed while its request is under way") {
  Bench bench;
  bench.answer_at_once = false;
  bench.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(bench.wait([&] { return bench.requests.size() == 1; }));
  bench.socket.close();
  bench.io.restart();
  const auto end = std::chrono::steady_clock::now() + kPatience;
  while (bench.gone == 0 && std::chrono::steady_clock::now() < end) {
    bench.io.run_for(milliseconds(2));
    bench.io.restart();
  }
  CHECK(bench.gone == 1);
  bench.requests.front()->answer({200, {}, "too late"});
}

TEST_CASE("while draining each answer closes its connection, and idle connections are closed at the end") {
  Bench bench;
  bench.listener.drain();
  bench.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(bench.wait([&] { return bench.ended; }));
  CHECK(bench.received.find("200") != std::string::npos);
  CHECK(bench.received.find("Connection: close") != std::string::npos);
}

TEST_CASE("a request that has arrived when a stop closes idle connections is answered, not cut off") {
  Bench bench;
  bench.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(bench.wait([&] { return bench.requests.size() == 1; }));
  bench.received.clear();
  bench.listener.drain();
  // One request on the idle connection, one on a connection that was not accepted yet; the event loop has seen neither.
  Tcp::socket late(bench.io);
  late.connect({boost::asio::ip::make_address("127.0.0.1"), bench.listener.port()});
  boost::asio::write(late, boost::asio::buffer(std::string("GET /3 HTTP/1.1\r\nHost: x\r\n\r\n")));
  bench.send("GET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
  bench.listener.stop_accepting(now() + std::chrono::seconds{1});
  REQUIRE(bench.wait([&] { return bench.requests.size() == 3; }));
  REQUIRE(bench.wait([&] { return bench.ended; }));
  CHECK(bench.received.find(" 200 ") != std::string::npos);
  late.non_blocking(true);
  std::string answer;
  CHECK(bench.wait([&] {
    std::array<char, 4096> buffer{};
    boost::system::error_code error;
    answer.append(buffer.data(), late.read_some(boost::asio::buffer(buffer), error));
    return answer.find(" 200 ") != std::string::npos;
  }));
}

TEST_CASE("a stop waits for an answer that a slow caller has not read, and does not cut it off") {
  Bench bench;
  bench.answer_at_once = false;
  bench.listener.drain();
  bench.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  const auto end = std::chrono::steady_clock::now() + kPatience;
  while (bench.requests.empty() && std::chrono::steady_clock::now() < end) bench.io.run_one_for(milliseconds(2));
  REQUIRE(bench.requests.size() == 1);
  const std::string body(std::size_t{16} << 20U, 'x');
  bench.requests.front()->answer({200, {}, body});
  bench.listener.stop_accepting(now());
  CHECK(bench.listener.busy_sessions() == 1);
  REQUIRE(bench.wait([&] { return bench.ended; }));
  CHECK(bench.received.size() > body.size());
  CHECK(bench.listener.busy_sessions() == 0);
}

TEST_CASE("an idle connection is kept for the time that callers rely on") {
  Bench bench;
  route::CallerLimits bounds;
  bounds.idle_time = std::chrono::seconds{15};
  bench.listener.set_bounds(bounds);
  bench.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(bench.wait([&] { return bench.requests.size() == 1; }));
  bench.listener.sweep(now() + std::chrono::seconds{12});
  bench.wait([&] { return true; });
  CHECK(!bench.ended);
  bench.listener.sweep(now() + std::chrono::seconds{16});
  CHECK(bench.wait([&] { return bench.ended; }));
}

}  // namespace damaskthread::mesh
