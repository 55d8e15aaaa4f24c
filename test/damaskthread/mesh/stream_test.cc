#include "damaskthread/mesh/stream.h"

#include <doctest/doctest.h>
#include <malloc.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace damaskthread::mesh {
namespace {

using std::chrono::milliseconds;
using Tcp = boost::asio::ip::tcp;

constexpr std::size_t kMessageBytes = std::size_t{64} << 10U;
constexpr std::size_t kBacklogBytes = std::size_t{4} << 20U;
constexpr int kMessages = 500;

std::size_t allocated_bytes() {
  const auto info = ::mallinfo2();
  return info.uordblks + info.hblkhd;
}

}  // namespace

// Sent bytes were kept until the whole backlog was sent, which never happens if the peer lags behind constantly.
TEST_CASE("a peer that lags behind constantly makes a stream keep its backlog only") {
  boost::asio::io_context io;
  Tcp::acceptor acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  Tcp::socket peer(io);
  peer.connect(acceptor.local_endpoint());
  const auto stream = std::make_shared<Stream>(acceptor.accept(), StreamTimeouts{});
  const std::string message(kMessageBytes, 'x');
  while (stream->unsent_bytes() < kBacklogBytes) stream->write(message);
  const std::size_t before = allocated_bytes();
  std::vector<char> received(kMessageBytes);
  for (int i = 0; i < kMessages; ++i) {
    stream->write(message);
    boost::asio::read(peer, boost::asio::buffer(received));
    io.run_for(milliseconds(1));
    io.restart();
  }
  REQUIRE(stream->open());
  CHECK(stream->unsent_bytes() > 0);
  CHECK(allocated_bytes() < before + 2 * kBacklogBytes);
  stream->close();
}

}  // namespace damaskthread::mesh
