#include "damaskthread/execution/token.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>
#include <boost/leaf/handle_errors.hpp>
#include <optional>
#include <utility>

#include "damaskthread/core/error.h"

namespace damaskthread::execution {
namespace {

constexpr core::MacKey kKey{4, 5, 6};

// The token, or the message of the error.
std::pair<std::optional<ExecutionToken>, std::string> parse(std::string_view text, const core::MacKey& key = kKey) {
  std::string message;
  std::optional<ExecutionToken> token = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<ExecutionToken>> {
        BOOST_LEAF_AUTO(parsed, parse_token(text, key));
        return parsed;
      },
      [&](const core::Error& error) -> std::optional<ExecutionToken> {
        message = error.message;
        return std::nullopt;
      },
      [] { return std::optional<ExecutionToken>(); });
  return {token, message};
}

ExecutionToken make_token() {
  ExecutionToken token{.server = {1}, .incarnation = {2}, .sequence = 3, .fingerprint = 4};
  token.mac = mac_of(token, kKey);
  return token;
}

}  // namespace

// Guards against tokens that do not survive the header, or that a caller can change.
TEST_CASE("a token survives the text form and no other text passes") {
  CHECK(rc::check([] {
    ExecutionToken token{.server = {*rc::gen::arbitrary<std::uint64_t>()},
                         .incarnation = {*rc::gen::arbitrary<std::uint64_t>()},
                         .sequence = *rc::gen::arbitrary<std::uint64_t>(),
                         .fingerprint = *rc::gen::arbitrary<std::uint64_t>(),
                         .expiry = core::TimePoint(core::Duration(*rc::gen::arbitrary<std::int64_t>()))};
    token.mac = mac_of(token, kKey);
    std::string text = to_string(token);
    RC_ASSERT(text.size() <= kMaxTokenText);
    RC_ASSERT(parse(text).first == token);
    const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
    const char replacement = *rc::gen::arbitrary<char>();
    if (text[position] == replacement) return;
    text[position] = replacement;
    const auto [forged, message] = parse(text);
    RC_ASSERT(!forged.has_value());
    RC_ASSERT(!message.empty());
  }));
}

TEST_CASE("malformed and foreign tokens get an error that says what is wrong") {
  const std::string text = to_string(make_token());
  CHECK(parse("").second == "a token has 76 characters");
  CHECK(parse(text + "A").second == "a token has 76 characters");
  CHECK(parse(std::string(76, '!')).second == "a token is base64url without padding");
  CHECK(parse(text, core::MacKey{9}).second == "the token was not issued by this fleet");
}

// Guards against a code made for a request id that passes as one of a token with the same bytes.
TEST_CASE("codes of different domains differ") {
  const std::array<unsigned char, 3> bytes = {1, 2, 3};
  CHECK_FALSE(core::equal_constant_time(core::compute_mac(kKey, core::MacDomain::kRequestId, bytes),
                                        core::compute_mac(kKey, core::MacDomain::kExecutionToken, bytes)));
}

// Guards against two requests that share a fingerprint because a byte moved from one part to the next.
TEST_CASE("the fingerprint tells the parts of a request apart") {
  const std::uint64_t one = fingerprint("orders", "POST", "/a", "bc");
  CHECK(one == fingerprint("orders", "POST", "/a", "bc"));
  CHECK(one != fingerprint("orders", "POST", "/ab", "c"));
  CHECK(one != fingerprint("order", "sPOST", "/a", "bc"));
  CHECK(one != fingerprint("orders", "PUT", "/a", "bc"));
  CHECK(one != fingerprint("orders", "POST", "/b", "bc"));
  CHECK(one != fingerprint("orders", "POST", "/a", "bd"));
  CHECK(one != fingerprint("POST", "orders", "/a", "bc"));
}

}  // namespace damaskthread::execution
