#include "damaskthread/execution/token.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <boost/leaf/error.hpp>

#include "damaskthread/core/error.h"

namespace damaskthread::execution {
namespace {

constexpr unsigned char kFormatVersion = 1;
constexpr std::size_t kSignedBytes = 1 + 5 * 8;
constexpr std::size_t kTokenBytes = kSignedBytes + core::kMacBytes;
// Length of kTokenBytes in unpadded base64.
constexpr std::size_t kEncodedLength = (kTokenBytes * 4 + 2) / 3;
static_assert(kEncodedLength <= kMaxTokenLength);

using SignedFields = std::array<unsigned char, kSignedBytes>;

SignedFields serialize_signed_fields(const ExecutionToken& token) noexcept {
  SignedFields body;
  body[0] = kFormatVersion;
  core::store_little_endian(token.server.value, &body[1]);
  core::store_little_endian(token.incarnation.value, &body[9]);
  core::store_little_endian(token.sequence, &body[17]);
  core::store_little_endian(token.fingerprint, &body[25]);
  core::store_little_endian(static_cast<std::uint64_t>(token.expiry.time_since_epoch().count()), &body[33]);
  return body;
}

auto invalid_token(const char* message) {
  return boost::leaf::new_error(core::Error{core::ErrorCode::kInvalidInput, "Damask-Token", message});
}

}  // namespace

std::uint64_t fingerprint(std::string_view service, std::string_view method, std::string_view path,
                          std::string_view body) noexcept {
  // Each part is hashed separately, so that moving bytes from one part to the next changes the result.
  const std::array<std::uint64_t, 4> part_hashes = {
      XXH3_64bits(service.data(), service.size()), XXH3_64bits(method.data(), method.size()),
      XXH3_64bits(path.data(), path.size()), XXH3_64bits(body.data(), body.size())};
  return XXH3_64bits(part_hashes.data(), sizeof(part_hashes));
}

core::Mac compute_token_mac(const ExecutionToken& token, const core::MacKey& key) noexcept {
  return core::compute_mac(key, core::MacDomain::kExecutionToken, serialize_signed_fields(token));
}

std::string to_string(const ExecutionToken& token) {
  std::array<unsigned char, kTokenBytes> bytes;
  std::ranges::copy(serialize_signed_fields(token), bytes.begin());
  std::ranges::copy(token.mac, bytes.begin() + kSignedBytes);
  return core::to_base64url(bytes);
}

boost::leaf::result<ExecutionToken> parse_token(std::string_view text, const core::MacKey& key) {
  if (text.size() != kEncodedLength) return invalid_token("a token has 76 characters");
  std::array<unsigned char, kTokenBytes> bytes;
  if (!core::from_base64url(text, bytes)) return invalid_token("a token is base64url without padding");
  if (bytes[0] != kFormatVersion) return invalid_token("unknown format of a token");
  const auto expiry = static_cast<std::int64_t>(core::load_little_endian(&bytes[33]));
  ExecutionToken token{.server = {core::load_little_endian(&bytes[1])},
                       .incarnation = {core::load_little_endian(&bytes[9])},
                       .sequence = core::load_little_endian(&bytes[17]),
                       .fingerprint = core::load_little_endian(&bytes[25]),
                       .expiry = core::TimePoint(core::Duration(expiry))};
  std::copy_n(bytes.begin() + kSignedBytes, core::kMacBytes, token.mac.begin());
  if (!core::equal_constant_time(token.mac, compute_token_mac(token, key)))
    return invalid_token("the token was not issued by this fleet");
  return token;
}

}  // namespace damaskthread::execution
