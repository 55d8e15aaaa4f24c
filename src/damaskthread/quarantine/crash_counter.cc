#include "damaskthread/quarantine/crash_counter.h"

#include <utility>

namespace damaskthread::quarantine {
namespace {

// Time for which a crash report is sent to newly connected daemons.
constexpr core::Duration kReportResendTime = std::chrono::seconds{60};

}  // namespace

bool CrashCounter::add(const CrashReport& report, core::TimePoint now) {
  if (!reports_.emplace(report.crash, RecordedReport{report, now}).second) return false;
  for (const std::uint64_t fingerprint : report.running) ++counts_[fingerprint];
  return true;
}

bool CrashCounter::held(std::uint64_t fingerprint, core::TimePoint /*now*/) const {
  const auto found = counts_.find(fingerprint);
  return found != counts_.end() && found->second >= options_.crash_threshold;
}

std::vector<CrashReport> CrashCounter::recent(core::TimePoint now) const {
  std::vector<CrashReport> reports;
  for (const auto& [crash, recorded] : reports_) {
    if (now - recorded.time <= kReportResendTime) reports.push_back(recorded.report);
  }
  return reports;
}

void CrashCounter::tick(core::TimePoint now) {
  for (auto recorded = reports_.begin(); recorded != reports_.end();) {
    if (now - recorded->second.time <= options_.retention) {
      ++recorded;
      continue;
    }
    for (const std::uint64_t fingerprint : recorded->second.report.running) {
      const auto count = counts_.find(fingerprint);
      if (count != counts_.end() && --count->second <= 0) counts_.erase(count);
    }
    recorded = reports_.erase(recorded);
  }
}

}  // namespace damaskthread::quarantine
