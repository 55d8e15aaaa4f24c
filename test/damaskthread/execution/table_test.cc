#include "damaskthread/execution/table.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>
#include <vector>

#include "damaskthread/execution/onward.h"

namespace damaskthread::execution {
namespace {

using core::Cause;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr core::MacKey kKey{4, 5, 6};
constexpr core::TimePoint kNow{seconds(1000)};
constexpr std::uint64_t kRequest = 42;
constexpr core::Verdict kRan{core::Execution::kRan, Cause::kNone, core::Duration{0}};

ExecutionTable make_table(TableOptions options = {}) { return {{1}, {2}, kKey, options}; }

}  // namespace

// Guards against a payment that runs again when its answer was lost.
TEST_CASE("a repeat gets the stored answer") {
  ExecutionTable table = make_table();
  const ExecutionToken token = *table.issue(kRequest, kNow);
  const BeginResult first = table.begin(token, kRequest, kNow);
  REQUIRE(first.begin == Begin::kRun);
  const BeginResult meanwhile = table.begin(token, kRequest, kNow);
  CHECK(meanwhile.begin == Begin::kInProgress);
  CHECK(meanwhile.verdict == core::may_have_run(Cause::kDuplicate));
  table.finish(token, first.run, StoredAnswer{.status = 201, .headers = {}, .body = "booked"}, kRan, kNow);
  const BeginResult repeat = table.begin(token, kRequest, kNow + minutes(4));
  CHECK(repeat.begin == Begin::kFinished);
  CHECK(repeat.verdict == kRan);
  REQUIRE(repeat.answer != nullptr);
  CHECK(repeat.answer->body == "booked");
}

// Guards against a token that runs on a server other than the issuing life, or for another request.
TEST_CASE("a token runs only what and where it was issued for") {
  ExecutionTable table = make_table();
  const ExecutionToken token = *table.issue(kRequest, kNow);
  ExecutionTable next_life({1}, {3}, kKey);
  ExecutionTable other({9}, {2}, kKey);
  CHECK(next_life.begin(token, kRequest, kNow).begin == Begin::kForeign);
  CHECK(next_life.begin(token, kRequest, kNow).verdict == core::may_have_run(Cause::kServerGone));
  CHECK(other.begin(token, kRequest, kNow).begin == Begin::kForeign);
  CHECK(table.begin(token, kRequest + 1, kNow).begin == Begin::kMismatch);
  ExecutionToken forged = token;
  forged.expiry += minutes(10);
  CHECK(table.begin(forged, kRequest, kNow).begin == Begin::kForged);
  CHECK(table.begin(token, kRequest, kNow).begin == Begin::kRun);
}

// Guards against an expired id that runs again, also when the caller read the clock before it was paused.
TEST_CASE("an expired token never runs") {
  ExecutionTable table = make_table();
  const ExecutionToken token = *table.issue(kRequest, kNow);
  const BeginResult run = table.begin(token, kRequest, kNow);
  REQUIRE(run.begin == Begin::kRun);
  table.finish(token, run.run, std::nullopt, kRan, kNow);
  CHECK(table.begin(token, kRequest, token.expiry).begin == Begin::kExpired);
  CHECK(table.size() == 0);
  const BeginResult stale = table.begin(token, kRequest, kNow);
  CHECK(stale.begin == Begin::kExpired);
  CHECK(stale.verdict == core::may_have_run(Cause::kTokenExpired));
}

// Guards against a late end of a refused run that releases the id of a later run.
TEST_CASE("a refused run frees its token, and only its own run") {
  ExecutionTable table = make_table();
  const ExecutionToken token = *table.issue(kRequest, kNow);
  const BeginResult first = table.begin(token, kRequest, kNow);
  table.finish(token, first.run, std::nullopt, core::not_run(Cause::kOverload), kNow);
  CHECK(table.size() == 0);
  const BeginResult second = table.begin(token, kRequest, kNow);
  REQUIRE(second.begin == Begin::kRun);
  table.finish(token, first.run, std::nullopt, core::not_run(Cause::kOverload), kNow);
  CHECK(table.begin(token, kRequest, kNow).begin == Begin::kInProgress);
  table.finish(token, second.run, std::nullopt, kRan, kNow);
  CHECK(table.begin(token, kRequest, token.expiry - seconds(1)).begin == Begin::kFinished);
}

// Guards against a full table that forgets an id to make room.
TEST_CASE("a full table refuses to issue and to run, and keeps what it has") {
  ExecutionTable table = make_table({.capacity = DAMASKTHREAD_SHARD_COUNT});
  std::vector<ExecutionToken> tokens;
  tokens.reserve(std::size_t{2} * DAMASKTHREAD_SHARD_COUNT);
  for (int i = 0; i < 2 * DAMASKTHREAD_SHARD_COUNT; ++i) tokens.push_back(*table.issue(kRequest, kNow));
  for (int i = 0; i < DAMASKTHREAD_SHARD_COUNT; ++i)
    REQUIRE(table.begin(tokens[i], kRequest, kNow).begin == Begin::kRun);
  CHECK_FALSE(table.issue(kRequest, kNow).has_value());
  const BeginResult refused = table.begin(tokens.back(), kRequest, kNow);
  CHECK(refused.begin == Begin::kFull);
  CHECK(refused.verdict == core::not_run(Cause::kOverload));
  for (int i = 0; i < DAMASKTHREAD_SHARD_COUNT; ++i) {
    CHECK(table.begin(tokens[i], kRequest, kNow).begin == Begin::kInProgress);
  }
  CHECK(table.issue(kRequest, kNow + minutes(6)).has_value());
}

// Guards against stored answers that grow without bound, and against ids lost together with their answers.
TEST_CASE("answers over the budget are dropped and their ids kept") {
  ExecutionTable table = make_table({.answer_budget_bytes = 100'000});
  const auto run = [&table](std::size_t bytes) {
    const ExecutionToken token = *table.issue(kRequest, kNow);
    const BeginResult begin = table.begin(token, kRequest, kNow);
    table.finish(token, begin.run, StoredAnswer{.status = 200, .headers = {}, .body = std::string(bytes, 'x')}, kRan,
                 kNow);
    return table.begin(token, kRequest, kNow);
  };
  CHECK(run(60'000).answer != nullptr);
  const BeginResult over_budget = run(60'000);
  CHECK(over_budget.begin == Begin::kFinished);
  CHECK(over_budget.verdict == kRan);
  CHECK(over_budget.answer == nullptr);
  CHECK(run(std::size_t{64} * 1024).answer == nullptr);
  CHECK(run(30'000).answer != nullptr);
  CHECK(table.answer_bytes() <= 100'000);
  CHECK(table.dropped_answers() == 2);
  (void)table.issue(kRequest, kNow + minutes(6));
  for (int i = 0; i < DAMASKTHREAD_SHARD_COUNT; ++i) (void)table.issue(kRequest, kNow + minutes(6));
  CHECK(table.answer_bytes() == 0);
}

// Guards against two threads that both get to run; run under the thread sanitizer.
TEST_CASE("of many threads one runs") {
  ExecutionTable table = make_table();
  for (int round = 0; round < 200; ++round) {
    const ExecutionToken token = *table.issue(kRequest, kNow);
    std::atomic<int> runs{0};
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int t = 0; t < 4; ++t) {
      threads.emplace_back([&] {
        const BeginResult result = table.begin(token, kRequest, kNow);
        if (result.begin != Begin::kRun) return;
        runs.fetch_add(1);
        table.finish(token, result.run, std::nullopt, kRan, kNow);
      });
    }
    for (std::thread& thread : threads) thread.join();
    CHECK(runs.load() == 1);
  }
}

// Guards against a server that repeats an onward call and thereby runs it at two other servers.
TEST_CASE("an onward call keeps its first token") {
  OnwardTokens tokens(DAMASKTHREAD_SHARD_COUNT);
  constexpr core::RequestKey kRoot{1, 2};
  const core::TimePoint keep = kNow + minutes(5);
  const OnwardResult first = tokens.find_or_reserve(kRoot, 7, keep, kNow);
  REQUIRE(first.onward == Onward::kReserved);
  CHECK(tokens.find_or_reserve(kRoot, 7, keep, kNow).onward == Onward::kPending);
  tokens.abandon(kRoot, 7, first.reservation);
  const OnwardResult second = tokens.find_or_reserve(kRoot, 7, keep, kNow);
  REQUIRE(second.onward == Onward::kReserved);
  tokens.store(kRoot, 7, first.reservation, ExecutionToken{.sequence = 1});
  CHECK(tokens.find_or_reserve(kRoot, 7, keep, kNow).onward == Onward::kPending);
  tokens.store(kRoot, 7, second.reservation, ExecutionToken{.sequence = 2});
  tokens.abandon(kRoot, 7, second.reservation);
  const OnwardResult found = tokens.find_or_reserve(kRoot, 7, keep, keep - seconds(1));
  REQUIRE(found.onward == Onward::kFound);
  CHECK(found.token->sequence == 2);
  CHECK(tokens.find_or_reserve(kRoot, 8, keep, kNow).onward == Onward::kFull);
  CHECK(tokens.find_or_reserve(kRoot, 8, keep + minutes(5), keep).onward == Onward::kReserved);
}

}  // namespace damaskthread::execution
