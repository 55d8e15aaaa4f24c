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
  const long expected = known == mean_calls_by_kind_.end() ? 0 : std::lround(known->second);
  return static_cast<int>(std::max(1L, expected - served_calls));
}

}  // namespace damaskthread::retry
