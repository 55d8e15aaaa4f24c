#ifndef DAMASKTHREAD_QUOTA_LEASE_H_
#define DAMASKTHREAD_QUOTA_LEASE_H_

/// @file
/// @brief A lease on the store that at most one daemon holds.

#include <cstdint>
#include <optional>
#include <string>

#include "damaskthread/core/types.h"

namespace damaskthread::quota {

struct LeaseOptions {
  /// How long a lease holds after it was requested.
  core::Duration lifetime = std::chrono::seconds{20};
  /// Time between two renewals. Several may fail before the lease ends.
  core::Duration renewal_interval = std::chrono::seconds{6};
  /// Time between two looks at a lease that another daemon holds, and after a failed call.
  core::Duration poll_interval = std::chrono::seconds{5};
  /// A lease of another daemon counts as ended this long after its lifetime. Covers clocks that run at different rates.
  core::Duration margin = std::chrono::seconds{1};
};

/// @brief Decides when to read and to write the record of the lease. It is written only on the condition that no record
/// has followed the last one read, so that one of several daemons succeeds. A daemon that finds the record of another
/// one waits for its whole lifetime from then on, so that no clocks are compared.
///
/// The host makes the calls, one at a time, and reports each result. All times must come from a clock that counts
/// suspensions: a holder that was suspended must not act on a lease that has ended.
class Lease {
 public:
  enum class Step : std::uint8_t { kNone, kRead, kWrite };

  /// @param self Identifies this daemon, also after a restart: a new process takes over the lease of the former one.
  explicit Lease(std::string self, const LeaseOptions& options = {});

  /// @brief Sets whether this daemon needs the lease. It ends by itself if it does not.
  void set_wanted(bool wanted) noexcept { wanted_ = wanted; }
  /// @return The call to make now, none if one is in progress.
  [[nodiscard]] Step next_step(core::TimePoint now) const noexcept;
  /// @brief Records that the host makes the call of `next_step`.
  void on_started(core::TimePoint now) noexcept;
  /// @brief Processes the record.
  /// @param holder Holder of the last lease, if there was one.
  /// @param end Offset behind the record, on which the next write depends.
  void on_read(const std::optional<std::string>& holder, std::uint64_t end, core::TimePoint now);
  /// @brief The record was written at `end`.
  void on_written();
  /// @brief The call failed, another record came first, or it is not known what happened.
  void on_failed(core::TimePoint now);

  [[nodiscard]] bool held(core::TimePoint now) const noexcept { return now < held_until_; }
  [[nodiscard]] const std::string& self() const noexcept { return self_; }
  /// @return Offset at which the next record is written.
  [[nodiscard]] std::uint64_t end() const noexcept { return end_; }

 private:
  std::string self_;
  LeaseOptions options_;
  bool wanted_ = false;
  bool calling_ = false;
  core::TimePoint call_started_;
  core::TimePoint next_call_;
  core::TimePoint held_until_;
  /// The lease is free, or this daemon's, if no record follows `end_`.
  bool available_ = false;
  std::uint64_t end_ = 0;
  /// End of the record of another daemon, and when it was seen first.
  std::optional<std::uint64_t> foreign_end_;
  core::TimePoint foreign_since_;
};

}  // namespace damaskthread::quota

#endif  // DAMASKTHREAD_QUOTA_LEASE_H_
