// Load replay: for several seconds every server of the deepest service refuses part of its requests.

#include <doctest/doctest.h>

#include <array>
#include <random>
#include <vector>

#include "damaskthread/retry/next_step.h"
#include "damaskthread/retry/repeat_budget.h"

namespace damaskthread::retry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::TimePoint kStart{seconds{100}};
constexpr double kRefusalProbability = 0.55;
constexpr int kRequestsPerSecond = 100;
constexpr int kServers = 3;
constexpr int kOrdinary = 2;
// Number of sequential calls made by a run of each service.
constexpr std::array<int, 4> kCalls = {1, 1, 4, 0};

class Replay {
 public:
  /// @param with_reports Whether a run reports that it failed because one of its calls was refused.
  explicit Replay(bool with_reports) : with_reports_(with_reports) {
    const RepeatBudget budget({.ratio = 0.2, .window = seconds{10}, .slack = 50}, kStart);
    for (auto& servers : budgets_) servers.assign(kServers, budget);
  }

  void run() {
    constexpr int kNormalSeconds = 12;
    constexpr int kOverloadSeconds = 9;
    for (int i = 0; i < (kNormalSeconds + kOverloadSeconds) * kRequestsPerSecond; ++i) {
      const core::TimePoint now = kStart + milliseconds{1000 * i / kRequestsPerSecond};
      overloaded_ = i >= kNormalSeconds * kRequestsPerSecond;
      const bool answered = place(0, now, false).served;
      if (!overloaded_) continue;
      ++requested;
      if (answered) ++served;
    }
  }

  int requested = 0;
  int served = 0;
  /// Runs during the overload at services that refuse nothing.
  int upstream_runs = 0;
  /// Calls during the overload that were refused before they reached a server.
  int refused_before_send = 0;

 private:
  struct CallOutcome {
    bool served = false;
    bool capacity_refusal = false;
  };

  CallOutcome place(std::size_t service, core::TimePoint now, bool inherited) {
    PlacementOutcome placement;
    placement.idempotent = true;
    placement.max_servers = 2;
    placement.other_server_available = true;
    placement.time_left = seconds{1};
    for (;;) {
      const bool repeat = inherited || placement.sends > 0;
      RepeatBudget& budget = budgets_[service][random_() % kServers];
      if (repeat && !budget.allow(now, kServers, {.priority = kOrdinary})) {
        if (overloaded_ && placement.sends == 0) ++refused_before_send;
        return {false, true};
      }
      if (!repeat) budget.on_first_attempt(now);
      ++placement.sends;
      if (kCalls[service] == 0) {
        if (!overloaded_ || std::uniform_real_distribution<double>(0, 1)(random_) >= kRefusalProbability)
          return {true, false};
        placement.verdict = core::not_run(core::Cause::kOverload);
        if (next_step(placement) != NextStep::kPlaceAgain) return {false, true};
        continue;
      }
      if (overloaded_) ++upstream_runs;
      const CallOutcome calls = make_calls(service, now, repeat);
      if (calls.served) return calls;
      placement.answered = true;
      placement.status = 500;
      placement.call_refused = with_reports_ && calls.capacity_refusal;
      if (next_step(placement) != NextStep::kPlaceAgain) return calls;
    }
  }

  CallOutcome make_calls(std::size_t service, core::TimePoint now, bool repeat) {
    for (int i = 0; i < kCalls[service]; ++i) {
      const CallOutcome outcome = place(service + 1, now, repeat);
      if (!outcome.served) return outcome;
    }
    return {true, false};
  }

  bool with_reports_;
  bool overloaded_ = false;
  core::Random random_{20261204};
  std::array<std::vector<RepeatBudget>, kCalls.size()> budgets_;
};

}  // namespace

TEST_CASE("runs that failed for lack of downstream capacity are not repeated, without reducing the requests served") {
  Replay with_reports(true);
  with_reports.run();
  Replay without_reports(false);
  without_reports.run();
  MESSAGE("served of ", with_reports.requested, ", with refusal reports: ", with_reports.served,
          "; without: ", without_reports.served);
  MESSAGE("upstream runs, with refusal reports: ", with_reports.upstream_runs,
          ", without: ", without_reports.upstream_runs);
  MESSAGE("calls refused before send, with refusal reports: ", with_reports.refused_before_send,
          ", without: ", without_reports.refused_before_send);
  CHECK(with_reports.served >= 0.9 * without_reports.served);
  // With refusal reports, upstream services run once per request, and no call is refused before it is sent.
  CHECK(with_reports.upstream_runs == 3 * with_reports.requested);
  CHECK(without_reports.upstream_runs > 3 * without_reports.requested);
  CHECK(with_reports.refused_before_send == 0);
  CHECK(without_reports.refused_before_send > 0);
}

}  // namespace damaskthread::retry
