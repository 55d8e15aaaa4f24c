#include "damaskthread/mesh/fleet.h"

#include <algorithm>
#include <set>
#include <utility>

#include "damaskthread/mesh/clock.h"

namespace damaskthread::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Longer than an ordinary outage of a domain; a daemon that is back after more connects by itself.
constexpr core::Duration kForgetAfter = std::chrono::minutes{10};
// Daemons that were heard from within this time are named to others.
constexpr core::Duration kVouchFor = seconds{60};
// Members named in one greeting. All of them in each would be most of the bytes between daemons in a large fleet.
constexpr std::size_t kNamedMembers = 8;
// Connections that are opened in one tick, so that a start of hundreds of daemons is no storm of connections.
constexpr int kOpenedPerTick = 12;
// A connection that has not come about within this time speaks against its daemon.
constexpr core::Duration kUntried = seconds{1};
// A connection that is not needed any more is kept for this long, since plans change back.
constexpr core::Duration kLinger = seconds{8};
// Interval at which a daemon without a connection is checked.
constexpr core::Duration kCheckInterval = seconds{10};

}  // namespace

Fleet::Fleet(boost::asio::io_context& io, const peer::Member& self, core::Incarnation incarnation, EventLog& log,
             Hooks hooks)
    : io_(io), self_(self), incarnation_(incarnation), log_(log), hooks_(std::move(hooks)), plan_(self.endpoint) {
  next_check_ = now() + kCheckInterval;
  link_hooks_.make_hello = [this] { return greeting(); };
  link_hooks_.on_hello = [this](const PeerLink& link, const peer::Hello& hello) { on_greeted(link, hello); };
  link_hooks_.on_status = [this](PeerLink& link, const peer::Status& status) {
    hooks_.status(link.endpoint(), link.zone() == self_.zone, status);
  };
  link_hooks_.on_load_update = [this](PeerLink& link, const peer::Pulse& pulse) {
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
}

void Fleet::learn(const peer::Member& member, Source source) {
  if (member.endpoint == self_.endpoint) return;
  const core::TimePoint time = now();
  const auto [found, inserted] = entries_.try_emplace(member.endpoint);
  Entry& entry = found->second;
  if (inserted) {
    entry.learned = time;
    entry.heard = time - kForgetAfter;
    entry.greet = introducing_ && source == Source::kListed;
  }
  if (source == Source::kItself) entry.heard = time;
  if (!inserted && source != Source::kItself) return;
  entry.zone = member.zone;
  entry.service = member.service;
  // Without its service a daemon cannot be planned with.
  if (entry.service.empty() || entry.zone.empty()) entry.greet = true;
}

void Fleet::known_already() {
  introducing_ = false;
  for (auto& [endpoint, entry] : entries_) entry.greet = entry.greet && entry.service.empty();
}

void Fleet::on_greeted(const PeerLink& link, const peer::Hello& hello) {
  if (const auto found = entries_.find(link.endpoint()); found != entries_.end()) {
    Entry& entry = found->second;
    entry.zone = hello.self.zone;
    entry.service = hello.self.service;
    entry.heard = now();
    entry.greet = false;
  }
  for (const peer::Member& member : hello.members) learn(member, Source::kListed);
}

peer::Hello Fleet::greeting() {
  peer::Hello hello;
  hello.incarnation = incarnation_;
  hello.self = self_;
  const core::TimePoint time = now();
  // Another part of the members each time, so that a daemon that hears a few greetings knows all.
  auto next = entries_.upper_bound(last_named_);
  for (std::size_t seen = 0; seen < entries_.size() && hello.members.size() < kNamedMembers; ++seen, ++next) {
    if (next == entries_.end()) next = entries_.begin();
    const auto& [endpoint, entry] = *next;
    const PeerLink* const present = link(endpoint);
    const bool reachable = present != nullptr && present->reachable();
    if (!reachable && time - entry.heard >= kVouchFor) continue;
    hello.members.push_back({endpoint, entry.zone, entry.service});
    last_named_ = endpoint;
  }
  return hello;
}

bool Fleet::usable(const Entry& entry, const PeerLink* link, core::TimePoint now) const {
  if (link == nullptr) return true;
  if (!link->connected_before()) return now - entry.linked_since < kUntried;
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

void Fleet::plan(const std::map<std::string, overlay::Interest, std::less<>>& interests, core::TimePoint now) {
  const std::vector<overlay::Candidate> all = candidates(now);
  const std::set<std::size_t> chosen = plan_.choose(all, interests);
  std::size_t index = 0;
  for (auto& [endpoint, entry] : entries_) entry.planned = chosen.contains(index++);
  ring_.clear();
  for (const std::size_t finger : plan_.ring(all)) ring_.emplace_back(all[finger].endpoint);
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

void Fleet::spread(const peer::Message& message) {
  for (const std::string& endpoint : ring_) {
    if (PeerLink* const finger = link(endpoint)) finger->send(message);
  }
}

void Fleet::open_links(core::TimePoint now) {
  int opened = 0;
  for (auto& [endpoint, entry] : entries_) {
    if (links_.contains(endpoint) || (!entry.planned && !entry.greet)) continue;
    if (++opened > kOpenedPerTick) return;
    entry.linked_since = now;
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
    if (entry.planned || entry.greet || link->has_pending_requests()) {
      entry.unneeded_since = now;
    } else if (now - entry.unneeded_since > kLinger) {
      unlink(endpoint, entry);
    }
  }
}

void Fleet::unlink(const std::string& endpoint, Entry& entry) {
  entry.greet = false;
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

void Fleet::greet_longest_unheard(core::TimePoint now) {
  if (now < next_check_) return;
  next_check_ = now + kCheckInterval;
  Entry* longest = nullptr;
  for (auto& [endpoint, entry] : entries_) {
    if (links_.contains(endpoint) || now - entry.heard < kForgetAfter) continue;
    if (longest == nullptr || entry.heard < longest->heard) longest = &entry;
  }
  if (longest != nullptr) longest->greet = true;
}

void Fleet::tick(core::TimePoint now) {
  open_links(now);
  check_links(now);
  greet_longest_unheard(now);
}

void Fleet::close() {
  for (const auto& [endpoint, link] : links_) link->close();
}

}  // namespace damaskthread::mesh
