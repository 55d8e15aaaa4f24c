#include "damaskthread/slo/burn.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace damaskthread::slo {
namespace {

constexpr std::array<std::string_view, 3> kAlertNames = {"none", "ticket", "page"};

// Shares of the budget that may go before somebody is told. With a window of 30 days these are the usual rates of 14.4
// and 6.
constexpr double kPageShare = 0.02;
constexpr double kTicketShare = 0.05;

double rate_for(const Objective& objective, double budget_share, std::chrono::seconds spent_in) noexcept {
  // Below 1 the budget lasts for the whole window, however short that is.
  return std::max(1.0,
                  budget_share * static_cast<double>(objective.window.count()) / static_cast<double>(spent_in.count()));
}

std::int64_t latest(const BurnSnapshot& snapshot) {
  std::int64_t time = 0;
  for (const Source& source : snapshot.sources) time = std::max(time, source.taken_at.time_since_epoch().count());
  return time;
}

using SourceKey = std::tuple<std::string, std::uint64_t>;

SourceKey key_of(const Source& source) { return {source.daemon, source.incarnation.value}; }

void add(std::map<Objective, ObjectiveBurn>& sums, const ObjectiveBurn& burn) {
  const auto [found, inserted] = sums.try_emplace(burn.objective, burn);
  if (inserted) return;
  ObjectiveBurn& sum = found->second;
  for (std::size_t i = 0; i < kWindowCount; ++i) sum.windows[i] += burn.windows[i];
  for (std::size_t i = 0; i < kSeriesLength; ++i) sum.series[i] += burn.series[i];
  sum.covered = std::min(sum.covered, burn.covered);
}

}  // namespace

std::optional<Result> classify(const core::Verdict& verdict) noexcept {
  switch (verdict.cause) {
    case core::Cause::kNone:
      return verdict.execution == core::Execution::kRan ? Result::kWhole : Result::kFailed;
    case core::Cause::kDeadline:
      return Result::kLate;
    case core::Cause::kQuarantined:
      return Result::kHeld;
    case core::Cause::kCancelled:
    case core::Cause::kBadRequest:
    case core::Cause::kUnauthorized:
    case core::Cause::kTokenRequired:
    case core::Cause::kDuplicate:
      return std::nullopt;
    default:
      return verdict.execution == core::Execution::kNotRun ? Result::kRefused : Result::kFailed;
  }
}

bool Objective::operator<(const Objective& other) const noexcept {
  const auto key = [](const Objective& o) { return std::tie(o.service, o.importance, o.target); };
  if (key(*this) != key(other)) return key(*this) < key(other);
  return std::pair(latency.count(), window.count()) < std::pair(other.latency.count(), other.window.count());
}

Counts& Counts::operator+=(const Counts& other) noexcept {
  good += other.good;
  refused += other.refused;
  late += other.late;
  failed += other.failed;
  held += other.held;
  return *this;
}

double burn_rate(const Counts& counts, double target) noexcept {
  if (counts.total() == 0) return 0;
  return static_cast<double>(counts.bad()) / static_cast<double>(counts.total()) / (1 - target);
}

double budget_left(const ObjectiveBurn& burn) noexcept {
  return 1 - burn_rate(burn.windows[kWholeWindow], burn.objective.target);
}

std::string_view to_string(Alert alert) noexcept { return kAlertNames[static_cast<std::size_t>(alert)]; }

double page_rate(const Objective& objective) noexcept {
  return rate_for(objective, kPageShare, kShortWindows[kOneHour]);
}

double ticket_rate(const Objective& objective) noexcept {
  return rate_for(objective, kTicketShare, kShortWindows[kSixHours]);
}

Alert alert_of(const ObjectiveBurn& burn) noexcept {
  const auto rate = [&burn](WindowIndex index) { return burn_rate(burn.windows[index], burn.objective.target); };
  const double page = page_rate(burn.objective);
  const double ticket = ticket_rate(burn.objective);
  // The shorter window ends an alert soon after the burn has ended.
  if (rate(kOneHour) >= page && rate(kFiveMinutes) >= page) return Alert::kPage;
  if (rate(kSixHours) >= ticket && rate(kOneHour) >= ticket) return Alert::kTicket;
  return Alert::kNone;
}

BurnSnapshot merge(std::span<const BurnSnapshot> snapshots, std::span<const std::string> missing) {
  std::vector<const BurnSnapshot*> order;
  order.reserve(snapshots.size());
  for (const BurnSnapshot& snapshot : snapshots) order.push_back(&snapshot);
  // Later ones first; the other fields make the order of equally late ones independent of the input's.
  std::sort(order.begin(), order.end(), [](const BurnSnapshot* a, const BurnSnapshot* b) {
    const auto key = [](const BurnSnapshot& snapshot) {
      const Source none;
      const Source& first = snapshot.sources.empty() ? none : snapshot.sources.front();
      return std::tuple(latest(snapshot), snapshot.sources.size(), first.daemon, first.incarnation.value);
    };
    return key(*a) > key(*b);
  });

  BurnSnapshot merged;
  std::set<SourceKey> seen;
  std::set<std::string> absent(missing.begin(), missing.end());
  std::map<Objective, ObjectiveBurn> sums;
  for (const BurnSnapshot* snapshot : order) {
    const auto& sources = snapshot->sources;
    absent.insert(snapshot->missing.begin(), snapshot->missing.end());
    if (std::any_of(sources.begin(), sources.end(), [&](const Source& s) { return seen.contains(key_of(s)); })) {
      for (const Source& source : sources) absent.insert(source.daemon);
      continue;
    }
    for (const Source& source : sources) {
      seen.insert(key_of(source));
      merged.sources.push_back(source);
    }
    merged.untracked += snapshot->untracked;
    for (const ObjectiveBurn& burn : snapshot->objectives) add(sums, burn);
  }
  std::sort(merged.sources.begin(), merged.sources.end(),
            [](const Source& a, const Source& b) { return key_of(a) < key_of(b); });
  for (const Source& source : merged.sources) absent.erase(source.daemon);
  merged.missing.assign(absent.begin(), absent.end());
  merged.objectives.reserve(sums.size());
  for (auto& [objective, burn] : sums) merged.objectives.push_back(std::move(burn));
  return merged;
}

}  // namespace damaskthread::slo
