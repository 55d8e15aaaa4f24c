#include "damaskthread/core/mac.h"

#include <doctest/doctest.h>

#include <array>
#include <string>

namespace damaskthread::core {

// Guards against a second spelling of an identifier: libsodium takes every byte above 0x7f for some digit (found by
// fuzz/identifier_fuzz.cc).
TEST_CASE("base64url has one text for the same bytes") {
  std::array<unsigned char, 57> bytes{};
  for (std::size_t i = 0; i < bytes.size(); ++i) bytes[i] = static_cast<unsigned char>(37 * i);
  const std::string text = to_base64url(bytes);
  int aliases = 0;
  for (std::size_t at = 0; at < text.size(); ++at) {
    for (int byte = 0; byte < 256; ++byte) {
      std::string changed = text;
      changed[at] = static_cast<char>(byte);
      std::array<unsigned char, 57> decoded{};
      if (from_base64url(changed, decoded) && to_base64url(decoded) != changed) ++aliases;
    }
  }
  CHECK(aliases == 0);
  std::array<unsigned char, 57> decoded{};
  CHECK(from_base64url(text, decoded));
  CHECK(decoded == bytes);
  CHECK_FALSE(from_base64url(text + "A", decoded));
  CHECK_FALSE(from_base64url(text.substr(1), decoded));
}

}  // namespace damaskthread::core
