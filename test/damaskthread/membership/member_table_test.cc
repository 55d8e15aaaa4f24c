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

// Guards against views that depend on the order in which claims arrive; such views never converge.
TEST_CASE("claims give the same view in any order, and none goes back") {
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

// Guards against new work for a server that is leaving, because a late claim shows it alive again.
TEST_CASE("leaving outranks alive of the same incarnation only") {
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

// Guards against a dead server that comes back because a claim about it was still under way.
TEST_CASE("only a refutation or a new incarnation revives") {
  MemberTable table{Options{}};
  table.merge(claim(1, 5, 3, Health::kDead), kNow);
  CHECK(table.merge(claim(1, 5, 3, Health::kAlive), kNow) == Merge::kIgnored);
  CHECK(table.merge(claim(1, 4, 9, Health::kAlive), kNow) == Merge::kIgnored);
  CHECK(table.merge(claim(1, 5, 4, Health::kAlive), kNow) == Merge::kApplied);
  CHECK(table.find({1})->member.state == State::kAlive);
}

// Guards against two servers that are shown alive at one address.
TEST_CASE("an address belongs to the newest incarnation") {
  MemberTable table{Options{}};
  const auto at = [](wire::MemberDelta delta) {
    delta.info = info_at("10.0.0.9:1");
    return delta;
  };
  table.merge(at(claim(1, 5, 0, Health::kAlive)), kNow);
  CHECK(table.merge(at(claim(2, 4, 0, Health::kAlive)), kNow) == Merge::kIgnored);
  CHECK(table.merge(at(claim(2, 6, 0, Health::kAlive)), kNow) == Merge::kApplied);
  CHECK(table.find({1})->member.state == State::kDead);
  CHECK(table.merge(at(claim(1, 5, 7, Health::kAlive)), kNow) == Merge::kIgnored);
  CHECK(table.ring().size() == 1);
}

// Guards against memory that grows with every server that has ever been there.
TEST_CASE("the dead are forgotten after their time and beyond the bound") {
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

// Guards against news that is sent too often, too rarely, or starved by older news.
TEST_CASE("the queue sends each item as often as asked, fresh ones first") {
  CHECK(rc::check("queue", [] {
    UpdateQueue<int> queue;
    const auto items = *rc::gen::inRange(1, 30);
    const auto sends = *rc::gen::inRange<std::size_t>(1, 10);
    for (int i = 0; i < items; ++i) queue.push(i, sends);
    std::vector<std::size_t> sent(static_cast<std::size_t>(items), 0);
    const int room = *rc::gen::inRange(1, 8);
    for (int message = 0; !queue.empty(); ++message) {
      RC_ASSERT(message < 1000);
      int left = room;
      queue.fill([&](int key) {
        if (left == 0) return false;
        --left;
        ++sent[static_cast<std::size_t>(key)];
        return true;
      });
      const auto [least, most] = std::ranges::minmax(sent);
      RC_ASSERT(most - least <= 1);
    }
    RC_ASSERT(std::ranges::all_of(sent, [&](std::size_t count) { return count == sends; }));
  }));
}

}  // namespace damaskthread::membership
