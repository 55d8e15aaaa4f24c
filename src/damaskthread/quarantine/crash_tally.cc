#include "damaskthread/quarantine/crash_tally.h"

#include <utility>

namespace damaskthread::quarantine {
namespace {

// News of a crash is told to newly connected daemons for this time.
constexpr core::Duration kNewsTime = std::chrono::seconds{60};

}  // namespace

bool CrashTally::add(const CrashReport& report, core::TimePoint now) {
  if (!crashes_seen_.emplace(report.crash, Seen{report, now}).second) return false;
  for (const std::uint64_t fingerprint : report.running) ++counts_[fingerprint];
  return true;
}

bool CrashTally::held(std::uint64_t fingerprint, core::TimePoint /*now*/) const {
  const auto found = counts_.find(fingerprint);
  return found != counts_.end() && found->second >= crashes_;
}

std::vector<CrashReport> CrashTally::recent(core::TimePoint now) const {
  std::vector<CrashReport> reports;
  for (const auto& [crash, seen] : crashes_seen_) {
    if (now - seen.time <= kNewsTime) reports.push_back(seen.report);
  }
  return reports;
}

void CrashTally::tick(core::TimePoint now) {
  for (auto seen = crashes_seen_.begin(); seen != crashes_seen_.end();) {
    if (now - seen->second.time <= hold_) {
      ++seen;
      continue;
    }
    for (const std::uint64_t fingerprint : seen->second.report.running) {
      const auto count = counts_.find(fingerprint);
      if (count != counts_.end() && --count->second <= 0) counts_.erase(count);
    }
    seen = crashes_seen_.erase(seen);
  }
}

}  // namespace damaskthread::quarantine
