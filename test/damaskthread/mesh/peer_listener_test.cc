#include "damaskthread/mesh/peer_listener.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "damaskthread/peer/frame.h"
#include "support/mesh_adapter.h"

namespace damaskthread::mesh {
namespace {

using std::chrono::milliseconds;
using Tcp = boost::asio::ip::tcp;

// Larger than the socket buffers of a connection.
constexpr std::size_t kDocumentBytes = std::size_t{8} << 20U;
constexpr std::size_t kMaxUnsentBytes = 2 * kDocumentBytes;

struct PeerListenerFixture {
  PeerListenerFixture()
      : log("test", {}),
        gate(io, adapter, {}, log, tally,
             {[] {}, [](const quarantine::CrashReport&) {}, [](const std::string&) { return std::string(); },
              [](const std::string&) { return 1; }}),
        listener(io, {"127.0.0.1", 0}, gate, hooks()) {}

  static PeerListener::Hooks hooks() {
    PeerListener::Hooks hooks;
    hooks.make_hello = [] { return peer::Hello{}; };
    hooks.make_status = [] { return peer::Status{}; };
    hooks.recent_crashes = [] { return std::vector<quarantine::CrashReport>(); };
    hooks.on_hello = [](const peer::Hello&) {};
    hooks.current_configuration = [] {
      return std::optional(peer::Configuration{2, std::string(kDocumentBytes, 'x')});
    };
    hooks.on_crash_notice = [](const peer::CrashNotice&) {};
    return hooks;
  }

  // Connects as a peer and requests the configuration.
  std::unique_ptr<Tcp::socket> request_configuration(std::uint64_t incarnation) {
    auto socket = std::make_unique<Tcp::socket>(io);
    socket->open(Tcp::v4());
    socket->set_option(boost::asio::socket_base::receive_buffer_size(4096));
    socket->connect({boost::asio::ip::make_address("127.0.0.1"), listener.port()});
    std::string bytes;
    peer::Hello hello;
    hello.incarnation = {incarnation};
    peer::append_frame(bytes, hello);
    peer::append_frame(bytes, peer::ConfigurationRequest{1});
    boost::asio::write(*socket, boost::asio::buffer(bytes));
    return socket;
  }

  boost::asio::io_context io;
  support::TestAdapter adapter;
  EventLog log;
  quarantine::CrashCounter tally;
  LocalExecutor gate;
  PeerListener listener;
};

}  // namespace

TEST_CASE("memory for a large configuration is bounded when all daemons request it at once") {
  PeerListenerFixture fixture;
  std::vector<std::unique_ptr<Tcp::socket>> daemons;
  std::size_t max_unsent_bytes = 0;
  for (std::uint64_t i = 1; i <= 20; ++i) {
    daemons.push_back(fixture.request_configuration(i));
    fixture.io.run_for(milliseconds(5));
    fixture.io.restart();
    max_unsent_bytes = std::max(max_unsent_bytes, fixture.listener.unsent_bytes());
  }
  CHECK(max_unsent_bytes > 0);
  CHECK(max_unsent_bytes <= kMaxUnsentBytes);
}

}  // namespace damaskthread::mesh
