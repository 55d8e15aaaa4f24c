#include <algorithm>
#include <charconv>
#include <memory>
#include <thread>
#include <utility>

#include "load.h"
#include "support/content_pattern.h"
#include "support/http_caller.h"

namespace damaskthread::standin {
namespace {

using support::Exchange;
using support::HttpAnswer;
using support::HttpCall;
using support::HttpCaller;

/// What one attempt tells.
struct Attempt {
  Outcome outcome = Outcome::kMayHaveRun;
  bool not_run = false;
  bool retryable = false;
};

/// One thread of the caller.
class Caller {
 public:
  explicit Caller(const Plan& plan) : plan_(plan) {
    for (const settings::Endpoint& daemon : plan.daemons) {
      connections_.push_back(std::make_unique<HttpCaller>(daemon.host, daemon.port));
    }
  }

  void run(Schedule& schedule, Results& results) {
    while (const auto arrival = schedule.next()) {
      const std::string key = plan_.prefix + std::to_string(arrival->number);
      std::this_thread::sleep_until(arrival->time);
      results.add(*arrival, key, send(*arrival, key));
    }
  }

 private:
  Ended send(const Arrival& arrival, const std::string& key) {
    Ended ended;
    // The time runs from the arrival, not from the moment a thread was free.
    const auto give_up = arrival.time + plan_.timeout;
    if (Clock::now() >= give_up) return ended;
    HttpCall call;
    call.method = arrival.kind->method;
    call.target = arrival.kind->path + (arrival.kind->path.find('?') == std::string::npos ? "?op=" : "&op=") + key;
    if (plan_.bytes > 0) call.target += "&bytes=" + std::to_string(plan_.bytes);
    std::string token;
    std::string request_id;
    bool token_asked = false;
    std::size_t daemon = arrival.number % connections_.size();
    for (int repeats = 0;;) {
      const auto left = std::chrono::ceil<std::chrono::milliseconds>(give_up - Clock::now());
      if (left.count() <= 0) break;
      call.timeout = left;
      call.headers = {{"Damask-Service", plan_.service},
                      {"Damask-Importance", std::string(core::to_string(arrival.kind->importance))}};
      if (plan_.deadline.count() > 0) {
        call.headers.emplace_back("Damask-Deadline-Ms", std::to_string(std::min(left, plan_.deadline).count()));
      }
      if (!token.empty()) call.headers.emplace_back("Damask-Token", token);
      if (!request_id.empty()) call.headers.emplace_back("Damask-Request-Id", request_id);
      HttpAnswer answer = connections_[daemon]->call(call);
      if (answer.exchange == Exchange::kNotSent) {
        ended.outcome = ended.all_not_run ? Outcome::kRefused : Outcome::kMayHaveRun;
        if (++ended.failovers >= static_cast<int>(2 * connections_.size())) break;
        daemon = (daemon + 1) % connections_.size();
        continue;
      }
      // The answer 428 is a step of the protocol and no attempt; it is taken once.
      if (answer.exchange == Exchange::kWhole && answer.status == 428 && !token_asked &&
          !answer.header("Damask-Token").empty()) {
        token = answer.header("Damask-Token");
        request_id = answer.header("Damask-Request-Id");
        token_asked = true;
        ended.token = true;
        ended.outcome = Outcome::kRefused;
        continue;
      }
      ++ended.attempts;
      ended.cut += answer.exchange == Exchange::kPartial ? 1 : 0;
      const Attempt attempt = judge(answer, key);
      ended.all_not_run = ended.all_not_run && attempt.not_run;
      ended.outcome = attempt.outcome;
      // A later "not run" does not undo an earlier attempt that may have run.
      if (attempt.outcome == Outcome::kRefused && !ended.all_not_run) ended.outcome = Outcome::kMayHaveRun;
      ended.latency = Clock::now() - arrival.time;
      if (ended.outcome == Outcome::kGood && ended.latency > plan_.good_within) ended.outcome = Outcome::kLate;
      if (!attempt.retryable || repeats++ >= plan_.retries) break;
      if (!pause(answer, give_up)) break;
      if (plan_.keep_id && !answer.header("Damask-Request-Id").empty()) request_id = answer.header("Damask-Request-Id");
      daemon = (daemon + 1) % connections_.size();
    }
    return ended;
  }

  // Whether the next attempt may still be made after the pause.
  bool pause(const HttpAnswer& answer, Clock::time_point give_up) const {
    auto delay = plan_.retry_delay;
    if (plan_.polite) {
      const std::string_view text = answer.header("Retry-After");
      int seconds = 0;
      const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), seconds);
      if (failure != std::errc{} || seconds < 0) return false;
      delay = std::max(delay, std::chrono::milliseconds(std::chrono::seconds(seconds)));
    }
    if (Clock::now() + delay >= give_up) return false;
    std::this_thread::sleep_for(delay);
    return true;
  }

  [[nodiscard]] Attempt judge(const HttpAnswer& answer, const std::string& key) const {
    switch (answer.exchange) {
      case Exchange::kMalformed:
        return {Outcome::kWrong, false, false};
      case Exchange::kNoAnswer:
      case Exchange::kPartial:
        return {Outcome::kMayHaveRun, false, true};
      case Exchange::kTimedOut:
        return {Outcome::kMayHaveRun, false, false};
      default:
        break;
    }
    if (answer.status == 200) return {judge_content(answer, key), false, false};
    const std::string_view verdict = answer.header("Damask-Verdict");
    if (verdict == "not-run") return {Outcome::kRefused, true, true};
    if (verdict == "ran") return {Outcome::kFailed, false, answer.status >= 500};
    return {Outcome::kMayHaveRun, false, true};
  }

  [[nodiscard]] Outcome judge_content(const HttpAnswer& answer, const std::string& key) const {
    if (plan_.bytes == 0) {
      const bool own = answer.body.find("\"key\":\"" + key + "\"") != std::string::npos;
      if (own && answer.body.back() == '\n') return Outcome::kGood;
      return own || answer.body.empty() ? Outcome::kPartial : Outcome::kWrong;
    }
    if (!support::is_content_prefix(key, answer.body) || answer.body.size() > plan_.bytes) return Outcome::kWrong;
    return answer.body.size() == plan_.bytes ? Outcome::kGood : Outcome::kPartial;
  }

  const Plan& plan_;
  std::vector<std::unique_ptr<HttpCaller>> connections_;
};

}  // namespace

void run_load(const Plan& plan, Schedule& schedule, Results& results) {
  std::vector<std::jthread> threads;
  threads.reserve(static_cast<std::size_t>(plan.threads));
  for (int i = 0; i < plan.threads; ++i) {
    threads.emplace_back([&plan, &schedule, &results] { Caller(plan).run(schedule, results); });
  }
}

}  // namespace damaskthread::standin
