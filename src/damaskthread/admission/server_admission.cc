#include "damaskthread/admission/server_admission.h"

#include <algorithm>

namespace damaskthread::admission {
namespace {

// Step of the running lower quartile: follows a change by a factor of 3 within about 100 answers.
constexpr double kQuartileStep = 0.05;
// Share of the estimate kept per window without an answer, so that calls get through again after a slow-down.
constexpr double kEstimateDecay = 0.75;
// Share of the time left to the deadline that a call may wait.
constexpr int kDeadlineShare = 4;

double seconds(core::Duration duration) noexcept { return std::chrono::duration<double>(duration).count(); }

core::Duration from_seconds(double value) noexcept {
  return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(value));
}

int queue_capacity(const AdmissionOptions& options) noexcept {
  return options.queue_capacity > 0 ? options.queue_capacity : 2 * options.limit.slots;
}

}  // namespace

ServerAdmission::ServerAdmission(const AdmissionOptions& options)
    : options_(options), limit_(options.limit), queue_(options.limit.slots + queue_capacity(options)) {
  options_.queue_capacity = queue_capacity(options);
}

core::Duration ServerAdmission::service_estimate() const noexcept { return from_seconds(quartile_); }

core::Duration ServerAdmission::retry_after(std::uint64_t request_hash) const noexcept {
  const double severity = static_cast<double>(level().value) / kLevelCount;
  const double base =
      seconds(options_.retry_after_min) + severity * seconds(options_.retry_after_max - options_.retry_after_min);
  // Jitter of half the base to either side, from the request itself so that the core draws no random numbers here.
  const double jitter = static_cast<double>((request_hash * 0xD1B54A32D192ED03ULL) >> 54U) / 1024.0;
  return from_seconds(base * (0.5 + jitter));
}

Decision ServerAdmission::refuse(const Arrival& arrival, core::Cause cause) const noexcept {
  return {Admission::kRefused, {}, core::not_run(cause, retry_after(arrival.request_hash))};
}

bool ServerAdmission::hopeless(const Arrival& arrival, core::Duration wait, core::TimePoint now) const noexcept {
  return arrival.deadline - now <= wait + service_estimate();
}

core::Duration ServerAdmission::expected_wait(int ahead) const noexcept {
  if (control_.capacity() <= 0) return core::Duration{0};
  return from_seconds(ahead / control_.capacity() * seconds(options_.window));
}

bool ServerAdmission::newest_first() const noexcept {
  return expected_wait(queue_.size()) > options_.newest_first_above;
}

void ServerAdmission::lost(const Arrival& arrival) noexcept {
  if (arrival.importance == core::Importance::kCritical) critical_lost_ = true;
}

Decision ServerAdmission::arrive(const Arrival& arrival, core::TimePoint now, std::vector<QueueEvent>& events) {
  if (!started_) {
    started_ = true;
    accounted_ = now;
    window_start_ = now;
  }
  account(now);
  close_window(now);
  if (draining_) {
    ++counters_.refused_leaving;
    return refuse(arrival, core::Cause::kLeaving);
  }
  const Level level = level_of(arrival.importance, arrival.request_hash);
  control_.on_arrival(level);
  if (hopeless(arrival, core::Duration{0}, now)) {
    ++counters_.refused_deadline;
    return refuse(arrival, core::Cause::kDeadline);
  }
  if (level < (arrival.continued ? control_.continued_threshold() : control_.threshold())) {
    ++counters_.refused_level;
    return refuse(arrival, core::Cause::kOverload);
  }
  // The limit may have risen since the last call ended; those who wait go first.
  if (queue_.size() > 0) start_queued(now, events);
  if (running_ >= limit_.limit()) return enqueue(arrival, now, events);
  const std::int32_t index = queue_.acquire(arrival);
  if (index < 0) return refuse(arrival, core::Cause::kOverload);
  queue_[index].state = internal::CallState::kRunning;
  ++running_;
  ++counters_.started;
  return {Admission::kStart, queue_.ticket(index), {}};
}

Decision ServerAdmission::enqueue(const Arrival& arrival, core::TimePoint now, std::vector<QueueEvent>& events) {
  const int rank = internal::CallQueue::rank_of(arrival);
  const core::Duration bound = std::min(options_.max_queue_wait, (arrival.deadline - now) / kDeadlineShare);
  const int ahead = queue_.count_above(rank) + (newest_first() ? 0 : queue_.count(rank));
  const core::Duration wait = expected_wait(ahead);
  if (hopeless(arrival, wait, now)) {
    lost(arrival);
    ++counters_.refused_deadline;
    return refuse(arrival, core::Cause::kDeadline);
  }
  bool room = wait <= bound;
  if (room && queue_.size() >= options_.queue_capacity) {
    const std::int32_t victim = queue_.least_important();
    room = internal::CallQueue::rank_of(queue_[victim].arrival) < rank;
    if (room) {
      ++counters_.displaced;
      drop(victim, core::Cause::kOverload, events);
    }
  }
  const std::int32_t index = room ? queue_.acquire(arrival) : -1;
  if (index < 0) {
    lost(arrival);
    ++counters_.refused_full;
    return refuse(arrival, core::Cause::kOverload);
  }
  queue_[index].expires = now + bound;
  queue_.push(index);
  ++counters_.queued;
  return {Admission::kQueued, queue_.ticket(index), {}};
}

void ServerAdmission::drop(std::int32_t index, core::Cause cause, std::vector<QueueEvent>& events) {
  const Arrival& arrival = queue_[index].arrival;
  lost(arrival);
  events.push_back(
      {QueueEventKind::kDropped, queue_.ticket(index), core::not_run(cause, retry_after(arrival.request_hash))});
  queue_.remove(index);
  queue_.release(index);
}

void ServerAdmission::start_queued(core::TimePoint now, std::vector<QueueEvent>& events) {
  while (running_ < limit_.limit()) {
    const std::int32_t index = queue_.first(newest_first());
    if (index < 0) return;
    if (queue_[index].expires <= now || hopeless(queue_[index].arrival, core::Duration{0}, now)) {
      ++counters_.expired;
      drop(index, queue_[index].expires <= now ? core::Cause::kOverload : core::Cause::kDeadline, events);
      continue;
    }
    queue_.remove(index);
    queue_[index].state = internal::CallState::kRunning;
    ++running_;
    ++counters_.started;
    events.push_back({QueueEventKind::kStarted, queue_.ticket(index), {}});
  }
}

void ServerAdmission::drop_expired(core::TimePoint now, std::vector<QueueEvent>& events) {
  for (int rank = 0; rank < internal::CallQueue::kRanks; ++rank) {
    std::int32_t index = queue_.oldest(rank);
    while (index >= 0) {
      const std::int32_t next = queue_[index].next;
      if (queue_[index].expires <= now) {
        ++counters_.expired;
        drop(index, core::Cause::kOverload, events);
      }
      index = next;
    }
  }
}

void ServerAdmission::finish(Ticket ticket, const CallResult& result, core::TimePoint now,
                             std::vector<QueueEvent>& events) {
  const std::int32_t index = queue_.find(ticket);
  if (index < 0 || queue_[index].state != internal::CallState::kRunning) return;
  account(now);
  if (result.refused) {
    limit_.on_server_refusal(now);
  } else {
    limit_.on_finish(result.latency - result.downstream, running_, result.ok, now);
  }
  if (result.ok) observe_service_time(seconds(result.latency));
  queue_.release(index);
  --running_;
  ++completions_;
  close_window(now);
  start_queued(now, events);
}

bool ServerAdmission::cancel(Ticket ticket, core::TimePoint now, std::vector<QueueEvent>& events) {
  const std::int32_t index = queue_.find(ticket);
  if (index < 0 || queue_[index].state != internal::CallState::kQueued) return false;
  queue_.remove(index);
  queue_.release(index);
  start_queued(now, events);
  return true;
}

void ServerAdmission::tick(core::TimePoint now, std::vector<QueueEvent>& events) {
  if (!started_) return;
  account(now);
  limit_.advance_warm_up(now);
  close_window(now);
  drop_expired(now, events);
  start_queued(now, events);
}

void ServerAdmission::account(core::TimePoint now) noexcept {
  if (now <= accounted_) return;
  busy_ += std::min(1.0, static_cast<double>(running_) / limit_.limit()) * seconds(now - accounted_);
  accounted_ = now;
}

void ServerAdmission::close_window(core::TimePoint now) noexcept {
  const core::Duration elapsed = now - window_start_;
  if (elapsed < options_.window) return;
  internal::WindowSample sample;
  sample.windows = seconds(elapsed) / seconds(options_.window);
  sample.completions = completions_;
  sample.utilization = busy_ / seconds(elapsed);
  sample.queued = queue_.size();
  sample.critical_lost = critical_lost_;
  control_.close_window(sample);
  limit_.advance_warm_up(now);
  if (completions_ == 0) quartile_ *= kEstimateDecay;
  completions_ = 0;
  busy_ = 0;
  critical_lost_ = false;
  window_start_ = now;
}

void ServerAdmission::observe_service_time(double latency) noexcept {
  if (quartile_ == 0) {
    quartile_ = latency;
  } else if (latency < quartile_) {
    quartile_ -= quartile_ * kQuartileStep * 0.75;
  } else {
    quartile_ += quartile_ * kQuartileStep * 0.25;
  }
}

}  // namespace damaskthread::admission
