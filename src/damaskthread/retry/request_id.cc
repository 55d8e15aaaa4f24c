#include "damaskthread/retry/request_id.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <boost/leaf/error.hpp>

#include "damaskthread/core/error.h"

namespace damaskthread::retry {
namespace {

constexpr unsigned char kFormatVersion = 1;
constexpr std::size_t kSignedBytes = 1 + 3 * 8;
constexpr std::size_t kIdBytes = kSignedBytes + core::kMacBytes;
// Length of kIdBytes in unpadded base64.
constexpr std::size_t kEncodedLength = (kIdBytes * 4 + 2) / 3;
static_assert(kEncodedLength <= kMaxRequestIdLength);

using SignedFields = std::array<unsigned char, kSignedBytes>;

SignedFields serialize_signed_fields(const RequestId& id) noexcept {
  SignedFields body;
  body[0] = kFormatVersion;
  core::store_little_endian(id.home.value, &body[1]);
  core::store_little_endian(id.incarnation.value, &body[9]);
  core::store_little_endian(id.sequence, &body[17]);
  return body;
}

auto invalid_request_id(const char* message) {
  return boost::leaf::new_error(core::Error{core::ErrorCode::kInvalidInput, "Damask-Request-Id", message});
}

}  // namespace

core::RequestKey key_of(const RequestId& id) noexcept {
  const SignedFields body = serialize_signed_fields(id);
  const XXH128_hash_t hash = XXH3_128bits(body.data(), body.size());
  return {hash.high64, hash.low64};
}

std::string to_string(const RequestId& id) {
  std::array<unsigned char, kIdBytes> bytes;
  const SignedFields body = serialize_signed_fields(id);
  std::ranges::copy(body, bytes.begin());
  std::ranges::copy(id.mac, bytes.begin() + kSignedBytes);
  return core::to_base64url(bytes);
}

boost::leaf::result<RequestId> parse_request_id(std::string_view text, const core::MacKey& key) {
  if (text.size() != kEncodedLength) return invalid_request_id("a request id has 55 characters");
  std::array<unsigned char, kIdBytes> bytes;
  if (!core::from_base64url(text, bytes)) return invalid_request_id("a request id is base64url without padding");
  if (bytes[0] != kFormatVersion) return invalid_request_id("unknown format of a request id");
  RequestId id{.home = {core::load_little_endian(&bytes[1])},
               .incarnation = {core::load_little_endian(&bytes[9])},
               .sequence = core::load_little_endian(&bytes[17])};
  std::copy_n(bytes.begin() + kSignedBytes, core::kMacBytes, id.mac.begin());
  if (!core::equal_constant_time(id.mac,
                                 core::compute_mac(key, core::MacDomain::kRequestId, serialize_signed_fields(id)))) {
    return invalid_request_id("the request id was not issued by this fleet");
  }
  return id;
}

RequestIdGenerator::RequestIdGenerator(core::ServerId home, core::Incarnation incarnation,
                                       const core::MacKey& key) noexcept
    : home_(home), incarnation_(incarnation), key_(key) {}

RequestId RequestIdGenerator::generate() noexcept {
  RequestId id{
      .home = home_, .incarnation = incarnation_, .sequence = next_sequence_.fetch_add(1, std::memory_order_relaxed)};
  id.mac = core::compute_mac(key_, core::MacDomain::kRequestId, serialize_signed_fields(id));
  return id;
}

RepeatAuthorizer::RepeatAuthorizer(core::ServerId self, core::Incarnation incarnation, RetryLedger& ledger) noexcept
    : self_(self), incarnation_(incarnation), ledger_(&ledger) {}

RequestIdOrigin RepeatAuthorizer::origin_of(const RequestId& id) const noexcept {
  if (id.home != self_) return RequestIdOrigin::kOtherDaemon;
  return id.incarnation == incarnation_ ? RequestIdOrigin::kThisIncarnation : RequestIdOrigin::kEarlierIncarnation;
}

RepeatGrant RepeatAuthorizer::authorize_repeat(const RequestId& id, core::TimePoint now) noexcept {
  if (origin_of(id) != RequestIdOrigin::kThisIncarnation) return {.verdict = unconfirmed()};
  const core::RequestKey key = key_of(id);
  if (!ledger_->spend(key, now)) return {.verdict = unconfirmed()};
  return {.granted = true, .share = ledger_->split(key, now)};
}

core::Verdict RepeatAuthorizer::unconfirmed() noexcept { return core::not_run(core::Cause::kRetryBound); }

}  // namespace damaskthread::retry
