#ifndef DAMASKTHREAD_SLO_BURN_H_
#define DAMASKTHREAD_SLO_BURN_H_

/// @file
/// @brief Objectives, what was counted against them, and how fast the error budget is spent.
///
/// An objective allows a share of 1 - target of the calls to be bad. A burn rate of 1 spends exactly this budget over
/// the objective's window; a rate of 10 spends it in a tenth of the window.

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/core/verdict.h"

namespace damaskthread::slo {

/// What calls of one service and importance are promised.
struct Objective {
  std::string service;
  core::Importance importance = core::Importance::kNormal;
  double target = 0.999;                     ///< Share of the calls that is to be good; above 0 and below 1.
  std::chrono::milliseconds latency{1'000};  ///< A whole answer that takes longer is late.
  std::chrono::seconds window = std::chrono::days{28};

  bool operator==(const Objective&) const = default;
  /// Order of the report.
  [[nodiscard]] bool operator<(const Objective& other) const noexcept;
};

/// How a call ended, apart from its latency.
enum class Result : std::uint8_t {
  kWhole,    ///< A whole answer of the server.
  kRefused,  ///< Refused before it ran.
  kLate,     ///< Out of time without an answer.
  kFailed,   ///< No answer, or one that is not whole.
  kHeld,     ///< Held back because its like crashed servers.
};

/// @brief Result of a call with this verdict.
/// @return Nothing for calls that say nothing about the service: cancelled by the caller, malformed, without the right
///   to call, without a token that the protocol asks for, or a repeat of a call in progress.
[[nodiscard]] std::optional<Result> classify(const core::Verdict& verdict) noexcept;

/// Numbers of calls by outcome.
struct Counts {
  std::uint64_t good = 0;  ///< Whole and in time.
  std::uint64_t refused = 0;
  std::uint64_t late = 0;
  std::uint64_t failed = 0;
  std::uint64_t held = 0;

  [[nodiscard]] std::uint64_t bad() const noexcept { return refused + late + failed + held; }
  [[nodiscard]] std::uint64_t total() const noexcept { return good + bad(); }
  Counts& operator+=(const Counts& other) noexcept;
  bool operator==(const Counts&) const = default;
};

/// Windows that are counted besides the objective's own.
inline constexpr std::array<std::chrono::seconds, 3> kShortWindows = {std::chrono::minutes{5}, std::chrono::hours{1},
                                                                      std::chrono::hours{6}};
enum WindowIndex : std::uint8_t { kFiveMinutes = 0, kOneHour = 1, kSixHours = 2, kWholeWindow = 3 };
inline constexpr std::size_t kWindowCount = kShortWindows.size() + 1;

/// Points of the plot, newest first, and the time that one stands for.
inline constexpr std::size_t kSeriesLength = 72;
inline constexpr std::chrono::minutes kSeriesStep{5};

/// What was counted for one objective.
struct ObjectiveBurn {
  Objective objective;
  std::array<Counts, kWindowCount> windows;
  /// Shortest time of the window that a daemon of the snapshot has seen: a daemon counts from its start on.
  std::chrono::seconds covered{0};
  std::array<Counts, kSeriesLength> series;

  bool operator==(const ObjectiveBurn&) const = default;
};

/// One life of one daemon.
struct Source {
  std::string daemon;
  core::Incarnation incarnation;
  core::WallTime taken_at{};

  bool operator==(const Source&) const = default;
};

/// What one daemon counted, or several together. Each call is counted by the daemon that its caller sent it to, once.
struct BurnSnapshot {
  std::vector<Source> sources;
  std::vector<std::string> missing;  ///< Daemons whose counts are not included.
  std::uint64_t untracked = 0;       ///< Objectives over the bound of a tracker; nothing is counted for them.
  std::vector<ObjectiveBurn> objectives;

  bool operator==(const BurnSnapshot&) const = default;
};

/// @brief Rate at which the budget is spent: the share of bad calls over the allowed share. Zero without calls.
[[nodiscard]] double burn_rate(const Counts& counts, double target) noexcept;

/// @brief Share of the budget of the whole window that is left: 1 is untouched, below 0 is overspent.
[[nodiscard]] double budget_left(const ObjectiveBurn& burn) noexcept;

/// How urgent a burn is.
enum class Alert : std::uint8_t {
  kNone,
  kTicket,  ///< 5% of the budget in 6 hours, and still burning in the last hour.
  kPage,    ///< 2% of the budget in an hour, and still burning in the last 5 minutes.
};

[[nodiscard]] std::string_view to_string(Alert alert) noexcept;

/// @brief Burn rate over one hour and over 5 minutes from which on somebody is to be woken.
[[nodiscard]] double page_rate(const Objective& objective) noexcept;
/// @brief Burn rate over 6 hours and over one hour from which on somebody is to look on the next working day.
[[nodiscard]] double ticket_rate(const Objective& objective) noexcept;
[[nodiscard]] Alert alert_of(const ObjectiveBurn& burn) noexcept;

/// @brief Adds up snapshots. The result does not depend on their order, and may be merged again.
/// @param snapshots Snapshots of single daemons or merged ones. Of two that share a life of a daemon only the later one
///   is counted; the daemons that only the other one has are then listed as missing.
/// @param missing Daemons that gave no snapshot.
[[nodiscard]] BurnSnapshot merge(std::span<const BurnSnapshot> snapshots, std::span<const std::string> missing);

}  // namespace damaskthread::slo

#endif  // DAMASKTHREAD_SLO_BURN_H_
