#include "damaskthread/mesh/fleet.h"

#include <algorithm>
#include <utility>

#include "damaskthread/mesh/clock.h"

namespace damaskthread::mesh {
namespace {

// Longer than an ordinary outage of a domain; a daemon that is back after more connects by itself.
constexpr core::Duration kForgetAfter = std::chrono::minutes{10};
// Daemons that were heard from within this time are named to others.
constexpr core::Duration kVouchFor = std::chrono::seconds{60};
// Members named in one greeting. All of them in each would be most of the bytes between daemons in a large fleet.
constexpr std::size_t kNamedMembers = 8;

}  // namespace

Fleet::Fleet(boost::asio::io_context& io, const peer::Member& self, core::Incarnation incarnation, EventLog& log,
             Hooks hooks)
    : io_(io), self_(self), incarnation_(incarnation), log_(log), hooks_(std::move(hooks)) {
  link_hooks_.greeting = [this] { return greeting(); };
  link_hooks_.greeted = [this](PeerLink& /*link*/, const peer::Hello& hello) {
    for (const peer::Member& member : hello.members) learn(member);
  };
  link_hooks_.status = [this](PeerLink& link, const peer::Status& status) {
    hooks_.status(link.endpoint(), link.zone() == self_.zone, status);
  };
  link_hooks_.pulse = [this](PeerLink& link, const peer::Pulse& pulse) { hooks_.pulse(link.endpoint(), pulse); };
  link_hooks_.reachable_changed = [this](PeerLink& link) {
    log_.line(LineClass::kBelief, "peer",
              {{"peer", link.endpoint()},
               {"reachable", link.reachable()},
               {"heard_ms_ago", std::chrono::duration<double, std::milli>(now() - link.heard()).count()}});
    hooks_.reachable(link.endpoint(), link.reachable());
  };
  link_hooks_.configuration = hooks_.configuration;
  link_hooks_.crash = hooks_.crash;
}

void Fleet::learn(const peer::Member& member) {
  if (member.endpoint == self_.endpoint || links_.contains(member.endpoint)) return;
  const auto link = std::make_shared<PeerLink>(io_, member.endpoint, link_hooks_);
  links_.emplace(member.endpoint, link);
  learned_[member.endpoint] = now();
  link->tick(now());
}

peer::Hello Fleet::greeting() {
  peer::Hello hello;
  hello.incarnation = incarnation_;
  hello.self = self_;
  const core::TimePoint time = now();
  // Another part of the members each time, so that a daemon that hears a few greetings knows all.
  auto next = links_.upper_bound(last_named_);
  for (std::size_t seen = 0; seen < links_.size() && hello.members.size() < kNamedMembers; ++seen, ++next) {
    if (next == links_.end()) next = links_.begin();
    const auto& [endpoint, link] = *next;
    if (!link->reachable() && time - link->heard() >= kVouchFor) continue;
    hello.members.push_back({endpoint, link->zone()});
    last_named_ = endpoint;
  }
  return hello;
}

PeerLink* Fleet::link(const std::string& endpoint) const {
  const auto found = links_.find(endpoint);
  return found == links_.end() ? nullptr : found->second.get();
}

int Fleet::rank() const {
  return static_cast<int>(std::count_if(links_.begin(), links_.lower_bound(self_.endpoint),
                                        [](const auto& entry) { return entry.second->reachable(); }));
}

void Fleet::tick(core::TimePoint now) {
  std::vector<std::shared_ptr<PeerLink>> present;
  present.reserve(links_.size());
  for (const auto& [endpoint, link] : links_) present.push_back(link);
  for (const auto& link : present) {
    link->tick(now);
    const core::TimePoint last = std::max(link->heard(), learned_[link->endpoint()]);
    if (link->reachable() || now - last < kForgetAfter) continue;
    log_.line(LineClass::kBelief, "peer_forgotten", {{"peer", link->endpoint()}});
    hooks_.forgotten(link->endpoint());
    link->close();
    learned_.erase(link->endpoint());
    links_.erase(link->endpoint());
  }
}

void Fleet::close() {
  for (const auto& [endpoint, link] : links_) link->close();
}

}  // namespace damaskthread::mesh
