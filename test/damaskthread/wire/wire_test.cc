#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <variant>
#include <vector>

#include "damaskthread/wire/authenticator.h"
#include "damaskthread/wire/message.h"

namespace damaskthread::wire {
namespace {

constexpr Sender kAlice{{7}, {100}};
constexpr Sender kBob{{8}, {200}};
constexpr std::string_view kKey = "a shared key";

std::string any_text() {
  return *rc::gen::container<std::string>(*rc::gen::inRange(0, 20), rc::gen::inRange('a', 'z'));
}

template <typename Number>
Number any_number() {
  return *rc::gen::oneOf(rc::gen::inRange<Number>(0, 30), rc::gen::arbitrary<Number>());
}

std::string any_address(const std::string& host) { return host + ':' + std::to_string(*rc::gen::inRange(1, 65536)); }

MemberDelta any_delta() {
  MemberDelta delta{.id = {any_number<std::uint64_t>()},
                    .incarnation = {any_number<std::uint64_t>()},
                    .refutation = *rc::gen::inRange<std::uint32_t>(0, 0x7FFFFFFF),
                    .health = *rc::gen::element(Health::kAlive, Health::kSuspect, Health::kDead),
                    .leaving = *rc::gen::arbitrary<bool>(),
                    .suspected_for = {},
                    .info = {}};
  if (delta.health == Health::kSuspect) delta.suspected_for = std::chrono::milliseconds{*rc::gen::inRange(0, 100000)};
  if (*rc::gen::arbitrary<bool>()) return delta;
  const bool same_host = *rc::gen::arbitrary<bool>();
  const std::string host = "10.0.0." + std::to_string(*rc::gen::inRange(0, 256));
  const auto other_address = [&] {
    return same_host ? any_address(host) : any_address("10.1.0." + std::to_string(*rc::gen::inRange(0, 256)));
  };
  delta.info = std::make_shared<MemberInfo>(MemberInfo{.service = any_text(),
                                                       .zone = any_text(),
                                                       .region = any_text(),
                                                       .call_address = any_address(host),
                                                       .peer_address = other_address(),
                                                       .admin_address = other_address(),
                                                       .control_address = other_address(),
                                                       .slots = any_number<std::uint32_t>(),
                                                       .connections = any_number<std::uint32_t>()});
  return delta;
}

Body any_body() {
  const auto u64 = [] { return any_number<std::uint64_t>(); };
  const auto u32 = [] { return any_number<std::uint32_t>(); };
  switch (*rc::gen::inRange<std::size_t>(0, std::variant_size_v<Body>)) {
    case 0:
      return Ping{.probe = u32(), .target = {u64()}, .view_hash = u64()};
    case 1:
      return Ack{.probe = u32(), .subject = {u64()}};
    case 2:
      return PingRequest{.probe = u32(), .target = {u64()}};
    case 3:
      return Gossip{};
    case 4:
      return MembersRequest{.all = *rc::gen::arbitrary<bool>()};
    case 5:
      return ViewDigest{
          *rc::gen::container<std::vector<std::uint32_t>>(kViewBuckets, rc::gen::arbitrary<std::uint32_t>())};
    case 6:
      return MemberSummary{
          *rc::gen::container<std::vector<std::uint8_t>>(3, rc::gen::inRange<std::uint8_t>(0, kViewBuckets))};
    case 7: {
      MemberState state{.all = *rc::gen::arbitrary<bool>(), .requested_ids = {}};
      for (int i = *rc::gen::inRange(0, 4); i > 0; --i) state.requested_ids.push_back({u64()});
      return state;
    }
    case 8:
      return ConfigRequest{.state = *rc::gen::arbitrary<bool>(), .offset = u64(), .part = u32()};
    default: {
      const auto parts = *rc::gen::inRange<std::uint32_t>(1, 100);
      return ConfigChunk{.state = *rc::gen::arbitrary<bool>(),
                         .source_digest = {u64(), u64()},
                         .from_offset = u64(),
                         .part = *rc::gen::inRange<std::uint32_t>(0, parts),
                         .parts = parts,
                         .bytes = *rc::gen::arbitrary<std::string>()};
    }
  }
}

Message any_message() {
  Message message;
  message.body = any_body();
  for (int i = *rc::gen::inRange(0, 6); i > 0; --i) message.deltas.push_back(any_delta());
  if (*rc::gen::arbitrary<bool>())
    message.digest = ConfigDigest{any_number<std::uint64_t>(), any_number<std::uint64_t>()};
  for (int i = *rc::gen::inRange(0, 3); i > 0; --i) {
    message.marks.push_back({.fingerprint = any_number<std::uint64_t>(),
                             .crashes = any_number<std::uint32_t>(),
                             .origin = {any_number<std::uint64_t>()},
                             .age = std::chrono::milliseconds{*rc::gen::inRange(0, 100000)}});
  }
  for (int i = *rc::gen::inRange(0, 3); i > 0; --i) {
    message.lags.push_back({.id = {any_number<std::uint64_t>()},
                            .incarnation = {any_number<std::uint64_t>()},
                            .revision = any_number<std::uint64_t>(),
                            .behind = std::chrono::milliseconds{*rc::gen::inRange(0, 100000)}});
  }
  return message;
}

bool equal(const MemberDelta& a, const MemberDelta& b) {
  return a.id == b.id && a.incarnation == b.incarnation && a.refutation == b.refutation && a.health == b.health &&
         a.leaving == b.leaving && a.suspected_for == b.suspected_for && !a.info == !b.info &&
         (!a.info || *a.info == *b.info);
}

OpenError error_of(Authenticator& authenticator, const std::string& bytes) {
  const auto opened = authenticator.open(bytes);
  REQUIRE(std::holds_alternative<OpenError>(opened));
  return std::get<OpenError>(opened);
}

}  // namespace

// Every field must be written and read in the same order and width.
TEST_CASE("messages round-trip through encoding") {
  CHECK(rc::check("round trip", [] {
    const Message message = any_message();
    const Sender sender{{any_number<std::uint64_t>()}, {any_number<std::uint64_t>()}};
    const auto sequence = any_number<std::uint64_t>();
    const std::string bytes = encode(sender, sequence, message);
    const auto received = decode(bytes);
    RC_ASSERT(received.has_value());
    RC_ASSERT(received->sender == sender);
    RC_ASSERT(received->sequence == sequence);
    const Message& decoded = received->message;
    RC_ASSERT(decoded.body.index() == message.body.index());
    RC_ASSERT(std::ranges::equal(decoded.deltas, message.deltas, equal));
    RC_ASSERT(decoded.digest == message.digest);
    RC_ASSERT(decoded.marks == message.marks);
    RC_ASSERT(decoded.lags == message.lags);
    // Bodies have no comparison operator, so they are compared by encoding again.
    RC_ASSERT(encode(sender, sequence, decoded) == bytes);
  }));
}

// A bound below the encoded size would let a datagram exceed its maximum size.
TEST_CASE("encoded sizes are within their upper bounds") {
  CHECK(rc::check("size bound", [] {
    Message message;
    message.digest = ConfigDigest{~0ULL, ~0ULL};
    message.body = Ping{.probe = ~0U, .target = {~0ULL}, .view_hash = ~0ULL};
    const Sender sender{{~0ULL}, {~0ULL}};
    const std::size_t empty = encode(sender, ~0ULL, message).size() + 17;
    RC_ASSERT(empty <= kEnvelopeBytes);
    message.deltas.push_back(any_delta());
    RC_ASSERT(encode(sender, ~0ULL, message).size() + 17 <= empty + max_encoded_size(message.deltas[0]));
  }));
}

// Untrusted bytes must not crash the parser, exhaust its stack or be accepted as a message.
TEST_CASE("malformed bytes are rejected") {
  CHECK(rc::check("random bytes", [] {
    const auto bytes = *rc::gen::arbitrary<std::string>();
    static_cast<void>(decode(bytes));
    Authenticator bob{kKey, kBob};
    RC_ASSERT(std::holds_alternative<OpenError>(bob.open(bytes)));
  }));
  CHECK(rc::check("corrupted messages", [] {
    std::string bytes = encode(kAlice, 1, any_message());
    const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
    RC_ASSERT(!decode(std::string_view{bytes}.substr(0, position)).has_value());
    RC_ASSERT(!decode(bytes + 'x').has_value());
    bytes[position] = *rc::gen::arbitrary<char>();
    static_cast<void>(decode(bytes));
  }));
  CHECK_FALSE(decode(std::string(60000, '\x81')).has_value());
  CHECK_FALSE(decode("\x9b\xff\xff\xff\xff\xff\xff\xff\xff").has_value());
}

// A message with a single changed or missing byte must not pass the tag check.
TEST_CASE("a corrupted or foreign message is rejected and counted") {
  CHECK(rc::check("corruption", [] {
    Authenticator alice{kKey, kAlice};
    Authenticator bob{kKey, kBob};
    std::string bytes = alice.seal(any_message());
    const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
    std::string corrupted = bytes;
    corrupted[position] = static_cast<char>(corrupted[position] ^ *rc::gen::inRange(1, 256));
    RC_ASSERT(std::holds_alternative<OpenError>(bob.open(corrupted)));
    RC_ASSERT(std::holds_alternative<OpenError>(bob.open(std::string_view{bytes}.substr(0, position))));
    RC_ASSERT(std::holds_alternative<Received>(bob.open(bytes)));
  }));
  Authenticator alice{kKey, kAlice};
  Authenticator other_key_sender{"another key", {{9}, {1}}};
  Authenticator bob{kKey, kBob};
  CHECK(error_of(bob, other_key_sender.seal({})) == OpenError::kForeign);
  std::string bytes = alice.seal({});
  bytes[0] = kVersion + 1;
  CHECK(error_of(bob, bytes) == OpenError::kVersion);
  CHECK(error_of(bob, "x") == OpenError::kTooShort);
  CHECK(error_of(bob, std::string(kMaxMessageBytes + 1, 'x')) == OpenError::kTooLarge);
  CHECK(error_of(bob, bob.seal({})) == OpenError::kOwn);
  for (const OpenError error :
       {OpenError::kForeign, OpenError::kVersion, OpenError::kTooShort, OpenError::kTooLarge, OpenError::kOwn}) {
    CHECK(bob.counters().dropped[static_cast<std::size_t>(error)] == 1);
  }
}

// No message may be accepted twice, and messages that are only out of order must not be dropped.
TEST_CASE("every message opens once in any order") {
  CHECK(rc::check("replay", [] {
    Authenticator alice{kKey, kAlice};
    Authenticator bob{kKey, kBob};
    std::vector<std::string> sent;
    sent.reserve(100);
    for (int i = 0; i < 100; ++i) sent.push_back(alice.seal({}));
    std::vector<std::string> arrived = sent;
    std::shuffle(arrived.begin(), arrived.end(), core::Random{*rc::gen::arbitrary<std::uint64_t>()});
    for (const std::string& bytes : arrived) RC_ASSERT(std::holds_alternative<Received>(bob.open(bytes)));
    for (const std::string& bytes : sent) RC_ASSERT(std::get<OpenError>(bob.open(bytes)) == OpenError::kReplay);
  }));
  Authenticator alice{kKey, kAlice};
  Authenticator bob{kKey, kBob};
  const std::string first_message = alice.seal({});
  for (int i = 0; i < 300; ++i) CHECK(std::holds_alternative<Received>(bob.open(alice.seal({}))));
  CHECK(error_of(bob, first_message) == OpenError::kReplay);
}

// Messages of an earlier incarnation must be dropped when they arrive after the server has restarted.
TEST_CASE("messages of an earlier incarnation are stale") {
  Authenticator before{kKey, {{7}, {100}}};
  Authenticator after{kKey, {{7}, {101}}};
  Authenticator bob{kKey, kBob};
  const std::string delayed = before.seal({});
  CHECK(std::holds_alternative<Received>(bob.open(before.seal({}))));
  CHECK(std::holds_alternative<Received>(bob.open(after.seal({}))));
  CHECK(error_of(bob, delayed) == OpenError::kStale);
}

// A tag for one purpose must not be accepted for another.
TEST_CASE("tags are bound to their purpose") {
  const Authenticator alice{kKey, kAlice};
  const Authenticator bob{kKey, kBob};
  const Tag tag = alice.tag("call", "bytes");
  const std::string_view view{reinterpret_cast<const char*>(tag.data()), tag.size()};
  CHECK(bob.verify("call", "bytes", view));
  CHECK_FALSE(bob.verify("control", "bytes", view));
  CHECK_FALSE(bob.verify("call", "byte", view));
  CHECK_FALSE(bob.verify("callb", "ytes", view));
  CHECK_FALSE(bob.verify("call", "bytes", view.substr(1)));
}

}  // namespace damaskthread::wire
