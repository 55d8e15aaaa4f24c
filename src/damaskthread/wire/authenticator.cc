#include "damaskthread/wire/authenticator.h"

#include <sodium.h>

#include <stdexcept>
#include <utility>

namespace damaskthread::wire {
namespace {

static_assert(std::tuple_size_v<Tag> >= crypto_generichash_BYTES_MIN);
constexpr std::size_t kHeaderBytes = 1 + std::tuple_size_v<Tag>;

constexpr std::array<std::string_view, kOpenErrorCount> kErrorNames = {"too-short", "too-large", "version", "foreign",
                                                                       "malformed", "replay",    "stale",   "own"};

const unsigned char* byte_data(std::string_view text) noexcept {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

std::string_view to_string(OpenError error) noexcept { return kErrorNames[static_cast<std::size_t>(error)]; }

Authenticator::Authenticator(std::string_view key, Sender self) : self_{self} {
  if (sodium_init() < 0) throw std::runtime_error{"libsodium initialization failed"};
  crypto_generichash(key_.data(), key_.size(), byte_data(key), key.size(), nullptr, 0);
}

Tag Authenticator::tag(std::string_view purpose, std::string_view bytes) const {
  crypto_generichash_state state;
  Tag result;
  crypto_generichash_init(&state, key_.data(), key_.size(), result.size());
  const auto length = static_cast<unsigned char>(purpose.size());
  crypto_generichash_update(&state, &length, 1);
  crypto_generichash_update(&state, byte_data(purpose), length);
  crypto_generichash_update(&state, byte_data(bytes), bytes.size());
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
  if (const auto error = check_replay(received->sender, received->sequence)) return *error;
  return std::move(*received);
}

std::optional<OpenError> Authenticator::check_replay(const Sender& sender, std::uint64_t sequence) {
  // Only senders with the key reach this point, so the table grows only with real servers. At the limit an arbitrary
  // entry is evicted. A replay that this admits carries only claims that the members' counters order anyway.
  if (replay_states_.size() >= kMaxSenders && !replay_states_.contains(sender.id))
    replay_states_.erase(replay_states_.begin());
  ReplayState& replay_state = replay_states_[sender.id];
  if (sender.incarnation < replay_state.incarnation) return OpenError::kStale;
  if (sender.incarnation > replay_state.incarnation)
    replay_state = ReplayState{.incarnation = sender.incarnation, .highest = 0, .window = {}};
  if (sequence > replay_state.highest) {
    const std::uint64_t advance = sequence - replay_state.highest;
    if (advance >= kReplayWindow) {
      replay_state.window.reset();
    } else {
      replay_state.window <<= advance;
    }
    replay_state.highest = sequence;
    replay_state.window.set(0);
    return std::nullopt;
  }
  const std::uint64_t distance = replay_state.highest - sequence;
  if (distance >= kReplayWindow || replay_state.window.test(distance)) return OpenError::kReplay;
  replay_state.window.set(distance);
  return std::nullopt;
}

}  // namespace damaskthread::wire
