#ifndef DAMASKTHREAD_QUARANTINE_CRASH_COUNTER_H_
#define DAMASKTHREAD_QUARANTINE_CRASH_COUNTER_H_

/// @file
/// @brief Blocks requests that were running during several server crashes.

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "damaskthread/core/types.h"

namespace damaskthread::quarantine {

/// The requests that were running at one server when it crashed.
struct CrashReport {
  /// Id of the crash, the same at every daemon.
  std::uint64_t crash = 0;
  /// Fingerprints of the requests, the longest running first.
  std::vector<std::uint64_t> running;
};

struct CrashCounterOptions {
  /// Number of crashes after which a request is held.
  int crash_threshold = 3;
  /// Time for which a crash counts.
  core::Duration retention = std::chrono::minutes{10};
};

/// @brief Counts the crashes during which each request was running. Used where repeated requests cannot be recognized
/// by an id, and where running suspects one at a time, as in `CrashQuarantine`, would leave the servers idle after an
/// ordinary crash.
///
/// Load pattern: a request that crashes each server that runs it and is sent again by its caller. Other requests that
/// ran at the same servers are rarely running during three crashes.
class CrashCounter {
 public:
  explicit CrashCounter(const CrashCounterOptions& options = {}) noexcept : options_(options) {}

  /// @brief Records a crash report. Duplicates are ignored.
  /// @return Whether the report was new.
  bool add(const CrashReport& report, core::TimePoint now);
  /// @brief Whether a request must not run.
  [[nodiscard]] bool held(std::uint64_t fingerprint, core::TimePoint now) const;
  /// @brief Recent reports to send to newly connected daemons.
  [[nodiscard]] std::vector<CrashReport> recent(core::TimePoint now) const;
  /// @brief Removes expired reports.
  void tick(core::TimePoint now);

 private:
  struct RecordedReport {
    CrashReport report;
    core::TimePoint time;
  };
  CrashCounterOptions options_;
  std::unordered_map<std::uint64_t, RecordedReport> reports_;
  std::unordered_map<std::uint64_t, int> counts_;
};

}  // namespace damaskthread::quarantine

#endif  // DAMASKTHREAD_QUARANTINE_CRASH_COUNTER_H_
