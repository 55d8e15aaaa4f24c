#include "damaskthread/peer/frame.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "damaskthread/core/error.h"

namespace damaskthread::peer {
namespace {

using std::chrono::milliseconds;

struct ReadResult {
  std::optional<Message> message;
  bool failed = false;
};

ReadResult next(FrameReader& reader) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<ReadResult> {
        BOOST_LEAF_AUTO(message, reader.next());
        return ReadResult{std::move(message), false};
      },
      [](const core::Error&) {
        return ReadResult{std::nullopt, true};
      },
      [] {
        return ReadResult{std::nullopt, true};
      });
}

template <typename MessageType>
MessageType round_trip(const MessageType& message) {
  std::string bytes;
  append_frame(bytes, message);
  FrameReader reader;
  reader.add(bytes);
  const ReadResult read_result = next(reader);
  REQUIRE(read_result.message.has_value());
  REQUIRE(std::holds_alternative<MessageType>(*read_result.message));
  return std::get<MessageType>(*read_result.message);
}

Execute sample_execute() {
  Execute execute;
  execute.stream = 12;
  execute.attempt_id = "a.b";
  execute.service = "s";
  execute.kind = "route";
  execute.caller_service = "t";
  execute.idempotent = true;
  execute.priority = 2;
  execute.nested = true;
  execute.repeat = true;
  execute.calls_left = 3;
  execute.time_left = milliseconds{1500};
  execute.max_wait = milliseconds{300};
  execute.sent_at = core::TimePoint(milliseconds{99});
  execute.request = {"PUT", "/x?y=1", {{"Host", "h"}, {"X", "1"}}, {}};
  execute.body = std::make_shared<const std::string>("\0\xff body", 7);
  return execute;
}

}  // namespace

TEST_CASE("every message type round-trips") {
  const Execute execute = round_trip(sample_execute());
  CHECK(execute.attempt_id == "a.b");
  CHECK(execute.time_left == milliseconds{1500});
  CHECK(execute.sent_at == core::TimePoint(milliseconds{99}));
  CHECK(execute.request.headers.size() == 2);
  CHECK(http::view(execute.body) == std::string("\0\xff body", 7));
  CHECK(execute.repeat);
  CHECK(execute.calls_left == 3);

  Result result;
  result.stream = 12;
  result.verdict = core::not_run(core::Cause::kLeaving, milliseconds{250});
  result.run_time = std::chrono::microseconds{1234};
  result.load = {37, 36, 5, std::chrono::microseconds{55}};
  result.response = {404, {{"A", "b"}}, "none"};
  result.call_refused = true;
  const Result read_result = round_trip(result);
  CHECK(read_result.verdict == result.verdict);
  CHECK(read_result.run_time == result.run_time);
  CHECK(read_result.load.queued == 5);
  CHECK(read_result.response.body == "none");
  CHECK(read_result.call_refused);

  Hello hello;
  hello.incarnation = {77};
  hello.self = {"10.0.0.1:1", "z", "s"};
  hello.members = {{"10.0.0.2:1", "y", "t"}};
  CHECK(round_trip(hello).members.front().endpoint == "10.0.0.2:1");
  CHECK(round_trip(hello).members.front().service == "t");
  CHECK(round_trip(hello).self.service == "s");
  Status status;
  status.configuration_version = 9;
  status.service = "s";
  status.ready = true;
  status.watching = true;
  status.calls = {{"a", "b"}};
  CHECK(round_trip(status).calls.front().second == "b");
  CHECK(round_trip(status).watching);
  const LoadUpdate load_update = round_trip(LoadUpdate{9, {37, 36, 5, std::chrono::microseconds{55}}});
  CHECK(load_update.configuration_version == 9);
  CHECK(load_update.load.running == 36);
  CHECK(round_trip(Cancel{5}).stream == 5);
  CHECK(round_trip(Resume{6, true}).idempotent);
  CHECK(round_trip(Configuration{3, "{}"}).document == "{}");
  CHECK(round_trip(ConfigurationRequest{8}).version == 8);
  CHECK(round_trip(CrashNotice{{4, {1, 2}}}).report.running.size() == 2);
}

// Daemons of two versions run beside each other while a fleet is upgraded.
TEST_CASE("a request from a daemon of the previous version is decoded") {
  constexpr std::size_t kLengthBytes = 4;
  std::string bytes;
  append_frame(bytes, sample_execute());
  const std::string body(http::view(sample_execute().body));
  const std::string_view frame = bytes;
  const std::string_view frame_fields = frame.substr(2 * kLengthBytes, frame.size() - 2 * kLengthBytes - body.size());
  nlohmann::json fields = nlohmann::json::from_cbor(frame_fields.begin(), frame_fields.end());
  fields.erase(fields.size() - 1);
  const std::vector<std::uint8_t> encoded = nlohmann::json::to_cbor(fields);
  std::string previous;
  const auto append_length = [&previous](std::size_t length) {
    for (int shift = 24; shift >= 0; shift -= 8) previous.push_back(static_cast<char>((length >> shift) & 0xFFU));
  };
  append_length(kLengthBytes + encoded.size() + body.size());
  append_length(encoded.size());
  previous.append(encoded.begin(), encoded.end()).append(body);
  FrameReader reader;
  reader.add(previous);
  const ReadResult read_result = next(reader);
  REQUIRE(read_result.message.has_value());
  const auto& execute = std::get<Execute>(*read_result.message);
  CHECK(execute.attempt_id == "a.b");
  CHECK(execute.calls_left == 1);
  CHECK(http::view(execute.body) == body);
}

TEST_CASE("a load update is small, since each daemon sends it to many others several times a second") {
  std::string bytes;
  append_frame(bytes, LoadUpdate{100'000, {1000, 999, 500, milliseconds{250}, 1'600}});
  CHECK(bytes.size() <= 40);
}

// The mean work time of a server would not recover from such a figure.
TEST_CASE("a work time from another daemon is bounded") {
  LoadUpdate load_update{9, {37, 36, 5, std::chrono::microseconds{55}}};
  load_update.load.work_time = 1e6;
  CHECK(round_trip(load_update).load.work_time == 100);
}

TEST_CASE("messages are decoded from any split of the stream") {
  CHECK(rc::check([](const std::vector<std::uint8_t>& piece_sizes) {
    std::string bytes;
    for (std::uint64_t stream = 0; stream < 5; ++stream) append_frame(bytes, Cancel{stream});
    FrameReader reader;
    std::uint64_t expected = 0;
    std::size_t offset = 0;
    const auto read_all = [&] {
      for (ReadResult read_result = next(reader); read_result.message; read_result = next(reader)) {
        RC_ASSERT(std::get<Cancel>(*read_result.message).stream == expected++);
      }
    };
    for (const std::uint8_t piece_size : piece_sizes) {
      const std::size_t size = std::min<std::size_t>(piece_size, bytes.size() - offset);
      reader.add(std::string_view(bytes).substr(offset, size));
      offset += size;
      read_all();
    }
    reader.add(std::string_view(bytes).substr(offset));
    read_all();
    RC_ASSERT(expected == 5U);
  }));
}

TEST_CASE("invalid bytes are an error and never a message") {
  for (const std::string& bytes :
       {std::string("\xff\xff\xff\xff\0\0\0\0", 8), std::string("\0\0\0\x05\0\0\0\x09X", 9),
        std::string("\0\0\0\x05\0\0\0\x01\xf6", 9), std::string("\0\0\0\x06\0\0\0\x02\x81\x18", 10),
        std::string("\0\0\0\x06\0\0\0\x02\x81\x00", 10), std::string("\0\0\0\x07\0\0\0\x03\x81\x18\x63", 11)}) {
    FrameReader reader;
    reader.add(bytes);
    CHECK(next(reader).failed);
  }
}

// The receiver of a frame bounds the memory of bodies; without room it must still be able to refuse the request.
TEST_CASE("a request whose body has no room is decoded without it, and the next frame is read") {
  std::string bytes;
  append_frame(bytes, sample_execute());
  append_frame(bytes, Cancel{5});
  std::size_t asked = 0;
  FrameReader reader([&asked](std::size_t size) -> std::optional<BodyReservation> {
    asked = size;
    return std::nullopt;
  });
  std::optional<Message> first;
  for (const char byte : bytes) {
    reader.add({&byte, 1});
    if (!first) first = next(reader).message;
  }
  REQUIRE(first);
  CHECK(asked == 7);
  CHECK(std::get<Execute>(*first).body_dropped);
  CHECK(std::get<Execute>(*first).body == nullptr);
  CHECK(std::get<Execute>(*first).stream == sample_execute().stream);
  const auto second = next(reader).message;
  REQUIRE(second);
  CHECK(std::get<Cancel>(*second).stream == 5);
}

TEST_CASE("reports and grants of the quotas keep their fields") {
  const quota::Report report = round_trip(QuotaReport{{7, 84, {{"tenant", 5, 1, 2, 3, 12.25}}}}).report;
  CHECK(report.sequence == 7);
  CHECK(report.fleet_size == 84);
  REQUIRE(report.demands.size() == 1);
  CHECK(report.demands.front().tenant == "tenant");
  CHECK(report.demands.front().wanted == 5);
  CHECK(report.demands.front().spare == 1);
  CHECK(report.demands.front().held == 3);
  CHECK(report.demands.front().returned == 2);
  CHECK(report.demands.front().reserved_per_second == doctest::Approx(12.25));
  const quota::Grant grant = round_trip(QuotaGrant{{7, true, {{"tenant", 3, true}}}}).grant;
  CHECK(grant.sequence == 7);
  CHECK(grant.majority);
  REQUIRE(grant.credits.size() == 1);
  CHECK(grant.credits.front().credits == 3);
  CHECK(grant.credits.front().exhausted);
}

}  // namespace damaskthread::peer
