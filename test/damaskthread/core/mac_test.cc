#include "damaskthread/core/mac.h"

#include <doctest/doctest.h>

#include <array>
#include <string>

namespace damaskthread::core {

// Guards against two texts that decode to the same identifier: libsodium decodes bytes above 0x7f as base64 digits.
// Found by fuzz/identifier_fuzz.cc.
TEST_CASE("from_base64url accepts only the canonical encoding") {
  std::array<unsigned char, 57> bytes{};
  for (std::size_t i = 0; i < bytes.size(); ++i) bytes[i] = static_cast<unsigned char>(37 * i);
  const std::string text = to_base64url(bytes);
  int non_canonical_texts = 0;
  for (std::size_t position = 0; position < text.size(); ++position) {
    for (int byte = 0; byte < 256; ++byte) {
      std::string changed = text;
      changed[position] = static_cast<char>(byte);
      std::array<unsigned char, 57> decoded{};
      if (from_base64url(changed, decoded) && to_base64url(decoded) != changed) ++non_canonical_texts;
    }
  }
  CHECK(non_canonical_texts == 0);
  std::array<unsigned char, 57> decoded{};
  CHECK(from_base64url(text, decoded));
  CHECK(decoded == bytes);
  CHECK_FALSE(from_base64url(text + "A", decoded));
  CHECK_FALSE(from_base64url(text.substr(1), decoded));
}

}  // namespace damaskthread::core
