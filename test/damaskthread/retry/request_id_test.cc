#include "damaskthread/retry/request_id.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <boost/leaf/handle_errors.hpp>
#include <optional>

#include "damaskthread/core/error.h"

namespace damaskthread::retry {
namespace {

using std::chrono::seconds;

constexpr core::TimePoint kNow{seconds(1000)};
constexpr core::MacKey kKey{1, 2, 3};

// Returns the id, or the error message.
std::pair<std::optional<RequestId>, std::string> parse(std::string_view text, const core::MacKey& key = kKey) {
  std::string message;
  std::optional<RequestId> id = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<RequestId>> {
        BOOST_LEAF_AUTO(parsed, parse_request_id(text, key));
        return parsed;
      },
      [&](const core::Error& error) -> std::optional<RequestId> {
        message = error.message;
        return std::nullopt;
      },
      [] { return std::optional<RequestId>(); });
  return {id, message};
}

}  // namespace

// Guards against ids that are altered by encoding, and against ids forged by a caller.
TEST_CASE("a request id round-trips through its encoding and any altered text is rejected") {
  CHECK(rc::check([] {
    RequestIdGenerator generator({*rc::gen::arbitrary<std::uint64_t>()}, {*rc::gen::arbitrary<std::uint64_t>()}, kKey);
    const RequestId id = generator.generate();
    std::string text = to_string(id);
    RC_ASSERT(text.size() <= kMaxRequestIdLength);
    RC_ASSERT(parse(text).first == id);
    RC_ASSERT(generator.generate() != id);
    const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
    const char replacement = *rc::gen::arbitrary<char>();
    if (text[position] == replacement) return;
    text[position] = replacement;
    const auto [forged, message] = parse(text);
    RC_ASSERT(!forged.has_value());
    RC_ASSERT(!message.empty());
  }));
}

TEST_CASE("malformed ids and ids of another fleet are rejected with a specific error") {
  RequestIdGenerator generator({1}, {2}, kKey);
  const std::string text = to_string(generator.generate());
  CHECK(parse("").second == "a request id has 55 characters");
  CHECK(parse(text + "A").second == "a request id has 55 characters");
  CHECK(parse(std::string(55, '!')).second == "a request id is base64url without padding");
  CHECK(parse(text, core::MacKey{9}).second == "the request id was not issued by this fleet");
}

// Guards against repeats that are not counted, or that are allowed when no daemon can count them.
TEST_CASE("each repeat spends one retry at the home daemon") {
  RetryLedger ledger;
  RequestIdGenerator generator({1}, {2}, kKey);
  const RequestId id = generator.generate();
  RepeatAuthorizer authorizer({1}, {2}, ledger);
  REQUIRE(ledger.open(key_of(id), 3, kNow + seconds(60), kNow));
  CHECK(authorizer.origin_of(id) == RequestIdOrigin::kThisIncarnation);
  int allowance = 3;
  const RepeatGrant first = authorizer.authorize_repeat(id, kNow);
  CHECK(first.granted);
  CHECK(first.share.amount == 1);
  allowance -= 1 + first.share.amount;
  CHECK(ledger.remaining(key_of(id), kNow) == allowance);
  CHECK(authorizer.authorize_repeat(id, kNow).granted);
  const RepeatGrant refused = authorizer.authorize_repeat(id, kNow);
  CHECK_FALSE(refused.granted);
  CHECK(refused.verdict == core::not_run(core::Cause::kRetryBound));
}

TEST_CASE("a repeat is refused if another daemon or an earlier incarnation issued its id") {
  RetryLedger ledger;
  RequestIdGenerator generator({1}, {2}, kKey);
  const RequestId id = generator.generate();
  REQUIRE(ledger.open(key_of(id), 3, kNow + seconds(60), kNow));
  RepeatAuthorizer other({5}, {2}, ledger);
  RepeatAuthorizer restarted({1}, {3}, ledger);
  CHECK(other.origin_of(id) == RequestIdOrigin::kOtherDaemon);
  CHECK(restarted.origin_of(id) == RequestIdOrigin::kEarlierIncarnation);
  CHECK_FALSE(other.authorize_repeat(id, kNow).granted);
  CHECK_FALSE(restarted.authorize_repeat(id, kNow).granted);
  CHECK(RepeatAuthorizer::unconfirmed() == core::not_run(core::Cause::kRetryBound));
}

}  // namespace damaskthread::retry
