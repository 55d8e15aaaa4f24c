#include "damaskthread/mesh/fleet.h"

#include <algorithm>
#include <set>
#include <utility>

#include "damaskthread/mesh/clock.h"

namespace damaskthread::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Longer than an ordinary outage of a zone; a daemon that returns later introduces itself again.
constexpr core::Duration kForgetAfter = std::chrono::minutes{10};
// Greetings list only daemons that were heard from within this time.
constexpr core::Duration kMaxAdvertisedAge = seconds{60};
// Members listed in one greeting. Listing all of them would be most of the traffic between daemons in a large fleet.
constexpr std::size_t kMembersPerGreeting = 8;
// Limits the rate of new connections when hundreds of daemons start together.
constexpr int kMaxLinksOpenedPerTick = 12;
// A daemon counts as unusable if its connection is not established within this time.
constexpr core::Duration kConnectGrace = seconds{1};
// How long an unneeded connection is kept, since the plan may soon require it again.
constexpr core::Duration kUnneededLinkRetention = seconds{8};
// Interval at which one unconnected, long unheard daemon is contacted.
constexpr core::Duration kReconnectInterval = seconds{10};

}  // namespace

Fleet::Fleet(boost::asio::io_context& io, const peer::Member& self, core::Incarnation incarnation, EventLog& log,
             Hooks hooks, const overlay::LinkPlanOptions& links)
    : io_(io),
      self_(self),
      incarnation_(incarnation),
      log_(log),
      hooks_(std::move(hooks)),
      plan_(self.endpoint, links) {
  next_reconnect_ = now() + kReconnectInterval;
  link_hooks_.make_hello = [this] { return greeting(); };
  link_hooks_.on_hello = [this](const PeerLink& link, const peer::Hello& hello) { on_greeted(link, hello); };
  link_hooks_.on_status = [this](PeerLink& link, const peer::Status& status) {
    hooks_.status(link.endpoint(), link.zone() == self_.zone, status);
  };
  link_hooks_.on_load_update = [this](PeerLink& link, const peer::LoadUpdate& pulse) {
    hooks_.pulse(link.endpoint(), pulse);
  };
  link_hooks_.on_reachability_changed = [this](PeerLink& link) {
    log_.line(LogClass::kStateChange, "peer",
              {{"peer", link.endpoint()},
               {"reachable", link.reachable()},
               {"heard_ms_ago", std::chrono::duration<double, std::milli>(now() - link.last_received()).count()}});
    hooks_.reachable(link.endpoint(), link.reachable());
  };
  link_hooks_.on_configuration = hooks_.configuration;
  link_hooks_.on_crash_notice = hooks_.crash;
  link_hooks_.on_quota_grant = [this](const PeerLink& link, const peer::QuotaGrant& message) {
    hooks_.quota_grant(link.endpoint(), message.grant);
  };
}

void Fleet::learn(const peer::Member& member, Source source) {
  if (member.endpoint == self_.endpoint) return;
  const core::TimePoint time = now();
  const auto [found, inserted] = entries_.try_emplace(member.endpoint);
  Entry& entry = found->second;
  if (inserted) {
    entry.learned = time;
    entry.heard = time - kForgetAfter;
    entry.needs_greeting = needs_introduction_ && source == Source::kListed;
  }
  if (source == Source::kIntroduced) entry.heard = time;
  if (!inserted && source != Source::kIntroduced) return;
  entry.zone = member.zone;
  entry.service = member.service;
  // The link plan needs service and zone of a daemon, which its greeting tells.
  if (entry.service.empty() || entry.zone.empty()) entry.needs_greeting = true;
}

void Fleet::mark_introduced() {
  needs_introduction_ = false;
  for (auto& [endpoint, entry] : entries_) entry.needs_greeting = entry.needs_greeting && entry.service.empty();
}

void Fleet::on_greeted(const PeerLink& link, const peer::Hello& hello) {
  if (const auto found = entries_.find(link.endpoint()); found != entries_.end()) {
    Entry& entry = found->second;
    entry.zone = hello.self.zone;
    entry.service = hello.self.service;
    entry.heard = now();
    entry.needs_greeting = false;
  }
  for (const peer::Member& member : hello.members) learn(member, Source::kListed);
}

peer::Hello Fleet::greeting() {
  peer::Hello hello;
  hello.incarnation = incarnation_;
  hello.self = self_;
  const core::TimePoint time = now();
  // Each greeting continues where the last one ended, so that a few greetings together list all members.
  auto next = entries_.upper_bound(last_advertised_);
  for (std::size_t seen = 0; seen < entries_.size() && hello.members.size() < kMembersPerGreeting; ++seen, ++next) {
    if (next == entries_.end()) next = entries_.begin();
    const auto& [endpoint, entry] = *next;
    const PeerLink* const present = link(endpoint);
    const bool reachable = present != nullptr && present->reachable();
    if (!reachable && time - entry.heard >= kMaxAdvertisedAge) continue;
    hello.members.push_back({endpoint, entry.zone, entry.service});
    last_advertised_ = endpoint;
  }
  return hello;
}

bool Fleet::usable(const Entry& entry, const PeerLink* link, core::TimePoint now) const {
  if (link == nullptr) return true;
  if (!link->connected_before()) return now - entry.link_opened_at < kConnectGrace;
  return link->reachable() && (link->status().ready || !link->status_received());
}

std::vector<overlay::Candidate> Fleet::candidates(core::TimePoint now) const {
  std::vector<overlay::Candidate> result;
  result.reserve(entries_.size());
  for (const auto& [endpoint, entry] : entries_) {
    const PeerLink* const present = link(endpoint);
    result.push_back({endpoint, entry.service, entry.zone == self_.zone, usable(entry, present, now)});
  }
  return result;
}

std::vector<std::string> Fleet::endpoints() const {
  std::vector<std::string> result;
  result.reserve(entries_.size());
  for (const auto& [endpoint, entry] : entries_) result.push_back(endpoint);
  return result;
}

void Fleet::plan(const std::map<std::string, overlay::Interest, std::less<>>& interests,
                 const std::vector<std::string>& required, core::TimePoint now) {
  const std::vector<overlay::Candidate> all = candidates(now);
  const std::set<std::size_t> chosen = plan_.select_peers(all, interests);
  std::size_t index = 0;
  for (auto& [endpoint, entry] : entries_) entry.planned = chosen.contains(index++);
  for (const std::string& endpoint : required) {
    if (const auto found = entries_.find(endpoint); found != entries_.end()) found->second.planned = true;
  }
  broadcast_targets_.clear();
  for (const std::size_t target : plan_.ring_fingers(all)) broadcast_targets_.emplace_back(all[target].endpoint);
}

int Fleet::servers(std::string_view service) const {
  return static_cast<int>(std::count_if(entries_.begin(), entries_.end(),
                                        [service](const auto& entry) { return entry.second.service == service; })) +
         (self_.service == service ? 1 : 0);
}

PeerLink* Fleet::link(const std::string& endpoint) const {
  const auto found = links_.find(endpoint);
  return found == links_.end() ? nullptr : found->second.get();
}

void Fleet::broadcast(const peer::Message& message) {
  for (const std::string& endpoint : broadcast_targets_) {
    if (PeerLink* const target = link(endpoint)) target->send(message);
  }
}

void Fleet::open_links(core::TimePoint now) {
  int opened = 0;
  for (auto& [endpoint, entry] : entries_) {
    if (links_.contains(endpoint) || (!entry.planned && !entry.needs_greeting)) continue;
    if (++opened > kMaxLinksOpenedPerTick) return;
    entry.link_opened_at = now;
    links_.emplace(endpoint, std::make_shared<PeerLink>(io_, endpoint, link_hooks_));
  }
}

void Fleet::check_links(core::TimePoint now) {
  std::vector<std::pair<std::string, std::shared_ptr<PeerLink>>> present(links_.begin(), links_.end());
  for (const auto& [endpoint, link] : present) {
    link->tick(now);
    const auto found = entries_.find(endpoint);
    if (found == entries_.end()) continue;
    Entry& entry = found->second;
    if (link->reachable()) entry.heard = std::max(entry.heard, link->last_received());
    if (!link->reachable() && now - std::max(entry.heard, entry.learned) > kForgetAfter) {
      forget(endpoint);
      continue;
    }
    if (entry.planned || entry.needs_greeting || link->has_pending_requests()) {
      entry.unneeded_since = now;
    } else if (now - entry.unneeded_since > kUnneededLinkRetention) {
      unlink(endpoint, entry);
    }
  }
}

void Fleet::unlink(const std::string& endpoint, Entry& entry) {
  entry.needs_greeting = false;
  const auto found = links_.extract(endpoint);
  if (found.empty()) return;
  found.mapped()->close();
  hooks_.unlinked(endpoint);
}

void Fleet::forget(const std::string& endpoint) {
  log_.line(LogClass::kStateChange, "peer_forgotten", {{"peer", endpoint}});
  const auto found = entries_.find(endpoint);
  unlink(endpoint, found->second);
  entries_.erase(found);
}

void Fleet::schedule_greeting(core::TimePoint now) {
  if (now < next_reconnect_) return;
  next_reconnect_ = now + kReconnectInterval;
  Entry* longest_unheard = nullptr;
  for (auto& [endpoint, entry] : entries_) {
    if (links_.contains(endpoint) || now - entry.heard < kForgetAfter) continue;
    if (longest_unheard == nullptr || entry.heard < longest_unheard->heard) longest_unheard = &entry;
  }
  if (longest_unheard != nullptr) longest_unheard->needs_greeting = true;
}

void Fleet::tick(core::TimePoint now) {
  open_links(now);
  check_links(now);
  schedule_greeting(now);
}

void Fleet::close() {
  for (const auto& [endpoint, link] : links_) link->close();
}

}  // namespace damaskthread::mesh
