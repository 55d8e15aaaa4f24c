#include "damaskthread/retry/ledger.h"

#include <doctest/doctest.h>

namespace damaskthread::retry {
namespace {

using std::chrono::seconds;

constexpr core::TimePoint kNow{seconds(1000)};
constexpr core::TimePoint kLater = kNow + seconds(10);
constexpr core::RequestKey kKey{1, 2};

}  // namespace

// Guards against a duplicate answer that creates additional retries.
TEST_CASE("a share is returned once and never exceeds its amount") {
  RetryLedger ledger;
  REQUIRE(ledger.open(kKey, 8, kLater, kNow));
  const AllowanceShare first = ledger.split(kKey, kNow);
  const AllowanceShare second = ledger.split(kKey, kNow);
  CHECK(first.amount == 4);
  CHECK(second.amount == 2);
  CHECK(ledger.remaining(kKey, kNow) == 2);
  ledger.return_share(kKey, first.id, 100, kNow);
  ledger.return_share(kKey, first.id, 4, kNow);
  CHECK(ledger.remaining(kKey, kNow) == 6);
  ledger.return_share(kKey, second.id, -3, kNow);
  ledger.return_share(kKey, 77, 3, kNow);
  CHECK(ledger.remaining(kKey, kNow) == 6);
}

// Guards against a duplicate delivery of an attempt that renews its allowance.
TEST_CASE("a key can be opened only once until it expires") {
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

// Guards against retries of a call that has ended, is unknown or has expired.
TEST_CASE("unknown and expired keys have no retries") {
  RetryLedger ledger;
  CHECK_FALSE(ledger.spend(kKey, kNow));
  CHECK(ledger.split(kKey, kNow) == AllowanceShare{});
  REQUIRE(ledger.open(kKey, 3, kLater, kNow));
  CHECK_FALSE(ledger.spend(kKey, kLater));
  // A thread paused after reading the clock passes an outdated time.
  CHECK_FALSE(ledger.spend(kKey, kNow));
  CHECK(ledger.split(kKey, kNow) == AllowanceShare{});
}

// Guards against unbounded growth of the ledger and against eviction of a live entry.
TEST_CASE("a full ledger refuses new entries until old ones expire") {
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
