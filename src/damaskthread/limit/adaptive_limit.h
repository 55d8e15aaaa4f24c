#ifndef DAMASKTHREAD_LIMIT_ADAPTIVE_LIMIT_H_
#define DAMASKTHREAD_LIMIT_ADAPTIVE_LIMIT_H_

/// @file
/// @brief Adaptive concurrency limit of one server, based on latency, throughput and refusals.

#include "damaskthread/core/types.h"
#include "damaskthread/limit/fwd.h"

namespace damaskthread::limit {

/// Options of an AdaptiveLimit.
struct AdaptiveLimitOptions {
  /// Declared number of concurrent calls; the limit never exceeds it.
  int slots = 1;
  int minimum = 1;
  /// Time from the first call until the full limit is available; zero disables the warm-up.
  core::Duration warm_up = std::chrono::seconds{3};
  /// Share of the slots that is available at the start of the warm-up.
  double warm_up_start_share = 0.25;
  core::Duration window = std::chrono::milliseconds{100};
  /// A window with fewer responses is extended: the mean of fewer log-normal latencies is too noisy.
  int min_window_samples = 50;
  /// Latency above this multiple of the baseline starts a trial of a lower limit.
  double latency_tolerance = 1.5;
  /// Factor applied to the limit for a trial and after a refusal by the server.
  double decrease_factor = 0.8;
  /// A lower limit is kept if throughput stays above this share of its previous value. The throughput of a server
  /// limited by its slots falls to `decrease_factor`, that of a congested server stays near 1; this value lies between
  /// the two.
  double min_throughput_share = 0.9;
  core::Duration growth_delay_after_refusal = std::chrono::seconds{1};
  core::Duration trial_backoff = std::chrono::seconds{1};
  core::Duration max_trial_backoff = std::chrono::seconds{30};
};

/// @brief Concurrency limit that adapts to measurements.
///
/// Latency alone does not distinguish a congested server (fewer concurrent calls give the same throughput) from a slow
/// one (half the concurrent calls give half the throughput). A rise in latency therefore only starts a trial of a lower
/// limit, which is kept only if throughput does not fall with it.
class AdaptiveLimit {
 public:
  explicit AdaptiveLimit(const AdaptiveLimitOptions& options) noexcept;

  /// @return The maximum number of concurrent calls.
  [[nodiscard]] int limit() const noexcept { return limit_; }

  /// @brief Records the end of a call.
  /// @param latency Time spent in the server itself, excluding its calls to other services.
  /// @param in_flight Number of running calls when this one ended, including it.
  /// @param ok Whether the server responded; the latency of a failed call is ignored.
  /// @param now Current time.
  void on_finish(core::Duration latency, int in_flight, bool ok, core::TimePoint now) noexcept;

  /// @brief Lowers the limit after the server refused a call because of overload.
  void on_server_refusal(core::TimePoint now) noexcept;

  /// @brief Advances the warm-up; must be called at least once per window.
  void advance_warm_up(core::TimePoint now) noexcept;

 private:
  enum class Phase { kSteady, kSettling, kTrial };

  void close_window(core::TimePoint now) noexcept;
  void evaluate_steady_window(double latency, double rate, core::TimePoint now) noexcept;
  void evaluate_trial_window(double latency, double rate, core::TimePoint now) noexcept;
  void recompute_limit(core::TimePoint now) noexcept;

  AdaptiveLimitOptions options_;
  int limit_;
  /// Limit without the reduction during warm-up.
  double target_;
  bool started_ = false;
  core::TimePoint start_;
  core::TimePoint window_start_;
  core::TimePoint grow_after_;
  core::TimePoint trial_allowed_after_;
  core::TimePoint last_refusal_;
  core::Duration trial_backoff_;
  double latency_sum_ = 0;
  int samples_ = 0;
  int max_in_flight_ = 0;
  double baseline_ = 0;
  /// Mean latency of the previous window.
  double previous_latency_ = 0;
  Phase phase_ = Phase::kSteady;
  double rate_before_trial_ = 0;
  double limit_before_trial_ = 0;
};

}  // namespace damaskthread::limit

#endif  // DAMASKTHREAD_LIMIT_ADAPTIVE_LIMIT_H_
