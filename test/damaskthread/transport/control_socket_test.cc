#include "damaskthread/transport/control_socket.h"

#include <doctest/doctest.h>

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <vector>

namespace damaskthread::transport {
namespace {

using std::chrono::seconds;

class Inbox {
 public:
  ControlSocket::Receiver receiver() {
    return [this](std::string_view bytes) {
      const std::lock_guard lock{mutex_};
      messages_.emplace_back(bytes);
      message_added_.notify_all();
    };
  }
  bool wait_for(std::size_t count, std::chrono::milliseconds timeout = seconds{10}) {
    std::unique_lock lock{mutex_};
    return message_added_.wait_for(lock, timeout, [&] { return messages_.size() >= count; });
  }
  std::vector<std::string> messages() {
    const std::lock_guard lock{mutex_};
    return messages_;
  }

 private:
  std::mutex mutex_;
  std::condition_variable message_added_;
  std::vector<std::string> messages_;
};

ControlSocket::Options loopback_options(std::size_t max_peers = 256) {
  return {.listen_address = "127.0.0.1:0",
          .max_peers = max_peers,
          .queue_messages = 8,
          .max_message_bytes = std::size_t{64} * 1024};
}

}  // namespace

// Messages must not be lost, merged or truncated between two sockets.
TEST_CASE("two sockets exchange complete messages") {
  Inbox left_inbox;
  Inbox right_inbox;
  ControlSocket left{loopback_options(), left_inbox.receiver()};
  ControlSocket right{loopback_options(), right_inbox.receiver()};
  REQUIRE(left.address() != "127.0.0.1:0");
  CHECK(left.send(right.address(), "hello"));
  CHECK(left.send(right.address(), std::string(65000, 'x')));
  REQUIRE(right_inbox.wait_for(2));
  CHECK(right_inbox.messages()[0] == "hello");
  CHECK(right_inbox.messages()[1].size() == 65000);
  CHECK(right.send(left.address(), "answer"));
  REQUIRE(left_inbox.wait_for(1));
  CHECK(left.counters().sent == 2);
  CHECK(right.counters().received == 2);
}

// Sending to an unreachable peer must not block, and its queue must be bounded.
TEST_CASE("sending to an unreachable peer drops messages without blocking") {
  Inbox inbox;
  ControlSocket socket{loopback_options(), inbox.receiver()};
  std::string closed_address;
  {
    const ControlSocket other{loopback_options(), inbox.receiver()};
    closed_address = other.address();
  }
  const auto started = std::chrono::steady_clock::now();
  for (int i = 0; i < 100; ++i) static_cast<void>(socket.send(closed_address, "x"));
  CHECK(std::chrono::steady_clock::now() - started < seconds{2});
  CHECK(socket.counters().dropped >= 80);
  CHECK_FALSE(socket.send("no address", "x"));
}

// Connections must not accumulate for every peer ever probed.
TEST_CASE("open connections are limited to max_peers") {
  Inbox inbox;
  ControlSocket sender{loopback_options(4), [](std::string_view) {}};
  std::vector<std::unique_ptr<ControlSocket>> peers;
  for (int i = 0; i < 10; ++i) {
    peers.push_back(std::make_unique<ControlSocket>(loopback_options(), inbox.receiver()));
    CHECK(sender.send(peers.back()->address(), "x"));
    REQUIRE(inbox.wait_for(static_cast<std::size_t>(i) + 1));
  }
  CHECK(sender.open_peers() == 4);
  CHECK(sender.counters().evicted == 6);
  CHECK(sender.send(peers.front()->address(), "again"));
  CHECK(inbox.wait_for(11));
}

// A message larger than max_message_bytes must not reach the receiver.
TEST_CASE("an oversized message is not received") {
  Inbox inbox;
  ControlSocket receiver{loopback_options(), inbox.receiver()};
  ControlSocket sender{loopback_options(), [](std::string_view) {}};
  static_cast<void>(sender.send(receiver.address(), std::string(100000, 'x')));
  CHECK_FALSE(inbox.wait_for(1, std::chrono::milliseconds{300}));
}

// Failing to listen must be reported; otherwise it would only show as missing messages.
TEST_CASE("listening on an address in use throws") {
  const ControlSocket first{loopback_options(), [](std::string_view) {}};
  ControlSocket::Options options = loopback_options();
  options.listen_address = first.address();
  CHECK_THROWS_AS((ControlSocket{options, [](std::string_view) {}}), std::runtime_error);
}

}  // namespace damaskthread::transport
