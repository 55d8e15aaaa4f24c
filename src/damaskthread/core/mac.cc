#include "damaskthread/core/mac.h"

#include <sodium.h>

#include <algorithm>

namespace damaskthread::core {
namespace {

// sodium_init selects the fastest implementation for the processor and may be called repeatedly.
void initialize_sodium() noexcept {
  static const int result = sodium_init();
  (void)result;
}

}  // namespace

Mac compute_mac(const MacKey& key, MacDomain domain, std::span<const unsigned char> bytes) noexcept {
  initialize_sodium();
  crypto_generichash_state state;
  const auto domain_byte = static_cast<unsigned char>(domain);
  Mac mac;
  crypto_generichash_init(&state, key.data(), key.size(), mac.size());
  crypto_generichash_update(&state, &domain_byte, 1);
  crypto_generichash_update(&state, bytes.data(), bytes.size());
  crypto_generichash_final(&state, mac.data(), mac.size());
  return mac;
}

bool equal_constant_time(const Mac& left, const Mac& right) noexcept {
  return sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string to_base64url(std::span<const unsigned char> bytes) {
  std::string text(sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_URLSAFE_NO_PADDING), '\0');
  sodium_bin2base64(text.data(), text.size(), bytes.data(), bytes.size(), sodium_base64_VARIANT_URLSAFE_NO_PADDING);
  text.pop_back();  // The encoded length counts the terminating zero.
  return text;
}

bool from_base64url(std::string_view text, std::span<unsigned char> bytes) noexcept {
  // Where char is signed, libsodium 1.0.18 decodes some bytes above 127 as base64 digits.
  if (std::ranges::any_of(text, [](char c) { return static_cast<unsigned char>(c) > 127; })) return false;
  std::size_t size = 0;
  const int result = sodium_base642bin(bytes.data(), bytes.size(), text.data(), text.size(), nullptr, &size, nullptr,
                                       sodium_base64_VARIANT_URLSAFE_NO_PADDING);
  return result == 0 && size == bytes.size();
}

}  // namespace damaskthread::core
