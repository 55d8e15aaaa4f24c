#include "damaskthread/membership/member_table.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "damaskthread/membership/update_queue.h"

namespace damaskthread::membership {
namespace {

using wire::Health;

constexpr core::TimePoint kNow{std::chrono::hours{1}};

std::shared_ptr<const wire::MemberInfo> info_at(const std::string& address) {
  auto info = std::make_shared<wire::MemberInfo>();
  info->control_address = address;
  return info;
}

wire::MemberDelta claim(std::uint64_t id, std::uint64_t incarnation, std::uint32_t refutation, Health health,
                        bool leaving = false) {
  return {.id = {id},
          .incarnation = {incarnation},
          .refutation = refutation,
          .health = health,
          .leaving = leaving,
          .suspected_for = {},
          .info = info_at("10.0.0." + std::to_string(id) + ":1")};
}

}  // namespace

// Views that depend on the arrival order of claims never converge.
TEST_CASE("merging claims is order-independent and incarnations never decrease") {
  CHECK(rc::check("order", [] {
    std::vector<wire::MemberDelta> claims;
    for (int i = *rc::gen::inRange(1, 12); i > 0; --i) {
      claims.push_back(claim(1, *rc::gen::inRange(1, 4), *rc::gen::inRange(0, 4),
                             *rc::gen::element(Health::kAlive, Health::kSuspect, Health::kDead),
                             *rc::gen::arbitrary<bool>()));
    }
    std::vector<wire::MemberDelta> shuffled = claims;
    std::shuffle(shuffled.begin(), shuffled.end(), core::Random{*rc::gen::arbitrary<std::uint64_t>()});
    MemberTable first{Options{}};
    MemberTable second{Options{}};
    core::Incarnation highest;
    for (const auto& item : claims) {
      first.merge(item, kNow);
      const core::Incarnation shown = first.find({1})->member.incarnation;
      RC_ASSERT(shown >= highest);
      highest = shown;
    }
    for (const auto& item : shuffled) second.merge(item, kNow);
    const auto* a = first.find({1});
    const auto* b = second.find({1});
    RC_ASSERT(a->member.incarnation == b->member.incarnation);
    RC_ASSERT(a->member.refutation == b->member.refutation);
    RC_ASSERT(a->member.state == b->member.state);
    RC_ASSERT(first.bucket_hashes() == second.bucket_hashes());
    RC_ASSERT(first.ring().size() == (a->health == Health::kDead ? 0U : 1U));
    RC_ASSERT(first.suspects().size() == (a->health == Health::kSuspect ? 1U : 0U));
  }));
}

// A late alive claim must not make a leaving server available for new work again.
TEST_CASE("leaving overrides alive only within the same incarnation") {
  MemberTable table{Options{}};
  table.merge(claim(1, 1, 0, Health::kAlive), kNow);
  table.merge(claim(1, 1, 1, Health::kAlive, true), kNow);
  CHECK(table.find({1})->member.state == State::kLeaving);
  table.merge(claim(1, 1, 2, Health::kAlive), kNow);
  CHECK(table.find({1})->member.state == State::kLeaving);
  table.merge(claim(1, 1, 2, Health::kSuspect), kNow);
  CHECK_FALSE(table.find({1})->member.available());
  table.merge(claim(1, 2, 0, Health::kAlive), kNow);
  CHECK(table.find({1})->member.state == State::kAlive);
}

// A delayed claim must not revive a dead server.
TEST_CASE("only a refutation or a new incarnation revives a dead member") {
  MemberTable table{Options{}};
  table.merge(claim(1, 5, 3, Health::kDead), kNow);
  CHECK(table.merge(claim(1, 5, 3, Health::kAlive), kNow) == MergeResult::kIgnored);
  CHECK(table.merge(claim(1, 4, 9, Health::kAlive), kNow) == MergeResult::kIgnored);
  CHECK(table.merge(claim(1, 5, 4, Health::kAlive), kNow) == MergeResult::kApplied);
  CHECK(table.find({1})->member.state == State::kAlive);
}

// Two servers must never be reported alive at the same address.
TEST_CASE("an address belongs to the newest incarnation") {
  MemberTable table{Options{}};
  const auto with_shared_address = [](wire::MemberDelta delta) {
    delta.info = info_at("10.0.0.9:1");
    return delta;
  };
  table.merge(with_shared_address(claim(1, 5, 0, Health::kAlive)), kNow);
  CHECK(table.merge(with_shared_address(claim(2, 4, 0, Health::kAlive)), kNow) == MergeResult::kIgnored);
  CHECK(table.merge(with_shared_address(claim(2, 6, 0, Health::kAlive)), kNow) == MergeResult::kApplied);
  CHECK(table.find({1})->member.state == State::kDead);
  CHECK(table.merge(with_shared_address(claim(1, 5, 7, Health::kAlive)), kNow) == MergeResult::kIgnored);
  CHECK(table.ring().size() == 1);
}

// Memory must not grow with every server that ever joined.
TEST_CASE("dead members are removed after the retention time and above the maximum count") {
  Options options;
  options.max_dead = 10;
  options.max_members = 20;
  MemberTable table{options};
  for (std::uint64_t id = 1; id <= 15; ++id) table.merge(claim(id, 1, 0, Health::kDead), kNow);
  table.expire(kNow);
  CHECK(table.dead().size() == 10);
  for (std::uint64_t id = 100; id <= 160; ++id) table.merge(claim(id, 1, 0, Health::kAlive), kNow);
  CHECK(table.size() == 20);
  CHECK(table.ring().size() == 20);
  table.merge(claim(100, 1, 0, Health::kDead), kNow);
  table.expire(kNow + options.dead_retention);
  CHECK(table.dead().empty());
}

// Updates must not be sent too often or too rarely, nor be starved by older updates.
TEST_CASE("the update queue sends each item the requested number of times, newest first") {
  CHECK(rc::check("queue", [] {
    UpdateQueue<int> queue;
    const auto items = *rc::gen::inRange(1, 30);
    const auto sends = *rc::gen::inRange<std::size_t>(1, 10);
    for (int i = 0; i < items; ++i) queue.push(i, sends);
    std::vector<std::size_t> sent(static_cast<std::size_t>(items), 0);
    const int capacity = *rc::gen::inRange(1, 8);
    for (int message = 0; !queue.empty(); ++message) {
      RC_ASSERT(message < 1000);
      int left = capacity;
      queue.fill([&](int key) {
        if (left == 0) return false;
        --left;
        ++sent[static_cast<std::size_t>(key)];
        return true;
      });
      const auto [min_sent, max_sent] = std::ranges::minmax(sent);
      RC_ASSERT(max_sent - min_sent <= 1);
    }
    RC_ASSERT(std::ranges::all_of(sent, [&](std::size_t count) { return count == sends; }));
  }));
}

}  // namespace damaskthread::membership
