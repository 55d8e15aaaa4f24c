#ifndef DAMASKTHREAD_WIRE_AUTHENTICATOR_H_
#define DAMASKTHREAD_WIRE_AUTHENTICATOR_H_

/// @file
/// @brief Seals control messages under the shared key and opens those of other daemons.

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

/// Why a received message is dropped.
enum class OpenError : std::uint8_t {
  kTooShort,
  kTooLarge,
  kVersion,
  kForeign,    ///< The tag does not match: another key, or damaged bytes.
  kMalformed,  ///< The tag matches but the content does not parse.
  kReplay,     ///< Seen before, or too old to tell.
  kStale,      ///< From an earlier incarnation of its sender.
  kOwn,        ///< Sent under this daemon's own id.
};
inline constexpr std::size_t kOpenErrorCount = 8;

/// @brief Name of an error, for metrics.
[[nodiscard]] std::string_view to_string(OpenError error) noexcept;

using Tag = std::array<unsigned char, 16>;

/// What open() has seen so far.
struct OpenCounters {
  std::uint64_t opened = 0;
  std::array<std::uint64_t, kOpenErrorCount> dropped{};  ///< Indexed by OpenError.
};

/// Seals and opens messages with keyed BLAKE2b. Not thread-safe except for tag() and verify().
class Authenticator {
 public:
  /// @param key The shared key of the settings; any length above zero.
  /// @param self This daemon; its sequence starts anew with each incarnation.
  Authenticator(std::string_view key, Sender self);

  /// @brief Encodes a message and adds version and tag.
  [[nodiscard]] std::string seal(const Message& message);

  /// @brief Checks and decodes a sealed message; every drop is counted.
  /// @param bytes Any bytes from the network.
  /// @return The message, or why it is dropped.
  [[nodiscard]] std::variant<Received, OpenError> open(std::string_view bytes);

  /// @brief Tag over bytes that are not a control message, such as the headers of a peer call.
  /// @param purpose Keeps tags of different uses apart.
  [[nodiscard]] Tag tag(std::string_view purpose, std::string_view bytes) const;
  /// @brief Checks a tag in constant time.
  [[nodiscard]] bool verify(std::string_view purpose, std::string_view bytes, std::string_view tag) const;

  [[nodiscard]] const OpenCounters& counters() const noexcept { return counters_; }

 private:
  // Width of the window in which messages of one sender may arrive out of order. A sender counts all its messages in
  // one sequence, about 30 a second in a burst, so that 256 cover several seconds of delay.
  static constexpr std::size_t kWindow = 256;
  // Bound on remembered senders; more than twice the planned 2,400 servers with a day of replacements.
  static constexpr std::size_t kMaxSenders = 16384;

  struct Seen {
    core::Incarnation incarnation;
    std::uint64_t highest = 0;
    std::bitset<kWindow> window;
  };

  [[nodiscard]] std::variant<Received, OpenError> check(std::string_view bytes);
  // Nothing if the message is new.
  [[nodiscard]] std::optional<OpenError> admit(const Sender& sender, std::uint64_t sequence);

  std::array<unsigned char, 32> key_{};
  Sender self_;
  std::uint64_t sequence_ = 0;
  std::unordered_map<core::ServerId, Seen> seen_;
  OpenCounters counters_;
};

}  // namespace damaskthread::wire

#endif  // DAMASKTHREAD_WIRE_AUTHENTICATOR_H_
