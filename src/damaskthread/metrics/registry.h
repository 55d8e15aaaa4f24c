#ifndef DAMASKTHREAD_METRICS_REGISTRY_H_
#define DAMASKTHREAD_METRICS_REGISTRY_H_

/// @file
/// @brief Registry of named instruments that exposes them in the text exposition format (version 0.0.4).

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "damaskthread/metrics/instruments.h"

namespace damaskthread::metrics {

/// Pairs of label name and value, in the order in which they are written.
using Labels = std::vector<std::pair<std::string, std::string>>;

/// Owns all instruments of a process. Callers look up an instrument once and keep its reference, which stays valid as
/// long as the registry.
class Registry {
 public:
  /// @param max_series Label sets per name. Further sets share one series whose label values are `other`, so that
  ///   external values cannot exhaust the memory.
  explicit Registry(std::size_t max_series = 256) : max_series_(max_series) {}

  /// @brief Finds or creates an instrument.
  /// @param name Metric name: letters, digits, `_` and `:`, not starting with a digit.
  /// @param help One line that says what is measured; the first help text of a name is kept.
  /// @param labels Label values may hold any bytes; anything but printable ASCII is written as `?`.
  /// @throws std::invalid_argument for an invalid name or one that is in use for another kind of instrument; both are
  ///   programming errors.
  Counter& counter(std::string_view name, std::string_view help, const Labels& labels = {});
  Gauge& gauge(std::string_view name, std::string_view help, const Labels& labels = {});
  Quantiles& quantiles(std::string_view name, std::string_view help, const Labels& labels = {});

  /// @brief Closes the current window of every quantile estimate.
  void rotate();

  /// @brief Formats all instruments in the text exposition format, ordered by name.
  [[nodiscard]] std::string expose() const;

  /// @brief Number of lookups that returned the shared series because their name had too many label sets.
  [[nodiscard]] std::uint64_t overflow_count() const noexcept { return overflow_.value(); }

 private:
  using Instrument = std::variant<std::unique_ptr<Counter>, std::unique_ptr<Gauge>, std::unique_ptr<Quantiles>>;
  struct Family {
    std::string help;
    std::size_t kind = 0;
    std::map<std::string, Instrument> series;  // Keyed by the labels as they are written.
  };
  struct alignas(DAMASKTHREAD_CACHE_LINE_BYTES) Shard {
    mutable std::mutex mutex;
    std::map<std::string, Family, std::less<>> families;
  };

  template <typename Kind>
  Kind& find_or_create(std::string_view name, std::string_view help, const Labels& labels);

  std::size_t max_series_;
  Counter overflow_;
  std::array<Shard, kShardCount> shards_;
};

}  // namespace damaskthread::metrics

#endif  // DAMASKTHREAD_METRICS_REGISTRY_H_
