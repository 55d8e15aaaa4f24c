#include "damaskthread/quota/coordinator.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <utility>

namespace damaskthread::quota {
namespace {

// At least this share of the daemons cannot report to two coordinators at once for long.
constexpr double kMajority = 0.5;

double to_seconds(core::Duration time) noexcept { return std::chrono::duration<double>(time).count(); }

}  // namespace

double Coordinator::capacity(const Bucket& bucket) const noexcept {
  // Both sides of a partition together accrue one burst.
  // Of the controlled rate: many coordinators may act at the same time, each with a bucket of its own.
  const double least = controlled_rate(bucket) * to_seconds(options_.min_accrual);
  return std::max(1.0, std::max(reporting_share_ * bucket.burst, least) + reporting_share_ * options_.spread_credits);
}

double Coordinator::room(const Bucket& bucket) const noexcept { return std::max(0.0, capacity(bucket) - bucket.held); }

void Coordinator::set_tenants(std::span<const tenant::Tenant> tenants, core::TimePoint now) {
  const auto previous = std::exchange(buckets_, {});
  for (const tenant::Tenant& tenant : tenants) {
    if (!tenant.has_quota()) continue;
    Bucket bucket{.rate_per_second = tenant.rate_per_second,
                  .burst = tenant.burst,
                  .credits = has_majority() ? options_.initial_credits : 0,
                  .updated = now};
    if (const auto kept = previous.find(tenant.name); kept != previous.end()) {
      bucket.credits = kept->second.credits;
      bucket.updated = kept->second.updated;
    }
    buckets_.emplace(tenant.name, bucket);
  }
  for (const auto& [endpoint, member] : members_) {
    for (const auto& [tenant, share] : member.shares) {
      if (const auto found = buckets_.find(tenant); found != buckets_.end()) found->second.held += share.held;
    }
  }
  for (auto& [tenant, bucket] : buckets_) bucket.credits = std::min(bucket.credits, room(bucket));
}

bool Coordinator::has_majority() const noexcept { return reporting_share_ >= kMajority; }

void Coordinator::set_fleet(const FleetView& fleet, core::TimePoint now) noexcept {
  if (fleet.exclusive && !fleet_.exclusive) exclusive_since_ = now;
  fleet_ = fleet;
}

bool Coordinator::may_discount(core::TimePoint now) const noexcept {
  return fleet_.exclusive && now - std::max(started_, exclusive_since_) >= options_.discovery_time;
}

void Coordinator::sum_members(core::TimePoint now) {
  std::erase_if(members_,
                [this, now](const auto& entry) { return now - entry.second.last_report > options_.silent_time; });
  for (auto& [tenant, bucket] : buckets_) bucket.reserved_reporting = bucket.reserved_silent = 0;
  reporting_ = 0;
  listed_ = fleet_.listed;
  for (auto& [endpoint, member] : members_) {
    const bool silent = now - member.last_report > options_.member_timeout;
    if (!silent) ++reporting_;
    // Its credits have expired.
    if (silent) release_held(member);
    listed_ = std::max<std::size_t>(listed_, member.fleet_size);
    for (const auto& [tenant, share] : member.shares) {
      const auto found = buckets_.find(tenant);
      if (found == buckets_.end()) continue;
      (silent ? found->second.reserved_silent : found->second.reserved_reporting) += share.reserved_per_second;
    }
  }
  if (listed_ > 0) listed_ = std::max(listed_, members_.size());
  const std::size_t known = may_discount(now) ? std::max<std::size_t>(members_.size(), fleet_.reachable) : listed_;
  const double previous_share =
      std::exchange(reporting_share_, known == 0 ? 0 : static_cast<double>(reporting_) / static_cast<double>(known));
  if (previous_share >= kMajority || !has_majority() || known == 1) return;
  for (auto& [tenant, bucket] : buckets_) {
    bucket.credits = std::min(std::max(bucket.credits, options_.initial_credits), room(bucket));
  }
}

double Coordinator::controlled_rate(const Bucket& bucket) const noexcept {
  const double rate = bucket.rate_per_second;
  const double left_to_others = std::max(bucket.reserved_silent, (1 - reporting_share_) * rate);
  return std::clamp(rate - left_to_others, std::min(rate, options_.reserved_part * bucket.reserved_reporting), rate);
}

Credit Coordinator::grant(const Demand& demand, MemberShare& share, core::TimePoint now) {
  Credit credit{demand.tenant, 0, false};
  const auto found = buckets_.find(demand.tenant);
  if (found == buckets_.end()) return credit;
  Bucket& bucket = found->second;
  const double rate = controlled_rate(bucket);
  const double accrued = rate * to_seconds(now - bucket.updated) + std::max(0, demand.returned);
  bucket.updated = now;
  bucket.granted_count -= std::max(0, demand.returned);
  bucket.credits = std::min(room(bucket), bucket.credits + accrued);
  if (demand.wanted <= 0 && demand.spare <= 0) return credit;
  // Of scarce credits each report gets at most half, so that all daemons get some.
  const double available = bucket.credits >= 2 * demand.wanted ? bucket.credits : std::ceil(bucket.credits / 2);
  credit.credits = std::min(demand.wanted, static_cast<int>(std::floor(std::min(available, bucket.credits))));
  bucket.credits -= credit.credits;
  const double plenty = std::max(0.0, bucket.credits - capacity(bucket) / 2);
  const int spare = std::clamp(demand.spare, 0, static_cast<int>(plenty));
  credit.credits += spare;
  bucket.credits -= spare;
  bucket.granted_count += credit.credits;
  bucket.held += credit.credits;
  share.held += credit.credits;
  const double missing = demand.wanted - credit.credits - bucket.credits;
  credit.exhausted = missing > rate * to_seconds(options_.patience);
  return credit;
}

void Coordinator::restart(core::TimePoint now) {
  started_ = now;
  summed_ = {};
  reporting_share_ = 0;
  members_.clear();
  for (auto& [tenant, bucket] : buckets_) {
    bucket.credits = 0;
    bucket.held = 0;
    bucket.updated = now;
  }
}

void Coordinator::release_held(Member& member) {
  for (auto& [tenant, share] : member.shares) {
    const int held = std::exchange(share.held, 0);
    if (const auto found = buckets_.find(tenant); found != buckets_.end()) found->second.held -= held;
  }
}

Coordinator::Member& Coordinator::record_report(const std::string& member, const Report& report, core::TimePoint now) {
  Member& sender = members_[member];
  sender.last_report = now;
  sender.fleet_size = report.fleet_size;
  release_held(sender);
  sender.shares.clear();
  for (const Demand& demand : report.demands) {
    const auto found = buckets_.find(demand.tenant);
    if (found == buckets_.end()) continue;
    MemberShare& share = sender.shares[demand.tenant];
    share = {demand.reserved_per_second, std::max(0, demand.held)};
    found->second.held += share.held;
  }
  return sender;
}

Grant Coordinator::on_report(const std::string& member, const Report& report, core::TimePoint now) {
  if (now - last_report_ > options_.member_timeout) restart(now);
  last_report_ = now;
  Member& sender = record_report(member, report, now);
  if (now - summed_ >= options_.sum_interval) {
    summed_ = now;
    sum_members(now);
  }
  Grant answer;
  answer.sequence = report.sequence;
  answer.majority = has_majority();
  for (const Demand& demand : report.demands) {
    Credit credit = grant(demand, sender.shares[demand.tenant], now);
    if (credit.credits > 0 || credit.exhausted) answer.credits.push_back(std::move(credit));
  }
  return answer;
}

std::vector<Usage> Coordinator::take_usage() {
  std::vector<Usage> usage;
  for (auto& [name, bucket] : buckets_) {
    const int count = std::exchange(bucket.granted_count, 0);
    if (count != 0) usage.push_back({name, count, bucket.rate_per_second, bucket.burst});
  }
  return usage;
}

}  // namespace damaskthread::quota
