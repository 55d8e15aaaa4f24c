#include "damaskthread/core/types.h"

#include <array>

namespace damaskthread::core {
namespace {

constexpr std::array<std::string_view, kImportanceCount> kImportanceNames = {"sheddable", "normal", "high", "critical"};

}  // namespace

std::string_view to_string(Importance importance) noexcept {
  return kImportanceNames[static_cast<std::size_t>(importance)];
}

std::optional<Importance> parse_importance(std::string_view text) noexcept {
  for (std::size_t i = 0; i < kImportanceNames.size(); ++i) {
    if (kImportanceNames[i] == text) return static_cast<Importance>(i);
  }
  return std::nullopt;
}

}  // namespace damaskthread::core
