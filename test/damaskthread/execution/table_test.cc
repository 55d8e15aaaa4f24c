#include "damaskthread/execution/table.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>
#include <vector>

#include "damaskthread/execution/outbound_token_table.h"

namespace damaskthread::execution {
namespace {

using core::Cause;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr core::MacKey kKey{4, 5, 6};
constexpr core::TimePoint kNow{seconds(1000)};
constexpr std::uint64_t kFingerprint = 42;
constexpr core::Verdict kRan{core::Execution::kRan, Cause::kNone, core::Duration{0}};

ExecutionTable make_table(ExecutionTableOptions options = {}) { return {{1}, {2}, kKey, options}; }

}  // namespace

// Guards against running a payment again after its answer was lost.
TEST_CASE("a repeat gets the stored answer") {
  ExecutionTable table = make_table();
  const ExecutionToken token = *table.issue(kFingerprint, kNow);
  const BeginResult first = table.begin(token, kFingerprint, kNow);
  REQUIRE(first.status == BeginStatus::kRun);
  const BeginResult concurrent = table.begin(token, kFingerprint, kNow);
  CHECK(concurrent.status == BeginStatus::kInProgress);
  CHECK(concurrent.verdict == core::may_have_run(Cause::kDuplicate));
  table.finish(token, first.run, StoredAnswer{.status = 201, .headers = {}, .body = "booked"}, kRan, kNow);
  const BeginResult repeat = table.begin(token, kFingerprint, kNow + minutes(4));
  CHECK(repeat.status == BeginStatus::kFinished);
  CHECK(repeat.verdict == kRan);
  REQUIRE(repeat.answer != nullptr);
  CHECK(repeat.answer->body == "booked");
}

// Guards against a token accepted by another daemon or incarnation than its issuer, or for another request.
TEST_CASE("a token is valid only for its request and its issuer") {
  ExecutionTable table = make_table();
  const ExecutionToken token = *table.issue(kFingerprint, kNow);
  ExecutionTable restarted({1}, {3}, kKey);
  ExecutionTable other_daemon({9}, {2}, kKey);
  CHECK(restarted.begin(token, kFingerprint, kNow).status == BeginStatus::kOtherIssuer);
  CHECK(restarted.begin(token, kFingerprint, kNow).verdict == core::may_have_run(Cause::kServerGone));
  CHECK(other_daemon.begin(token, kFingerprint, kNow).status == BeginStatus::kOtherIssuer);
  CHECK(table.begin(token, kFingerprint + 1, kNow).status == BeginStatus::kOtherRequest);
  ExecutionToken tampered = token;
  tampered.expiry += minutes(10);
  CHECK(table.begin(tampered, kFingerprint, kNow).status == BeginStatus::kInvalidMac);
  CHECK(table.begin(token, kFingerprint, kNow).status == BeginStatus::kRun);
}

// Guards against a second run after the token expired, also by a thread that was paused after reading the clock.
TEST_CASE("an expired token never runs") {
  ExecutionTable table = make_table();
  const ExecutionToken token = *table.issue(kFingerprint, kNow);
  const BeginResult run = table.begin(token, kFingerprint, kNow);
  REQUIRE(run.status == BeginStatus::kRun);
  table.finish(token, run.run, std::nullopt, kRan, kNow);
  CHECK(table.begin(token, kFingerprint, token.expiry).status == BeginStatus::kExpired);
  CHECK(table.size() == 0);
  const BeginResult stale = table.begin(token, kFingerprint, kNow);
  CHECK(stale.status == BeginStatus::kExpired);
  CHECK(stale.verdict == core::may_have_run(Cause::kTokenExpired));
}

// Guards against a late `finish` of a refused run that releases the token of a later run.
TEST_CASE("a refused run releases its token, but not that of a later run") {
  ExecutionTable table = make_table();
  const ExecutionToken token = *table.issue(kFingerprint, kNow);
  const BeginResult first = table.begin(token, kFingerprint, kNow);
  table.finish(token, first.run, std::nullopt, core::not_run(Cause::kOverload), kNow);
  CHECK(table.size() == 0);
  const BeginResult second = table.begin(token, kFingerprint, kNow);
  REQUIRE(second.status == BeginStatus::kRun);
  table.finish(token, first.run, std::nullopt, core::not_run(Cause::kOverload), kNow);
  CHECK(table.begin(token, kFingerprint, kNow).status == BeginStatus::kInProgress);
  table.finish(token, second.run, std::nullopt, kRan, kNow);
  CHECK(table.begin(token, kFingerprint, token.expiry - seconds(1)).status == BeginStatus::kFinished);
}

// Guards against a full table that evicts a used token.
TEST_CASE("a full table refuses to issue tokens and to run requests, and keeps its entries") {
  ExecutionTable table = make_table({.capacity = DAMASKTHREAD_SHARD_COUNT});
  std::vector<ExecutionToken> tokens;
  tokens.reserve(std::size_t{2} * DAMASKTHREAD_SHARD_COUNT);
  for (int i = 0; i < 2 * DAMASKTHREAD_SHARD_COUNT; ++i) tokens.push_back(*table.issue(kFingerprint, kNow));
  for (int i = 0; i < DAMASKTHREAD_SHARD_COUNT; ++i)
    REQUIRE(table.begin(tokens[i], kFingerprint, kNow).status == BeginStatus::kRun);
  CHECK_FALSE(table.issue(kFingerprint, kNow).has_value());
  const BeginResult refused = table.begin(tokens.back(), kFingerprint, kNow);
  CHECK(refused.status == BeginStatus::kFull);
  CHECK(refused.verdict == core::not_run(Cause::kOverload));
  for (int i = 0; i < DAMASKTHREAD_SHARD_COUNT; ++i) {
    CHECK(table.begin(tokens[i], kFingerprint, kNow).status == BeginStatus::kInProgress);
  }
  CHECK(table.issue(kFingerprint, kNow + minutes(6)).has_value());
}

// Guards against unbounded growth of stored answers, and against tokens forgotten together with their answers.
TEST_CASE("answers over the budget are dropped and their tokens stay used") {
  ExecutionTable table = make_table({.answer_budget_bytes = 100'000});
  const auto run = [&table](std::size_t bytes) {
    const ExecutionToken token = *table.issue(kFingerprint, kNow);
    const BeginResult begun = table.begin(token, kFingerprint, kNow);
    table.finish(token, begun.run, StoredAnswer{.status = 200, .headers = {}, .body = std::string(bytes, 'x')}, kRan,
                 kNow);
    return table.begin(token, kFingerprint, kNow);
  };
  CHECK(run(60'000).answer != nullptr);
  const BeginResult over_budget = run(60'000);
  CHECK(over_budget.status == BeginStatus::kFinished);
  CHECK(over_budget.verdict == kRan);
  CHECK(over_budget.answer == nullptr);
  CHECK(run(std::size_t{64} * 1024).answer == nullptr);
  CHECK(run(30'000).answer != nullptr);
  CHECK(table.answer_bytes() <= 100'000);
  CHECK(table.dropped_answers() == 2);
  (void)table.issue(kFingerprint, kNow + minutes(6));
  for (int i = 0; i < DAMASKTHREAD_SHARD_COUNT; ++i) (void)table.issue(kFingerprint, kNow + minutes(6));
  CHECK(table.answer_bytes() == 0);
}

// Guards against two threads that both run a request; to be run under ThreadSanitizer.
TEST_CASE("only one of several threads runs a request") {
  ExecutionTable table = make_table();
  for (int round = 0; round < 200; ++round) {
    const ExecutionToken token = *table.issue(kFingerprint, kNow);
    std::atomic<int> runs{0};
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int t = 0; t < 4; ++t) {
      threads.emplace_back([&] {
        const BeginResult result = table.begin(token, kFingerprint, kNow);
        if (result.status != BeginStatus::kRun) return;
        runs.fetch_add(1);
        table.finish(token, result.run, std::nullopt, kRan, kNow);
      });
    }
    for (std::thread& thread : threads) thread.join();
    CHECK(runs.load() == 1);
  }
}

// Guards against an outbound call that is repeated by its server and thereby runs at two servers.
TEST_CASE("an outbound call keeps its first token") {
  OutboundTokenTable tokens(DAMASKTHREAD_SHARD_COUNT);
  constexpr core::RequestKey kRoot{1, 2};
  const core::TimePoint keep_until = kNow + minutes(5);
  const OutboundTokenLookup first = tokens.find_or_reserve(kRoot, 7, keep_until, kNow);
  REQUIRE(first.state == OutboundTokenState::kReserved);
  CHECK(tokens.find_or_reserve(kRoot, 7, keep_until, kNow).state == OutboundTokenState::kPending);
  tokens.abandon(kRoot, 7, first.reservation);
  const OutboundTokenLookup second = tokens.find_or_reserve(kRoot, 7, keep_until, kNow);
  REQUIRE(second.state == OutboundTokenState::kReserved);
  tokens.store(kRoot, 7, first.reservation, ExecutionToken{.sequence = 1});
  CHECK(tokens.find_or_reserve(kRoot, 7, keep_until, kNow).state == OutboundTokenState::kPending);
  tokens.store(kRoot, 7, second.reservation, ExecutionToken{.sequence = 2});
  tokens.abandon(kRoot, 7, second.reservation);
  const OutboundTokenLookup found = tokens.find_or_reserve(kRoot, 7, keep_until, keep_until - seconds(1));
  REQUIRE(found.state == OutboundTokenState::kFound);
  CHECK(found.token->sequence == 2);
  CHECK(tokens.find_or_reserve(kRoot, 8, keep_until, kNow).state == OutboundTokenState::kFull);
  CHECK(tokens.find_or_reserve(kRoot, 8, keep_until + minutes(5), keep_until).state == OutboundTokenState::kReserved);
}

}  // namespace damaskthread::execution
