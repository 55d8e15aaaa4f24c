#ifndef DAMASKTHREAD_ADMISSION_LEVEL_H_
#define DAMASKTHREAD_ADMISSION_LEVEL_H_

/// @file
/// @brief Priority of a request under overload; lower levels are refused first.

#include <compare>
#include <cstdint>

#include "damaskthread/admission/fwd.h"
#include "damaskthread/core/types.h"

namespace damaskthread::admission {

inline constexpr int kBucketCount = 256;
inline constexpr int kLevelCount = core::kImportanceCount * kBucketCount;

/// Importance in the high byte, hash bucket of the root request in the low byte. Used as a threshold, requests with a
/// lower level are refused; zero refuses nothing.
struct Level {
  std::uint16_t value = 0;
  // clang-tidy reports the zero in the rewritten comparison as a null pointer.
  auto operator<=>(const Level&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// @brief Computes the level of a request.
/// @param importance Importance of the request.
/// @param request_hash Hash of the root request id. It is equal at every server, so that equal thresholds admit or
/// refuse all calls of one request alike.
/// @return The level.
[[nodiscard]] constexpr Level level_of(core::Importance importance, std::uint64_t request_hash) noexcept {
  // The multiplication distributes ids that differ only in their low bits.
  const std::uint64_t bucket = (request_hash * 0x9E3779B97F4A7C15ULL) >> 56U;
  return Level{static_cast<std::uint16_t>((static_cast<unsigned>(importance) << 8U) | bucket)};
}

}  // namespace damaskthread::admission

#endif  // DAMASKTHREAD_ADMISSION_LEVEL_H_
