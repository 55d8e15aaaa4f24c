#include "damaskthread/quota/ledger.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace damaskthread::quota {
namespace {

// Requests per second.
constexpr double kMinReserved = 0.05;

double to_seconds(core::Duration time) noexcept { return std::chrono::duration<double>(time).count(); }

}  // namespace

std::string_view to_string(Admission admission) noexcept {
  switch (admission) {
    case Admission::kAdmit:
      return "admit";
    case Admission::kWait:
      return "wait";
    case Admission::kReject:
      return "reject";
  }
  return "unknown";
}

void Ledger::Rate::decay(core::TimePoint now, core::Duration time_constant) noexcept {
  per_second *= std::exp(-to_seconds(now - updated) / to_seconds(time_constant));
  updated = now;
}

void Ledger::Rate::add(core::TimePoint now, core::Duration time_constant) noexcept {
  decay(now, time_constant);
  per_second += 1 / to_seconds(time_constant);
}

void Ledger::set_tenants(std::span<const tenant::Tenant> tenants) {
  auto previous = std::exchange(accounts_, {});
  for (const tenant::Tenant& tenant : tenants) {
    if (!tenant.has_quota()) continue;
    auto kept = previous.extract(tenant.name);
    if (kept.empty()) {
      accounts_.emplace(tenant.name, Account());
    } else {
      accounts_.insert(std::move(kept));
    }
  }
}

Ledger::Account* Ledger::find(std::string_view tenant) noexcept {
  const auto found = accounts_.find(tenant);
  return found == accounts_.end() ? nullptr : &found->second;
}

int Ledger::usable_credits(const Account& account, core::TimePoint now) noexcept {
  return now <= account.expires_at ? account.credits : 0;
}

Admission Ledger::decide(const Account& account, core::TimePoint now) noexcept {
  if (usable_credits(account, now) > 0) return Admission::kAdmit;
  return now < account.rejects_until ? Admission::kReject : Admission::kWait;
}

std::optional<QuotaState> Ledger::state(std::string_view tenant, core::TimePoint now) const {
  const auto found = accounts_.find(tenant);
  if (found == accounts_.end()) return std::nullopt;
  const Account& account = found->second;
  Rate arrivals = account.arrivals;
  arrivals.decay(now, options_.time_constant);
  Rate admitted = account.admitted;
  admitted.decay(now, options_.time_constant);
  return QuotaState{decide(account, now), usable_credits(account, now), account.waiting, arrivals.per_second,
                    admitted.per_second};
}

void Ledger::expire(Account& account, core::TimePoint now) noexcept {
  if (usable_credits(account, now) == account.credits) return;
  account.returned += std::exchange(account.credits, 0);
}

bool Ledger::consume(Account& account, core::TimePoint now) noexcept {
  expire(account, now);
  if (decide(account, now) != Admission::kAdmit) return false;
  --account.credits;
  ++account.admitted_count;
  account.admitted.add(now, options_.time_constant);
  return true;
}

Admission Ledger::arrive(std::string_view tenant, core::TimePoint now) {
  Account* const account = find(tenant);
  if (account == nullptr) return Admission::kAdmit;
  account->arrivals.add(now, options_.time_constant);
  if (consume(*account, now)) return Admission::kAdmit;
  const Admission admission = decide(*account, now);
  if (admission == Admission::kReject) return admission;
  ++account->waiting;
  shortage_report_ = std::min(shortage_report_, std::max(now, account->next_request));
  return admission;
}

Admission Ledger::retry(std::string_view tenant, core::TimePoint now) {
  Account* const account = find(tenant);
  if (account == nullptr) return Admission::kAdmit;
  if (consume(*account, now)) {
    account->waiting = std::max(0, account->waiting - 1);
    return Admission::kAdmit;
  }
  const Admission admission = decide(*account, now);
  if (admission == Admission::kReject) account->waiting = std::max(0, account->waiting - 1);
  return admission;
}

void Ledger::abandon(std::string_view tenant) noexcept {
  if (Account* const account = find(tenant)) account->waiting = std::max(0, account->waiting - 1);
}

void Ledger::refund(std::string_view tenant, core::TimePoint now) noexcept {
  Account* const account = find(tenant);
  if (account == nullptr) return;
  expire(*account, now);
  if (account->credits == 0) account->expires_at = now + options_.credit_lifetime;
  ++account->credits;
  --account->admitted_count;
}

bool Ledger::report_due(core::TimePoint now) const noexcept {
  const core::Duration elapsed = now - last_report_;
  return elapsed >= options_.report_interval || (now >= shortage_report_ && elapsed >= options_.urgent_report_interval);
}

Report Ledger::report(std::uint32_t fleet_size, core::TimePoint now) {
  Report report;
  report.sequence = next_sequence_++;
  report.fleet_size = fleet_size;
  const core::Duration elapsed = now - last_report_;
  shortage_report_ = core::TimePoint::max();
  last_report_ = now;
  for (auto& [name, account] : accounts_) {
    expire(account, now);
    account.arrivals.decay(now, options_.time_constant);
    account.admitted.decay(now, options_.time_constant);
    if (supervised_) {
      const double weight = 1 - std::exp(-to_seconds(elapsed) / to_seconds(options_.reserve_time_constant));
      account.reserved_per_second += weight * (account.admitted.per_second - account.reserved_per_second);
    }
    const double expected = account.arrivals.per_second * to_seconds(options_.horizon);
    const bool seen = account.arrivals.per_second > kMinReserved;
    const int needed = static_cast<int>(std::floor(expected + 0.5)) + account.waiting;
    const int wanted = std::max(0, needed - account.credits);
    const int spare = std::max(0, (seen ? options_.min_credits : 0) - std::max(needed, account.credits));
    const int returned = std::exchange(account.returned, 0);
    if (wanted > 0) account.next_request = now + options_.repeat_interval;
    if (account.waiting > 0) shortage_report_ = now + options_.repeat_interval;
    // Smaller reservations are dropped, since an average never decays to zero.
    const double reserved = account.reserved_per_second > kMinReserved ? account.reserved_per_second : 0;
    if (wanted == 0 && spare == 0 && returned == 0 && account.credits == 0 && reserved == 0) continue;
    report.demands.push_back({name, wanted, spare, returned, account.credits, reserved});
  }
  return report;
}

void Ledger::on_grant(const Grant& grant, core::TimePoint now) {
  supervised_ = grant.majority;
  for (const Credit& credit : grant.credits) {
    Account* const account = find(credit.tenant);
    if (account == nullptr) continue;
    expire(*account, now);
    if (credit.credits > 0) {
      account->credits += credit.credits;
      account->expires_at = now + options_.credit_lifetime;
    }
    if (credit.exhausted) account->rejects_until = now + options_.rejection_time;
  }
}

std::vector<Usage> Ledger::take_usage() {
  std::vector<Usage> usage;
  for (auto& [name, account] : accounts_) {
    if (const int count = std::exchange(account.admitted_count, 0); count != 0) usage.push_back({name, count, 0, 0});
  }
  return usage;
}

}  // namespace damaskthread::quota
