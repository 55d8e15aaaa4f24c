#ifndef DAMASKTHREAD_PACE_RAMP_UP_H_
#define DAMASKTHREAD_PACE_RAMP_UP_H_

/// @file
/// @brief Finds out from its responses how many requests a server that has just started or recovered can take.

#include <string>
#include <unordered_map>

#include "damaskthread/core/types.h"

namespace damaskthread::pace {

struct RampUpOptions {
  /// Whether servers ramp up at all. By default only servers that report the work time of their VM do.
  bool enabled = false;
  /// Share of the slots at the start.
  double initial_share = 0.1;
  /// A response counts as good up to this multiple of the usual run time of its kind.
  double good_run_time = 1.5;
  /// Above this multiple the server has more work than it can do in time.
  double bad_run_time = 3.0;
  /// Factor of the share after a bad response or a rejection.
  double decrease = 0.7;
  /// The ramp ends after this time in any case: a server that stays slow is judged by its run times.
  core::Duration max_duration = std::chrono::seconds{8};
  /// Weight of a new sample in the usual run time of a kind.
  double smoothing = 0.05;
};

/// @brief Window of concurrent requests that grows by one for each good response, so that it doubles within a run time,
/// and shrinks when responses slow down or the server sheds.
///
/// The share only steers where requests are placed; it refuses none. A server that is the only one of its service, or
/// one of many that start together, therefore gets what its slots can take.
///
/// Load patterns: a server that is slow after its start (while it warms up it gets as much as it answers in time), a
/// server that is back after a crash while others are full (it takes over load within a few run times), all servers of
/// a service starting together (their shares are equal, so that placement treats them alike).
class RampUp {
 public:
  explicit RampUp(const RampUpOptions& options = {}) noexcept : options_(options) {}

  /// @brief Starts a ramp.
  /// @param slots Number of requests that the server can run.
  void start(int slots, core::TimePoint now) noexcept;
  /// @brief Records a successful response.
  /// @param kind Kind of the request; run times are compared within one kind.
  void on_response(const std::string& kind, core::Duration run_time, core::TimePoint now);
  /// @brief Records that the server rejected a request for lack of capacity.
  void on_rejection(core::TimePoint now) noexcept;

  /// @return Share of the slots that should be used, from above 0 to 1.
  [[nodiscard]] double share(core::TimePoint now) const noexcept;
  [[nodiscard]] bool active(core::TimePoint now) const noexcept;

 private:
  void decrease() noexcept;

  RampUpOptions options_;
  /// Usual run time by kind, from responses outside of ramps. A daemon outlives its server, so that it is known when
  /// the next server starts.
  std::unordered_map<std::string, double> usual_seconds_;
  bool ramping_ = false;
  int slots_ = 0;
  double window_ = 0;
  core::TimePoint ends_at_;
};

}  // namespace damaskthread::pace

#endif  // DAMASKTHREAD_PACE_RAMP_UP_H_
