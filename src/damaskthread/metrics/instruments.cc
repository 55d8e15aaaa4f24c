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

// The shards are combined by their distributions, so each estimates more points than are shown. With the four shown
// quantiles and linear interpolation, four different log-normal distributions together put 0.9 at a true rank of 0.921.
constexpr std::array<double, 10> kEstimated = {0.1, 0.3, 0.5, 0.7, 0.8, 0.9, 0.95, 0.99, 0.995, 0.999};

// The algorithm estimates nothing before it has as many samples as markers (2 * quantiles + 3); up to here the samples
// themselves are kept.
constexpr std::size_t kExactSamples = 32;
static_assert(kExactSamples >= 2 * kEstimated.size() + 3);
constexpr int kBisections = 64;

/// A distribution as points (value, share of the observations at or below it).
struct Point {
  double value;
  double share;
};

/// The observations of one shard in one window.
class Window {
 public:
  Window() : estimator_(acc::extended_p_square_probabilities = kEstimated) {}

  void add(double value) {
    if (count_ < kExactSamples) exact_[count_] = value;
    ++count_;
    minimum_ = std::min(minimum_, value);
    maximum_ = std::max(maximum_, value);
    estimator_(value);
  }

  [[nodiscard]] std::uint64_t count() const noexcept { return count_; }

  /// Appends this window's distribution, in ascending order of value.
  [[nodiscard]] std::vector<Point> points() const {
    std::vector<Point> points;
    if (count_ == 0) return points;
    if (count_ <= kExactSamples) {
      std::vector<double> sorted(exact_.begin(), exact_.begin() + static_cast<std::ptrdiff_t>(count_));
      std::sort(sorted.begin(), sorted.end());
      for (std::size_t i = 0; i < sorted.size(); ++i) {
        points.push_back({sorted[i], static_cast<double>(i + 1) / static_cast<double>(count_)});
      }
      return points;
    }
    points.push_back({minimum_, 1.0 / static_cast<double>(count_)});
    const auto estimates = acc::extended_p_square(estimator_);
    for (std::size_t i = 0; i < kEstimated.size(); ++i) {
      points.push_back(
          {std::clamp(estimates[static_cast<std::ptrdiff_t>(i)], points.back().value, maximum_), kEstimated[i]});
    }
    points.push_back({maximum_, 1.0});
    return points;
  }

 private:
  Estimator estimator_;
  std::array<double, kExactSamples> exact_{};
  std::uint64_t count_ = 0;
  double minimum_ = std::numeric_limits<double>::infinity();
  double maximum_ = -std::numeric_limits<double>::infinity();
};

struct Part {
  std::vector<Point> points;
  double weight;
  bool exact;
};

double share_at(const Part& part, double value) {
  const auto& points = part.points;
  const auto above = std::upper_bound(points.begin(), points.end(), value,
                                      [](double wanted, const Point& point) { return wanted < point.value; });
  if (above == points.begin()) return 0;
  const Point& low = *std::prev(above);
  if (above == points.end()) return 1;
  if (part.exact) return low.share;
  const double fraction = (value - low.value) / (above->value - low.value);
  if (above->share >= 1) return low.share + (1 - low.share) * fraction;
  // Latencies thin out about exponentially, so the share above the value is interpolated on a logarithmic scale.
  return 1 - (1 - low.share) * std::pow((1 - above->share) / (1 - low.share), fraction);
}

/// The smallest value at or below which `share` of the weighted observations lie.
double invert(const std::vector<Part>& parts, double share, double low, double high) {
  double total = 0;
  for (const Part& part : parts) total += part.weight;
  const auto reached = [&](double value) {
    double sum = 0;
    for (const Part& part : parts) sum += part.weight * share_at(part, value);
    return sum >= share * total * (1 - 1e-12);
  };
  if (reached(low)) return low;
  for (int i = 0; i < kBisections; ++i) {
    const double middle = low + (high - low) / 2;
    (reached(middle) ? high : low) = middle;
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
    Window fresh;
    const std::lock_guard lock(shard.mutex);
    shard.previous.emplace(std::move(shard.current));
    shard.current = std::move(fresh);
  }
}

QuantileSnapshot Quantiles::snapshot() const {
  QuantileSnapshot snapshot;
  std::vector<Part> parts;
  const auto take = [&](const Window& window) {
    if (window.count() == 0) return;
    snapshot.window_count += window.count();
    parts.push_back({window.points(), static_cast<double>(window.count()), window.count() <= kExactSamples});
  };
  for (const Shard& shard : *shards_) {
    const std::lock_guard lock(shard.mutex);
    take(shard.current);
    if (shard.previous) take(*shard.previous);
    snapshot.count += shard.count;
    snapshot.sum += shard.sum;
  }
  if (parts.empty()) return snapshot;
  double low = std::numeric_limits<double>::infinity();
  double high = -std::numeric_limits<double>::infinity();
  for (const Part& part : parts) {
    low = std::min(low, part.points.front().value);
    high = std::max(high, part.points.back().value);
  }
  for (std::size_t i = 0; i < kQuantiles.size(); ++i) snapshot.values[i] = invert(parts, kQuantiles[i], low, high);
  return snapshot;
}

}  // namespace damaskthread::metrics
