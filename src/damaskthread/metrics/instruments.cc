#include "damaskthread/metrics/instruments.h"

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cmath>
#include <limits>
#include <mutex>
#include <optional>

namespace damaskthread::metrics {
namespace {

namespace acc = boost::accumulators;
using Estimator = acc::accumulator_set<double, acc::stats<acc::tag::extended_p_square>>;

// Shards are merged by their distributions, so each estimates more points than are exposed. With the four exposed
// quantiles and linear interpolation, merging four different log-normal distributions put 0.9 at a true rank of 0.921.
constexpr std::array<double, 10> kEstimatedQuantiles = {0.1, 0.3, 0.5, 0.7, 0.8, 0.9, 0.95, 0.99, 0.995, 0.999};

// The algorithm estimates nothing before it has as many samples as markers (2 * quantiles + 3); up to this
// count the samples themselves are stored.
constexpr std::size_t kMaxExactSamples = 32;
static_assert(kMaxExactSamples >= 2 * kEstimatedQuantiles.size() + 3);
constexpr int kBisectionSteps = 64;

/// Point of a cumulative distribution: a value and the share of observations at or below it.
struct Point {
  double value;
  double share;
};

/// The observations of one shard in one window.
class Window {
 public:
  Window() : estimator_(acc::extended_p_square_probabilities = kEstimatedQuantiles) {}

  void add(double value) {
    if (count_ < kMaxExactSamples) samples_[count_] = value;
    ++count_;
    minimum_ = std::min(minimum_, value);
    maximum_ = std::max(maximum_, value);
    estimator_(value);
  }

  [[nodiscard]] std::uint64_t count() const noexcept { return count_; }

  /// Returns the cumulative distribution of this window in ascending order of value.
  [[nodiscard]] std::vector<Point> points() const {
    std::vector<Point> points;
    if (count_ == 0) return points;
    if (count_ <= kMaxExactSamples) {
      std::vector<double> sorted(samples_.begin(), samples_.begin() + static_cast<std::ptrdiff_t>(count_));
      std::sort(sorted.begin(), sorted.end());
      for (std::size_t i = 0; i < sorted.size(); ++i) {
        points.push_back({sorted[i], static_cast<double>(i + 1) / static_cast<double>(count_)});
      }
      return points;
    }
    points.push_back({minimum_, 1.0 / static_cast<double>(count_)});
    const auto estimates = acc::extended_p_square(estimator_);
    for (std::size_t i = 0; i < kEstimatedQuantiles.size(); ++i) {
      points.push_back({std::clamp(estimates[static_cast<std::ptrdiff_t>(i)], points.back().value, maximum_),
                        kEstimatedQuantiles[i]});
    }
    points.push_back({maximum_, 1.0});
    return points;
  }

 private:
  Estimator estimator_;
  std::array<double, kMaxExactSamples> samples_{};
  std::uint64_t count_ = 0;
  double minimum_ = std::numeric_limits<double>::infinity();
  double maximum_ = -std::numeric_limits<double>::infinity();
};

struct WeightedDistribution {
  std::vector<Point> points;
  double weight;
  bool is_exact;
};

double cumulative_share(const WeightedDistribution& distribution, double value) {
  const auto& points = distribution.points;
  const auto above = std::upper_bound(points.begin(), points.end(), value,
                                      [](double wanted, const Point& point) { return wanted < point.value; });
  if (above == points.begin()) return 0;
  const Point& low = *std::prev(above);
  if (above == points.end()) return 1;
  if (distribution.is_exact) return low.share;
  const double fraction = (value - low.value) / (above->value - low.value);
  if (above->share >= 1) return low.share + (1 - low.share) * fraction;
  // The tail of latencies decays about exponentially, so the share above the value is interpolated on a logarithmic
  // scale.
  return 1 - (1 - low.share) * std::pow((1 - above->share) / (1 - low.share), fraction);
}

/// The smallest value at or below which `share` of the weighted observations lie.
double find_quantile(const std::vector<WeightedDistribution>& distributions, double share, double low, double high) {
  double total = 0;
  for (const WeightedDistribution& distribution : distributions) total += distribution.weight;
  const auto reaches_share = [&](double value) {
    double sum = 0;
    for (const WeightedDistribution& distribution : distributions)
      sum += distribution.weight * cumulative_share(distribution, value);
    return sum >= share * total * (1 - 1e-12);
  };
  if (reaches_share(low)) return low;
  for (int i = 0; i < kBisectionSteps; ++i) {
    const double middle = low + (high - low) / 2;
    (reaches_share(middle) ? high : low) = middle;
  }
  return high;
}

}  // namespace

std::size_t thread_shard() noexcept {
  static std::atomic<std::size_t> next{0};
  thread_local const std::size_t shard = next.fetch_add(1, std::memory_order_relaxed) % kShardCount;
  return shard;
}

std::uint64_t Counter::value() const noexcept {
  std::uint64_t sum = 0;
  for (const Cell& cell : cells_) sum += cell.value.load(std::memory_order_relaxed);
  return sum;
}

struct alignas(DAMASKTHREAD_CACHE_LINE_BYTES) Quantiles::Shard {
  mutable std::mutex mutex;
  Window current;
  std::optional<Window> previous;
  std::uint64_t count = 0;
  double sum = 0;
};

Quantiles::Quantiles() : shards_(std::make_unique<std::array<Shard, kShardCount>>()) {}
Quantiles::~Quantiles() = default;

void Quantiles::observe(double value) noexcept {
  if (!std::isfinite(value)) return;
  Shard& shard = (*shards_)[thread_shard()];
  const std::lock_guard lock(shard.mutex);
  shard.current.add(value);
  ++shard.count;
  shard.sum += value;
}

void Quantiles::rotate() {
  for (Shard& shard : *shards_) {
    Window empty_window;
    const std::lock_guard lock(shard.mutex);
    shard.previous.emplace(std::move(shard.current));
    shard.current = std::move(empty_window);
  }
}

QuantileSnapshot Quantiles::snapshot() const {
  QuantileSnapshot snapshot;
  std::vector<WeightedDistribution> distributions;
  const auto add_window = [&](const Window& window) {
    if (window.count() == 0) return;
    snapshot.window_count += window.count();
    distributions.push_back({window.points(), static_cast<double>(window.count()), window.count() <= kMaxExactSamples});
  };
  for (const Shard& shard : *shards_) {
    const std::lock_guard lock(shard.mutex);
    add_window(shard.current);
    if (shard.previous) add_window(*shard.previous);
    snapshot.count += shard.count;
    snapshot.sum += shard.sum;
  }
  if (distributions.empty()) return snapshot;
  double low = std::numeric_limits<double>::infinity();
  double high = -std::numeric_limits<double>::infinity();
  for (const WeightedDistribution& distribution : distributions) {
    low = std::min(low, distribution.points.front().value);
    high = std::max(high, distribution.points.back().value);
  }
  for (std::size_t i = 0; i < kQuantiles.size(); ++i)
    snapshot.values[i] = find_quantile(distributions, kQuantiles[i], low, high);
  return snapshot;
}

}  // namespace damaskthread::metrics
