#include "damaskthread/routing/router.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <random>

#include "damaskthread/routing/subset.h"

namespace damaskthread::routing {
namespace {

using Rep = core::Duration::rep;

constexpr Rep kNever = std::numeric_limits<Rep>::min();
constexpr core::Duration kRefreshPeriod = std::chrono::milliseconds(100);
// Cost assumed before the first response.
constexpr float kInitialCostUs = 1000;
// Weights of a new cost sample: a rise takes effect faster, a fall fast enough to regain a share within a few probes.
constexpr float kCostRiseWeight = 0.4F;
constexpr float kCostFallWeight = 0.25F;
// A refusal or failure costs as much as a response that takes this multiple of the typical latency. Shares are
// proportional to the inverse square of the cost: a server that refuses all attempts gets 1/16 and one that fails all
// attempts 1/1024 of the share of a healthy server.
constexpr float kRefusalFactor = 4;
constexpr float kFailureFactor = 32;
constexpr float kSuspectFactor = 4;
constexpr float kConnectionLimitFactor = 8;
constexpr float kMinWarmUpShare = 0.25F;
constexpr float kLoadHintWeight = 0.25F;
// Half-life of the excess cost of a server without attempts, so that a raised cost falls to twice the typical cost
// after some half-lives; consecutive failures multiply it.
constexpr float kHalfLifeSeconds = 1;
constexpr int kMaxHalfLifeFactor = 8;
// Share of the traffic that spills to the next tier per refusal, and the factor by which it decays per refresh period.
constexpr float kSpillStep = 0.1F;
constexpr float kSpillDecay = 0.87F;
// Cost factor between adjacent tiers: a tier shares traffic with the next one if it costs more than this multiple.
constexpr float kTierCostFactor = 2;
// Shares of a server's connections for callers in its zone, in its region and elsewhere.
constexpr std::array<double, 3> kTierConnectionShare = {0.5, 0.3, 0.2};
constexpr int kMinFailuresToRelease = 3;

Rep rep_of(core::TimePoint time) noexcept { return time.time_since_epoch().count(); }

float microseconds(core::Duration duration) noexcept { return static_cast<float>(duration.count()) / 1000.0F; }

// Projection that orders servers by id.
constexpr auto kByServerId = [](const auto& entry) noexcept { return entry.first.value; };

std::size_t shard_of_thread() noexcept {
  static std::atomic<std::size_t> next{0};
  thread_local const std::size_t shard = next.fetch_add(1, std::memory_order_relaxed) % DAMASKTHREAD_SHARD_COUNT;
  return shard;
}

std::size_t random_index(core::Random& random, std::size_t size) noexcept {
  return std::uniform_int_distribution<std::size_t>(0, size - 1)(random);
}

float random_unit(core::Random& random) noexcept { return std::uniform_real_distribution<float>(0.0F, 1.0F)(random); }

}  // namespace

AttemptOutcome outcome_of(const core::Verdict& verdict) noexcept {
  switch (verdict.cause) {
    case core::Cause::kOverload:
      return AttemptOutcome::kRefused;
    case core::Cause::kLeaving:
      return AttemptOutcome::kLeaving;
    case core::Cause::kIncomplete:
    case core::Cause::kCrashed:
      return AttemptOutcome::kFailed;
    case core::Cause::kConnection:
      return verdict.execution == core::Execution::kNotRun ? AttemptOutcome::kUnreachable : AttemptOutcome::kFailed;
    case core::Cause::kDeadline:
      // A deadline that expired before the request ran does not reflect the latency of the server.
      return verdict.execution == core::Execution::kNotRun ? AttemptOutcome::kNeutral : AttemptOutcome::kTimeout;
    default:
      return AttemptOutcome::kNeutral;
  }
}

struct alignas(DAMASKTHREAD_CACHE_LINE_BYTES) ServiceRouter::Member {
  // Written while holding all shard locks.
  ServerInfo info;
  std::size_t tier = 0;
  bool present = false;
  bool retained = false;
  bool cold = false;
  core::TimePoint warm_up_start;
  core::TimePoint absent_since;  // Valid only if not present.
  // Written while holding any shard lock.
  alignas(DAMASKTHREAD_CACHE_LINE_BYTES) std::atomic<float> cost_us{0};  // Zero before the first sample.
  std::atomic<int> in_flight{0};
  std::atomic<int> failures{0};                 // Consecutive failures.
  std::atomic<bool> refused_as_leaving{false};  // For the rest of this incarnation.
  std::atomic<Rep> last_finish{kNever};
  std::atomic<Rep> last_attempt{kNever};

  void add_cost_sample(float value_us, core::TimePoint now) noexcept {
    float cost = cost_us.load(std::memory_order_relaxed);
    float next = value_us;
    do {
      if (cost > 0) next = cost + (value_us > cost ? kCostRiseWeight : kCostFallWeight) * (value_us - cost);
    } while (!cost_us.compare_exchange_weak(cost, next, std::memory_order_relaxed));
    last_finish.store(rep_of(now), std::memory_order_relaxed);
  }

  void cap_cost(float max_us) noexcept {
    float cost = cost_us.load(std::memory_order_relaxed);
    while (cost > max_us && !cost_us.compare_exchange_weak(cost, max_us, std::memory_order_relaxed)) {
    }
  }

  void reset_for_incarnation(core::TimePoint now, bool is_cold) noexcept {
    cost_us.store(0, std::memory_order_relaxed);
    failures.store(0, std::memory_order_relaxed);
    refused_as_leaving.store(false, std::memory_order_relaxed);
    last_attempt.store(kNever, std::memory_order_relaxed);
    cold = is_cold;
    warm_up_start = now;
  }
};

class ServiceRouter::ReadLock {
 public:
  explicit ReadLock(const ServiceRouter& router) noexcept : lock_(router.shards_[shard_of_thread()].mutex) {}

 private:
  std::lock_guard<std::mutex> lock_;
};

class ServiceRouter::WriteLock {
 public:
  explicit WriteLock(const ServiceRouter& router) noexcept {
    for (std::size_t i = 0; i < locks_.size(); ++i) locks_[i] = std::unique_lock(router.shards_[i].mutex);
  }

 private:
  std::array<std::unique_lock<std::mutex>, DAMASKTHREAD_SHARD_COUNT> locks_;
};

ServiceRouter::ServiceRouter(ServiceRouterOptions options)
    : options_(options), next_refresh_(kNever), next_probe_(kNever) {}

ServiceRouter::~ServiceRouter() = default;

ServiceRouter::Member* ServiceRouter::find_used(core::ServerId server) const noexcept {
  const auto found = std::ranges::lower_bound(subset_.by_id, server.value, {}, kByServerId);
  return found != subset_.by_id.end() && found->first == server ? found->second : nullptr;
}

ServiceRouter::Member* ServiceRouter::find_member(core::ServerId server) const noexcept {
  const auto found = members_by_id_.find(server);
  return found == members_by_id_.end() ? nullptr : found->second.get();
}

void ServiceRouter::set_servers(std::span<const ServerInfo> servers, CallerCounts callers, core::TimePoint now) {
  const WriteLock lock(*this);
  callers_ = callers;
  update_members(servers, now);
  detect_partition(now);
  rebuild_subset();
}

void ServiceRouter::update_members(std::span<const ServerInfo> servers, core::TimePoint now) {
  std::unordered_map<core::ServerId, const ServerInfo*> view;
  for (const ServerInfo& info : servers) {
    const ServerInfo*& entry = view[info.id];
    if (entry == nullptr || entry->incarnation.value < info.incarnation.value) entry = &info;
  }
  for (auto& [id, member] : members_by_id_) {
    if (!member->present || view.contains(id)) continue;
    member->present = false;
    member->absent_since = now;
  }
  for (const auto& [id, info] : view) {
    std::unique_ptr<Member>& member = members_by_id_[id];
    if (!member) {
      member = std::make_unique<Member>();
      member->reset_for_incarnation(now, has_view_);
    } else if (info->incarnation.value < member->info.incarnation.value) {
      continue;  // An older incarnation of the same server.
    } else if (member->info.incarnation.value < info->incarnation.value) {
      member->reset_for_incarnation(now, true);
    }
    member->info = *info;
    member->present = true;
    member->retained = false;
  }
  has_view_ = has_view_ || !servers.empty();
}

// A leaving server announces its leave; one that fails disappears from the membership view. If most servers disappear
// at once, a partition of this daemon is more likely than the failure of all of them.
void ServiceRouter::detect_partition(core::TimePoint now) {
  const core::TimePoint window_start = now - options_.partition_window;
  int expected_count = 0;
  int lost_count = 0;
  for (auto& [id, member] : members_by_id_) {
    if (member->info.leaving || member->refused_as_leaving.load(std::memory_order_relaxed)) {
      member->retained = false;
      continue;
    }
    if (member->retained) {
      const core::Duration absent = now - member->absent_since;
      const bool failing = member->failures.load(std::memory_order_relaxed) >= kMinFailuresToRelease;
      member->retained = absent < (failing ? options_.max_retention_failing : options_.max_retention);
    }
    const bool recent = member->absent_since >= window_start;
    if (!member->present && !member->retained && !recent) continue;
    ++expected_count;
    if (!member->present) ++lost_count;
  }
  const bool partition_suspected = 2 * lost_count > expected_count;
  partition_suspected_.store(partition_suspected, std::memory_order_relaxed);
  for (auto item = members_by_id_.begin(); item != members_by_id_.end();) {
    Member& member = *item->second;
    const bool recent = !member.present && member.absent_since >= window_start;
    member.retained = !member.present && partition_suspected && (member.retained || recent);
    // Attempts in flight still refer to the entry, and an entry inside the window may still be retained.
    const bool expired = !member.present && !member.retained && !recent && member.in_flight.load() == 0;
    item = expired ? members_by_id_.erase(item) : std::next(item);
  }
}

void ServiceRouter::rebuild_subset() {
  std::array<std::vector<core::ServerId>, kTiers> candidates;
  std::array<int, kTiers> least_connections;
  least_connections.fill(std::numeric_limits<int>::max());
  double slots = 0;
  std::size_t count = 0;
  for (const auto& [id, member] : members_by_id_) {
    const ServerInfo& info = member->info;
    if (!member->present && !member->retained) continue;
    if (info.leaving || member->refused_as_leaving.load(std::memory_order_relaxed)) continue;
    member->tier = info.region != options_.region ? 2 : info.zone != options_.zone ? 1 : 0;
    candidates[member->tier].push_back(id);
    least_connections[member->tier] = std::min(least_connections[member->tier], info.connections);
    slots += std::max(info.slots, 1);
    ++count;
  }
  // Servers have callers in all tiers; the connection share of a tier without callers is divided among the others.
  const std::array<int, kTiers> callers = {std::max(callers_.zone, 1), std::max(callers_.region, 1),
                                           std::max(callers_.all, 1)};
  const std::array<bool, kTiers> has_callers = {true, callers[1] > callers[0], callers[2] > callers[1]};
  double total_share = 0;
  for (std::size_t tier = 0; tier < kTiers; ++tier) {
    if (has_callers[tier] || !candidates[tier].empty()) total_share += kTierConnectionShare[tier];
  }
  ServerSubset new_subset;
  new_subset.mean_slots = count == 0 ? 1.0F : static_cast<float>(slots / static_cast<double>(count));
  for (std::size_t tier = 0; tier < kTiers; ++tier) {
    std::vector<core::ServerId>& ids = candidates[tier];
    if (ids.empty()) continue;
    const int connections = static_cast<int>(least_connections[tier] * kTierConnectionShare[tier] / total_share);
    const SubsetShape shape =
        subset_shape(static_cast<int>(ids.size()), callers[tier], connections, options_.max_members);
    const auto members = static_cast<std::size_t>(shape.members);
    select_by_rendezvous_hash(options_.self, ids, members);
    new_subset.quota[tier] = shape.quota;
    for (const core::ServerId id : std::span(ids).first(members)) {
      Member* member = find_member(id);
      new_subset.tiers[tier].push_back(member);
      new_subset.by_id.emplace_back(id, member);
    }
  }
  std::ranges::sort(new_subset.by_id, {}, kByServerId);
  subset_ = std::move(new_subset);
}

// Called by one thread at a time, once per refresh period.
void ServiceRouter::refresh_statistics(core::TimePoint now) noexcept {
  // The harmonic mean is dominated by healthy servers and hardly affected by a slow or failing one.
  float inverse_sum = 0;
  int count = 0;
  for (const auto& [id, member] : subset_.by_id) {
    const float cost = member->cost_us.load(std::memory_order_relaxed);
    if (cost <= 0 || member->failures.load(std::memory_order_relaxed) > 0) continue;
    inverse_sum += 1 / cost;
    ++count;
  }
  if (count > 0) typical_cost_us_.store(static_cast<float>(count) / inverse_sum, std::memory_order_relaxed);
  for (std::atomic<float>& spill : spill_share_) {
    const float value = spill.load(std::memory_order_relaxed);
    if (value > 0) spill.store(value < 0.01F ? 0 : value * kSpillDecay, std::memory_order_relaxed);
  }
  const double new_connections = kRefreshPeriod * options_.probe_share / options_.connection_cost;
  new_connections_left_.store(std::max(1, static_cast<int>(new_connections)), std::memory_order_relaxed);
  next_refresh_.store(rep_of(now + kRefreshPeriod), std::memory_order_relaxed);
}

float ServiceRouter::cost_of(const Member& member, core::TimePoint now) const noexcept {
  float typical = typical_cost_us_.load(std::memory_order_relaxed);
  if (typical <= 0) typical = kInitialCostUs;
  float cost = member.cost_us.load(std::memory_order_relaxed);
  if (cost <= 0) {
    cost = typical;
  } else if (cost > typical) {
    const Rep idle = rep_of(now) - member.last_finish.load(std::memory_order_relaxed);
    const int half_life_factor = 1 + std::min(member.failures.load(std::memory_order_relaxed), kMaxHalfLifeFactor);
    const float half_lives =
        static_cast<float>(idle) * 1e-9F / (kHalfLifeSeconds * static_cast<float>(half_life_factor));
    cost = typical + (cost - typical) / (1 + half_lives * half_lives);
  }
  const Rep attempt = member.last_attempt.load(std::memory_order_relaxed);
  if (attempt == kNever || rep_of(now) - attempt > options_.connection_idle.count()) {
    cost += microseconds(options_.connection_cost);
    if (new_connections_left_.load(std::memory_order_relaxed) <= 0) cost *= kConnectionLimitFactor;
  }
  cost *= static_cast<float>(1 + member.in_flight.load(std::memory_order_relaxed));
  cost *= subset_.mean_slots / static_cast<float>(std::max(member.info.slots, 1));
  cost *= 1 + kLoadHintWeight * std::clamp(member.info.reported_load, 0.0F, 1.0F);
  if (member.info.suspect || member.retained) cost *= kSuspectFactor;
  if (member.cold) {
    const float warm =
        static_cast<float>((now - member.warm_up_start).count()) / static_cast<float>(options_.warm_up.count());
    if (warm < 1) cost /= std::max(warm, kMinWarmUpShare);
  }
  return cost;
}

bool ServiceRouter::is_eligible(const Member& member, std::span<const core::ServerId> tried) const noexcept {
  return !member.refused_as_leaving.load(std::memory_order_relaxed) &&
         member.in_flight.load(std::memory_order_relaxed) < subset_.quota[member.tier] &&
         std::ranges::find(tried, member.info.id) == tried.end();
}

// The order within a tier differs between daemons, and so do the successors of an ineligible member.
ServiceRouter::Member* ServiceRouter::find_eligible(std::size_t tier, std::size_t start,
                                                    std::span<const core::ServerId> tried,
                                                    const Member* except) const noexcept {
  const std::vector<Member*>& members = subset_.tiers[tier];
  for (std::size_t i = 0; i < members.size(); ++i) {
    Member* member = members[(start + i) % members.size()];
    if (member != except && is_eligible(*member, tried)) return member;
  }
  return nullptr;
}

ServiceRouter::Candidate ServiceRouter::sample_two(std::size_t tier, core::Random& random,
                                                   std::span<const core::ServerId> tried,
                                                   core::TimePoint now) const noexcept {
  const std::size_t size = subset_.tiers[tier].size();
  if (size == 0) return {};
  Member* first = find_eligible(tier, random_index(random, size), tried, nullptr);
  if (first == nullptr) return {};
  const float first_cost = cost_of(*first, now);
  Member* second = find_eligible(tier, random_index(random, size), tried, first);
  if (second == nullptr) return {first, first_cost};
  const float second_cost = cost_of(*second, now);
  const float first_weight = second_cost * second_cost;
  const float second_weight = first_cost * first_cost;
  const bool take_first = random_unit(random) * (first_weight + second_weight) < first_weight;
  return take_first ? Candidate{first, first_cost} : Candidate{second, second_cost};
}

ServiceRouter::Member* ServiceRouter::next_probe_target(std::span<const core::ServerId> tried,
                                                        core::TimePoint now) noexcept {
  Rep due = next_probe_.load(std::memory_order_relaxed);
  if (rep_of(now) < due) return nullptr;
  const auto period = std::chrono::duration_cast<core::Duration>(options_.probe_cost / options_.probe_share);
  if (!next_probe_.compare_exchange_strong(due, rep_of(now + period), std::memory_order_relaxed)) return nullptr;
  Member* oldest = nullptr;
  Rep oldest_attempt = rep_of(now - options_.probe_idle);
  for (const auto& [id, member] : subset_.by_id) {
    const Rep attempt = member->last_attempt.load(std::memory_order_relaxed);
    // A member without a sample receives its normal share; only members with a reduced share need probes.
    if (attempt == kNever || attempt >= oldest_attempt || !is_eligible(*member, tried)) continue;
    if (member->cost_us.load(std::memory_order_relaxed) <=
        kTierCostFactor * typical_cost_us_.load(std::memory_order_relaxed)) {
      continue;
    }
    oldest = member;
    oldest_attempt = attempt;
  }
  return oldest;
}

std::optional<core::ServerId> ServiceRouter::choose(core::Random& random, std::span<const core::ServerId> tried,
                                                    core::TimePoint now, Probe probe) noexcept {
  const ReadLock lock(*this);
  Rep due = next_refresh_.load(std::memory_order_relaxed);
  if (rep_of(now) >= due &&
      next_refresh_.compare_exchange_strong(due, std::numeric_limits<Rep>::max(), std::memory_order_relaxed)) {
    refresh_statistics(now);
  }
  if (probe == Probe::kAllowed) {
    if (const Member* member = next_probe_target(tried, now)) return member->info.id;
  }
  Candidate chosen;
  const float usual_cost = typical_cost_us_.load(std::memory_order_relaxed) * kTierCostFactor;
  for (std::size_t tier = 0; tier < kTiers; ++tier) {
    // A server of typical cost in a tier without refusals is not compared with more distant ones.
    if (chosen.member != nullptr && chosen.cost <= usual_cost &&
        spill_share_[chosen.member->tier].load(std::memory_order_relaxed) <= 0) {
      break;
    }
    const Candidate candidate = sample_two(tier, random, tried, now);
    if (candidate.member == nullptr) continue;
    if (chosen.member == nullptr) {
      chosen = candidate;
      continue;
    }
    // Spilling into a tier that also refuses only adds distance.
    const float spill = spill_share_[chosen.member->tier].load(std::memory_order_relaxed) *
                        (1 - spill_share_[tier].load(std::memory_order_relaxed));
    const float far_cost = candidate.cost * kTierCostFactor;
    const float near_weight = far_cost * far_cost;
    const float far_weight = chosen.cost > far_cost ? chosen.cost * chosen.cost : 0;
    const float far_share = std::max(spill, far_weight / (near_weight + far_weight));
    if (far_share > 0 && random_unit(random) < far_share) chosen = candidate;
  }
  if (chosen.member == nullptr) return std::nullopt;
  return chosen.member->info.id;
}

void ServiceRouter::started(core::ServerId server, core::TimePoint now) noexcept {
  const ReadLock lock(*this);
  Member* member = find_used(server);
  if (member == nullptr) member = find_member(server);
  if (member == nullptr) return;
  member->in_flight.fetch_add(1, std::memory_order_relaxed);
  const Rep before = member->last_attempt.exchange(rep_of(now), std::memory_order_relaxed);
  const bool is_new_connection = before == kNever || rep_of(now) - before > options_.connection_idle.count();
  if (is_new_connection) new_connections_left_.fetch_sub(1, std::memory_order_relaxed);
}

void ServiceRouter::finished(core::ServerId server, AttemptOutcome outcome, core::Duration latency,
                             core::TimePoint now) noexcept {
  {
    const ReadLock lock(*this);
    Member* member = find_used(server);
    if (member == nullptr) member = find_member(server);
    if (member == nullptr) return;
    int in_flight = member->in_flight.load(std::memory_order_relaxed);
    while (in_flight > 0 &&
           !member->in_flight.compare_exchange_weak(in_flight, in_flight - 1, std::memory_order_relaxed)) {
    }
    const float latency_us = std::max(microseconds(latency), 1.0F);
    const float floor_us =
        std::max({latency_us, typical_cost_us_.load(std::memory_order_relaxed), kInitialCostUs / 10});
    switch (outcome) {
      case AttemptOutcome::kAnswered:
        // A response after failures shows that the server has recovered, so its cost may drop immediately.
        if (member->failures.load(std::memory_order_relaxed) > 0) {
          member->failures.store(0, std::memory_order_relaxed);
          member->cap_cost(floor_us * kTierCostFactor);
        }
        member->add_cost_sample(latency_us, now);
        return;
      case AttemptOutcome::kRefused: {
        member->add_cost_sample(floor_us * kRefusalFactor, now);
        std::atomic<float>& spill = spill_share_[member->tier];
        const float value = spill.load(std::memory_order_relaxed);
        spill.store(value + kSpillStep * (1 - value), std::memory_order_relaxed);
        return;
      }
      case AttemptOutcome::kFailed:
      case AttemptOutcome::kUnreachable:
        member->failures.fetch_add(1, std::memory_order_relaxed);
        member->add_cost_sample(floor_us * kFailureFactor, now);
        return;
      case AttemptOutcome::kTimeout:
        member->failures.fetch_add(1, std::memory_order_relaxed);
        member->add_cost_sample(floor_us * kRefusalFactor, now);
        return;
      case AttemptOutcome::kNeutral:
        return;
      case AttemptOutcome::kLeaving:
        if (member->refused_as_leaving.exchange(true, std::memory_order_relaxed)) return;
        break;
    }
  }
  // Replaces the leaving server in the subset.
  const WriteLock lock(*this);
  rebuild_subset();
}

bool ServiceRouter::partition_suspected() const noexcept {
  return partition_suspected_.load(std::memory_order_relaxed);
}

std::vector<MemberStatus> ServiceRouter::members(core::TimePoint now) const {
  const ReadLock lock(*this);
  std::vector<MemberStatus> result;
  for (const auto& [id, member] : subset_.by_id) {
    const auto cost = static_cast<Rep>(cost_of(*member, now) * 1000.0F);
    result.push_back({.id = id,
                      .tier = static_cast<int>(member->tier),
                      .in_flight = member->in_flight.load(std::memory_order_relaxed),
                      .quota = subset_.quota[member->tier],
                      .cost = core::Duration(cost),
                      .retained = member->retained});
  }
  return result;
}

}  // namespace damaskthread::routing
