#include "load.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "support/http_caller.h"

namespace damaskthread::standin {
namespace {

constexpr std::chrono::milliseconds kTimelineStep{100};
constexpr std::chrono::seconds kJournalTimeout{30};

std::vector<double> shares(const Plan& plan) {
  std::vector<double> shares;
  shares.reserve(plan.kinds.size());
  for (const Kind& kind : plan.kinds) shares.push_back(kind.share);
  return shares;
}

double quantile(const std::vector<float>& sorted, double share) {
  if (sorted.empty()) return 0;
  const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
  return sorted[std::max<std::size_t>(rank, 1) - 1];
}

}  // namespace

Schedule::Schedule(const Plan& plan, Clock::time_point start) : plan_(plan), start_(start), random_(plan.seed) {
  const std::vector<double> weights = shares(plan);
  kind_ = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
}

std::optional<Arrival> Schedule::next() {
  const std::lock_guard lock(mutex_);
  while (phase_ < plan_.phases.size()) {
    const Phase& phase = plan_.phases[phase_];
    const double gap = phase.rate > 0 ? std::exponential_distribution<double>(phase.rate)(random_) : phase.seconds;
    if (time_ + gap < phase_start_ + phase.seconds) {
      time_ += gap;
      const auto offset = std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(time_));
      return Arrival{number_++, start_ + offset, &plan_.kinds[kind_(random_)]};
    }
    phase_start_ += phase.seconds;
    time_ = phase_start_;
    ++phase_;
  }
  return std::nullopt;
}

Results::Results(const Plan& plan, Clock::time_point start) : plan_(plan), start_(start) {}

void Results::add(const Arrival& arrival, const std::string& key, const Ended& ended) {
  const auto bin = static_cast<std::size_t>(std::max<Clock::duration>(arrival.time - start_, {}) / kTimelineStep);
  const std::lock_guard lock(mutex_);
  ++rows_[static_cast<std::size_t>(arrival.kind->importance)][static_cast<std::size_t>(ended.outcome)];
  if (timeline_.size() <= bin) timeline_.resize(bin + 1);
  ++timeline_[bin][0];
  timeline_[bin][1] += ended.outcome == Outcome::kGood ? 1 : 0;
  if (ended.outcome == Outcome::kGood || ended.outcome == Outcome::kLate) {
    latencies_ms_.push_back(std::chrono::duration<float, std::milli>(ended.latency).count());
  }
  attempts_ += static_cast<std::uint64_t>(ended.attempts);
  retries_ += static_cast<std::uint64_t>(std::max(0, ended.attempts - 1));
  failovers_ += static_cast<std::uint64_t>(ended.failovers);
  cut_ += static_cast<std::uint64_t>(ended.cut);
  max_attempts_ = std::max(max_attempts_, ended.attempts);
  if (ended.outcome == Outcome::kRefused && ended.all_not_run) refused_.insert(key);
  if (ended.token) tokens_.insert(key);
}

nlohmann::json Results::to_json(double elapsed_seconds, bool timeline) const {
  double planned_seconds = 0;
  for (const Phase& phase : plan_.phases) planned_seconds += phase.seconds;
  nlohmann::json by_importance = nlohmann::json::object();
  Row totals{};
  std::uint64_t offered = 0;
  for (std::size_t i = 0; i < rows_.size(); ++i) {
    nlohmann::json row = nlohmann::json::object();
    std::uint64_t row_offered = 0;
    for (std::size_t j = 0; j < totals.size(); ++j) {
      row[kOutcomeNames[j]] = rows_[i][j];
      totals[j] += rows_[i][j];
      row_offered += rows_[i][j];
    }
    if (row_offered == 0) continue;
    row["offered"] = row_offered;
    offered += row_offered;
    by_importance[std::string(core::to_string(static_cast<core::Importance>(i)))] = std::move(row);
  }
  std::vector<float> sorted = latencies_ms_;
  std::sort(sorted.begin(), sorted.end());
  const std::uint64_t good = totals[static_cast<std::size_t>(Outcome::kGood)];
  nlohmann::json result = {
      {"service", plan_.service},
      {"offered", offered},
      {"elapsed_s", elapsed_seconds},
      {"good_per_s", planned_seconds > 0 ? static_cast<double>(good) / planned_seconds : 0.0},
      {"by_importance", std::move(by_importance)},
      {"attempts", attempts_},
      {"retries", retries_},
      {"max_attempts", max_attempts_},
      {"failovers", failovers_},
      {"cut", cut_},
      {"latency_ms",
       {{"p50", quantile(sorted, 0.5)}, {"p99", quantile(sorted, 0.99)}, {"p999", quantile(sorted, 0.999)}}}};
  for (std::size_t j = 0; j < totals.size(); ++j) result[kOutcomeNames[j]] = totals[j];
  if (timeline) result["timeline_100ms"] = timeline_;
  return result;
}

nlohmann::json check_journals(const std::vector<settings::Endpoint>& journals, const Results& results) {
  std::map<std::string, std::uint64_t> executions;  // By "METHOD /path key", over all servers.
  std::uint64_t unread = 0;
  std::uint64_t dropped = 0;
  for (const settings::Endpoint& endpoint : journals) {
    support::HttpCall call;
    call.target = "/journal";
    call.timeout = kJournalTimeout;
    const support::HttpAnswer answer = support::HttpCaller(endpoint.host, endpoint.port).call(call);
    const auto body = nlohmann::json::parse(answer.body, nullptr, false);
    if (answer.exchange != support::Exchange::kWhole || !body.is_object()) {
      ++unread;
      continue;
    }
    dropped += body.value("dropped", std::uint64_t{0});
    for (const auto& [key, count] : body.at("executions").items()) executions[key] += count.get<std::uint64_t>();
  }
  std::uint64_t total = 0;
  std::uint64_t most = 0;
  std::uint64_t ran_twice = 0;
  std::uint64_t false_not_run = 0;
  nlohmann::json examples = nlohmann::json::array();
  for (const auto& [entry, count] : executions) {
    const std::string key = entry.substr(entry.rfind(' ') + 1);
    const bool twice = count > 1 && results.token_keys().contains(key);
    const bool false_verdict = results.refused_keys().contains(key);
    total += count;
    most = std::max(most, count);
    ran_twice += twice ? 1 : 0;
    false_not_run += false_verdict ? 1 : 0;
    if ((twice || false_verdict) && examples.size() < 10) examples.push_back(entry + ": " + std::to_string(count));
  }
  return {{"executions", total},
          {"max_executions", most},
          {"at_most_once", results.token_keys().size()},
          {"ran_twice", ran_twice},
          {"refused_checked", results.refused_keys().size()},
          {"false_not_run", false_not_run},
          {"unread_journals", unread},
          {"dropped", dropped},
          {"examples", std::move(examples)}};
}

}  // namespace damaskthread::standin
