#include "damaskthread/quota/lease.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace damaskthread::quota {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The record on the store. A write is carried out only if it names the end.
struct Record {
  std::optional<std::string> holder;
  std::uint64_t end = 0;

  bool write(const std::string& self, std::uint64_t at) {
    if (at != end) return false;
    holder = self;
    ++end;
    return true;
  }
};

// A daemon whose calls may take seconds, get lost on either way, and which may be suspended.
class Daemon {
 public:
  explicit Daemon(int index) : lease(std::to_string(index)) { lease.set_wanted(true); }

  void step(Record& record, core::TimePoint now, core::Random& random) {
    if (now < suspended_until_) return;
    const auto chance = [&random](double p) { return std::bernoulli_distribution(p)(random); };
    if (chance(0.0005)) suspended_until_ = now + milliseconds(std::uniform_int_distribution<int>(100, 40'000)(random));
    if (call_ != Lease::Step::kNone) {
      if (!executed_ && now >= execute_at_) execute(record, lost_request_);
      if (now < answer_at_) return;
      const Lease::Step ended = std::exchange(call_, Lease::Step::kNone);
      const bool failed = !answered_ || (ended == Lease::Step::kWrite && !accepted_);
      if (failed) {
        lease.on_failed(now);
      } else if (ended == Lease::Step::kRead) {
        lease.on_read(seen_.holder, seen_.end, now);
      } else {
        lease.on_written();
      }
    }
    call_ = lease.next_step(now);
    if (call_ == Lease::Step::kNone) return;
    lease.on_started(now);
    executed_ = answered_ = accepted_ = false;
    lost_request_ = chance(0.1);
    lost_answer_ = chance(0.2);
    write_at_ = lease.end();
    execute_at_ = now + milliseconds(std::uniform_int_distribution<int>(0, 1200)(random));
    answer_at_ = execute_at_ + milliseconds(std::uniform_int_distribution<int>(0, 1200)(random));
  }

  Lease lease;

 private:
  void execute(Record& record, bool lost) {
    executed_ = true;
    if (lost) return;
    answered_ = !lost_answer_;
    if (call_ == Lease::Step::kRead) {
      seen_ = record;
    } else {
      accepted_ = record.write(lease.self(), write_at_);
    }
  }

  Lease::Step call_ = Lease::Step::kNone;
  core::TimePoint suspended_until_;
  core::TimePoint execute_at_;
  core::TimePoint answer_at_;
  std::uint64_t write_at_ = 0;
  Record seen_;
  bool lost_request_ = false;
  bool lost_answer_ = false;
  bool executed_ = false;
  bool answered_ = false;
  bool accepted_ = false;
};

}  // namespace

// Two holders at once would each count the other's daemons as gone and grant the whole quota.
TEST_CASE("at most one daemon holds the lease while calls are lost and daemons are suspended") {
  for (unsigned seed = 1; seed <= 40; ++seed) {
    core::Random random(seed);
    Record record;
    std::vector<Daemon> daemons;
    daemons.reserve(4);
    for (int i = 0; i < 4; ++i) daemons.emplace_back(i);
    core::TimePoint now{seconds(100)};
    int held_steps = 0;
    for (const core::TimePoint end = now + std::chrono::minutes(10); now < end; now += milliseconds(50)) {
      for (Daemon& daemon : daemons) daemon.step(record, now, random);
      const auto holders =
          std::count_if(daemons.begin(), daemons.end(), [now](const Daemon& d) { return d.lease.held(now); });
      REQUIRE_MESSAGE(holders <= 1, seed);
      held_steps += static_cast<int>(holders);
    }
    CHECK_MESSAGE(held_steps > 4000, seed);
  }
}

TEST_CASE("a lease is not taken before its lifetime has passed since it was seen") {
  const LeaseOptions options;
  Lease lease("a");
  lease.set_wanted(true);
  core::TimePoint now{seconds(100)};
  CHECK(lease.next_step(now) == Lease::Step::kRead);
  lease.on_started(now);
  CHECK(lease.next_step(now) == Lease::Step::kNone);
  lease.on_read("b", 7, now);
  const core::TimePoint seen = now;
  for (; now < seen + options.lifetime + options.margin; now += seconds(1)) {
    REQUIRE(lease.next_step(now) != Lease::Step::kWrite);
    if (lease.next_step(now) == Lease::Step::kNone) continue;
    lease.on_started(now);
    lease.on_read("b", 7, now);
  }
  now += options.poll_interval;
  REQUIRE(lease.next_step(now) == Lease::Step::kRead);
  lease.on_started(now);
  lease.on_read("b", 7, now);
  CHECK(lease.next_step(now) == Lease::Step::kWrite);
}

TEST_CASE("a restarted daemon takes over its own lease at once") {
  Lease lease("a");
  lease.set_wanted(true);
  const core::TimePoint now{seconds(100)};
  lease.on_started(now);
  lease.on_read("a", 3, now);
  CHECK(lease.next_step(now) == Lease::Step::kWrite);
  CHECK(lease.end() == 3);
}

// The time of a suspension counts, and so does that of the call.
TEST_CASE("a lease holds from the start of the call that acquired it") {
  const LeaseOptions options;
  Lease lease("a");
  lease.set_wanted(true);
  const core::TimePoint now{seconds(100)};
  lease.on_started(now);
  lease.on_read(std::nullopt, 0, now);
  lease.on_started(now);
  lease.on_written();
  CHECK(lease.held(now + options.lifetime - milliseconds(1)));
  CHECK(!lease.held(now + options.lifetime));
  CHECK(lease.next_step(now) == Lease::Step::kNone);
  CHECK(lease.next_step(now + options.renewal_interval) == Lease::Step::kWrite);
  lease.set_wanted(false);
  CHECK(lease.next_step(now + options.renewal_interval) == Lease::Step::kNone);
}

}  // namespace damaskthread::quota
