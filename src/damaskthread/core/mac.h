#ifndef DAMASKTHREAD_CORE_MAC_H_
#define DAMASKTHREAD_CORE_MAC_H_

/// @file
/// @brief Message authentication codes and base64url encoding for identifiers that callers store and return.

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace damaskthread::core {

inline constexpr std::size_t kMacBytes = 16;
using Mac = std::array<unsigned char, kMacBytes>;
/// Key shared by all daemons of a fleet.
using MacKey = std::array<unsigned char, 32>;

/// Domain separation: a code computed for one kind of identifier is invalid for another.
enum class MacDomain : std::uint8_t { kRequestId = 1, kExecutionToken = 2 };

/// @brief Computes a keyed BLAKE2b message authentication code.
/// @param key The shared key.
/// @param domain Kind of identifier to authenticate.
/// @param bytes The bytes to authenticate.
/// @return The code.
[[nodiscard]] Mac compute_mac(const MacKey& key, MacDomain domain, std::span<const unsigned char> bytes) noexcept;

/// @brief Compares two codes in constant time.
/// @param left One code.
/// @param right The other code.
/// @return True if they are equal.
[[nodiscard]] bool equal_constant_time(const Mac& left, const Mac& right) noexcept;

/// @brief Encodes bytes as base64url without padding.
/// @param bytes The bytes to encode.
/// @return The text.
[[nodiscard]] std::string to_base64url(std::span<const unsigned char> bytes);

/// @brief Decodes base64url without padding. The decoded size must equal the size of the buffer.
/// @param text The text to decode; only the canonical encoding is accepted.
/// @param bytes Receives the bytes.
/// @return True if the text is valid and fills the buffer.
[[nodiscard]] bool from_base64url(std::string_view text, std::span<unsigned char> bytes) noexcept;

/// @brief Stores a 64-bit integer in little-endian order.
/// @param value The number.
/// @param bytes Receives eight bytes.
inline void store_little_endian(std::uint64_t value, unsigned char* bytes) noexcept {
  for (int i = 0; i < 8; ++i) bytes[i] = static_cast<unsigned char>(value >> (8 * i));
}

/// @brief Loads a 64-bit integer in little-endian order.
/// @param bytes Eight bytes.
/// @return The number.
[[nodiscard]] inline std::uint64_t load_little_endian(const unsigned char* bytes) noexcept {
  std::uint64_t value = 0;
  for (int i = 7; i >= 0; --i) value = (value << 8) | bytes[i];
  return value;
}

}  // namespace damaskthread::core

#endif  // DAMASKTHREAD_CORE_MAC_H_
