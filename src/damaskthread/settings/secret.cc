#include "damaskthread/settings/secret.h"

#include <sodium.h>

#include <ostream>
#include <utility>

namespace damaskthread::settings {

Secret::Secret(std::span<const std::uint8_t> bytes) : bytes_(bytes.begin(), bytes.end()) {}

Secret& Secret::operator=(const Secret& other) {
  if (this != &other) {
    std::vector<std::uint8_t> copy = other.bytes_;
    clear();
    bytes_ = std::move(copy);
  }
  return *this;
}

Secret& Secret::operator=(Secret&& other) noexcept {
  if (this != &other) {
    clear();
    bytes_ = std::move(other.bytes_);
  }
  return *this;
}

Secret::~Secret() { clear(); }

bool Secret::operator==(const Secret& other) const noexcept {
  if (bytes_.size() != other.bytes_.size()) return false;
  return bytes_.empty() || sodium_memcmp(bytes_.data(), other.bytes_.data(), bytes_.size()) == 0;
}

void Secret::clear() noexcept {
  if (!bytes_.empty()) sodium_memzero(bytes_.data(), bytes_.size());
  bytes_.clear();
}

std::ostream& operator<<(std::ostream& out, const Secret&) { return out << "[redacted]"; }

}  // namespace damaskthread::settings
