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
      changed_.notify_all();
    };
  }
  bool wait_for(std::size_t count, std::chrono::milliseconds limit = seconds{10}) {
    std::unique_lock lock{mutex_};
    return changed_.wait_for(lock, limit, [&] { return messages_.size() >= count; });
  }
  std::vector<std::string> messages() {
    const std::lock_guard lock{mutex_};
    return messages_;
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> messages_;
};

ControlSocket::Options loopback(std::size_t max_peers = 256) {
  return {.listen_address = "127.0.0.1:0",
          .max_peers = max_peers,
          .queue_messages = 8,
          .max_message_bytes = std::size_t{64} * 1024};
}

}  // namespace

// Guards against messages that are lost, merged or cut between two sockets.
TEST_CASE("two sockets exchange whole messages") {
  Inbox left_inbox;
  Inbox right_inbox;
  ControlSocket left{loopback(), left_inbox.receiver()};
  ControlSocket right{loopback(), right_inbox.receiver()};
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

// Guards against a sender that waits for a peer that is not there, and against queues without a bound.
TEST_CASE("sending to nobody drops and does not wait") {
  Inbox inbox;
  ControlSocket socket{loopback(), inbox.receiver()};
  std::string gone;
  {
    const ControlSocket other{loopback(), inbox.receiver()};
    gone = other.address();
  }
  const auto started = std::chrono::steady_clock::now();
  for (int i = 0; i < 100; ++i) static_cast<void>(socket.send(gone, "x"));
  CHECK(std::chrono::steady_clock::now() - started < seconds{2});
  CHECK(socket.counters().dropped >= 80);
  CHECK_FALSE(socket.send("no address", "x"));
}

// Guards against connections that pile up with every peer ever probed.
TEST_CASE("connections stay within the bound") {
  Inbox inbox;
  ControlSocket sender{loopback(4), [](std::string_view) {}};
  std::vector<std::unique_ptr<ControlSocket>> peers;
  for (int i = 0; i < 10; ++i) {
    peers.push_back(std::make_unique<ControlSocket>(loopback(), inbox.receiver()));
    CHECK(sender.send(peers.back()->address(), "x"));
    REQUIRE(inbox.wait_for(static_cast<std::size_t>(i) + 1));
  }
  CHECK(sender.open_peers() == 4);
  CHECK(sender.counters().evicted == 6);
  CHECK(sender.send(peers.front()->address(), "again"));
  CHECK(inbox.wait_for(11));
}

// Guards against a message larger than the bound that reaches the receiver.
TEST_CASE("an oversized message is not received") {
  Inbox inbox;
  ControlSocket receiver{loopback(), inbox.receiver()};
  ControlSocket sender{loopback(), [](std::string_view) {}};
  static_cast<void>(sender.send(receiver.address(), std::string(100000, 'x')));
  CHECK_FALSE(inbox.wait_for(1, std::chrono::milliseconds{300}));
}

// Guards against an address that cannot be listened on and is only noticed by silence.
TEST_CASE("a taken address is an error") {
  const ControlSocket first{loopback(), [](std::string_view) {}};
  ControlSocket::Options options = loopback();
  options.listen_address = first.address();
  CHECK_THROWS_AS((ControlSocket{options, [](std::string_view) {}}), std::runtime_error);
}

}  // namespace damaskthread::transport
