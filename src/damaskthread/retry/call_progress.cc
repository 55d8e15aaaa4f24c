#include "damaskthread/retry/call_progress.h"

#include <algorithm>
#include <cmath>

namespace damaskthread::retry {

void CallProgress::record_run(std::string_view kind, int calls) {
  const auto known = mean_calls_by_kind_.find(kind);
  if (known == mean_calls_by_kind_.end()) {
    mean_calls_by_kind_.emplace(kind, calls);
    return;
  }
  known->second += smoothing_ * (calls - known->second);
}

int CallProgress::calls_left(std::string_view kind, int served_calls) const {
  const auto known = mean_calls_by_kind_.find(kind);
  const double expected = known == mean_calls_by_kind_.end() ? 0 : std::round(known->second);
  return std::max(1, static_cast<int>(expected) - served_calls);
}

}  // namespace damaskthread::retry
