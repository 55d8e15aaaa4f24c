#include "support/content_pattern.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdint>

namespace damaskthread::support {
namespace {

constexpr std::size_t kBlock = 16;

std::array<char, kBlock> block(std::uint64_t seed, std::uint64_t index) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::uint64_t value = (seed ^ index) * 0x9E3779B97F4A7C15ULL;
  value ^= value >> 32;
  std::array<char, kBlock> text{};
  for (char& c : text) {
    c = kDigits[value & 15];
    value >>= 4;
  }
  return text;
}

}  // namespace

std::string make_content(std::string_view key, std::size_t size) {
  const std::uint64_t seed = XXH3_64bits(key.data(), key.size());
  std::string content;
  content.reserve(size + kBlock);
  for (std::uint64_t i = 0; content.size() < size; ++i) {
    const auto text = block(seed, i);
    content.append(text.data(), text.size());
  }
  content.resize(size);
  return content;
}

bool is_content_prefix(std::string_view key, std::string_view body) {
  const std::uint64_t seed = XXH3_64bits(key.data(), key.size());
  for (std::uint64_t i = 0; !body.empty(); ++i) {
    const auto text = block(seed, i);
    const std::size_t length = std::min(kBlock, body.size());
    if (body.substr(0, length) != std::string_view(text.data(), length)) return false;
    body.remove_prefix(length);
  }
  return true;
}

}  // namespace damaskthread::support
