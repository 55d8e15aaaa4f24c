#ifndef DAMASKTHREAD_CORE_TYPES_H_
#define DAMASKTHREAD_CORE_TYPES_H_

/// @file
/// @brief Value types shared by all modules. Time and random numbers are passed in as parameters.

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string_view>

#include "damaskthread/core/fwd.h"

namespace damaskthread::core {

using Duration = std::chrono::nanoseconds;
/// Monotonic time of one process. Values from different processes are not comparable.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
/// Wall-clock time; used only for display and log records.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;
using Random = std::mt19937_64;

/// Importance classes in ascending order; the lowest is refused first.
enum class Importance : std::uint8_t { kSheddable = 0, kNormal = 1, kHigh = 2, kCritical = 3 };

inline constexpr int kImportanceCount = 4;

/// @brief Name of an importance class in declarations and headers.
/// @param importance The class.
/// @return `sheddable`, `normal`, `high` or `critical`.
[[nodiscard]] std::string_view to_string(Importance importance) noexcept;

/// @brief Parses the name of an importance class.
/// @param text The name, in lower case.
/// @return The class, or `std::nullopt` if the name is unknown.
[[nodiscard]] std::optional<Importance> parse_importance(std::string_view text) noexcept;

/// Identifies a backend server and its daemon within one incarnation of the membership.
struct ServerId {
  std::uint64_t value = 0;
  auto operator<=>(const ServerId&) const = default;
};

/// Identifies one run of a daemon process. At the same address, the larger value is the later run.
struct Incarnation {
  std::uint64_t value = 0;
  auto operator<=>(const Incarnation&) const = default;
};

/// A service name interned to a number that is valid inside one process.
struct ServiceId {
  std::uint32_t value = 0;
  auto operator<=>(const ServiceId&) const = default;
};

/// 128-bit key of one request (the root of a call chain) or of one running call.
struct RequestKey {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  auto operator<=>(const RequestKey&) const = default;
};

}  // namespace damaskthread::core

template <>
struct std::hash<damaskthread::core::RequestKey> {
  std::size_t operator()(const damaskthread::core::RequestKey& key) const noexcept {
    return static_cast<std::size_t>(key.low ^ (key.high * 0x9E3779B97F4A7C15ULL));
  }
};

template <>
struct std::hash<damaskthread::core::ServerId> {
  std::size_t operator()(const damaskthread::core::ServerId& id) const noexcept {
    return static_cast<std::size_t>(id.value);
  }
};

template <>
struct std::hash<damaskthread::core::ServiceId> {
  std::size_t operator()(const damaskthread::core::ServiceId& id) const noexcept { return id.value; }
};

#endif  // DAMASKTHREAD_CORE_TYPES_H_
