#ifndef DAMASKTHREAD_WIRE_AUTHENTICATOR_H_
#define DAMASKTHREAD_WIRE_AUTHENTICATOR_H_

/// @file
/// @brief Authenticates control messages between daemons with the shared key.

#include <array>
#include <bitset>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>

#include "damaskthread/wire/message.h"

namespace damaskthread::wire {

/// Reason for dropping a received message.
enum class OpenError : std::uint8_t {
  kTooShort,
  kTooLarge,
  kVersion,
  kForeign,    ///< The tag does not match: different key or corrupted bytes.
  kMalformed,  ///< The tag matches but the payload cannot be decoded.
  kReplay,     ///< Already received, or older than the replay window.
  kStale,      ///< From an earlier incarnation of the sender than one already received.
  kOwn,        ///< Sent under this daemon's own id by this or an earlier incarnation.
};
inline constexpr std::size_t kOpenErrorCount = 8;

/// @brief Returns the name of an error as used in metrics.
[[nodiscard]] std::string_view to_string(OpenError error) noexcept;

/// Message authentication code.
using Tag = std::array<unsigned char, 16>;

/// Counters of Authenticator::open().
struct OpenCounters {
  std::uint64_t opened = 0;
  std::array<std::uint64_t, kOpenErrorCount> dropped{};  ///< Indexed by OpenError.
};

/// Seals and opens messages with keyed BLAKE2b and rejects replays. Only tag() and verify() are thread-safe.
class Authenticator {
 public:
  /// @param key Shared key from the settings. Must not be empty.
  /// @param self This daemon. The sequence restarts with each incarnation.
  Authenticator(std::string_view key, Sender self);

  /// @brief Encodes a message and prepends the version and the tag.
  [[nodiscard]] std::string seal(const Message& message);

  /// @brief Verifies and decodes a sealed message. Every dropped message is counted.
  /// @param bytes Untrusted bytes from the network.
  /// @return The message, or the reason for dropping it.
  [[nodiscard]] std::variant<Received, OpenError> open(std::string_view bytes);

  /// @brief Computes a tag over any bytes, such as the headers of a peer call.
  /// @param purpose Domain separator: a tag is valid only for the purpose it was computed for.
  [[nodiscard]] Tag tag(std::string_view purpose, std::string_view bytes) const;
  /// @brief Verifies a tag in constant time.
  [[nodiscard]] bool verify(std::string_view purpose, std::string_view bytes, std::string_view tag) const;

  [[nodiscard]] const OpenCounters& counters() const noexcept { return counters_; }

 private:
  // Size of the window in which messages of one sender may arrive out of order. A sender numbers all its messages in
  // one sequence, about 30 per second in a burst, so 256 cover several seconds of delay.
  static constexpr std::size_t kReplayWindow = 256;
  // Maximum number of senders with replay state: more than twice the planned 2,400 servers with a day of replacements.
  static constexpr std::size_t kMaxSenders = 16384;

  // Replay window of one sender. Bit i of `window` is set if sequence `highest` - i was received.
  struct ReplayState {
    core::Incarnation incarnation;
    std::uint64_t highest = 0;
    std::bitset<kReplayWindow> window;
  };

  [[nodiscard]] std::variant<Received, OpenError> check(std::string_view bytes);
  // Records the sequence. Returns `std::nullopt` if the message is new.
  [[nodiscard]] std::optional<OpenError> check_replay(const Sender& sender, std::uint64_t sequence);

  std::array<unsigned char, 32> key_{};
  Sender self_;
  std::uint64_t sequence_ = 0;
  std::unordered_map<core::ServerId, ReplayState> replay_states_;
  OpenCounters counters_;
};

}  // namespace damaskthread::wire

#endif  // DAMASKTHREAD_WIRE_AUTHENTICATOR_H_
