#include "damaskthread/mesh/quota_service.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <utility>

#include "damaskthread/mesh/clock.h"

namespace damaskthread::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Connections to this many daemons are kept, so that a network partition rarely separates a daemon from all of them.
constexpr std::size_t kCandidates = 4;
// A coordinator answers at once; this covers a busy one and the way between failure domains.
constexpr core::Duration kAnswerTimeout = milliseconds{500};
constexpr core::Duration kAvoidTime = seconds{10};

std::uint64_t rank(const std::string& endpoint) {
  constexpr std::uint64_t kRankSeed = 0x71756f7461;  // Keeps ranks independent of other hashes of endpoints.
  return XXH3_64bits_withSeed(endpoint.data(), endpoint.size(), kRankSeed);
}

}  // namespace

QuotaService::QuotaService(std::string self, EventLog& log, Hooks hooks)
    : self_(std::move(self)), log_(log), hooks_(std::move(hooks)), ranked_{self_} {}

void QuotaService::set_tenants(const tenant::Directory& tenants) {
  ledger_.set_tenants(tenants.tenants());
  coordinator_.set_tenants(tenants.tenants(), now());
}

void QuotaService::set_members(const std::vector<std::string>& endpoints) {
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
}

std::vector<std::string> QuotaService::coordinator_candidates() const {
  if (!ledger_.active()) return {};
  return {ranked_.begin(), ranked_.begin() + static_cast<std::ptrdiff_t>(std::min(kCandidates, ranked_.size()))};
}

void QuotaService::select_coordinator(const std::string& endpoint) {
  if (endpoint == selected_) return;
  selected_ = endpoint;
  log_.line(LogClass::kStateChange, "quota_coordinator", {{"coordinator", endpoint}});
}

void QuotaService::send_report(core::TimePoint now) {
  const quota::Report report = ledger_.report(static_cast<std::uint32_t>(ranked_.size()), now);
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
  on_grant(self_, on_report(self_, report));
}

void QuotaService::tick(core::TimePoint now) {
  if (!ledger_.active()) return;
  if (awaiting_grant_ && now - awaited_since_ > kAnswerTimeout) {
    awaiting_grant_ = false;
    avoided_until_[selected_] = now + kAvoidTime;
    send_report(now);
    return;
  }
  if (ledger_.report_due(now)) send_report(now);
}

quota::Grant QuotaService::on_report(const std::string& member, const quota::Report& report) {
  return coordinator_.on_report(member, report, now());
}

void QuotaService::on_grant(const std::string& coordinator, const quota::Grant& grant) {
  // A late grant of a former coordinator is still valid: its credits were charged there.
  if (coordinator == selected_) awaiting_grant_ = false;
  ledger_.on_grant(grant, now());
  if (!grant.credits.empty()) hooks_.granted();
}

}  // namespace damaskthread::mesh
