#include "damaskthread/limit/adaptive_limit.h"

#include <algorithm>
#include <cmath>

namespace damaskthread::limit {
namespace {

// The baseline follows a lower latency within a few windows but a higher one only within about 5 s, so that a slow rise
// caused by congestion is still detected against the earlier baseline.
constexpr double kBaselineFallWeight = 0.3;
constexpr double kBaselineRiseWeight = 0.02;
// Latency is settled if the means of two consecutive windows differ by less than this factor; the mean of 50 log-normal
// samples scatters by about 7 %.
constexpr double kMaxSettledRatio = 1.2;
// Share of the slots by which the limit grows per window while there is no sign of congestion.
constexpr double kGrowth = 0.05;

double seconds(core::Duration duration) noexcept { return std::chrono::duration<double>(duration).count(); }

}  // namespace

AdaptiveLimit::AdaptiveLimit(const AdaptiveLimitOptions& options) noexcept
    : options_(options), limit_(0), target_(options.slots), trial_backoff_(options.trial_backoff) {
  options_.minimum = std::clamp(options_.minimum, 1, std::max(1, options_.slots));
  recompute_limit({});
}

void AdaptiveLimit::advance_warm_up(core::TimePoint now) noexcept {
  if (!started_) return;
  recompute_limit(now);
}

void AdaptiveLimit::on_finish(core::Duration latency, int in_flight, bool ok, core::TimePoint now) noexcept {
  if (!started_) {
    started_ = true;
    // The first call started `latency` before it finished.
    start_ = now - latency;
    window_start_ = start_;
  }
  max_in_flight_ = std::max(max_in_flight_, in_flight);
  if (ok) {
    latency_sum_ += seconds(latency);
    ++samples_;
  }
  if (now - window_start_ >= options_.window && samples_ >= options_.min_window_samples) close_window(now);
  recompute_limit(now);
}

void AdaptiveLimit::on_server_refusal(core::TimePoint now) noexcept {
  grow_after_ = now + options_.growth_delay_after_refusal;
  // Refusals come in bursts; each burst counts once.
  if (last_refusal_ != core::TimePoint{} && now - last_refusal_ < options_.window) return;
  last_refusal_ = now;
  target_ = std::max<double>(options_.minimum, std::min<double>(target_, limit_) * options_.decrease_factor);
  phase_ = Phase::kSteady;
  recompute_limit(now);
}

void AdaptiveLimit::close_window(core::TimePoint now) noexcept {
  const double latency = latency_sum_ / samples_;
  const double rate = samples_ / seconds(now - window_start_);
  switch (phase_) {
    case Phase::kSteady:
      evaluate_steady_window(latency, rate, now);
      break;
    case Phase::kSettling:
      // Calls admitted under the previous limit still finish in this window.
      phase_ = Phase::kTrial;
      break;
    case Phase::kTrial:
      evaluate_trial_window(latency, rate, now);
      break;
  }
  latency_sum_ = 0;
  samples_ = 0;
  max_in_flight_ = 0;
  window_start_ = now;
}

void AdaptiveLimit::evaluate_steady_window(double latency, double rate, core::TimePoint now) noexcept {
  if (baseline_ == 0) baseline_ = latency;
  const bool saturated = max_in_flight_ >= limit_;
  if (saturated && latency > options_.latency_tolerance * baseline_ && now >= trial_allowed_after_ &&
      limit_ > options_.minimum) {
    // The rate of a window in which latency is still changing is not a valid reference for the trial.
    const bool settled =
        latency < kMaxSettledRatio * previous_latency_ && previous_latency_ < kMaxSettledRatio * latency;
    previous_latency_ = latency;
    if (!settled) return;
    rate_before_trial_ = rate;
    limit_before_trial_ = target_;
    target_ = std::max<double>(options_.minimum, limit_ * options_.decrease_factor);
    phase_ = Phase::kSettling;
    return;
  }
  previous_latency_ = latency;
  baseline_ += (latency - baseline_) * (latency < baseline_ ? kBaselineFallWeight : kBaselineRiseWeight);
  if (saturated && now >= grow_after_) target_ = std::min<double>(options_.slots, target_ + kGrowth * options_.slots);
}

void AdaptiveLimit::evaluate_trial_window(double latency, double rate, core::TimePoint now) noexcept {
  phase_ = Phase::kSteady;
  if (rate >= options_.min_throughput_share * rate_before_trial_) {
    trial_backoff_ = options_.trial_backoff;
    grow_after_ = now + options_.trial_backoff;
    return;
  }
  // Throughput fell with the limit: the server is slow, not congested.
  target_ = limit_before_trial_;
  baseline_ = std::max(baseline_, latency);
  trial_allowed_after_ = now + trial_backoff_;
  trial_backoff_ = std::min(2 * trial_backoff_, options_.max_trial_backoff);
}

void AdaptiveLimit::recompute_limit(core::TimePoint now) noexcept {
  double share = 1;
  if (options_.warm_up > core::Duration{0}) {
    const double elapsed = started_ ? seconds(now - start_) / seconds(options_.warm_up) : 0;
    share = std::min(1.0, options_.warm_up_start_share + (1 - options_.warm_up_start_share) * std::max(0.0, elapsed));
  }
  const int limit = static_cast<int>(std::lround(std::min(target_, share * options_.slots)));
  limit_ = std::clamp(limit, options_.minimum, std::max(options_.minimum, options_.slots));
}

}  // namespace damaskthread::limit
