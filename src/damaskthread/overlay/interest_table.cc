#include "damaskthread/overlay/interest_table.h"

namespace damaskthread::overlay {

InterestTable::Entry& InterestTable::entry(std::string_view service) {
  const auto found = entries_.find(service);
  return found != entries_.end() ? found->second : entries_[std::string(service)];
}

void InterestTable::record_use(std::string_view service, core::TimePoint now) {
  entry(service).used_until = now + kExpiry;
}

void InterestTable::record_observation(std::string_view service, core::TimePoint now) {
  entry(service).observed_until = now + kExpiry;
}

void InterestTable::record_load(std::string_view service, const gate::Load& total, core::TimePoint now) {
  if (total.limit <= 0 || total.running + total.queued < kSaturationThreshold * total.limit) return;
  entry(service).saturated_until = now + kSaturationHold;
}

std::map<std::string, Interest, std::less<>> InterestTable::interests(core::TimePoint now) const {
  std::map<std::string, Interest, std::less<>> result;
  for (const auto& [service, entry] : entries_) {
    if (now < entry.used_until) {
      result.emplace(service, now < entry.saturated_until ? Interest::kSaturated : Interest::kUsed);
    } else if (now < entry.observed_until) {
      result.emplace(service, Interest::kObserved);
    }
  }
  return result;
}

}  // namespace damaskthread::overlay
