#include "state.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <utility>

namespace damaskthread::standin {
namespace {

constexpr std::size_t kMaxJournal = 500'000;
constexpr std::size_t kMaxCancelled = 10'000;
constexpr std::size_t kMaxHistory = 20'000;
constexpr std::chrono::milliseconds kGoneInterval{50};

bool one_of(std::string_view text, std::initializer_list<std::string_view> allowed) {
  return std::find(allowed.begin(), allowed.end(), text) != allowed.end();
}

}  // namespace

State::State(Options options) : options_(std::move(options)), random_(options_.seed) {}

Control State::control() const {
  const std::lock_guard lock(mutex_);
  return control_;
}

void State::change(std::string_view text) {
  const auto body = nlohmann::json::parse(text);
  Control changed = control();
  for (const auto& [name, value] : body.items()) {
    if (name == "slow") {
      changed.slow = std::clamp(value.get<double>(), 0.0, 10'000.0);
    } else if (name == "refuse") {
      changed.refuse = value.get<bool>();
    } else if (name == "hang") {
      changed.hang = value.get<bool>();
    } else if (name == "truncate") {
      changed.truncate = std::clamp(value.get<double>(), 0.0, 1.0);
    } else if (name == "truncate_mode" &&
               one_of(value.get<std::string>(), {"length", "chunk", "head", "reset", "none"})) {
      changed.truncate_mode = value.get<std::string>();
    } else if (name == "health" && one_of(value.get<std::string>(), {"true", "up", "down"})) {
      changed.health = value.get<std::string>();
    } else if (name == "load" && one_of(value.get<std::string>(), {"true", "idle", "busy"})) {
      changed.load = value.get<std::string>();
    } else if (name == "drain") {
      changed.drain = value.get<bool>();
    } else {
      throw std::invalid_argument("unknown field or value: " + name);
    }
  }
  const std::lock_guard lock(mutex_);
  control_ = changed;
}

SlotResult State::take_slot(Clock::time_point deadline, const std::function<bool()>& gone) {
  std::unique_lock lock(mutex_);
  if (running_ >= options_.slots && options_.shed) return SlotResult::kShed;
  ++waiting_;
  SlotResult result = SlotResult::kTaken;
  while (running_ >= options_.slots) {
    slot_free_.wait_for(lock, kGoneInterval);
    if (Clock::now() >= deadline) result = SlotResult::kExpired;
    lock.unlock();  // `gone` asks this object whether the request was cancelled.
    const bool left = gone();
    lock.lock();
    if (result == SlotResult::kTaken && left) result = SlotResult::kCancelled;
    if (result != SlotResult::kTaken) break;
  }
  --waiting_;
  if (result == SlotResult::kTaken) {
    ++running_;
    stats_.max_running = std::max(stats_.max_running, running_);
    note_running();
  } else {
    slot_free_.notify_one();  // A notification that this waiter took must not be lost.
  }
  return result;
}

void State::release_slot() {
  const std::lock_guard lock(mutex_);
  --running_;
  note_running();
  slot_free_.notify_one();
}

void State::note_running() {
  running_history_.emplace_back(Clock::now(), running_);
  const auto keep = Clock::now() - options_.load_lag - std::chrono::seconds(1);
  while (running_history_.size() > kMaxHistory || (running_history_.size() > 1 && running_history_[1].first < keep)) {
    running_history_.pop_front();
  }
}

void State::record_execution(const std::string& key, const std::string& operation) {
  const std::lock_guard lock(mutex_);
  ++stats_.started;
  const std::string entry = operation + " " + key;
  const auto found = journal_.find(entry);
  if (found != journal_.end()) {
    ++found->second;
  } else if (journal_.size() < kMaxJournal) {
    journal_.emplace(entry, 1);
  } else {
    ++journal_dropped_;
  }
}

std::chrono::duration<double, std::milli> State::draw_service_time() {
  const std::lock_guard lock(mutex_);
  double time = options_.service_ms;
  if (options_.service_sigma > 0 && time > 0) {
    time = std::lognormal_distribution<double>(std::log(time), options_.service_sigma)(random_);
  }
  if (Clock::now() - start_ < options_.cold_time) time *= options_.cold_factor;
  return std::chrono::duration<double, std::milli>(time);
}

bool State::draw_truncation(double share) {
  const std::lock_guard lock(mutex_);
  return share > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

void State::cancel(const std::string& request_id) {
  const std::lock_guard lock(mutex_);
  if (cancelled_.size() < kMaxCancelled) cancelled_.insert(request_id);
}

bool State::take_cancellation(const std::string& request_id) {
  const std::lock_guard lock(mutex_);
  return !cancelled_.empty() && cancelled_.erase(request_id) > 0;
}

void State::update(const std::function<void(Stats&)>& change) {
  const std::lock_guard lock(mutex_);
  change(stats_);
}

nlohmann::json State::stats() const {
  const std::lock_guard lock(mutex_);
  return {{"service", options_.service},
          {"server", options_.server},
          {"arrived", stats_.arrived},
          {"started", stats_.started},
          {"finished", stats_.finished},
          {"shed", stats_.shed},
          {"refused", stats_.refused},
          {"cancelled", stats_.cancelled},
          {"expired", stats_.expired},
          {"child_failed", stats_.child_failed},
          {"child_wrong", stats_.child_wrong},
          {"truncated", stats_.truncated},
          {"work_ms", stats_.work_ms},
          {"wasted_ms", stats_.wasted_ms},
          {"deep_work_ms", stats_.deep_work_ms},
          {"deep_wasted_ms", stats_.deep_wasted_ms},
          {"running", running_},
          {"waiting", waiting_},
          {"max_running", stats_.max_running}};
}

nlohmann::json State::journal(std::uint64_t minimum) const {
  const std::lock_guard lock(mutex_);
  nlohmann::json executions = nlohmann::json::object();
  for (const auto& [key, count] : journal_) {
    if (count >= minimum) executions[key] = count;
  }
  return {{"executions", std::move(executions)}, {"keys", journal_.size()}, {"dropped", journal_dropped_}};
}

nlohmann::json State::load() const {
  const std::lock_guard lock(mutex_);
  int running = 0;
  const auto seen = Clock::now() - options_.load_lag;
  for (const auto& [time, value] : running_history_) {
    if (time > seen) break;
    running = value;
  }
  if (control_.load == "idle") running = 0;
  if (control_.load == "busy") running = options_.slots;
  return {{"service", options_.service}, {"running", running}, {"slots", options_.slots}};
}

bool State::healthy() const {
  const std::lock_guard lock(mutex_);
  if (control_.health != "true") return control_.health == "up";
  return !control_.drain;
}

}  // namespace damaskthread::standin
