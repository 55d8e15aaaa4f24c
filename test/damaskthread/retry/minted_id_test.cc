#include "damaskthread/retry/minted_id.h"

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

// The id, or the message of the error.
std::pair<std::optional<MintedId>, std::string> parse(std::string_view text, const core::MacKey& key = kKey) {
  std::string message;
  std::optional<MintedId> id = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<MintedId>> {
        BOOST_LEAF_AUTO(parsed, parse_minted_id(text, key));
        return parsed;
      },
      [&](const core::Error& error) -> std::optional<MintedId> {
        message = error.message;
        return std::nullopt;
      },
      [] { return std::optional<MintedId>(); });
  return {id, message};
}

}  // namespace

// Guards against ids that do not survive the header, or that a caller can make up.
TEST_CASE("a minted id survives the text form and no other text passes") {
  CHECK(rc::check([] {
    IdMinter minter({*rc::gen::arbitrary<std::uint64_t>()}, {*rc::gen::arbitrary<std::uint64_t>()}, kKey);
    const MintedId id = minter.mint();
    std::string text = to_string(id);
    RC_ASSERT(text.size() <= kMaxIdText);
    RC_ASSERT(parse(text).first == id);
    RC_ASSERT(minter.mint() != id);
    const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
    const char replacement = *rc::gen::arbitrary<char>();
    if (text[position] == replacement) return;
    text[position] = replacement;
    const auto [forged, message] = parse(text);
    RC_ASSERT(!forged.has_value());
    RC_ASSERT(!message.empty());
  }));
}

TEST_CASE("malformed and foreign ids get an error that says what is wrong") {
  IdMinter minter({1}, {2}, kKey);
  const std::string text = to_string(minter.mint());
  CHECK(parse("").second == "a request id has 55 characters");
  CHECK(parse(text + "A").second == "a request id has 55 characters");
  CHECK(parse(std::string(55, '!')).second == "a request id is base64url without padding");
  CHECK(parse(text, core::MacKey{9}).second == "the request id was not issued by this fleet");
}

// Guards against repeats that are not counted, or that are let through when nobody can count them.
TEST_CASE("each repeat spends one retry at the home daemon") {
  RetryLedger ledger;
  IdMinter minter({1}, {2}, kKey);
  const MintedId id = minter.mint();
  RepeatGuard guard({1}, {2}, ledger);
  REQUIRE(ledger.open(key_of(id), 3, kNow + seconds(60), kNow));
  CHECK(guard.place(id) == RepeatPlace::kHere);
  int allowance = 3;
  const RepeatGrant first = guard.count_repeat(id, kNow);
  CHECK(first.granted);
  CHECK(first.share.amount == 1);
  allowance -= 1 + first.share.amount;
  CHECK(ledger.left(key_of(id), kNow) == allowance);
  CHECK(guard.count_repeat(id, kNow).granted);
  const RepeatGrant refused = guard.count_repeat(id, kNow);
  CHECK_FALSE(refused.granted);
  CHECK(refused.verdict == core::not_run(core::Cause::kRetryBound));
}

TEST_CASE("a repeat is refused when its home is another or an earlier daemon") {
  RetryLedger ledger;
  IdMinter minter({1}, {2}, kKey);
  const MintedId id = minter.mint();
  REQUIRE(ledger.open(key_of(id), 3, kNow + seconds(60), kNow));
  RepeatGuard other({5}, {2}, ledger);
  RepeatGuard restarted({1}, {3}, ledger);
  CHECK(other.place(id) == RepeatPlace::kHome);
  CHECK(restarted.place(id) == RepeatPlace::kHomeGone);
  CHECK_FALSE(other.count_repeat(id, kNow).granted);
  CHECK_FALSE(restarted.count_repeat(id, kNow).granted);
  CHECK(RepeatGuard::unconfirmed() == core::not_run(core::Cause::kRetryBound));
}

}  // namespace damaskthread::retry
