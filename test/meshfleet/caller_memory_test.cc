#include <doctest/doctest.h>
#include <fcntl.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "meshfleet/fleet.h"
#include "support/child_process.h"
#include "support/http_caller.h"

// Callers that nobody controls ended a daemon by the memory of their requests. Each test sends such requests to a real
// daemon with a low memory limit and checks what does not depend on the speed of the machine.
namespace damaskthread::meshfleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Tcp = boost::asio::ip::tcp;

constexpr seconds kTestTimeout{30};
// Sending ends if no caller could send for this long; a daemon may stop reading.
constexpr seconds kStallTimeout{1};

constexpr std::size_t kKilobyte = std::size_t{1} << 10U;
constexpr std::size_t kMegabyte = std::size_t{1} << 20U;
constexpr std::size_t kCallers = 40;
// One in this many callers completes its request; the others stop just short of the end and stay open.
constexpr std::size_t kCompletingInterval = 5;
constexpr FleetLimits kCrowdLimits{64, 1024, 8 * kMegabyte, seconds{20}};

// Connections that each send one request, a piece at a time in turn.
class Crowd {
 public:
  explicit Crowd(std::uint16_t port) : port_(port) {}

  void add(std::string request) {
    Tcp::socket socket(io_);
    boost::system::error_code error;
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), port_}, error);
    if (error) return;
    socket.non_blocking(true);
    callers_.push_back({std::move(socket), std::move(request)});
  }

  // Sends until all requests are sent, refused or not read any more.
  void send(std::size_t piece_bytes) {
    auto last_progress = std::chrono::steady_clock::now();
    bool pending = true;
    while (pending && std::chrono::steady_clock::now() - last_progress < kStallTimeout) {
      pending = false;
      bool progress = false;
      for (Caller& caller : callers_) {
        if (caller.sent == caller.request.size()) continue;
        boost::system::error_code error;
        const std::size_t size = std::min(piece_bytes, caller.request.size() - caller.sent);
        const std::size_t written =
            caller.socket.write_some(boost::asio::buffer(caller.request.data() + caller.sent, size), error);
        caller.sent += written;
        progress = progress || written > 0;
        // A refused caller stays open, as most of the others do.
        if (error && error != boost::asio::error::would_block) caller.sent = caller.request.size();
        pending = pending || caller.sent < caller.request.size();
      }
      if (progress) {
        last_progress = std::chrono::steady_clock::now();
      } else {
        std::this_thread::sleep_for(milliseconds(5));
      }
    }
  }

 private:
  struct Caller {
    Tcp::socket socket;
    std::string request;
    std::size_t sent = 0;
  };

  std::uint16_t port_;
  boost::asio::io_context io_;
  std::vector<Caller> callers_;
};

// Callers send to a daemon whose own server does not run their requests, so that both daemons hold the bodies.
struct CallerMemoryFixture {
  explicit CallerMemoryFixture(const std::string& name, const FleetLimits& fleet_limits = kCrowdLimits,
                               std::vector<ServiceSpec> services = {{"upload", false, 1, ""}, {"front", false, 1, ""}})
      : limits(fleet_limits),
        fleet(std::move(services), support::program_path("meshfleet-logs/" + name), limits),
        crowd(fleet.vm("front-0").ports.caller_port) {
    REQUIRE(fleet.start());
    for (const auto& vm : fleet.vms()) REQUIRE(answers_ordinary_request(*vm));
  }

  [[nodiscard]] std::string head(std::string_view framing) {
    return "POST /x HTTP/1.1\r\nHost: upload.example\r\nX-Attempt-Id: c" + std::to_string(++attempts) +
           "\r\nX-Deadline-Ms: 20000\r\n" + std::string(framing) + "\r\n\r\n";
  }

  // Adds callers whose requests have a body with this framing and encoding; most omit the last byte.
  void add_callers(std::string_view framing, const std::string& encoded_body) {
    for (std::size_t i = 0; i < kCallers; ++i) {
      std::string request = head(framing) + encoded_body;
      if (i % kCompletingInterval != 0) request.pop_back();
      crowd.add(std::move(request));
    }
  }

  bool answers_ordinary_request(const Vm& vm, const std::string& host = "upload.example") {
    const auto end = std::chrono::steady_clock::now() + kTestTimeout;
    while (std::chrono::steady_clock::now() < end) {
      support::HttpCall call;
      call.method = "POST";
      call.target = "/x";
      call.headers = {{"Host", host}, {"X-Attempt-Id", "o" + std::to_string(++attempts)}, {"X-Deadline-Ms", "20000"}};
      call.body = "ordinary";
      call.timeout = seconds(21);
      support::HttpCaller caller("127.0.0.1", vm.ports.caller_port);
      if (caller.call(call).status == 200) return true;
      std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
  }

  // Peak resident memory of a process.
  static std::size_t peak_memory(pid_t pid) {
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.starts_with("VmHWM:")) return std::stoul(line.substr(std::string_view("VmHWM:").size())) * kKilobyte;
    }
    return 0;
  }

  static std::size_t open_descriptors(pid_t pid) {
    std::error_code error;
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(pid) + "/fd", error);
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
  }

  void check_daemons() {
    for (const auto& vm : fleet.vms()) {
      INFO(vm->name);
      REQUIRE(!vm->daemon->wait(milliseconds(0)));
      CHECK(open_descriptors(vm->daemon->pid()) <= limits.max_descriptors);
      CHECK(answers_ordinary_request(*vm));
      const std::size_t peak = peak_memory(vm->daemon->pid());
      CHECK(peak > 0);
      CHECK(peak <= limits.memory_mb * kMegabyte);
    }
  }

  FleetLimits limits;
  Fleet fleet;
  int attempts = 0;
  Crowd crowd;
};

// Encodes a body in chunks of one size.
std::string chunked(std::size_t body_bytes, std::size_t chunk_bytes) {
  char size[32];
  const int length = std::snprintf(size, sizeof size, "%zx\r\n", chunk_bytes);
  const std::string chunk =
      std::string(size, static_cast<std::size_t>(length)) + std::string(chunk_bytes, 'x') + "\r\n";
  std::string encoded;
  encoded.reserve(body_bytes / chunk_bytes * chunk.size() + kKilobyte);
  for (std::size_t sent = 0; sent < body_bytes; sent += chunk_bytes) encoded += chunk;
  return encoded + "0\r\n\r\n";
}

}  // namespace

TEST_CASE("trailers without end do not exhaust the memory of a daemon") {
  CallerMemoryFixture fixture("trailers");
  std::string trailers = "1\r\nx\r\n0\r\n";
  while (trailers.size() < 24 * kMegabyte) trailers += "X-Trailer: " + std::string(100, 'x') + "\r\n";
  for (int i = 0; i < 8; ++i) fixture.crowd.add(fixture.head("Transfer-Encoding: chunked") + trailers);
  fixture.crowd.send(64 * kKilobyte);
  fixture.check_daemons();
}

TEST_CASE("many large bodies that are sent at once do not exhaust the memory of a daemon") {
  CallerMemoryFixture fixture("large-bodies");
  const std::string body(8 * kMegabyte, 'x');
  fixture.add_callers("Content-Length: " + std::to_string(body.size()), body);
  fixture.crowd.send(8 * kMegabyte);
  fixture.check_daemons();
}

TEST_CASE("many large bodies that are sent in pieces do not exhaust the memory of a daemon") {
  CallerMemoryFixture fixture("bodies-in-pieces");
  const std::string body(8 * kMegabyte, 'x');
  fixture.add_callers("Content-Length: " + std::to_string(body.size()), body);
  fixture.crowd.send(16 * kKilobyte);
  fixture.check_daemons();
}

TEST_CASE("many bodies in large chunks do not exhaust the memory of a daemon") {
  CallerMemoryFixture fixture("large-chunks");
  fixture.add_callers("Transfer-Encoding: chunked", chunked(8 * kMegabyte, kMegabyte));
  fixture.crowd.send(64 * kKilobyte);
  fixture.check_daemons();
}

TEST_CASE("many bodies in very small chunks do not exhaust the memory of a daemon") {
  CallerMemoryFixture fixture("small-chunks");
  fixture.add_callers("Transfer-Encoding: chunked", chunked(4 * kMegabyte, 8));
  fixture.crowd.send(64 * kKilobyte);
  fixture.check_daemons();
}

// The fields of a header were not counted before the header was complete, and take several times their bytes.
TEST_CASE("many incomplete headers of short fields do not exhaust the memory of a daemon") {
  CallerMemoryFixture fixture("short-fields");
  std::string header = "GET /x HTTP/1.1\r\nHost: upload.example\r\n";
  while (header.size() < 16'000) header += "a: b\r\n";
  for (int i = 0; i < 400; ++i) fixture.crowd.add(header);
  fixture.crowd.send(8 * kKilobyte);
  fixture.check_daemons();
}

// A faulty server sent bytes without end, all of which were kept until the machine that called it ran out of memory.
TEST_CASE("answers without end do not exhaust the memory of a daemon nor keep other requests from being served") {
  constexpr std::size_t kCapacity = 240;
  const std::string filler(64 * kKilobyte, 'x');
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked_head = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const auto many = [](const std::string& text) {
    std::string result;
    while (result.size() < 64 * kKilobyte) result += text;
    return result;
  };
  struct Endless {
    const char* part;
    std::string start;
    std::string repeated;
  };
  const std::vector<Endless> answers = {
      {"no answer", "", filler},
      {"status line", "HTTP/1.1 200 ", filler},
      {"fields", ok, many("X-Filler: x\r\n")},
      {"value of a field", ok + "X-Filler: ", filler},
      {"interim responses", "", many("HTTP/1.1 100 Continue\r\n\r\n")},
      {"responses to other requests", "", many(ok + "X-Attempt-Id: other\r\nContent-Length: 0\r\n\r\n")},
      {"body", ok + "\r\n", filler},
      {"body with a length", ok + "Content-Length: 1000000000000\r\n\r\n", filler},
      {"chunks", chunked_head, many("1\r\nx\r\n")},
      {"chunk extension", chunked_head + "1;", filler},
      {"trailers", chunked_head + "1\r\nx\r\n0\r\n", many("X-Filler: x\r\n")},
  };
  ServiceSpec faulty{"upload", false, 1, ""};
  faulty.server_proxies = true;
  faulty.capacity = static_cast<int>(kCapacity);
  CallerMemoryFixture fixture("endless-answers", kCrowdLimits, {faulty, {"front", false, 1, ""}});
  const Vm& machine = fixture.fleet.vm("upload-0");
  for (const Endless& answer : answers) {
    INFO(answer.part);
    std::size_t before = 0;
    fixture.fleet.on_loop([&] {
      before = machine.server_proxy->endless_bytes();
      machine.server_proxy->set_endless_text(answer.start, answer.repeated);
      machine.server_proxy->set_mode(Proxy::Mode::kEndless);
    });
    Crowd crowd(machine.ports.caller_port);
    for (std::size_t i = 0; i < kCapacity; ++i) crowd.add(fixture.head("Content-Length: 0"));
    crowd.send(kKilobyte);
    CHECK(fixture.answers_ordinary_request(machine, "front.example"));
    std::size_t sent = 0;
    fixture.fleet.on_loop([&] {
      sent = machine.server_proxy->endless_bytes() - before;
      machine.server_proxy->set_mode(Proxy::Mode::kPass);
    });
    CHECK(sent > kCapacity * 64 * kKilobyte);
    REQUIRE(!machine.daemon->wait(milliseconds(0)));
    CHECK(fixture.answers_ordinary_request(machine));
  }
  fixture.check_daemons();
}

// About five copies of a body were held at once.
TEST_CASE("a single body of the largest permitted size is served within the memory of a daemon") {
  CallerMemoryFixture fixture("largest-body", {160, 1024, 64 * kMegabyte, seconds{20}});
  support::HttpCall call;
  call.method = "POST";
  call.target = "/x";
  call.headers = {{"Host", "upload.example"}, {"X-Attempt-Id", "largest"}, {"X-Deadline-Ms", "20000"}};
  call.body = std::string(64 * kMegabyte, 'x');
  call.timeout = seconds(25);
  // One request runs at the server beside the daemon that reads it, the other at a server beside another daemon.
  for (const auto& vm : fixture.fleet.vms()) {
    support::HttpCaller caller("127.0.0.1", vm->ports.caller_port);
    call.headers[1].second += "-" + vm->name;
    CHECK(caller.call(call).status == 200);
  }
  fixture.check_daemons();
}

}  // namespace damaskthread::meshfleet
