#ifndef DAMASKTHREAD_QUARANTINE_CRASH_TALLY_H_
#define DAMASKTHREAD_QUARANTINE_CRASH_TALLY_H_

/// @file
/// @brief Holds requests that ran when several servers crashed.

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "damaskthread/core/types.h"

namespace damaskthread::quarantine {

/// The requests that ran at one server when it crashed.
struct CrashReport {
  /// The same at every daemon that hears of this crash.
  std::uint64_t crash = 0;
  /// Fingerprints of the requests, the longest running first.
  std::vector<std::uint64_t> running;
};

/// @brief Counts the crashes that a request was part of. Used where repeats of a request carry no mark of ours, and
/// where running suspects one at a time, as `CrashQuarantine` does, would idle the servers after an ordinary crash.
///
/// Load pattern: a request that crashes each server that runs it and is sent again by its caller. Requests that only
/// shared a server with it are seldom part of three crashes.
class CrashTally {
 public:
  /// @param crashes Crashes after which a request is held.
  /// @param hold Time for which a crash counts.
  explicit CrashTally(int crashes = 3, core::Duration hold = std::chrono::minutes{10}) noexcept
      : crashes_(crashes), hold_(hold) {}

  /// @brief Takes a report in; the same report may arrive any number of times.
  /// @return Whether it was new.
  bool add(const CrashReport& report, core::TimePoint now);
  /// @brief Whether a request is not to be run.
  [[nodiscard]] bool held(std::uint64_t fingerprint, core::TimePoint now) const;
  /// @brief Reports that are still to be told to daemons that connect.
  [[nodiscard]] std::vector<CrashReport> recent(core::TimePoint now) const;
  /// @brief Forgets old crashes.
  void tick(core::TimePoint now);

 private:
  struct Seen {
    CrashReport report;
    core::TimePoint time;
  };
  int crashes_;
  core::Duration hold_;
  std::unordered_map<std::uint64_t, Seen> crashes_seen_;
  std::unordered_map<std::uint64_t, int> counts_;
};

}  // namespace damaskthread::quarantine

#endif  // DAMASKTHREAD_QUARANTINE_CRASH_TALLY_H_
