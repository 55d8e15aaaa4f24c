#ifndef DAMASKTHREAD_ADMISSION_LEVEL_H_
#define DAMASKTHREAD_ADMISSION_LEVEL_H_

/// @file
/// @brief Position of a request in the order in which requests are refused under overload.

#include <compare>
#include <cstdint>

#include "damaskthread/admission/fwd.h"
#include "damaskthread/core/types.h"

namespace damaskthread::admission {

inline constexpr int kBucketCount = 256;
inline constexpr int kLevelCount = core::kImportanceCount * kBucketCount;

/// Importance in the high byte and the hash bucket of the root request in the low byte. As a threshold, requests below
/// it are refused; zero refuses nothing.
struct Level {
  std::uint16_t value = 0;
  // clang-tidy takes the zero in the rewritten comparison for a null pointer.
  auto operator<=>(const Level&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// @brief Level of a request.
/// @param importance Importance of the request.
/// @param request_hash Hash of the root request's id, the same at every server, so that all calls of one request fall
/// on the same side of equal thresholds.
/// @return The level.
[[nodiscard]] constexpr Level level_of(core::Importance importance, std::uint64_t request_hash) noexcept {
  // The multiplication spreads ids that differ in their low bits only.
  const std::uint64_t bucket = (request_hash * 0x9E3779B97F4A7C15ULL) >> 56U;
  return Level{static_cast<std::uint16_t>((static_cast<unsigned>(importance) << 8U) | bucket)};
}

}  // namespace damaskthread::admission

#endif  // DAMASKTHREAD_ADMISSION_LEVEL_H_
