#ifndef DAMASKTHREAD_METRICS_INSTRUMENTS_H_
#define DAMASKTHREAD_METRICS_INSTRUMENTS_H_

/// @file
/// @brief Counter, gauge and quantiles. Counters and quantiles are sharded to reduce cache line contention.

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <vector>

#include "damaskthread/config/config.h"
#include "damaskthread/core/types.h"

namespace damaskthread::metrics {

inline constexpr std::size_t kShardCount = DAMASKTHREAD_SHARD_COUNT;

/// @brief Returns the shard of the calling thread. Threads are assigned round-robin in the order of their first use.
[[nodiscard]] std::size_t thread_shard() noexcept;

/// Monotonically increasing counter.
class Counter {
 public:
  void count(std::uint64_t amount = 1) noexcept {
    cells_[thread_shard()].value.fetch_add(amount, std::memory_order_relaxed);
  }
  [[nodiscard]] std::uint64_t value() const noexcept;

 private:
  struct alignas(DAMASKTHREAD_CACHE_LINE_BYTES) Cell {
    std::atomic<std::uint64_t> value{0};
  };
  std::array<Cell, kShardCount> cells_;
};

/// Value that can be set at any time.
class Gauge {
 public:
  void set(double value) noexcept { value_.store(value, std::memory_order_relaxed); }
  [[nodiscard]] double value() const noexcept { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<double> value_{0};
};

/// The quantiles that are estimated.
inline constexpr std::array<double, 4> kQuantiles = {0.5, 0.9, 0.99, 0.999};

/// Quantile estimates at one point in time.
struct QuantileSnapshot {
  std::array<double, kQuantiles.size()> values{};  ///< Over the window; zero without observations.
  std::uint64_t window_count = 0;                  ///< Observations in the window.
  std::uint64_t count = 0;                         ///< Observations since the start.
  double sum = 0;                                  ///< Sum of the observations since the start.
};

/// Estimates quantiles with the extended P-square algorithm over the last one to two rotations, in constant memory.
class Quantiles {
 public:
  Quantiles();
  ~Quantiles();
  Quantiles(const Quantiles&) = delete;
  Quantiles& operator=(const Quantiles&) = delete;

  /// @brief Adds one observation; a value that is not finite is ignored. Does not allocate.
  void observe(double value) noexcept;
  /// @brief Adds a duration in seconds.
  void observe(core::Duration value) noexcept { observe(std::chrono::duration<double>(value).count()); }

  /// @brief Closes the current window and discards the previous one. Called at fixed intervals, such as each minute.
  void rotate();

  [[nodiscard]] QuantileSnapshot snapshot() const;

 private:
  struct Shard;
  std::unique_ptr<std::array<Shard, kShardCount>> shards_;
};

}  // namespace damaskthread::metrics

#endif  // DAMASKTHREAD_METRICS_INSTRUMENTS_H_
