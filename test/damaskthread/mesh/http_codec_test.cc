#include "damaskthread/mesh/http_codec.h"

#include <doctest/doctest.h>
#include <malloc.h>

#include <algorithm>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace damaskthread::mesh {
namespace {

constexpr std::size_t kChunkBytes = std::size_t{64} << 10U;
// Far more than a daemon may buffer.
constexpr std::size_t kUnboundedBytes = std::size_t{64} << 20U;
constexpr std::size_t kMaxBodyBytes = std::size_t{1} << 20U;
// Allowance for the header and framing in addition to the body.
constexpr std::size_t kMaxOverheadBytes = std::size_t{256} << 10U;

struct FeedResult {
  ReadState state = ReadState::kNeedMore;
  std::size_t max_held_bytes = 0;
};

// Feeds a prefix, then the same data repeatedly.
FeedResult feed_unbounded(const std::string& prefix, const std::string& repeated) {
  std::string chunk;
  while (chunk.size() < kChunkBytes) chunk += repeated;
  ResponseReader reader(kMaxBodyBytes);
  FeedResult result;
  result.state = reader.add(prefix);
  for (std::size_t sent = 0; sent < kUnboundedBytes && result.state == ReadState::kNeedMore; sent += chunk.size()) {
    result.state = reader.add(chunk);
    result.max_held_bytes = std::max(result.max_held_bytes, reader.held_bytes());
  }
  return result;
}

constexpr std::size_t kReaders = 100;

// Lets many readers hold the same incomplete message.
// @return The bytes that they count, and the bytes that they allocated.
template <typename CreateReader>
std::pair<std::size_t, std::size_t> hold_incomplete(const std::string& message, CreateReader create) {
  std::vector<decltype(create())> readers;
  readers.reserve(kReaders);
  std::size_t counted = 0;
  const auto before = ::mallinfo2();
  for (std::size_t i = 0; i < kReaders; ++i) {
    readers.push_back(create());
    REQUIRE(readers.back()->add(message) == ReadState::kNeedMore);
    counted += readers.back()->held_bytes();
  }
  const auto after = ::mallinfo2();
  return {counted, after.uordblks + after.hblkhd - before.uordblks - before.hblkhd};
}

}  // namespace

TEST_CASE("unbounded data is rejected with bounded memory in every part of a response") {
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::pair<std::string, std::string>> responses = {
      {"HTTP/1.1 200 OK\r\n\r\n", "body without a length"},
      {"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", "body of a length that cannot be held"},
      {"HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
      {"HTTP/1.1 200 OK\r\nName: ", "value"},
      {"", "garbage"},
      {chunked, "8\r\n12345678\r\n"},
      {chunked + "8;", "extension"},
      {chunked + "8", "0"},
      {chunked + "0\r\n", "Name: value\r\n"},
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
  };
  for (const auto& response : responses) {
    const FeedResult result = feed_unbounded(response.first, response.second);
    CHECK_MESSAGE(result.state != ReadState::kNeedMore, response.first, response.second);
    CHECK_MESSAGE(result.state != ReadState::kDone, response.first, response.second);
    CHECK_MESSAGE(result.max_held_bytes <= kMaxBodyBytes + kMaxOverheadBytes, response.first, response.second);
  }
}

TEST_CASE("a response within the limit is parsed completely, however it is split") {
  const std::string body(kMaxBodyBytes / 2, 'x');
  const std::string bytes =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
      body;
  for (const std::size_t chunk : {std::size_t{1'000}, std::size_t{100'000}, bytes.size()}) {
    ResponseReader reader(kMaxBodyBytes);
    ReadState state = ReadState::kNeedMore;
    for (std::size_t position = 0; position < bytes.size(); position += chunk)
      state = reader.add(bytes.substr(position, chunk));
    REQUIRE(state == ReadState::kDone);
    CHECK(reader.take().body == body);
  }
}

// The buffer of received bytes kept its size after they were parsed, so that callers that stop within a body held about
// twice the memory that was counted for them. The same held for responses, and fields were not counted before the
// header was complete.
TEST_CASE("an incomplete message takes little more memory than the bytes that are counted for it") {
  const std::string data(60'000, 'x');
  std::string with_length = "Host: x\r\nContent-Length: 60001\r\n\r\n";
  with_length += data;
  std::string chunked = "Host: x\r\nTransfer-Encoding: chunked\r\n\r\nea60\r\n";
  chunked.append(data).append("\r\n1");
  std::string fields;
  while (fields.size() < 12'000) fields += "a: b\r\n";
  for (const std::string& rest : {with_length, chunked, fields}) {
    const auto [counted_requests, allocated_requests] = hold_incomplete(
        "POST / HTTP/1.1\r\n" + rest, [] { return std::make_unique<RequestReader>(16'384, 1'000'000); });
    const auto [counted_responses, allocated_responses] =
        hold_incomplete("HTTP/1.1 200 OK\r\n" + rest, [] { return std::make_unique<ResponseReader>(1'000'000); });
    for (const std::size_t counted : {counted_requests, counted_responses}) CHECK(counted >= kReaders * rest.size());
    CHECK(allocated_requests < counted_requests + counted_requests / 4);
    CHECK(allocated_responses < counted_responses + counted_responses / 4);
  }
}

}  // namespace damaskthread::mesh
