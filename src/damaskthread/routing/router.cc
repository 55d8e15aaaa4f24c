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
// Cost assumed before any answer was seen.
constexpr float kFirstCostUs = 1000;
// Weight of a new sample. Bad news counts faster, good news fast enough to regain a share within a few probes.
constexpr float kRiseWeight = 0.4F;
constexpr float kFallWeight = 0.25F;
// A refusal or failure costs as much as an answer that takes this many times the usual time. Shares go with the inverse
// square of the cost, so that a server which refuses all gets 1/16 and one that fails all 1/1024 of a good one's share.
constexpr float kRefusalFactor = 4;
constexpr float kFailureFactor = 32;
constexpr float kSuspectFactor = 4;
constexpr float kNoDialFactor = 8;
constexpr float kWarmFloor = 0.25F;
constexpr float kLoadHintWeight = 0.25F;
// Without attempts a raised cost falls to twice the usual after some half-lives; failures in a row stretch it.
constexpr float kHalfLifeSeconds = 1;
constexpr int kMaxStretch = 8;
// Share of the traffic that moves to the next tier per refusal, and what is left of it after one refresh period.
constexpr float kSpillStep = 0.1F;
constexpr float kSpillDecay = 0.87F;
// A tier that costs so much more than the next one, distance included, shares traffic with it.
constexpr float kTierFactor = 2;
// Shares of a server's connections for callers of its zone, its region and elsewhere.
constexpr std::array<double, 3> kTierConnections = {0.5, 0.3, 0.2};
constexpr int kFailuresToRelease = 3;

Rep rep_of(core::TimePoint time) noexcept { return time.time_since_epoch().count(); }

float microseconds(core::Duration duration) noexcept { return static_cast<float>(duration.count()) / 1000.0F; }

// Order of servers by id.
constexpr auto kIdValue = [](const auto& entry) noexcept { return entry.first.value; };

std::size_t shard_of_thread() noexcept {
  static std::atomic<std::size_t> next{0};
  thread_local const std::size_t shard = next.fetch_add(1, std::memory_order_relaxed) % DAMASKTHREAD_SHARD_COUNT;
  return shard;
}

std::size_t draw(core::Random& random, std::size_t size) noexcept {
  return std::uniform_int_distribution<std::size_t>(0, size - 1)(random);
}

float draw_unit(core::Random& random) noexcept { return std::uniform_real_distribution<float>(0.0F, 1.0F)(random); }

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
      // A deadline that passed before the request ran says nothing about the server's speed.
      return verdict.execution == core::Execution::kNotRun ? AttemptOutcome::kNeutral : AttemptOutcome::kTimeout;
    default:
      return AttemptOutcome::kNeutral;
  }
}

struct alignas(DAMASKTHREAD_CACHE_LINE_BYTES) ServiceRouter::Member {
  // Written under all locks.
  ServerInfo info;
  std::size_t tier = 0;
  bool present = false;
  bool held = false;
  bool cold = false;
  core::TimePoint since;         // Start of the warm-up.
  core::TimePoint absent_since;  // Valid unless present.
  // Written under any lock.
  alignas(DAMASKTHREAD_CACHE_LINE_BYTES) std::atomic<float> cost_us{0};  // Zero before the first sample.
  std::atomic<int> in_flight{0};
  std::atomic<int> failures{0};  // In a row.
  std::atomic<bool> out{false};  // Refused as leaving; holds for the rest of this incarnation.
  std::atomic<Rep> last_finish{kNever};
  std::atomic<Rep> last_attempt{kNever};

  void sample(float value_us, core::TimePoint now) noexcept {
    float cost = cost_us.load(std::memory_order_relaxed);
    float next = value_us;
    do {
      if (cost > 0) next = cost + (value_us > cost ? kRiseWeight : kFallWeight) * (value_us - cost);
    } while (!cost_us.compare_exchange_weak(cost, next, std::memory_order_relaxed));
    last_finish.store(rep_of(now), std::memory_order_relaxed);
  }

  void lower(float most_us) noexcept {
    float cost = cost_us.load(std::memory_order_relaxed);
    while (cost > most_us && !cost_us.compare_exchange_weak(cost, most_us, std::memory_order_relaxed)) {
    }
  }

  void restart(core::TimePoint now, bool is_cold) noexcept {
    cost_us.store(0, std::memory_order_relaxed);
    failures.store(0, std::memory_order_relaxed);
    out.store(false, std::memory_order_relaxed);
    last_attempt.store(kNever, std::memory_order_relaxed);
    cold = is_cold;
    since = now;
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

ServiceRouter::ServiceRouter(RouterOptions options) : options_(options), next_refresh_(kNever), next_probe_(kNever) {}

ServiceRouter::~ServiceRouter() = default;

ServiceRouter::Member* ServiceRouter::find(core::ServerId server) const noexcept {
  const auto found = std::ranges::lower_bound(pool_.by_id, server.value, {}, kIdValue);
  return found != pool_.by_id.end() && found->first == server ? found->second : nullptr;
}

ServiceRouter::Member* ServiceRouter::find_known(core::ServerId server) const noexcept {
  const auto found = known_.find(server);
  return found == known_.end() ? nullptr : found->second.get();
}

void ServiceRouter::set_servers(std::span<const ServerInfo> servers, CallerCounts callers, core::TimePoint now) {
  const WriteLock lock(*this);
  callers_ = callers;
  update_known(servers, now);
  judge_view(now);
  rebuild();
}

void ServiceRouter::update_known(std::span<const ServerInfo> servers, core::TimePoint now) {
  std::unordered_map<core::ServerId, const ServerInfo*> view;
  for (const ServerInfo& info : servers) {
    const ServerInfo*& entry = view[info.id];
    if (entry == nullptr || entry->incarnation.value < info.incarnation.value) entry = &info;
  }
  for (auto& [id, member] : known_) {
    if (!member->present || view.contains(id)) continue;
    member->present = false;
    member->absent_since = now;
  }
  for (const auto& [id, info] : view) {
    std::unique_ptr<Member>& member = known_[id];
    if (!member) {
      member = std::make_unique<Member>();
      member->restart(now, filled_);
    } else if (info->incarnation.value < member->info.incarnation.value) {
      continue;  // An older life of the same server.
    } else if (member->info.incarnation.value < info->incarnation.value) {
      member->restart(now, true);
    }
    member->info = *info;
    member->present = true;
    member->held = false;
  }
  filled_ = filled_ || !servers.empty();
}

// A server that leaves says so; one that vanishes is missed by membership. When most vanish at once it is more likely
// that this daemon is cut off than that they all died.
void ServiceRouter::judge_view(core::TimePoint now) {
  const core::TimePoint window_start = now - options_.suspicion_window;
  int expected = 0;
  int lost = 0;
  for (auto& [id, member] : known_) {
    if (member->info.leaving || member->out.load(std::memory_order_relaxed)) {
      member->held = false;
      continue;
    }
    if (member->held) {
      const core::Duration absent = now - member->absent_since;
      const bool failing = member->failures.load(std::memory_order_relaxed) >= kFailuresToRelease;
      member->held = absent < (failing ? options_.hold_failing : options_.hold_limit);
    }
    const bool recent = member->absent_since >= window_start;
    if (!member->present && !member->held && !recent) continue;
    ++expected;
    if (!member->present) ++lost;
  }
  const bool doubtful = 2 * lost > expected;
  doubtful_.store(doubtful, std::memory_order_relaxed);
  for (auto item = known_.begin(); item != known_.end();) {
    Member& member = *item->second;
    const bool recent = !member.present && member.absent_since >= window_start;
    member.held = !member.present && doubtful && (member.held || recent);
    // Calls in flight still report to the entry, and an entry inside the window may yet be held.
    const bool forget = !member.present && !member.held && !recent && member.in_flight.load() == 0;
    item = forget ? known_.erase(item) : std::next(item);
  }
}

void ServiceRouter::rebuild() {
  std::array<std::vector<core::ServerId>, kTiers> candidates;
  std::array<int, kTiers> least_connections;
  least_connections.fill(std::numeric_limits<int>::max());
  double slots = 0;
  std::size_t count = 0;
  for (const auto& [id, member] : known_) {
    const ServerInfo& info = member->info;
    if (!member->present && !member->held) continue;
    if (info.leaving || member->out.load(std::memory_order_relaxed)) continue;
    member->tier = info.region != options_.region ? 2 : info.zone != options_.zone ? 1 : 0;
    candidates[member->tier].push_back(id);
    least_connections[member->tier] = std::min(least_connections[member->tier], info.connections);
    slots += std::max(info.slots, 1);
    ++count;
  }
  // Servers see callers of all tiers; tiers without callers leave their share of the connections to the others.
  const std::array<int, kTiers> callers = {std::max(callers_.zone, 1), std::max(callers_.region, 1),
                                           std::max(callers_.all, 1)};
  const std::array<bool, kTiers> populated = {true, callers[1] > callers[0], callers[2] > callers[1]};
  double total_share = 0;
  for (std::size_t tier = 0; tier < kTiers; ++tier) {
    if (populated[tier] || !candidates[tier].empty()) total_share += kTierConnections[tier];
  }
  Pool pool;
  pool.mean_slots = count == 0 ? 1.0F : static_cast<float>(slots / static_cast<double>(count));
  for (std::size_t tier = 0; tier < kTiers; ++tier) {
    std::vector<core::ServerId>& ids = candidates[tier];
    if (ids.empty()) continue;
    const int connections = static_cast<int>(least_connections[tier] * kTierConnections[tier] / total_share);
    const SubsetShape shape =
        subset_shape(static_cast<int>(ids.size()), callers[tier], connections, options_.max_members);
    const auto members = static_cast<std::size_t>(shape.members);
    rendezvous_select(options_.self, ids, members);
    pool.quota[tier] = shape.quota;
    for (const core::ServerId id : std::span(ids).first(members)) {
      Member* member = find_known(id);
      pool.tiers[tier].push_back(member);
      pool.by_id.emplace_back(id, member);
    }
  }
  std::ranges::sort(pool.by_id, {}, kIdValue);
  pool_ = std::move(pool);
}

// Runs in one thread at a time, every refresh period.
void ServiceRouter::refresh(core::TimePoint now) noexcept {
  // The harmonic mean follows the good servers: one that is slow or failing hardly moves it.
  float inverse = 0;
  int count = 0;
  for (const auto& [id, member] : pool_.by_id) {
    const float cost = member->cost_us.load(std::memory_order_relaxed);
    if (cost <= 0 || member->failures.load(std::memory_order_relaxed) > 0) continue;
    inverse += 1 / cost;
    ++count;
  }
  if (count > 0) typical_us_.store(static_cast<float>(count) / inverse, std::memory_order_relaxed);
  for (std::atomic<float>& spill : spill_) {
    const float value = spill.load(std::memory_order_relaxed);
    if (value > 0) spill.store(value < 0.01F ? 0 : value * kSpillDecay, std::memory_order_relaxed);
  }
  const double dials = kRefreshPeriod * options_.probe_share / options_.connection_cost;
  dials_left_.store(std::max(1, static_cast<int>(dials)), std::memory_order_relaxed);
  next_refresh_.store(rep_of(now + kRefreshPeriod), std::memory_order_relaxed);
}

float ServiceRouter::cost_of(const Member& member, core::TimePoint now) const noexcept {
  float typical = typical_us_.load(std::memory_order_relaxed);
  if (typical <= 0) typical = kFirstCostUs;
  float cost = member.cost_us.load(std::memory_order_relaxed);
  if (cost <= 0) {
    cost = typical;
  } else if (cost > typical) {
    const Rep idle = rep_of(now) - member.last_finish.load(std::memory_order_relaxed);
    const int stretch = 1 + std::min(member.failures.load(std::memory_order_relaxed), kMaxStretch);
    const float lives = static_cast<float>(idle) * 1e-9F / (kHalfLifeSeconds * static_cast<float>(stretch));
    cost = typical + (cost - typical) / (1 + lives * lives);
  }
  const Rep attempt = member.last_attempt.load(std::memory_order_relaxed);
  if (attempt == kNever || rep_of(now) - attempt > options_.connection_idle.count()) {
    cost += microseconds(options_.connection_cost);
    if (dials_left_.load(std::memory_order_relaxed) <= 0) cost *= kNoDialFactor;
  }
  cost *= static_cast<float>(1 + member.in_flight.load(std::memory_order_relaxed));
  cost *= pool_.mean_slots / static_cast<float>(std::max(member.info.slots, 1));
  cost *= 1 + kLoadHintWeight * std::clamp(member.info.reported_load, 0.0F, 1.0F);
  if (member.info.suspect || member.held) cost *= kSuspectFactor;
  if (member.cold) {
    const float warm = static_cast<float>((now - member.since).count()) / static_cast<float>(options_.warm_up.count());
    if (warm < 1) cost /= std::max(warm, kWarmFloor);
  }
  return cost;
}

bool ServiceRouter::usable(const Member& member, std::span<const core::ServerId> tried) const noexcept {
  return !member.out.load(std::memory_order_relaxed) &&
         member.in_flight.load(std::memory_order_relaxed) < pool_.quota[member.tier] &&
         std::ranges::find(tried, member.info.id) == tried.end();
}

// The order within a tier differs from daemon to daemon, so that the successors of an unusable member differ too.
ServiceRouter::Member* ServiceRouter::scan(std::size_t tier, std::size_t start, std::span<const core::ServerId> tried,
                                           const Member* except) const noexcept {
  const std::vector<Member*>& members = pool_.tiers[tier];
  for (std::size_t i = 0; i < members.size(); ++i) {
    Member* member = members[(start + i) % members.size()];
    if (member != except && usable(*member, tried)) return member;
  }
  return nullptr;
}

ServiceRouter::Candidate ServiceRouter::pick(std::size_t tier, core::Random& random,
                                             std::span<const core::ServerId> tried,
                                             core::TimePoint now) const noexcept {
  const std::size_t size = pool_.tiers[tier].size();
  if (size == 0) return {};
  Member* first = scan(tier, draw(random, size), tried, nullptr);
  if (first == nullptr) return {};
  const float first_cost = cost_of(*first, now);
  Member* second = scan(tier, draw(random, size), tried, first);
  if (second == nullptr) return {first, first_cost};
  const float second_cost = cost_of(*second, now);
  const float first_weight = second_cost * second_cost;
  const float second_weight = first_cost * first_cost;
  const bool take_first = draw_unit(random) * (first_weight + second_weight) < first_weight;
  return take_first ? Candidate{first, first_cost} : Candidate{second, second_cost};
}

ServiceRouter::Member* ServiceRouter::probe_due(std::span<const core::ServerId> tried, core::TimePoint now) noexcept {
  Rep due = next_probe_.load(std::memory_order_relaxed);
  if (rep_of(now) < due) return nullptr;
  const auto period = std::chrono::duration_cast<core::Duration>(options_.probe_cost / options_.probe_share);
  if (!next_probe_.compare_exchange_strong(due, rep_of(now + period), std::memory_order_relaxed)) return nullptr;
  Member* oldest = nullptr;
  Rep oldest_attempt = rep_of(now - options_.probe_idle);
  for (const auto& [id, member] : pool_.by_id) {
    const Rep attempt = member->last_attempt.load(std::memory_order_relaxed);
    // A member without a sample draws its share anyway; only those that lost theirs need the floor.
    if (attempt == kNever || attempt >= oldest_attempt || !usable(*member, tried)) continue;
    if (member->cost_us.load(std::memory_order_relaxed) <= kTierFactor * typical_us_.load(std::memory_order_relaxed)) {
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
    refresh(now);
  }
  if (probe == Probe::kAllowed) {
    if (const Member* member = probe_due(tried, now)) return member->info.id;
  }
  Candidate chosen;
  const float usual = typical_us_.load(std::memory_order_relaxed) * kTierFactor;
  for (std::size_t tier = 0; tier < kTiers; ++tier) {
    // A server of usual cost in a tier that refuses nothing is not compared with farther ones.
    if (chosen.member != nullptr && chosen.cost <= usual &&
        spill_[chosen.member->tier].load(std::memory_order_relaxed) <= 0) {
      break;
    }
    const Candidate candidate = pick(tier, random, tried, now);
    if (candidate.member == nullptr) continue;
    if (chosen.member == nullptr) {
      chosen = candidate;
      continue;
    }
    // Spilling into a tier that refuses as well only adds distance.
    const float spill = spill_[chosen.member->tier].load(std::memory_order_relaxed) *
                        (1 - spill_[tier].load(std::memory_order_relaxed));
    const float far_cost = candidate.cost * kTierFactor;
    const float near_weight = far_cost * far_cost;
    const float far_weight = chosen.cost > far_cost ? chosen.cost * chosen.cost : 0;
    const float far_share = std::max(spill, far_weight / (near_weight + far_weight));
    if (far_share > 0 && draw_unit(random) < far_share) chosen = candidate;
  }
  if (chosen.member == nullptr) return std::nullopt;
  return chosen.member->info.id;
}

void ServiceRouter::started(core::ServerId server, core::TimePoint now) noexcept {
  const ReadLock lock(*this);
  Member* member = find(server);
  if (member == nullptr) member = find_known(server);
  if (member == nullptr) return;
  member->in_flight.fetch_add(1, std::memory_order_relaxed);
  const Rep before = member->last_attempt.exchange(rep_of(now), std::memory_order_relaxed);
  const bool dial = before == kNever || rep_of(now) - before > options_.connection_idle.count();
  if (dial) dials_left_.fetch_sub(1, std::memory_order_relaxed);
}

void ServiceRouter::finished(core::ServerId server, AttemptOutcome outcome, core::Duration latency,
                             core::TimePoint now) noexcept {
  {
    const ReadLock lock(*this);
    Member* member = find(server);
    if (member == nullptr) member = find_known(server);
    if (member == nullptr) return;
    int in_flight = member->in_flight.load(std::memory_order_relaxed);
    while (in_flight > 0 &&
           !member->in_flight.compare_exchange_weak(in_flight, in_flight - 1, std::memory_order_relaxed)) {
    }
    const float latency_us = std::max(microseconds(latency), 1.0F);
    const float floor_us = std::max({latency_us, typical_us_.load(std::memory_order_relaxed), kFirstCostUs / 10});
    switch (outcome) {
      case AttemptOutcome::kAnswered:
        // An answer after failures shows that the server is back; its cost may then fall at once.
        if (member->failures.load(std::memory_order_relaxed) > 0) {
          member->failures.store(0, std::memory_order_relaxed);
          member->lower(floor_us * kTierFactor);
        }
        member->sample(latency_us, now);
        return;
      case AttemptOutcome::kRefused: {
        member->sample(floor_us * kRefusalFactor, now);
        std::atomic<float>& spill = spill_[member->tier];
        const float value = spill.load(std::memory_order_relaxed);
        spill.store(value + kSpillStep * (1 - value), std::memory_order_relaxed);
        return;
      }
      case AttemptOutcome::kFailed:
      case AttemptOutcome::kUnreachable:
        member->failures.fetch_add(1, std::memory_order_relaxed);
        member->sample(floor_us * kFailureFactor, now);
        return;
      case AttemptOutcome::kTimeout:
        member->failures.fetch_add(1, std::memory_order_relaxed);
        member->sample(floor_us * kRefusalFactor, now);
        return;
      case AttemptOutcome::kNeutral:
        return;
      case AttemptOutcome::kLeaving:
        if (member->out.exchange(true, std::memory_order_relaxed)) return;
        break;
    }
  }
  // Another server takes the place of the leaving one in the subset.
  const WriteLock lock(*this);
  rebuild();
}

bool ServiceRouter::doubtful() const noexcept { return doubtful_.load(std::memory_order_relaxed); }

std::vector<MemberStatus> ServiceRouter::members(core::TimePoint now) const {
  const ReadLock lock(*this);
  std::vector<MemberStatus> result;
  for (const auto& [id, member] : pool_.by_id) {
    const auto cost = static_cast<Rep>(cost_of(*member, now) * 1000.0F);
    result.push_back({.id = id,
                      .tier = static_cast<int>(member->tier),
                      .in_flight = member->in_flight.load(std::memory_order_relaxed),
                      .quota = pool_.quota[member->tier],
                      .cost = core::Duration(cost),
                      .held = member->held});
  }
  return result;
}

}  // namespace damaskthread::routing
