#include "damaskthread/quota/coordinator.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace damaskthread::quota {
namespace {

double to_seconds(core::Duration time) noexcept { return std::chrono::duration<double>(time).count(); }

}  // namespace

double Coordinator::capacity(const Bucket& bucket) const noexcept {
  return std::max({1.0, bucket.burst, bucket.rate_per_second * to_seconds(options_.min_accrual)});
}

void Coordinator::set_tenants(std::span<const tenant::Tenant> tenants, core::TimePoint now) {
  const auto previous = std::exchange(buckets_, {});
  for (const tenant::Tenant& tenant : tenants) {
    if (!tenant.has_quota()) continue;
    Bucket bucket{tenant.rate_per_second, tenant.burst, established_ ? options_.initial_credits : 0, now};
    if (const auto kept = previous.find(tenant.name); kept != previous.end()) {
      bucket.credits = kept->second.credits;
      bucket.updated = kept->second.updated;
    }
    bucket.credits = std::min(bucket.credits, capacity(bucket));
    buckets_.emplace(tenant.name, bucket);
  }
}

void Coordinator::sum_reservations(core::TimePoint now) {
  for (auto& [tenant, bucket] : buckets_) bucket.reserved_reporting = bucket.reserved_silent = 0;
  for (const auto& [endpoint, member] : members_) {
    const bool silent = now - member.last_report > options_.member_timeout;
    for (const auto& [tenant, per_second] : member.reserved_per_second) {
      const auto found = buckets_.find(tenant);
      if (found == buckets_.end()) continue;
      (silent ? found->second.reserved_silent : found->second.reserved_reporting) += per_second;
    }
  }
}

double Coordinator::controlled_rate(const Bucket& bucket) const noexcept {
  const double unreserved = std::max(0.0, bucket.rate_per_second - bucket.reserved_silent);
  if (!established_) return std::min(unreserved, options_.reserved_part * bucket.reserved_reporting);
  return std::max(0.0, unreserved - unheard_share_ * bucket.rate_per_second);
}

Credit Coordinator::grant(const Demand& demand, core::TimePoint now) {
  Credit credit{demand.tenant, 0, false};
  const auto found = buckets_.find(demand.tenant);
  if (found == buckets_.end()) return credit;
  Bucket& bucket = found->second;
  const double rate = controlled_rate(bucket);
  const double accrued = rate * to_seconds(now - bucket.updated) + std::max(0, demand.returned);
  bucket.updated = now;
  bucket.credits = std::min(capacity(bucket), bucket.credits + accrued);
  if (demand.wanted <= 0 && demand.spare <= 0) return credit;
  // Of scarce credits each report gets at most half, so that all daemons get some.
  const double available = bucket.credits >= 2 * demand.wanted ? bucket.credits : std::ceil(bucket.credits / 2);
  credit.credits = std::min(demand.wanted, static_cast<int>(std::floor(std::min(available, bucket.credits))));
  bucket.credits -= credit.credits;
  const double plenty = std::max(0.0, bucket.credits - capacity(bucket) / 2);
  const int spare = std::clamp(demand.spare, 0, static_cast<int>(plenty));
  credit.credits += spare;
  bucket.credits -= spare;
  const double missing = demand.wanted - credit.credits - bucket.credits;
  credit.exhausted = missing > rate * to_seconds(options_.patience);
  return credit;
}

void Coordinator::restart(core::TimePoint now) {
  started_ = now;
  summed_ = {};
  established_ = false;
  members_.clear();
  for (auto& [tenant, bucket] : buckets_) {
    bucket.credits = 0;
    bucket.updated = now;
  }
}

void Coordinator::record_report(const std::string& member, const Report& report, core::TimePoint now) {
  std::erase_if(members_, [this, now](const auto& entry) {
    return now - entry.second.last_report > options_.member_timeout + options_.reservation_time;
  });
  Member& sender = members_[member];
  sender.last_report = now;
  sender.fleet_size = report.fleet_size;
  sender.reserved_per_second.clear();
  for (const Demand& demand : report.demands) {
    if (demand.reserved_per_second > 0) sender.reserved_per_second[demand.tenant] = demand.reserved_per_second;
  }
}

void Coordinator::update_control(core::TimePoint now) {
  std::uint32_t known = 1;
  std::uint32_t reporting = 0;
  bool any_reserved = false;
  for (const auto& [endpoint, member] : members_) {
    any_reserved = any_reserved || !member.reserved_per_second.empty();
    if (now - member.last_report > options_.member_timeout) continue;
    ++reporting;
    known = std::max(known, member.fleet_size);
  }
  // Silent members are reserved for one by one; the share stands for those that never reported here.
  const double unheard = 1 - std::min(1.0, static_cast<double>(members_.size()) / known);
  unheard_share_ = now - started_ < options_.reservation_time ? unheard : 0;
  if (established_) {
    established_ = reporting >= options_.losing_share * known;
    return;
  }
  // A former coordinator may grant until it has noticed that its members fell silent. Without reservations there was
  // none, as after a start of the whole fleet.
  const core::Duration delay =
      known == 1 ? options_.discovery_time : (any_reserved ? 2 * options_.member_timeout : core::Duration::zero());
  if (now - started_ < delay || reporting < options_.establishing_share * known) return;
  established_ = true;
  for (auto& [tenant, bucket] : buckets_) {
    bucket.credits = std::min(std::max(bucket.credits, options_.initial_credits), capacity(bucket));
  }
}

Grant Coordinator::on_report(const std::string& member, const Report& report, core::TimePoint now) {
  if (now - last_report_ > options_.member_timeout) restart(now);
  last_report_ = now;
  record_report(member, report, now);
  if (now - summed_ >= options_.sum_interval) {
    summed_ = now;
    sum_reservations(now);
    update_control(now);
  }
  Grant answer;
  answer.sequence = report.sequence;
  answer.established = established_;
  for (const Demand& demand : report.demands) {
    Credit credit = grant(demand, now);
    if (credit.credits > 0 || credit.exhausted) answer.credits.push_back(std::move(credit));
  }
  return answer;
}

}  // namespace damaskthread::quota
