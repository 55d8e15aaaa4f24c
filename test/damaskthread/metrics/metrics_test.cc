#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <latch>
#include <limits>
#include <random>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "damaskthread/metrics/registry.h"

namespace damaskthread::metrics {
namespace {

// Share of `sorted` at or below `value`.
double rank_of(const std::vector<double>& sorted, double value) {
  const auto above = std::upper_bound(sorted.begin(), sorted.end(), value);
  return static_cast<double>(above - sorted.begin()) / static_cast<double>(sorted.size());
}

}  // namespace

// Guards against increments lost between threads, also between those that share a shard.
TEST_CASE("a counter loses no increments of concurrent threads") {
  Counter counter;
  std::vector<std::jthread> threads;
  std::latch start(2 * kShardCount);  // Without the latch a thread would finish before the next one starts.
  threads.reserve(2 * kShardCount);
  for (std::size_t i = 0; i < 2 * kShardCount; ++i) {
    threads.emplace_back([&counter, &start] {
      start.arrive_and_wait();
      for (int j = 0; j < 2'000'000; ++j) counter.count();
    });
  }
  threads.clear();
  CHECK(counter.value() == 2 * kShardCount * 2'000'000);
}

// Guards against the estimator's meaningless values before its markers are filled.
TEST_CASE("quantiles of up to 32 observations are exact") {
  CHECK(rc::check([](std::vector<std::uint16_t> samples) {
    samples.resize(std::clamp<std::size_t>(samples.size(), 1, 32));
    Quantiles quantiles;
    for (const auto sample : samples) quantiles.observe(double{1} * sample);
    std::sort(samples.begin(), samples.end());
    const auto values = quantiles.snapshot().values;
    for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
      const auto rank = std::ceil(kQuantiles[i] * static_cast<double>(samples.size()));
      RC_ASSERT(std::abs(values[i] - samples[static_cast<std::size_t>(rank) - 1]) < 1e-6);
    }
  }));
}

// Guards against quantiles that are wrong once the shards of several threads are combined. The bound is in rank, not in
// value: the estimate of a quantile q must lie between the true quantiles q - error and q + error.
TEST_CASE("quantiles merged from several threads are within the rank error") {
  Quantiles quantiles;
  std::vector<std::vector<double>> samples(4);
  std::vector<std::jthread> threads;
  threads.reserve(samples.size());
  for (std::size_t t = 0; t < samples.size(); ++t) {
    threads.emplace_back([&quantiles, &mine = samples[t], t] {
      std::mt19937_64 random(7 + t);
      std::lognormal_distribution<double> latency(-5, 0.5 + 0.1 * static_cast<double>(t));
      for (int i = 0; i < 50'000; ++i) {
        mine.push_back(latency(random));
        quantiles.observe(mine.back());
      }
    });
  }
  threads.clear();
  std::vector<double> sorted;
  for (const auto& part : samples) sorted.insert(sorted.end(), part.begin(), part.end());
  std::sort(sorted.begin(), sorted.end());
  const QuantileSnapshot snapshot = quantiles.snapshot();
  CHECK(snapshot.count == sorted.size());
  constexpr std::array<double, 4> kRankError = {0.02, 0.01, 0.002, 0.0005};
  for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
    CAPTURE(kQuantiles[i]);
    CHECK(std::abs(rank_of(sorted, snapshot.values[i]) - kQuantiles[i]) < kRankError[i]);
  }
}

// Guards against estimates that never discard old windows, which would hide a recovery, and against corruption by
// non-finite values.
TEST_CASE("old windows are discarded and non-finite values are ignored") {
  Quantiles quantiles;
  for (int i = 0; i < 1000; ++i) quantiles.observe(std::chrono::seconds(10));
  quantiles.observe(std::numeric_limits<double>::quiet_NaN());
  quantiles.observe(std::numeric_limits<double>::infinity());
  quantiles.rotate();
  CHECK(quantiles.snapshot().values[0] == doctest::Approx(10));
  for (int i = 0; i < 1000; ++i) quantiles.observe(std::chrono::milliseconds(10));
  quantiles.rotate();
  const QuantileSnapshot snapshot = quantiles.snapshot();
  CHECK(snapshot.values[3] == doctest::Approx(0.01));
  CHECK(snapshot.window_count == 1000);
  CHECK(snapshot.count == 2000);
  CHECK(snapshot.sum == doctest::Approx(10'010));
}

// Guards against output that a scraper rejects or parses as another series.
TEST_CASE("the exposition is well formed and escaped") {
  Registry registry;
  registry.counter("calls_total", "Calls.\nBack\\slash.", {{"service", "a\"b\\c\nd\x01"}}).count(3);
  registry.gauge("limit", "Limit.").set(2.5);
  registry.quantiles("latency_seconds", "Latency.", {{"service", "x"}}).observe(0.25);
  const std::string text = registry.expose();
  CHECK(text.find("# HELP calls_total Calls.\\nBack\\\\slash.\n# TYPE calls_total counter\n"
                  "calls_total{service=\"a\\\"b\\\\c\\nd?\"} 3\n") != std::string::npos);
  CHECK(text.find("# TYPE limit gauge\nlimit 2.5\n") != std::string::npos);
  CHECK(text.find("# TYPE latency_seconds summary\nlatency_seconds{service=\"x\",quantile=\"0.5\"} 0.25\n") !=
        std::string::npos);
  CHECK(text.find("latency_seconds_count{service=\"x\"} 1\n") != std::string::npos);
  CHECK_THROWS_AS(registry.gauge("calls_total", ""), std::invalid_argument);
  CHECK_THROWS_AS(registry.counter("1bad", ""), std::invalid_argument);
  CHECK_THROWS_AS(registry.counter("good", "", {{"bad name", "x"}}), std::invalid_argument);
}

// Guards against a label value from outside that injects a line or another sample.
TEST_CASE("label values cannot inject lines or samples") {
  CHECK(rc::check([](const std::string& value) {
    Registry registry;
    registry.counter("c", "h", {{"l", value}}).count();
    std::istringstream lines(registry.expose());
    int samples = 0;
    for (std::string line; std::getline(lines, line);) samples += line.starts_with("c{l=\"") && line.ends_with("\"} 1");
    RC_ASSERT(samples == 1);
  }));
}

// Guards against unbounded memory when label values come from outside.
TEST_CASE("label sets are bounded and further ones are counted in a shared series") {
  Registry registry(4);
  for (int i = 0; i < 100; ++i) registry.counter("c", "h", {{"l", std::to_string(i)}}).count();
  std::istringstream lines(registry.expose());
  int series = 0;
  for (std::string line; std::getline(lines, line);) series += line.starts_with("c{") ? 1 : 0;
  CHECK(series == 5);
  CHECK(registry.counter("c", "h", {{"l", "other"}}).value() == 96);
  CHECK(registry.overflow_count() == 96);
}

}  // namespace damaskthread::metrics
