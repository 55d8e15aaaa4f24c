#include "damaskthread/wire/authenticator.h"

#include <sodium.h>

#include <stdexcept>
#include <utility>

namespace damaskthread::wire {
namespace {

static_assert(std::tuple_size_v<Tag> >= crypto_generichash_BYTES_MIN);
constexpr std::size_t kHeaderBytes = 1 + std::tuple_size_v<Tag>;

constexpr std::array<std::string_view, kOpenErrorCount> kNames = {"too-short", "too-large", "version", "foreign",
                                                                  "malformed", "replay",    "stale",   "own"};

const unsigned char* data(std::string_view text) noexcept {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

std::string_view to_string(OpenError error) noexcept { return kNames[static_cast<std::size_t>(error)]; }

Authenticator::Authenticator(std::string_view key, Sender self) : self_{self} {
  if (sodium_init() < 0) throw std::runtime_error{"libsodium: initialization fails"};
  crypto_generichash(key_.data(), key_.size(), data(key), key.size(), nullptr, 0);
}

Tag Authenticator::tag(std::string_view purpose, std::string_view bytes) const {
  crypto_generichash_state state;
  Tag result;
  crypto_generichash_init(&state, key_.data(), key_.size(), result.size());
  const auto length = static_cast<unsigned char>(purpose.size());
  crypto_generichash_update(&state, &length, 1);
  crypto_generichash_update(&state, data(purpose), length);
  crypto_generichash_update(&state, data(bytes), bytes.size());
  crypto_generichash_final(&state, result.data(), result.size());
  return result;
}

bool Authenticator::verify(std::string_view purpose, std::string_view bytes, std::string_view tag) const {
  const Tag expected = this->tag(purpose, bytes);
  return tag.size() == expected.size() && sodium_memcmp(expected.data(), tag.data(), expected.size()) == 0;
}

std::string Authenticator::seal(const Message& message) {
  const std::string payload = encode(self_, ++sequence_, message);
  const Tag mac = tag("control", payload);
  std::string bytes;
  bytes.reserve(kHeaderBytes + payload.size());
  bytes.push_back(static_cast<char>(kVersion));
  bytes.append(reinterpret_cast<const char*>(mac.data()), mac.size());
  bytes.append(payload);
  return bytes;
}

std::variant<Received, OpenError> Authenticator::open(std::string_view bytes) {
  auto result = check(bytes);
  if (const auto* error = std::get_if<OpenError>(&result)) {
    ++counters_.dropped[static_cast<std::size_t>(*error)];
  } else {
    ++counters_.opened;
  }
  return result;
}

std::variant<Received, OpenError> Authenticator::check(std::string_view bytes) {
  if (bytes.size() <= kHeaderBytes) return OpenError::kTooShort;
  if (bytes.size() > kMaxMessageBytes) return OpenError::kTooLarge;
  if (static_cast<std::uint8_t>(bytes[0]) != kVersion) return OpenError::kVersion;
  const std::string_view payload = bytes.substr(kHeaderBytes);
  if (!verify("control", payload, bytes.substr(1, kHeaderBytes - 1))) return OpenError::kForeign;
  std::optional<Received> received = decode(payload);
  if (!received) return OpenError::kMalformed;
  if (received->sender.id == self_.id && received->sender.incarnation <= self_.incarnation) return OpenError::kOwn;
  if (const auto error = admit(received->sender, received->sequence)) return *error;
  return std::move(*received);
}

std::optional<OpenError> Authenticator::admit(const Sender& sender, std::uint64_t sequence) {
  // Only holders of the key get here, so the table grows only with real servers. Past the bound an arbitrary entry
  // goes; a replay that this lets through carries only claims that the counters of the members order anyway.
  if (seen_.size() >= kMaxSenders && !seen_.contains(sender.id)) seen_.erase(seen_.begin());
  Seen& seen = seen_[sender.id];
  if (sender.incarnation < seen.incarnation) return OpenError::kStale;
  if (sender.incarnation > seen.incarnation) seen = Seen{.incarnation = sender.incarnation, .highest = 0, .window = {}};
  if (sequence > seen.highest) {
    const std::uint64_t step = sequence - seen.highest;
    if (step >= kWindow) {
      seen.window.reset();
    } else {
      seen.window <<= step;
    }
    seen.highest = sequence;
    seen.window.set(0);
    return std::nullopt;
  }
  const std::uint64_t behind = seen.highest - sequence;
  if (behind >= kWindow || seen.window.test(behind)) return OpenError::kReplay;
  seen.window.set(behind);
  return std::nullopt;
}

}  // namespace damaskthread::wire
