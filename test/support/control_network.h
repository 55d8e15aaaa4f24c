#ifndef DAMASKTHREAD_TEST_SUPPORT_CONTROL_NETWORK_H_
#define DAMASKTHREAD_TEST_SUPPORT_CONTROL_NETWORK_H_

/// @file
/// @brief Daemons' control sides in virtual time over a queue that delays, drops and repeats encoded messages.

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "damaskthread/membership/membership.h"
#include "damaskthread/replication/replication.h"
#include "damaskthread/wire/authenticator.h"
#include "support/fake_config.h"

namespace damaskthread::test {

/// How the queue treats messages.
struct NetworkOptions {
  core::Duration min_delay = std::chrono::microseconds{300};
  core::Duration max_delay = std::chrono::milliseconds{2};
  /// Added between two regions.
  core::Duration region_delay = std::chrono::milliseconds{30};
  double loss = 0;
  double duplicate = 0;
  membership::Options membership{};
  replication::Options replication{};
};

/// Where a node is placed.
struct Placement {
  std::string service = "stock";
  std::string zone = "zone-1";
  std::string region = "region-1";
};

/// The control sides of many daemons. Node numbers stay the same over restarts.
class ControlNetwork {
 public:
  struct Node {
    core::ServerId id;
    core::Incarnation incarnation;
    wire::MemberInfo info;
    std::unique_ptr<FakeConfig> config;
    std::unique_ptr<wire::Authenticator> authenticator;
    std::unique_ptr<membership::Membership> membership;
    std::unique_ptr<replication::Replication> replication;
    std::uint64_t view_version = 0;
    std::uint64_t life = 0;  ///< Events of an earlier life are dropped.
    bool running = false;
    bool paused = false;
    std::deque<std::string> backlog;  ///< Arrived during a pause.
    core::TimePoint next_poll{};
    core::Random random;
    std::uint64_t sent_bytes = 0;
    std::uint64_t sent_messages = 0;
    std::uint64_t received_bytes = 0;
    std::size_t largest_datagram = 0;  ///< Of the messages that answer no request.
  };

  explicit ControlNetwork(std::uint64_t seed, NetworkOptions options = {});

  /// @brief Starts a daemon.
  /// @param seeds Node numbers whose addresses it joins through.
  std::size_t add(const Placement& placement, const std::vector<std::size_t>& seeds);
  /// @brief Makes every running node know every other, as after a long quiet time.
  void introduce_all();

  void run(core::Duration duration);
  /// @brief Runs until a condition holds, checked every 50 ms.
  /// @return How long that took; nothing if it does not hold within `limit`.
  std::optional<core::Duration> run_until(const std::function<bool()>& condition, core::Duration limit);

  void kill(std::size_t node);
  /// @brief Ends the node if it runs and starts a new incarnation with the same id and address.
  void restart(std::size_t node);
  /// @brief Ends the node and starts another server at its address.
  void replace(std::size_t node);
  void pause(std::size_t node);
  void resume(std::size_t node);
  /// @brief Drops what the function blocks; an empty function blocks nothing.
  void block(std::function<bool(std::size_t from, std::size_t to)> blocked) { blocked_ = std::move(blocked); }
  void set_loss(double loss) { options_.loss = loss; }
  void set_duplicate(double duplicate) { options_.duplicate = duplicate; }
  /// @brief Delivers bytes to a node as if they came from the network.
  void inject(std::size_t node, const std::string& bytes) { deliver(node, bytes); }
  /// @brief Calls `observer` after each step of a node whose view has changed.
  void on_view_change(std::function<void(std::size_t node)> observer) { observer_ = std::move(observer); }
  /// @brief Sees every message that is sent.
  void on_send(std::function<void(std::size_t from, const std::string& bytes)> observer) {
    send_observer_ = std::move(observer);
  }

  [[nodiscard]] Node& node(std::size_t number) { return *nodes_[number]; }
  [[nodiscard]] std::size_t size() const noexcept { return nodes_.size(); }
  [[nodiscard]] core::TimePoint now() const noexcept { return now_; }
  [[nodiscard]] FakeLog& log() noexcept { return log_; }
  /// @brief How a node sees another; nothing if it does not know it.
  [[nodiscard]] std::optional<membership::Member> view(std::size_t of, std::size_t about);
  /// @brief Whether every running node sees each running node alive (or leaving) in its incarnation, and no other.
  [[nodiscard]] bool converged();

 private:
  struct Event {
    core::TimePoint time;
    std::uint64_t order = 0;
    std::size_t node = 0;
    std::uint64_t life = 0;  ///< Of a tick; messages go to whoever is at the address.
    std::string bytes;       ///< Empty for a tick.
    bool operator>(const Event& other) const noexcept {
      return time != other.time ? time > other.time : order > other.order;
    }
  };

  void start(std::size_t node, core::ServerId id);
  void step(std::size_t node);
  void deliver(std::size_t node, const std::string& bytes);
  void send(std::size_t from, const std::vector<wire::Outgoing>& messages);
  void after_step(std::size_t node);

  NetworkOptions options_;
  core::Random random_;
  core::TimePoint now_{std::chrono::hours{1}};
  std::uint64_t order_ = 0;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::string> seeds_;
  std::unordered_map<std::string, std::size_t> by_address_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::function<bool(std::size_t, std::size_t)> blocked_;
  std::function<void(std::size_t)> observer_;
  std::function<void(std::size_t, const std::string&)> send_observer_;
  FakeLog log_;
};

/// @brief A fleet spread over `zones` failure domains in `regions` regions and over `services` services, introduced.
[[nodiscard]] std::unique_ptr<ControlNetwork> make_fleet(std::uint64_t seed, std::size_t nodes, std::size_t zones,
                                                         std::size_t regions, std::size_t services,
                                                         const NetworkOptions& options = {});

}  // namespace damaskthread::test

#endif  // DAMASKTHREAD_TEST_SUPPORT_CONTROL_NETWORK_H_
