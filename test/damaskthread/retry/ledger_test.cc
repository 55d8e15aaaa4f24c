#include "damaskthread/retry/ledger.h"

#include <doctest/doctest.h>

namespace damaskthread::retry {
namespace {

using std::chrono::seconds;

constexpr core::TimePoint kNow{seconds(1000)};
constexpr core::TimePoint kLater = kNow + seconds(10);
constexpr core::RequestKey kKey{1, 2};

}  // namespace

// Guards against an answer that is delivered twice and so creates retries.
TEST_CASE("a share returns once and never more than it held") {
  RetryLedger ledger;
  REQUIRE(ledger.open(kKey, 8, kLater, kNow));
  const Share first = ledger.split(kKey, kNow);
  const Share second = ledger.split(kKey, kNow);
  CHECK(first.amount == 4);
  CHECK(second.amount == 2);
  CHECK(ledger.left(kKey, kNow) == 2);
  ledger.give_back(kKey, first.id, 100, kNow);
  ledger.give_back(kKey, first.id, 4, kNow);
  CHECK(ledger.left(kKey, kNow) == 6);
  ledger.give_back(kKey, second.id, -3, kNow);
  ledger.give_back(kKey, 77, 3, kNow);
  CHECK(ledger.left(kKey, kNow) == 6);
}

// Guards against a second delivery of an attempt that renews its allowance.
TEST_CASE("a key opens once until it expires") {
  RetryLedger ledger;
  REQUIRE(ledger.open(kKey, 3, kLater, kNow));
  CHECK(ledger.spend(kKey, kNow));
  CHECK_FALSE(ledger.open(kKey, 3, kLater, kNow));
  CHECK(ledger.close(kKey, kNow) == 2);
  CHECK(ledger.close(kKey, kNow) == 0);
  CHECK_FALSE(ledger.open(kKey, 3, kLater, kNow));
  CHECK_FALSE(ledger.spend(kKey, kNow));
  CHECK(ledger.open(kKey, 3, kLater + seconds(10), kLater));
}

// Guards against retries of a call that ended, is unknown, or whose time is over.
TEST_CASE("unknown and expired keys have no retries") {
  RetryLedger ledger;
  CHECK_FALSE(ledger.spend(kKey, kNow));
  CHECK(ledger.split(kKey, kNow) == Share{});
  REQUIRE(ledger.open(kKey, 3, kLater, kNow));
  CHECK_FALSE(ledger.spend(kKey, kLater));
  // A thread that read the clock before it was paused passes an old time.
  CHECK_FALSE(ledger.spend(kKey, kNow));
  CHECK(ledger.split(kKey, kNow) == Share{});
}

// Guards against a ledger that grows without bound, or that forgets a live entry to make room.
TEST_CASE("a full ledger refuses new entries and makes room as entries expire") {
  RetryLedger ledger({.capacity = DAMASKTHREAD_SHARD_COUNT});
  constexpr std::uint64_t kTries = 200;
  std::size_t opened = 0;
  for (std::uint64_t i = 0; i < kTries; ++i) opened += ledger.open({i, i * 7}, 2, kLater, kNow) ? 1 : 0;
  CHECK(opened < kTries);
  CHECK(ledger.size() == opened);
  CHECK(ledger.size() <= DAMASKTHREAD_SHARD_COUNT);
  CHECK(ledger.open({0, 0}, 2, kLater + seconds(1), kLater));
}

}  // namespace damaskthread::retry
