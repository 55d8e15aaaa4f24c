#include "damaskthread/core/mac.h"

#include <sodium.h>

namespace damaskthread::core {
namespace {

// sodium_init selects the fastest implementation for the processor; it may be called any number of times.
void prepare() noexcept {
  static const int result = sodium_init();
  (void)result;
}

}  // namespace

Mac compute_mac(const MacKey& key, MacDomain domain, std::span<const unsigned char> bytes) noexcept {
  prepare();
  crypto_generichash_state state;
  const auto tag = static_cast<unsigned char>(domain);
  Mac mac;
  crypto_generichash_init(&state, key.data(), key.size(), mac.size());
  crypto_generichash_update(&state, &tag, 1);
  crypto_generichash_update(&state, bytes.data(), bytes.size());
  crypto_generichash_final(&state, mac.data(), mac.size());
  return mac;
}

bool equal(const Mac& left, const Mac& right) noexcept {
  return sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string to_base64url(std::span<const unsigned char> bytes) {
  std::string text(sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_URLSAFE_NO_PADDING), '\0');
  sodium_bin2base64(text.data(), text.size(), bytes.data(), bytes.size(), sodium_base64_VARIANT_URLSAFE_NO_PADDING);
  text.pop_back();  // The encoded length counts the terminating zero.
  return text;
}

bool from_base64url(std::string_view text, std::span<unsigned char> bytes) noexcept {
  // libsodium 1.0.18 takes every byte above 0x7f for some digit, which would give one identifier many spellings.
  for (const char c : text) {
    if (static_cast<unsigned char>(c) > 0x7f) return false;
  }
  std::size_t size = 0;
  const int result = sodium_base642bin(bytes.data(), bytes.size(), text.data(), text.size(), nullptr, &size, nullptr,
                                       sodium_base64_VARIANT_URLSAFE_NO_PADDING);
  return result == 0 && size == bytes.size();
}

}  // namespace damaskthread::core
