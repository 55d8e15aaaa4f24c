#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <boost/leaf/handle_errors.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "damaskthread/core/error.h"
#include "damaskthread/slo/burn_tracker.h"
#include "damaskthread/slo/report.h"

namespace damaskthread::slo {
namespace {

namespace leaf = boost::leaf;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr core::TimePoint kStart{hours{1000}};

Objective objective(std::string service, core::Importance importance = core::Importance::kNormal) {
  return {.service = std::move(service), .importance = importance, .target = 0.99, .latency = milliseconds{100}};
}

struct Event {
  std::size_t service;
  Result result;
  core::Duration latency;
  core::TimePoint time;
};

std::vector<Event> arbitrary_events() {
  const auto raw = *rc::gen::arbitrary<std::vector<std::array<std::uint16_t, 4>>>();
  std::vector<Event> events;
  events.reserve(raw.size());
  for (const auto& [service, result, latency, time] : raw) {
    events.push_back({service % 2U, static_cast<Result>(result % 5), milliseconds{latency % 200},
                      kStart + seconds{std::int64_t{time} * 2}});
  }
  std::stable_sort(events.begin(), events.end(), [](const Event& a, const Event& b) { return a.time < b.time; });
  return events;
}

constexpr std::array<const char*, 2> kServices = {"booking", "pricing"};

void set_objectives(BurnTracker& tracker) {
  std::vector<Objective> objectives = {objective(kServices[0]), objective(kServices[1])};
  objectives[1].window = hours{7};  // Shorter than the events go back; its buckets are 75 s wide.
  tracker.set_objectives(objectives, kStart);
}

void record(BurnTracker& tracker, const Event& event) {
  tracker.record(kServices[event.service], core::Importance::kNormal, event.result, event.latency, event.time);
}

// What a window holds, counted from the events themselves: the buckets of `width` up to and with the one of `now`.
Counts expected(const std::vector<Event>& events, std::size_t service, core::TimePoint now, core::Duration width,
                std::int64_t buckets) {
  Counts counts;
  const auto newest = now.time_since_epoch() / width;
  for (const Event& event : events) {
    const auto bucket = event.time.time_since_epoch() / width;
    if (event.service != service || bucket > newest || bucket <= newest - buckets) continue;
    const bool late =
        event.result == Result::kLate || (event.result == Result::kWhole && event.latency > milliseconds{100});
    counts.good += event.result == Result::kWhole && !late ? 1 : 0;
    counts.late += late ? 1 : 0;
    counts.refused += event.result == Result::kRefused ? 1 : 0;
    counts.failed += event.result == Result::kFailed ? 1 : 0;
    counts.held += event.result == Result::kHeld ? 1 : 0;
  }
  return counts;
}

std::optional<BurnSnapshot> parsed(std::string_view text) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<BurnSnapshot>> {
        BOOST_LEAF_AUTO(snapshot, parse_report(text));
        return std::optional(std::move(snapshot));
      },
      [](const core::Error&) { return std::optional<BurnSnapshot>(); }, [] { return std::optional<BurnSnapshot>(); });
}

}  // namespace

// Guards against counts that land in the wrong window, service or cause, or stay after their window has passed.
TEST_CASE("windows hold exactly the calls of their time") {
  CHECK(rc::check([] {
    const std::vector<Event> events = arbitrary_events();
    BurnTracker tracker;
    set_objectives(tracker);
    for (const Event& event : events) record(tracker, event);
    const auto last = events.empty() ? kStart : events.back().time;
    const auto now = last + seconds{*rc::gen::inRange(0, 30'000)};
    const BurnSnapshot snapshot = tracker.snapshot({"d", {1}, {}}, now);
    RC_ASSERT(snapshot.objectives.size() == kServices.size());
    for (std::size_t i = 0; i < kServices.size(); ++i) {
      const ObjectiveBurn& burn = snapshot.objectives[i];
      RC_ASSERT(burn.objective.service == kServices[i]);
      RC_ASSERT(burn.windows[kFiveMinutes] == expected(events, i, now, seconds{10}, 30));
      RC_ASSERT(burn.windows[kOneHour] == expected(events, i, now, minutes{1}, 60));
      RC_ASSERT(burn.windows[kSixHours] == expected(events, i, now, minutes{1}, 360));
      RC_ASSERT(burn.windows[kWholeWindow] == expected(events, i, now, i == 0 ? seconds{7200} : seconds{75}, 336));
      Counts series;
      for (const Counts& counts : burn.series) series += counts;
      RC_ASSERT(series == burn.windows[kSixHours]);
    }
  }));
}

// Guards against calls counted twice or lost when the reports of several daemons become one.
TEST_CASE("merged reports equal the report of one daemon that saw everything") {
  CHECK(rc::check([] {
    const std::vector<Event> events = arbitrary_events();
    BurnTracker whole;
    std::array<BurnTracker, 3> parts;
    set_objectives(whole);
    for (BurnTracker& part : parts) set_objectives(part);
    for (std::size_t i = 0; i < events.size(); ++i) {
      record(whole, events[i]);
      record(parts[i % parts.size()], events[i]);
    }
    const auto now = events.empty() ? kStart : events.back().time;
    std::vector<BurnSnapshot> snapshots;
    for (std::size_t i = 0; i < parts.size(); ++i) {
      snapshots.push_back(parts[i].snapshot({"d" + std::to_string(i), {i}, core::WallTime{milliseconds{i}}}, now));
    }
    const std::vector<std::string> missing = {"d9", "d1"};
    const BurnSnapshot merged = merge(snapshots, missing);
    RC_ASSERT(merged.objectives == whole.snapshot({"d", {1}, {}}, now).objectives);
    RC_ASSERT(merged.sources.size() == parts.size());
    RC_ASSERT(merged.missing == std::vector<std::string>{"d9"});
    // In another order, in two steps, and through JSON.
    const std::vector<BurnSnapshot> pair = {snapshots[2], snapshots[0]};
    const auto first = parsed(report(merge(pair, {})));
    RC_ASSERT(first.has_value());
    const std::vector<BurnSnapshot> rest = {snapshots[1], *first};
    RC_ASSERT(merge(rest, missing) == merged);
  }));
}

// Guards against a daemon counted twice because its report came by two ways.
TEST_CASE("a life of a daemon is counted once, and the later report wins") {
  BurnTracker tracker;
  set_objectives(tracker);
  record(tracker, {0, Result::kFailed, {}, kStart});
  const BurnSnapshot early = tracker.snapshot({"d1", {7}, core::WallTime{seconds{1}}}, kStart);
  record(tracker, {0, Result::kFailed, {}, kStart});
  const BurnSnapshot late = tracker.snapshot({"d1", {7}, core::WallTime{seconds{2}}}, kStart);
  const BurnSnapshot restarted = tracker.snapshot({"d1", {8}, core::WallTime{seconds{2}}}, kStart);
  BurnSnapshot both = early;
  both.sources.push_back({"d2", {1}, core::WallTime{seconds{1}}});
  const std::vector<BurnSnapshot> twice = {early, late};
  CHECK(merge(twice, {}).objectives[0].windows[kFiveMinutes].failed == 2);
  CHECK(merge(twice, {}).missing.empty());
  const std::vector<BurnSnapshot> lives = {late, restarted};
  CHECK(merge(lives, {}).objectives[0].windows[kFiveMinutes].failed == 4);
  const std::vector<BurnSnapshot> overlapping = {both, late};
  CHECK(merge(overlapping, {}).objectives[0].windows[kFiveMinutes].failed == 2);
  CHECK(merge(overlapping, {}).missing == std::vector<std::string>{"d2"});
}

// Guards against a wrong formula: these figures are computed by hand.
TEST_CASE("burn rate, budget and alerts") {
  CHECK(burn_rate({}, 0.999) == 0);
  CHECK(burn_rate({.good = 90, .late = 10}, 0.99) == doctest::Approx(10));
  ObjectiveBurn burn;
  burn.objective = objective("booking");
  burn.objective.window = std::chrono::days{30};
  CHECK(page_rate(burn.objective) == doctest::Approx(14.4));
  CHECK(ticket_rate(burn.objective) == doctest::Approx(6));
  burn.windows[kWholeWindow] = {.good = 9975, .refused = 25};
  CHECK(budget_left(burn) == doctest::Approx(0.75));
  CHECK(alert_of(burn) == Alert::kNone);
  burn.windows[kOneHour] = {.good = 85, .failed = 15};
  CHECK(alert_of(burn) == Alert::kNone);  // Not burning in the last 5 minutes, and not for 6 hours.
  burn.windows[kSixHours] = {.good = 93, .held = 7};
  CHECK(alert_of(burn) == Alert::kTicket);
  burn.windows[kFiveMinutes] = {.good = 85, .failed = 15};
  CHECK(alert_of(burn) == Alert::kPage);
}

// Guards against errors of the caller that use up the budget, and faults of the service that do not.
TEST_CASE("verdicts are counted by whose fault they are") {
  using core::Cause;
  using core::Execution;
  CHECK(classify({Execution::kRan, Cause::kNone, {}}) == Result::kWhole);
  CHECK(classify(core::not_run(Cause::kOverload)) == Result::kRefused);
  CHECK(classify(core::not_run(Cause::kFullEverywhere)) == Result::kRefused);
  CHECK(classify(core::not_run(Cause::kQuarantined)) == Result::kHeld);
  CHECK(classify(core::not_run(Cause::kDeadline)) == Result::kLate);
  CHECK(classify(core::may_have_run(Cause::kConnection)) == Result::kFailed);
  CHECK(classify(core::may_have_run(Cause::kIncomplete)) == Result::kFailed);
  for (const Cause cause : {Cause::kCancelled, Cause::kBadRequest, Cause::kUnauthorized, Cause::kTokenRequired}) {
    CHECK_FALSE(classify(core::not_run(cause)).has_value());
  }
}

// Guards against counts lost at a change of configuration, and against a target change that hides a burn.
TEST_CASE("counts survive new objectives and new targets") {
  BurnTracker tracker;
  set_objectives(tracker);
  record(tracker, {0, Result::kFailed, {}, kStart});
  std::vector<Objective> changed = {objective(kServices[0]), objective("new")};
  changed[0].target = 0.5;
  tracker.set_objectives(changed, kStart + minutes{1});
  const BurnSnapshot snapshot = tracker.snapshot({"d", {1}, {}}, kStart + minutes{2});
  REQUIRE(snapshot.objectives.size() == 2);
  CHECK(snapshot.objectives[0].windows[kFiveMinutes].failed == 1);
  CHECK(snapshot.objectives[0].objective.target == 0.5);
  CHECK(snapshot.objectives[0].covered == minutes{2});
  CHECK(snapshot.objectives[1].covered == minutes{1});
}

// Guards against unbounded memory, and against a bound that hides objectives without a word.
TEST_CASE("objectives over the bound are reported") {
  BurnTracker tracker(3);
  std::vector<Objective> many;
  many.reserve(10);
  for (int i = 0; i < 10; ++i) many.push_back(objective("s" + std::to_string(i)));
  tracker.set_objectives(many, kStart);
  const BurnSnapshot snapshot = tracker.snapshot({"d", {1}, {}}, kStart);
  CHECK(snapshot.objectives.size() == 3);
  CHECK(snapshot.untracked == 7);
  CHECK(report_page(snapshot).find("7 objectives are over the bound") != std::string::npos);
}

// Guards against lost counts when calls end on several threads, while snapshots and changes of objectives go on.
TEST_CASE("threads do not lose counts") {
  BurnTracker tracker;
  set_objectives(tracker);
  {
    std::vector<std::jthread> threads;
    threads.reserve(4);
    for (int i = 0; i < 4; ++i) {
      threads.emplace_back([&tracker, i] {
        for (int j = 0; j < 5'000; ++j) {
          record(tracker, {static_cast<std::size_t>(j % 2), Result::kWhole, {}, kStart + milliseconds{j - 5 * i}});
          if (j % 1000 == 0) set_objectives(tracker);
          if (j % 1000 == 500) (void)tracker.snapshot({"d", {1}, {}}, kStart);
        }
      });
    }
  }
  const BurnSnapshot snapshot = tracker.snapshot({"d", {1}, {}}, kStart + seconds{6});
  CHECK(snapshot.objectives[0].windows[kOneHour].good == 10'000);
  CHECK(snapshot.objectives[1].windows[kFiveMinutes].good == 10'000);
}

// Guards against a damaged report of another daemon that crashes this one or is counted.
TEST_CASE("a damaged report is refused or read, never more") {
  BurnTracker tracker;
  set_objectives(tracker);
  record(tracker, {0, Result::kLate, {}, kStart});
  const std::string text = report(tracker.snapshot({"d", {1}, {}}, kStart));
  REQUIRE(parsed(text).has_value());
  CHECK(rc::check("cut", [&text](std::uint16_t length) { RC_ASSERT(!parsed(text.substr(0, length % text.size()))); }));
  CHECK(rc::check("changed", [&text](std::uint16_t at, char byte) {
    std::string changed = text;
    changed[at % changed.size()] = byte;
    const auto snapshot = parsed(changed);
    if (snapshot) (void)report_page(merge(std::span(&*snapshot, 1), {}));
  }));
  for (const std::string_view bad : {"", "[]", "{}", R"({"format":2})", "null"}) CHECK_FALSE(parsed(bad).has_value());
}

// Guards against a page that needs scripts, hides missing daemons, or lets a name add markup.
TEST_CASE("the page is self-contained and escaped") {
  BurnTracker tracker;
  tracker.set_objectives(std::vector{objective("<script>&\"", core::Importance::kCritical), objective("fine")}, kStart);
  for (int i = 0; i < 100; ++i) {
    tracker.record("<script>&\"", core::Importance::kCritical, Result::kFailed, {}, kStart + seconds{i});
  }
  const std::vector<BurnSnapshot> one = {tracker.snapshot({"d1", {1}, {}}, kStart + seconds{100})};
  const std::vector<std::string> missing = {"d<2>"};
  const std::string page = report_page(merge(one, missing));
  CHECK(page.find("<script") == std::string::npos);
  CHECK(page.find("href=") == std::string::npos);
  CHECK(page.find("&lt;script&gt;&amp;&quot;, critical: 99% whole within 100 ms over 28 d") != std::string::npos);
  CHECK(page.find("Not included: 1</strong>: d&lt;2&gt;") != std::string::npos);
  CHECK(page.find("<polyline") != std::string::npos);
  CHECK(page.find("<tr class=\"page\">") < page.find("<tr class=\"none\">"));
  CHECK(page.find("</html>") != std::string::npos);
}

}  // namespace damaskthread::slo
