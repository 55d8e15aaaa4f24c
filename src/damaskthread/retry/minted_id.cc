#include "damaskthread/retry/minted_id.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <boost/leaf/error.hpp>

#include "damaskthread/core/error.h"

namespace damaskthread::retry {
namespace {

constexpr unsigned char kFormat = 1;
constexpr std::size_t kBodyBytes = 1 + 3 * 8;
constexpr std::size_t kIdBytes = kBodyBytes + core::kMacBytes;
// Unpadded base64 length of kIdBytes.
constexpr std::size_t kIdText = (kIdBytes * 4 + 2) / 3;
static_assert(kIdText <= kMaxIdText);

using Body = std::array<unsigned char, kBodyBytes>;

Body body_of(const MintedId& id) noexcept {
  Body body;
  body[0] = kFormat;
  core::store_little_endian(id.home.value, &body[1]);
  core::store_little_endian(id.incarnation.value, &body[9]);
  core::store_little_endian(id.sequence, &body[17]);
  return body;
}

auto invalid(const char* message) {
  return boost::leaf::new_error(core::Error{core::ErrorCode::kInvalidInput, "Damask-Request-Id", message});
}

}  // namespace

core::RequestKey key_of(const MintedId& id) noexcept {
  const Body body = body_of(id);
  const XXH128_hash_t hash = XXH3_128bits(body.data(), body.size());
  return {hash.high64, hash.low64};
}

std::string to_string(const MintedId& id) {
  std::array<unsigned char, kIdBytes> bytes;
  const Body body = body_of(id);
  std::ranges::copy(body, bytes.begin());
  std::ranges::copy(id.mac, bytes.begin() + kBodyBytes);
  return core::to_base64url(bytes);
}

boost::leaf::result<MintedId> parse_minted_id(std::string_view text, const core::MacKey& key) {
  if (text.size() != kIdText) return invalid("a request id has 55 characters");
  std::array<unsigned char, kIdBytes> bytes;
  if (!core::from_base64url(text, bytes)) return invalid("a request id is base64url without padding");
  if (bytes[0] != kFormat) return invalid("unknown format of a request id");
  MintedId id{.home = {core::load_little_endian(&bytes[1])},
              .incarnation = {core::load_little_endian(&bytes[9])},
              .sequence = core::load_little_endian(&bytes[17])};
  std::copy_n(bytes.begin() + kBodyBytes, core::kMacBytes, id.mac.begin());
  if (!core::equal_constant_time(id.mac, core::compute_mac(key, core::MacDomain::kRequestId, body_of(id)))) {
    return invalid("the request id was not issued by this fleet");
  }
  return id;
}

IdMinter::IdMinter(core::ServerId home, core::Incarnation incarnation, const core::MacKey& key) noexcept
    : home_(home), incarnation_(incarnation), key_(key) {}

MintedId IdMinter::mint() noexcept {
  MintedId id{.home = home_, .incarnation = incarnation_, .sequence = next_.fetch_add(1, std::memory_order_relaxed)};
  id.mac = core::compute_mac(key_, core::MacDomain::kRequestId, body_of(id));
  return id;
}

RepeatGuard::RepeatGuard(core::ServerId self, core::Incarnation incarnation, RetryLedger& ledger) noexcept
    : self_(self), incarnation_(incarnation), ledger_(&ledger) {}

RepeatPlace RepeatGuard::place(const MintedId& id) const noexcept {
  if (id.home != self_) return RepeatPlace::kHome;
  return id.incarnation == incarnation_ ? RepeatPlace::kHere : RepeatPlace::kHomeGone;
}

RepeatGrant RepeatGuard::count_repeat(const MintedId& id, core::TimePoint now) noexcept {
  if (place(id) != RepeatPlace::kHere) return {.verdict = unconfirmed()};
  const core::RequestKey key = key_of(id);
  if (!ledger_->spend(key, now)) return {.verdict = unconfirmed()};
  return {.granted = true, .share = ledger_->split(key, now)};
}

core::Verdict RepeatGuard::unconfirmed() noexcept { return core::not_run(core::Cause::kRetryBound); }

}  // namespace damaskthread::retry
