#include "damaskthread/mesh/quota_service.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <utility>

namespace damaskthread::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Connections to this many reachable daemons are kept, so that a network partition rarely separates a daemon from all
// of them. As many connections are attempted at a time to daemons of which nothing is known yet.
constexpr std::size_t kCandidates = 4;
// A candidate that could not be reached for this time is passed over.
constexpr core::Duration kPassOverTime = milliseconds{1500};
// Daemons passed over to which connections are still attempted, so that one that returns is noticed at once.
constexpr std::size_t kMaxRetriedCandidates = 8;
// The other daemons that were passed over are tried again after this time.
constexpr core::Duration kPassedOverLifetime = seconds{60};
// Before a coordinator acquires the lease, daemons that start or change their coordinator have time to report.
constexpr core::Duration kLeaseDelay = seconds{5};
// The coordinator of a minority leaves the lease to that of a majority, if there is one.
constexpr core::Duration kMinorityLeaseDelay = seconds{10};
// A coordinator answers at once; this covers a busy one and the way between failure domains.
constexpr core::Duration kAnswerTimeout = milliseconds{500};
constexpr core::Duration kAvoidTime = seconds{10};
constexpr core::Duration kUsageLogInterval = seconds{1};
// Tenants in one line of the log, those with the most requests.
constexpr std::size_t kMaxLoggedTenants = 100;

std::uint64_t rank(const std::string& endpoint) {
  constexpr std::uint64_t kRankSeed = 0x71756f7461;  // Keeps ranks independent of other hashes of endpoints.
  return XXH3_64bits_withSeed(endpoint.data(), endpoint.size(), kRankSeed);
}

std::string describe(std::vector<quota::Usage> usage) {
  std::ranges::sort(usage, std::ranges::greater(), &quota::Usage::count);
  if (usage.size() > kMaxLoggedTenants) usage.resize(kMaxLoggedTenants);
  std::string text;
  for (const quota::Usage& tenant : usage) {
    text.append(text.empty() ? "" : " ").append(tenant.tenant).append("=").append(std::to_string(tenant.count));
    if (tenant.rate_per_second == 0) continue;
    std::array<char, 64> quota{};
    std::snprintf(quota.data(), quota.size(), "/%.6g+%.6g", tenant.rate_per_second, tenant.burst);
    text.append(quota.data());
  }
  return text;
}

}  // namespace

QuotaService::QuotaService(std::string self, EventLog& log, Hooks hooks)
    : self_(std::move(self)), log_(log), hooks_(std::move(hooks)), ranked_{self_}, candidates_{self_} {}

void QuotaService::set_tenants(const tenant::Directory& tenants, core::TimePoint now) {
  ledger_.set_tenants(tenants.tenants());
  coordinator_.set_tenants(tenants.tenants(), now);
}

std::uint32_t QuotaService::listed_count() const noexcept {
  return listed_ ? static_cast<std::uint32_t>(ranked_.size()) : 0;
}

void QuotaService::set_members(const std::vector<std::string>& endpoints, bool listed, core::TimePoint now) {
  listed_ = listed;
  rank_members(endpoints);
  check_candidates(now);
  reachable_ = static_cast<std::uint32_t>(hooks_.reachable_count()) + 1;
}

void QuotaService::rank_members(const std::vector<std::string>& endpoints) {
  if (endpoints.size() + 1 == ranked_.size() && std::all_of(endpoints.begin(), endpoints.end(), [this](const auto& e) {
        return std::find(ranked_.begin(), ranked_.end(), e) != ranked_.end();
      })) {
    return;
  }
  ranked_ = endpoints;
  ranked_.push_back(self_);
  std::sort(ranked_.begin(), ranked_.end(), [](const std::string& a, const std::string& b) {
    const std::uint64_t rank_a = rank(a);
    const std::uint64_t rank_b = rank(b);
    return rank_a != rank_b ? rank_a > rank_b : a < b;
  });
  std::erase_if(unreachable_since_, [this](const auto& entry) {
    return std::find(ranked_.begin(), ranked_.end(), entry.first) == ranked_.end();
  });
}

std::vector<std::string> QuotaService::coordinator_candidates() const {
  if (!ledger_.active()) return {};
  return candidates_;
}

void QuotaService::check_candidates(core::TimePoint now) {
  candidates_.clear();
  std::size_t reachable = 0;
  std::size_t untried = 0;
  std::size_t passed_over = 0;
  for (const std::string& endpoint : ranked_) {
    if (reachable == kCandidates) break;
    if (endpoint == self_ || hooks_.reachable(endpoint)) {
      unreachable_since_.erase(endpoint);
      candidates_.push_back(endpoint);
      ++reachable;
      continue;
    }
    const auto since = unreachable_since_.find(endpoint);
    if (since == unreachable_since_.end() || now - since->second <= kPassOverTime) {
      if (untried == kCandidates) continue;
      ++untried;
      unreachable_since_.try_emplace(endpoint, now);
    } else {
      if (passed_over == kMaxRetriedCandidates) {
        if (now - since->second > kPassedOverLifetime) unreachable_since_.erase(since);
        continue;
      }
      ++passed_over;
    }
    candidates_.push_back(endpoint);
  }
}

void QuotaService::check_completeness(core::TimePoint now) {
  if (selected_ != self_ || coordinator_.complete()) {
    incomplete_since_.reset();
  } else if (!incomplete_since_) {
    incomplete_since_ = now;
  }
}

bool QuotaService::lease_wanted(core::TimePoint now) const {
  if (!ledger_.active() || !incomplete_since_) return false;
  return now - *incomplete_since_ >= (coordinator_.has_majority() ? kLeaseDelay : kMinorityLeaseDelay);
}

void QuotaService::select_coordinator(const std::string& endpoint) {
  if (endpoint == selected_) return;
  selected_ = endpoint;
  log_.line(LogClass::kStateChange, "quota_coordinator", {{"coordinator", endpoint}});
}

void QuotaService::send_report(core::TimePoint now) {
  const quota::Report report = ledger_.report(listed_count(), now);
  for (const std::string& candidate : coordinator_candidates()) {
    if (candidate == self_) break;
    const auto avoided = avoided_until_.find(candidate);
    if (avoided != avoided_until_.end() && now < avoided->second) continue;
    if (!hooks_.send(candidate, peer::QuotaReport{report})) continue;
    select_coordinator(candidate);
    if (!std::exchange(awaiting_grant_, true)) awaited_since_ = now;
    return;
  }
  select_coordinator(self_);
  on_grant(self_, on_report(self_, report, now), now);
}

void QuotaService::log_usage() {
  if (const std::string admitted = describe(ledger_.take_usage()); !admitted.empty()) {
    log_.line(LogClass::kStateChange, "quota_admitted", {{"coordinator", selected_}, {"tenants", admitted}});
  }
  if (const std::string granted = describe(coordinator_.take_usage()); !granted.empty()) {
    log_.line(LogClass::kStateChange, "quota_granted",
              {{"share", coordinator_.reporting_share()}, {"tenants", granted}});
  }
}

void QuotaService::tick(core::TimePoint now) {
  if (!ledger_.active()) return;
  if (now >= usage_log_due_) {
    usage_log_due_ = now + kUsageLogInterval;
    log_usage();
  }
  coordinator_.set_fleet({listed_count(), reachable_, hooks_.lease_held(now)}, now);
  check_completeness(now);
  if (awaiting_grant_ && now - awaited_since_ > kAnswerTimeout) {
    awaiting_grant_ = false;
    avoided_until_[selected_] = now + kAvoidTime;
    send_report(now);
    return;
  }
  if (ledger_.report_due(now)) send_report(now);
}

quota::Grant QuotaService::on_report(const std::string& member, const quota::Report& report, core::TimePoint now) {
  return coordinator_.on_report(member, report, now);
}

void QuotaService::on_grant(const std::string& coordinator, const quota::Grant& grant, core::TimePoint now) {
  // A late grant of a former coordinator is still valid: its credits were charged there.
  if (coordinator == selected_) awaiting_grant_ = false;
  ledger_.on_grant(grant, now);
  if (!grant.credits.empty()) hooks_.granted();
}

}  // namespace damaskthread::mesh
