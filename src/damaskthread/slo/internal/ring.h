#ifndef DAMASKTHREAD_SLO_INTERNAL_RING_H_
#define DAMASKTHREAD_SLO_INTERNAL_RING_H_

/// @file
/// @brief Counts in time buckets of equal width, of which the newest are kept.

#include <cstdint>
#include <vector>

#include "damaskthread/slo/burn.h"

namespace damaskthread::slo::internal {

class Ring {
 public:
  /// @param width Time that one bucket stands for.
  /// @param length Buckets that are kept.
  Ring(core::Duration width, std::size_t length) : width_(width), cells_(length) {}

  /// @brief Counts one call. A time before the oldest bucket counts in the newest one, so that no call is lost.
  /// @param field Member of `Counts` to raise.
  void add(std::uint64_t Counts::*field, core::TimePoint now) noexcept {
    const std::int64_t index = index_of(now);
    advance(index);
    const bool kept = index > newest_ - static_cast<std::int64_t>(cells_.size());
    ++(cell(kept ? index : newest_).*field);
  }

  /// @brief Sum of `count` buckets, of which the newest one is `skip` buckets before the one of `now`.
  [[nodiscard]] Counts sum(core::TimePoint now, std::size_t skip, std::size_t count) const noexcept {
    Counts sum;
    const std::int64_t last = index_of(now) - static_cast<std::int64_t>(skip);
    for (std::int64_t index = last; index > last - static_cast<std::int64_t>(count); --index) {
      if (index > newest_ || index <= newest_ - static_cast<std::int64_t>(cells_.size())) continue;
      sum += cells_[position(index)];
    }
    return sum;
  }

 private:
  [[nodiscard]] std::int64_t index_of(core::TimePoint now) const noexcept {
    return now.time_since_epoch().count() / width_.count();
  }
  [[nodiscard]] std::size_t position(std::int64_t index) const noexcept {
    return static_cast<std::uint64_t>(index) % cells_.size();
  }
  Counts& cell(std::int64_t index) noexcept { return cells_[position(index)]; }

  // Empties the buckets between the newest one so far and `index`.
  void advance(std::int64_t index) noexcept {
    if (index <= newest_) return;
    const auto length = static_cast<std::int64_t>(cells_.size());
    for (std::int64_t i = index - newest_ >= length ? index - length + 1 : newest_ + 1; i <= index; ++i) cell(i) = {};
    newest_ = index;
  }

  core::Duration width_;
  std::vector<Counts> cells_;
  std::int64_t newest_ = 0;
};

}  // namespace damaskthread::slo::internal

#endif  // DAMASKTHREAD_SLO_INTERNAL_RING_H_
