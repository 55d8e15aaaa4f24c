#include "damaskthread/limit/adaptive_limit.h"

#include <algorithm>
#include <cmath>

namespace damaskthread::limit {
namespace {

// The baseline follows a lower latency within a few windows and a higher one within about 5 s, so that a slow rise
// caused by congestion is still seen against the earlier baseline.
constexpr double kBaselineFall = 0.3;
constexpr double kBaselineRise = 0.02;
// Two windows whose mean latencies differ by less than this factor show the same state; 50 log-normal samples scatter
// by about 7 %.
constexpr double kSettled = 1.2;
// Share of the slots by which an unsuspicious limit grows back per window.
constexpr double kGrowth = 0.05;

double seconds(core::Duration duration) noexcept { return std::chrono::duration<double>(duration).count(); }

}  // namespace

AdaptiveLimit::AdaptiveLimit(const LimitOptions& options) noexcept
    : options_(options), limit_(0), target_(options.slots), trial_hold_(options.trial_hold) {
  options_.minimum = std::clamp(options_.minimum, 1, std::max(1, options_.slots));
  update({});
}

void AdaptiveLimit::tick(core::TimePoint now) noexcept {
  if (!started_) return;
  update(now);
}

void AdaptiveLimit::on_finish(core::Duration latency, int in_flight, bool ok, core::TimePoint now) noexcept {
  if (!started_) {
    started_ = true;
    // The first call started one latency ago.
    start_ = now - latency;
    window_start_ = start_;
  }
  max_in_flight_ = std::max(max_in_flight_, in_flight);
  if (ok) {
    latency_sum_ += seconds(latency);
    ++samples_;
  }
  if (now - window_start_ >= options_.window && samples_ >= options_.window_samples) close_window(now);
  update(now);
}

void AdaptiveLimit::on_server_refusal(core::TimePoint now) noexcept {
  grow_after_ = now + options_.refusal_hold;
  // Refusals come in bursts; one burst counts once.
  if (refused_at_ != core::TimePoint{} && now - refused_at_ < options_.window) return;
  refused_at_ = now;
  target_ = std::max<double>(options_.minimum, std::min<double>(target_, limit_) * options_.decrease);
  phase_ = Phase::kSteady;
  update(now);
}

void AdaptiveLimit::close_window(core::TimePoint now) noexcept {
  const double latency = latency_sum_ / samples_;
  const double rate = samples_ / seconds(now - window_start_);
  switch (phase_) {
    case Phase::kSteady:
      steady(latency, rate, now);
      break;
    case Phase::kSettling:
      // Calls admitted under the old limit still end in this window.
      phase_ = Phase::kTrial;
      break;
    case Phase::kTrial:
      finish_trial(latency, rate, now);
      break;
  }
  latency_sum_ = 0;
  samples_ = 0;
  max_in_flight_ = 0;
  window_start_ = now;
}

void AdaptiveLimit::steady(double latency, double rate, core::TimePoint now) noexcept {
  if (baseline_ == 0) baseline_ = latency;
  const bool saturated = max_in_flight_ >= limit_;
  if (saturated && latency > options_.tolerance * baseline_ && now >= trial_after_ && limit_ > options_.minimum) {
    // The rate of a window in which the latency still changes is no measure for the trial.
    const bool settled = latency < kSettled * last_latency_ && last_latency_ < kSettled * latency;
    last_latency_ = latency;
    if (!settled) return;
    trial_rate_ = rate;
    trial_target_ = target_;
    target_ = std::max<double>(options_.minimum, limit_ * options_.decrease);
    phase_ = Phase::kSettling;
    return;
  }
  last_latency_ = latency;
  baseline_ += (latency - baseline_) * (latency < baseline_ ? kBaselineFall : kBaselineRise);
  if (saturated && now >= grow_after_) target_ = std::min<double>(options_.slots, target_ + kGrowth * options_.slots);
}

void AdaptiveLimit::finish_trial(double latency, double rate, core::TimePoint now) noexcept {
  phase_ = Phase::kSteady;
  if (rate >= options_.keep_share * trial_rate_) {
    trial_hold_ = options_.trial_hold;
    grow_after_ = now + options_.trial_hold;
    return;
  }
  // Throughput fell with the limit: the server is slow, not congested.
  target_ = trial_target_;
  baseline_ = std::max(baseline_, latency);
  trial_after_ = now + trial_hold_;
  trial_hold_ = std::min(2 * trial_hold_, options_.trial_hold_max);
}

void AdaptiveLimit::update(core::TimePoint now) noexcept {
  double share = 1;
  if (options_.warm_up > core::Duration{0}) {
    const double elapsed = started_ ? seconds(now - start_) / seconds(options_.warm_up) : 0;
    share = std::min(1.0, options_.warm_start + (1 - options_.warm_start) * std::max(0.0, elapsed));
  }
  const int limit = static_cast<int>(std::lround(std::min(target_, share * options_.slots)));
  limit_ = std::clamp(limit, options_.minimum, std::max(options_.minimum, options_.slots));
}

}  // namespace damaskthread::limit
