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

// More than the buffers of a connection take.
constexpr std::size_t kDocumentBytes = std::size_t{8} << 20U;
constexpr std::size_t kMemoryBound = 2 * kDocumentBytes;

struct Bench {
  Bench()
      : log("test", {}),
        gate(io, adapter, {}, log, tally,
             {[] {}, [](const quarantine::CrashReport&) {}, [](const std::string&) { return std::string(); },
              [](const std::string&) { return 1; }}),
        listener(io, {"127.0.0.1", 0}, gate, hooks()) {}

  static PeerListener::Hooks hooks() {
    PeerListener::Hooks hooks;
    hooks.greeting = [] { return peer::Hello{}; };
    hooks.status = [] { return peer::Status{}; };
    hooks.crashes = [] { return std::vector<quarantine::CrashReport>(); };
    hooks.greeted = [](const peer::Hello&) {};
    hooks.configuration = [] { return std::optional(peer::Configuration{2, std::string(kDocumentBytes, 'x')}); };
    hooks.crash = [](const peer::CrashNotice&) {};
    return hooks;
  }

  // A daemon that asks for the configuration.
  std::unique_ptr<Tcp::socket> ask(std::uint64_t incarnation) {
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

TEST_CASE("daemons that all ask for a large configuration at once cost a bounded memory") {
  Bench bench;
  std::vector<std::unique_ptr<Tcp::socket>> daemons;
  std::size_t most = 0;
  for (std::uint64_t i = 1; i <= 20; ++i) {
    daemons.push_back(bench.ask(i));
    bench.io.run_for(milliseconds(5));
    bench.io.restart();
    most = std::max(most, bench.listener.unsent());
  }
  CHECK(most > 0);
  CHECK(most <= kMemoryBound);
}

}  // namespace damaskthread::mesh
