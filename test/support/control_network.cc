#include "support/control_network.h"

#include <algorithm>
#include <utility>

namespace damaskthread::test {
namespace {

constexpr core::Duration kTick = std::chrono::milliseconds{100};
constexpr core::Duration kPoll = std::chrono::milliseconds{500};
// A paused process still has its socket buffers.
constexpr std::size_t kBacklog = 256;

}  // namespace

ControlNetwork::ControlNetwork(std::uint64_t seed, NetworkOptions options) : options_{options}, random_{seed} {}

std::size_t ControlNetwork::add(const Placement& placement, const std::vector<std::size_t>& seeds) {
  const std::size_t number = nodes_.size();
  auto node = std::make_unique<Node>();
  const std::string host = "10." + std::to_string(number / 65536) + '.' + std::to_string(number / 256 % 256) + '.' +
                           std::to_string(number % 256);
  node->info = {.service = placement.service,
                .zone = placement.zone,
                .region = placement.region,
                .call_address = host + ":8000",
                .peer_address = host + ":8001",
                .admin_address = host + ":8002",
                .control_address = host + ":8003",
                .slots = 70,
                .connections = 530};
  by_address_[node->info.control_address] = number;
  nodes_.push_back(std::move(node));
  for (const std::size_t seed : seeds) {
    const std::string& address = nodes_[seed]->info.control_address;
    if (std::ranges::find(seeds_, address) == seeds_.end()) seeds_.push_back(address);
  }
  start(number, core::ServerId{random_()});
  return number;
}

void ControlNetwork::start(std::size_t number, core::ServerId id) {
  Node& node = *nodes_[number];
  node.id = id;
  const auto started = std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch()).count();
  node.incarnation = {(static_cast<std::uint64_t>(started) << 16) | (random_() & 0xFFFF)};
  const wire::Sender self{node.id, node.incarnation};
  node.random.seed(random_());
  node.config = std::make_unique<FakeConfig>(log_);
  node.authenticator = std::make_unique<wire::Authenticator>("shared key of the tests", self);
  node.membership = std::make_unique<membership::Membership>(self, node.info, seeds_, options_.membership);
  node.replication =
      std::make_unique<replication::Replication>(node.id, *node.config, *node.config, options_.replication);
  node.view_version = 0;
  node.running = true;
  node.paused = false;
  node.backlog.clear();
  node.next_poll = now_ + core::Duration{static_cast<std::int64_t>(random_() % kPoll.count())};
  ++node.life;
  const core::Duration phase{static_cast<std::int64_t>(random_() % kTick.count())};
  events_.push({now_ + phase, order_++, number, node.life, {}});
}

void ControlNetwork::introduce_all() {
  wire::Message everybody;
  everybody.body = wire::MemberState{.all = true, .requested_ids = {}};
  for (const auto& node : nodes_) {
    if (!node->running) continue;
    everybody.deltas.push_back({.id = node->id,
                                .incarnation = node->incarnation,
                                .refutation = 0,
                                .health = wire::Health::kAlive,
                                .leaving = false,
                                .suspected_for = {},
                                .info = std::make_shared<const wire::MemberInfo>(node->info)});
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    Node& node = *nodes_[i];
    if (!node.running) continue;
    const Node& other = *nodes_[(i + 1) % nodes_.size()];
    static_cast<void>(node.membership->receive({other.id, other.incarnation}, everybody, now_));
    after_step(i);
  }
}

void ControlNetwork::after_step(std::size_t number) {
  Node& node = *nodes_[number];
  if (node.membership->version() == node.view_version) return;
  node.view_version = node.membership->version();
  node.replication->set_view(node.membership->members(), now_);
  if (observer_) observer_(number);
}

void ControlNetwork::send(std::size_t from, const std::vector<wire::Outgoing>& messages) {
  Node& node = *nodes_[from];
  for (const wire::Outgoing& outgoing : messages) {
    std::string bytes = node.authenticator->seal(outgoing.message);
    node.sent_bytes += bytes.size();
    ++node.sent_messages;
    const bool answers_request = std::holds_alternative<wire::MemberState>(outgoing.message.body) ||
                                 std::holds_alternative<wire::MemberSummary>(outgoing.message.body) ||
                                 std::holds_alternative<wire::ConfigChunk>(outgoing.message.body);
    if (!answers_request) node.largest_datagram = std::max(node.largest_datagram, bytes.size());
    if (send_observer_) send_observer_(from, bytes);
    const auto to = by_address_.find(outgoing.address);
    if (to == by_address_.end() || (blocked_ && blocked_(from, to->second))) continue;
    std::uniform_real_distribution<double> chance{0, 1};
    const int copies = options_.duplicate > 0 && chance(random_) < options_.duplicate ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (options_.loss > 0 && chance(random_) < options_.loss) continue;
      const auto spread = static_cast<std::uint64_t>((options_.max_delay - options_.min_delay).count() + 1);
      core::Duration delay = options_.min_delay + core::Duration{static_cast<std::int64_t>(random_() % spread)};
      if (nodes_[to->second]->info.region != node.info.region) delay += options_.region_delay;
      events_.push({now_ + delay, order_++, to->second, 0, bytes});
    }
  }
}

void ControlNetwork::deliver(std::size_t number, const std::string& bytes) {
  Node& node = *nodes_[number];
  if (!node.running) return;
  if (node.paused) {
    if (node.backlog.size() < kBacklog) node.backlog.push_back(bytes);
    return;
  }
  node.received_bytes += bytes.size();
  const auto opened = node.authenticator->open(bytes);
  const auto* received = std::get_if<wire::Received>(&opened);
  if (received == nullptr) return;
  node.membership->set_digest(node.replication->digest());
  send(number, node.membership->receive(received->sender, received->message, now_));
  after_step(number);
  send(number, node.replication->receive(received->sender, received->message, now_));
}

void ControlNetwork::step(std::size_t number) {
  Node& node = *nodes_[number];
  if (node.next_poll <= now_) {
    node.next_poll = now_ + kPoll;
    if (node.replication->polls_log()) node.config->poll();
  }
  node.membership->set_digest(node.replication->digest());
  send(number, node.membership->tick(now_, node.random));
  after_step(number);
  send(number, node.replication->tick(now_, node.random));
  const auto notes = node.replication->take_lag_notes();
  if (!notes.empty()) node.membership->spread(notes, now_);
}

void ControlNetwork::run(core::Duration duration) {
  const core::TimePoint end = now_ + duration;
  while (!events_.empty() && events_.top().time <= end) {
    // The queue gives no mutable access; the event is removed right away.
    Event event = std::move(const_cast<Event&>(events_.top()));
    events_.pop();
    now_ = event.time;
    Node& node = *nodes_[event.node];
    if (!event.bytes.empty()) {
      deliver(event.node, event.bytes);
      continue;
    }
    if (!node.running || event.life != node.life) continue;
    if (!node.paused) step(event.node);
    events_.push({now_ + kTick, order_++, event.node, event.life, {}});
  }
  now_ = end;
}

std::optional<core::Duration> ControlNetwork::run_until(const std::function<bool()>& condition, core::Duration limit) {
  constexpr core::Duration kStep = std::chrono::milliseconds{50};
  core::Duration spent{0};
  while (!condition()) {
    if (spent >= limit) return std::nullopt;
    run(kStep);
    spent += kStep;
  }
  return spent;
}

void ControlNetwork::kill(std::size_t number) {
  Node& node = *nodes_[number];
  node.running = false;
  ++node.life;
}

void ControlNetwork::restart(std::size_t number) {
  kill(number);
  start(number, nodes_[number]->id);
}

void ControlNetwork::replace(std::size_t number) {
  kill(number);
  start(number, core::ServerId{random_()});
}

void ControlNetwork::pause(std::size_t number) { nodes_[number]->paused = true; }

void ControlNetwork::resume(std::size_t number) {
  Node& node = *nodes_[number];
  if (!node.paused) return;
  node.paused = false;
  const auto backlog = std::exchange(node.backlog, {});
  if (!node.running) return;
  for (const std::string& bytes : backlog) deliver(number, bytes);
}

std::optional<membership::Member> ControlNetwork::view(std::size_t of, std::size_t about) {
  return nodes_[of]->membership->find(nodes_[about]->id);
}

bool ControlNetwork::converged() {
  std::unordered_map<core::ServerId, core::Incarnation> running;
  for (const auto& node : nodes_) {
    if (node->running) running[node->id] = node->incarnation;
  }
  return std::ranges::all_of(nodes_, [&](const auto& node) {
    if (!node->running) return true;
    std::size_t living = 0;
    for (const membership::Member& member : node->membership->members()) {
      if (member.state == membership::State::kDead) continue;
      const auto found = running.find(member.id);
      if (found == running.end() || found->second != member.incarnation) return false;
      if (member.state == membership::State::kSuspect) return false;
      ++living;
    }
    return living == running.size();
  });
}

std::unique_ptr<ControlNetwork> make_fleet(std::uint64_t seed, std::size_t nodes, std::size_t zones,
                                           std::size_t regions, std::size_t services, const NetworkOptions& options) {
  auto network = std::make_unique<ControlNetwork>(seed, options);
  for (std::size_t i = 0; i < nodes; ++i) {
    const std::size_t zone = i % zones;
    const Placement placement{.service = "service-" + std::to_string(i / zones % services),
                              .zone = "zone-" + std::to_string(zone),
                              .region = "region-" + std::to_string(zone % regions)};
    network->add(placement, i < 3 ? std::vector<std::size_t>{i} : std::vector<std::size_t>{});
  }
  network->introduce_all();
  return network;
}

}  // namespace damaskthread::test
