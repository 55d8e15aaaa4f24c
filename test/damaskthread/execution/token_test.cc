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

// Returns the token, or the error message.
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
  token.mac = compute_token_mac(token, kKey);
  return token;
}

}  // namespace

// Guards against tokens that are altered by encoding, and against tokens modified by a caller.
TEST_CASE("a token round-trips through its encoding and any altered text is rejected") {
  CHECK(rc::check([] {
    ExecutionToken token{.server = {*rc::gen::arbitrary<std::uint64_t>()},
                         .incarnation = {*rc::gen::arbitrary<std::uint64_t>()},
                         .sequence = *rc::gen::arbitrary<std::uint64_t>(),
                         .fingerprint = *rc::gen::arbitrary<std::uint64_t>(),
                         .expiry = core::TimePoint(core::Duration(*rc::gen::arbitrary<std::int64_t>()))};
    token.mac = compute_token_mac(token, kKey);
    std::string text = to_string(token);
    RC_ASSERT(text.size() <= kMaxTokenLength);
    RC_ASSERT(parse(text).first == token);
    const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
    const char replacement = *rc::gen::arbitrary<char>();
    if (text[position] == replacement) return;
    text[position] = replacement;
    const auto [altered, message] = parse(text);
    RC_ASSERT(!altered.has_value());
    RC_ASSERT(!message.empty());
  }));
}

TEST_CASE("malformed tokens and tokens of another fleet are rejected with a specific error") {
  const std::string text = to_string(make_token());
  CHECK(parse("").second == "a token has 76 characters");
  CHECK(parse(text + "A").second == "a token has 76 characters");
  CHECK(parse(std::string(76, '!')).second == "a token is base64url without padding");
  CHECK(parse(text, core::MacKey{9}).second == "the token was not issued by this fleet");
}

// Guards against the MAC of a request id being accepted for a token with the same bytes.
TEST_CASE("MACs of different domains differ") {
  const std::array<unsigned char, 3> bytes = {1, 2, 3};
  CHECK_FALSE(core::equal_constant_time(core::compute_mac(kKey, core::MacDomain::kRequestId, bytes),
                                        core::compute_mac(kKey, core::MacDomain::kExecutionToken, bytes)));
}

// Guards against requests with equal fingerprints that differ only in the boundaries between their parts.
TEST_CASE("the fingerprint depends on the boundaries between the parts of a request") {
  const std::uint64_t base = fingerprint("orders", "POST", "/a", "bc");
  CHECK(base == fingerprint("orders", "POST", "/a", "bc"));
  CHECK(base != fingerprint("orders", "POST", "/ab", "c"));
  CHECK(base != fingerprint("order", "sPOST", "/a", "bc"));
  CHECK(base != fingerprint("orders", "PUT", "/a", "bc"));
  CHECK(base != fingerprint("orders", "POST", "/b", "bc"));
  CHECK(base != fingerprint("orders", "POST", "/a", "bd"));
  CHECK(base != fingerprint("POST", "orders", "/a", "bc"));
}

}  // namespace damaskthread::execution
