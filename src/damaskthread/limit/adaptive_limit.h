#ifndef DAMASKTHREAD_LIMIT_ADAPTIVE_LIMIT_H_
#define DAMASKTHREAD_LIMIT_ADAPTIVE_LIMIT_H_

/// @file
/// @brief Concurrency limit of one server, derived from measured latency, throughput and the server's refusals.

#include "damaskthread/core/types.h"
#include "damaskthread/limit/fwd.h"

namespace damaskthread::limit {

/// Settings of an AdaptiveLimit.
struct LimitOptions {
  /// Declared number of calls the server runs at once; the limit never exceeds it.
  int slots = 1;
  int minimum = 1;
  /// Time from the first call until the full limit may be used; zero for a server that needs no warm-up.
  core::Duration warm_up = std::chrono::seconds{3};
  /// Share of the slots in use when the warm-up begins.
  double warm_start = 0.25;
  core::Duration window = std::chrono::milliseconds{100};
  /// A window with fewer answers is extended: the mean of fewer log-normal latencies is too noisy to act on.
  int window_samples = 50;
  /// Latency above this multiple of its baseline starts a trial of a lower limit.
  double tolerance = 1.5;
  /// Factor of a lower limit on trial and after a refusal of the server.
  double decrease = 0.8;
  /// A lower limit is kept if throughput stays above this share of what it was. A server whose capacity is its slots
  /// falls to `decrease`, a congested one stays near 1; this lies between both.
  double keep_share = 0.9;
  core::Duration refusal_hold = std::chrono::seconds{1};
  core::Duration trial_hold = std::chrono::seconds{1};
  core::Duration trial_hold_max = std::chrono::seconds{30};
};

/// @brief Concurrency limit that follows what is measured.
///
/// Latency alone does not tell a congested server (fewer calls at once would be as fast in total) from a slow one
/// (fewer calls at once would halve what it does). A rise in latency therefore only starts a trial of a lower limit,
/// which is kept only if throughput does not fall with it.
class AdaptiveLimit {
 public:
  explicit AdaptiveLimit(const LimitOptions& options) noexcept;

  /// @return The number of calls that may run at once.
  [[nodiscard]] int limit() const noexcept { return limit_; }

  /// @brief Takes an answer into account.
  /// @param latency Time the server itself took, without its calls to other services.
  /// @param in_flight Calls running when this one ended, including it.
  /// @param ok Whether the server answered; the latency of a failed call is not used.
  /// @param now The time.
  void on_finish(core::Duration latency, int in_flight, bool ok, core::TimePoint now) noexcept;

  /// @brief Lowers the limit because the server itself refused a call for overload.
  void on_server_refusal(core::TimePoint now) noexcept;

  /// @brief Advances the warm-up; to be called at least every window.
  void tick(core::TimePoint now) noexcept;

 private:
  enum class Phase { kSteady, kSettling, kTrial };

  void close_window(core::TimePoint now) noexcept;
  void steady(double latency, double rate, core::TimePoint now) noexcept;
  void finish_trial(double latency, double rate, core::TimePoint now) noexcept;
  void update(core::TimePoint now) noexcept;

  LimitOptions options_;
  int limit_;
  /// The limit before the warm-up is applied.
  double target_;
  bool started_ = false;
  core::TimePoint start_;
  core::TimePoint window_start_;
  core::TimePoint grow_after_;
  core::TimePoint trial_after_;
  core::TimePoint refused_at_;
  core::Duration trial_hold_;
  double latency_sum_ = 0;
  int samples_ = 0;
  int max_in_flight_ = 0;
  double baseline_ = 0;
  /// Mean latency of the window before.
  double last_latency_ = 0;
  Phase phase_ = Phase::kSteady;
  double trial_rate_ = 0;
  double trial_target_ = 0;
};

}  // namespace damaskthread::limit

#endif  // DAMASKTHREAD_LIMIT_ADAPTIVE_LIMIT_H_
