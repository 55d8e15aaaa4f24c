#include "damaskthread/overlay/watch_duty.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "damaskthread/overlay/link_plan.h"

namespace damaskthread::overlay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::TimePoint kStart{seconds{100}};
constexpr milliseconds kStep{500};

// Simulated daemons that each reach some others and see the state those had one step earlier.
class Fleet {
 public:
  explicit Fleet(std::size_t size) {
    for (std::size_t i = 0; i < size; ++i) {
      const std::uint64_t position = ring_position("daemon-" + std::to_string(i));
      members_.push_back({position, WatchDuty(position, kStart), false, false});
    }
  }

  // Whether daemon `from` receives the state of daemon `to`.
  std::function<bool(std::size_t from, std::size_t to)> reachable = [](std::size_t, std::size_t) { return true; };
  // Whether the store answers a daemon.
  std::function<bool(std::size_t)> store_answers = [](std::size_t) { return true; };

  void run(milliseconds time) {
    for (core::TimePoint end = now_ + time; now_ < end; now_ += kStep) step();
  }

  [[nodiscard]] std::size_t watching() const {
    return static_cast<std::size_t>(
        std::count_if(members_.begin(), members_.end(), [](const Member& member) { return member.watching; }));
  }
  [[nodiscard]] std::size_t max_watching() const noexcept { return max_watching_; }
  [[nodiscard]] bool watching(std::size_t index) const { return members_[index].watching; }

 private:
  struct Member {
    std::uint64_t position;
    WatchDuty duty;
    bool on_duty;
    bool watching;
  };

  void step() {
    const std::vector<Member> before = members_;
    for (std::size_t i = 0; i < members_.size(); ++i) {
      std::vector<WatcherState> others;
      for (std::size_t j = 0; j < before.size(); ++j) {
        if (i != j) others.push_back({before[j].position, reachable(i, j), before[j].watching});
      }
      members_[i].on_duty = members_[i].duty.update(others, now_);
      members_[i].watching = members_[i].on_duty && store_answers(i);
    }
    max_watching_ = std::max(max_watching_, watching());
  }

  std::vector<Member> members_;
  std::size_t max_watching_ = 0;
  core::TimePoint now_ = kStart;
};

}  // namespace

TEST_CASE("few of hundreds of daemons watch the store") {
  Fleet fleet(200);
  fleet.run(seconds{4});
  // Daemons that start together do not all become watchers at first.
  CHECK(fleet.max_watching() <= 2 * WatchDuty::kTargetWatchers);
  fleet.run(seconds{20});
  CHECK(fleet.watching() == WatchDuty::kTargetWatchers);
}

TEST_CASE("the watchers stay few when each daemon reaches only part of the others") {
  Fleet fleet(200);
  // Each daemon reaches about a third of the others.
  fleet.reachable = [](std::size_t from, std::size_t to) { return (from * 31 + to * 17) % 3 == 0; };
  fleet.run(seconds{40});
  CHECK(fleet.watching() >= WatchDuty::kTargetWatchers);
  CHECK(fleet.watching() <= 10 * WatchDuty::kTargetWatchers);
}

TEST_CASE("others take over within a second and a half when the store rejects the watchers") {
  Fleet fleet(60);
  fleet.run(seconds{20});
  std::vector<bool> rejected(60);
  for (std::size_t i = 0; i < 60; ++i) rejected[i] = fleet.watching(i);
  fleet.store_answers = [&](std::size_t index) { return !rejected[index]; };
  fleet.run(milliseconds{1500});
  CHECK(fleet.watching() >= WatchDuty::kTargetWatchers);
}

TEST_CASE("partitioned daemons have watchers of their own") {
  Fleet fleet(60);
  fleet.run(seconds{20});
  const auto partitioned = [](std::size_t index) { return index % 10 == 0; };
  fleet.reachable = [&](std::size_t from, std::size_t to) { return partitioned(from) == partitioned(to); };
  fleet.run(seconds{1});
  std::size_t partitioned_watchers = 0;
  for (std::size_t i = 0; i < 60; i += 10) partitioned_watchers += fleet.watching(i) ? 1 : 0;
  CHECK(partitioned_watchers >= WatchDuty::kTargetWatchers);
}

TEST_CASE("an isolated daemon becomes a watcher") {
  WatchDuty duty(ring_position("alone"), kStart);
  CHECK(!duty.update({}, kStart + WatchDuty::kIsolationTimeout / 2));
  CHECK(duty.update({}, kStart + WatchDuty::kIsolationTimeout));
}

}  // namespace damaskthread::overlay
