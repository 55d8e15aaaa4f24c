#include "damaskthread/retry/repeat_budget.h"

#include <algorithm>

namespace damaskthread::retry {

RepeatBudget::RepeatBudget(const RepeatBudgetOptions& options, core::TimePoint now) noexcept
    : options_(options), begun_(now), step_begun_(now) {}

void RepeatBudget::advance(core::TimePoint now) noexcept {
  const core::Duration length = options_.window / kSteps;
  if (now - step_begun_ > 2 * options_.window) {
    steps_.fill({});
    step_begun_ = now;
    return;
  }
  while (now - step_begun_ >= length) {
    step_begun_ += length;
    present_ = (present_ + 1) % steps_.size();
    steps_[present_] = {};
  }
}

void RepeatBudget::on_first(core::TimePoint now) noexcept {
  advance(now);
  steps_[present_].firsts += 1;
}

void RepeatBudget::on_repeat(core::TimePoint now) noexcept {
  advance(now);
  steps_[present_].repeats += 1;
}

double RepeatBudget::important_projected() const noexcept {
  const Step& last = steps_[(present_ + steps_.size() - 1) % steps_.size()];
  return static_cast<double>(kSteps) * std::max(last.important_wanted, steps_[present_].important_wanted);
}

bool RepeatBudget::allow(core::TimePoint now, int servers, bool important) noexcept {
  advance(now);
  double firsts = 0;
  double repeats = 0;
  for (const Step& step : steps_) {
    firsts += step.firsts;
    repeats += step.repeats;
  }
  // An earlier life of this daemon may have used the slack of the present window.
  const double slack = now - begun_ < options_.window ? 0 : options_.slack / std::max(1, servers);
  if (important) steps_[present_].important_wanted += 1;
  const double usable = options_.usable_share * (options_.ratio * firsts + slack);
  const double for_ordinary = std::min(options_.ordinary_share * usable, usable - important_projected());
  if (repeats + 1 > (important ? usable : for_ordinary)) return false;
  steps_[present_].repeats += 1;
  return true;
}

}  // namespace damaskthread::retry
