#include "damaskthread/slo/burn_tracker.h"

#include <xxhash.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

#include "damaskthread/slo/internal/ring.h"

namespace damaskthread::slo {
namespace {

using internal::Ring;

// One bucket more than a window holds would only be the partly filled one at its far end.
constexpr std::chrono::seconds kFineWidth{10};
constexpr std::size_t kFineLength = 30;  // 5 minutes
constexpr std::chrono::seconds kMiddleWidth{60};
constexpr std::size_t kMiddleLength = 360;   // 6 hours
constexpr std::int64_t kWindowLength = 336;  // Two hours each for a window of 28 days.
constexpr auto kSeriesBuckets = static_cast<std::size_t>(kSeriesStep / kMiddleWidth);
static_assert(kSeriesBuckets * kSeriesLength == kMiddleLength);

constexpr std::array<std::uint64_t Counts::*, 5> kFields = {&Counts::good, &Counts::refused, &Counts::late,
                                                            &Counts::failed, &Counts::held};

struct Rings {
  explicit Rings(std::chrono::seconds window)
      : fine(kFineWidth, kFineLength),
        middle(kMiddleWidth, kMiddleLength),
        whole(std::max<core::Duration>(std::chrono::seconds{1}, core::Duration{window} / kWindowLength),
              static_cast<std::size_t>(std::min<std::int64_t>(kWindowLength, window.count()))) {}

  Ring fine;
  Ring middle;
  Ring whole;
};

struct Tracked {
  Objective objective;
  core::TimePoint since;
  std::unique_ptr<Rings> rings;  // Null until the first call.
};

bool counts_the_same(const Objective& a, const Objective& b) noexcept {
  return a.service == b.service && a.importance == b.importance && a.latency == b.latency && a.window == b.window;
}

ObjectiveBurn burn_of(const Tracked& tracked, core::TimePoint now) {
  ObjectiveBurn burn;
  burn.objective = tracked.objective;
  burn.covered =
      std::min(tracked.objective.window,
               std::chrono::duration_cast<std::chrono::seconds>(std::max(now - tracked.since, core::Duration{0})));
  if (tracked.rings == nullptr) return burn;
  const Rings& rings = *tracked.rings;
  burn.windows[kFiveMinutes] = rings.fine.sum(now, 0, kFineLength);
  burn.windows[kOneHour] = rings.middle.sum(now, 0, static_cast<std::size_t>(kShortWindows[kOneHour] / kMiddleWidth));
  burn.windows[kSixHours] = rings.middle.sum(now, 0, kMiddleLength);
  burn.windows[kWholeWindow] = rings.whole.sum(now, 0, static_cast<std::size_t>(kWindowLength));
  for (std::size_t i = 0; i < kSeriesLength; ++i) {
    burn.series[i] = rings.middle.sum(now, i * kSeriesBuckets, kSeriesBuckets);
  }
  return burn;
}

}  // namespace

struct alignas(DAMASKTHREAD_CACHE_LINE_BYTES) BurnTracker::Shard {
  mutable std::mutex mutex;
  std::map<std::string, std::vector<Tracked>, std::less<>> services;
  std::uint64_t untracked = 0;
};

BurnTracker::BurnTracker(std::size_t max_objectives)
    : max_objectives_(max_objectives), shards_(std::make_unique<std::array<Shard, DAMASKTHREAD_SHARD_COUNT>>()) {}

BurnTracker::~BurnTracker() = default;

BurnTracker::Shard& BurnTracker::shard_of(std::string_view service) const noexcept {
  return (*shards_)[XXH3_64bits(service.data(), service.size()) % shards_->size()];
}

void BurnTracker::set_objectives(std::span<const Objective> objectives, core::TimePoint now) {
  const std::size_t tracked_count = std::min(objectives.size(), max_objectives_);
  for (Shard& shard : *shards_) {
    const std::lock_guard lock(shard.mutex);
    auto previous = std::exchange(shard.services, {});
    shard.untracked = 0;
    for (std::size_t i = 0; i < objectives.size(); ++i) {
      const Objective& objective = objectives[i];
      if (&shard_of(objective.service) != &shard) continue;
      if (i >= tracked_count) {
        ++shard.untracked;
        continue;
      }
      Tracked tracked{objective, now, nullptr};
      for (Tracked& old : previous[objective.service]) {
        if (!counts_the_same(old.objective, objective)) continue;
        tracked.since = old.since;
        tracked.rings = std::move(old.rings);
      }
      shard.services[objective.service].push_back(std::move(tracked));
    }
  }
}

void BurnTracker::record(std::string_view service, core::Importance importance, Result result, core::Duration latency,
                         core::TimePoint now) {
  Shard& shard = shard_of(service);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.services.find(service);
  if (found == shard.services.end()) return;
  for (Tracked& tracked : found->second) {
    if (tracked.objective.importance != importance) continue;
    if (tracked.rings == nullptr) tracked.rings = std::make_unique<Rings>(tracked.objective.window);
    const bool late = result == Result::kWhole && latency > tracked.objective.latency;
    const auto field = kFields[static_cast<std::size_t>(late ? Result::kLate : result)];
    tracked.rings->fine.add(field, now);
    tracked.rings->middle.add(field, now);
    tracked.rings->whole.add(field, now);
  }
}

BurnSnapshot BurnTracker::snapshot(Source source, core::TimePoint now) const {
  BurnSnapshot snapshot;
  snapshot.sources.push_back(std::move(source));
  for (const Shard& shard : *shards_) {
    const std::lock_guard lock(shard.mutex);
    snapshot.untracked += shard.untracked;
    for (const auto& [service, objectives] : shard.services) {
      for (const Tracked& tracked : objectives) snapshot.objectives.push_back(burn_of(tracked, now));
    }
  }
  std::sort(snapshot.objectives.begin(), snapshot.objectives.end(),
            [](const ObjectiveBurn& a, const ObjectiveBurn& b) { return a.objective < b.objective; });
  return snapshot;
}

}  // namespace damaskthread::slo
