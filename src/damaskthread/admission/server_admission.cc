#include "damaskthread/admission/server_admission.h"

#include <algorithm>

namespace damaskthread::admission {
namespace {

// Gain of the running lower-quartile estimate, which follows a change by a factor of 3 within about 100 answers.
constexpr double kQuartileGain = 0.05;
// Factor applied to the estimate per window without an answer, so that calls are admitted again after a slowdown.
constexpr double kEstimateDecay = 0.75;
// A call may queue for the time left to its deadline divided by this.
constexpr int kDeadlineDivisor = 4;

double to_seconds(core::Duration duration) noexcept { return std::chrono::duration<double>(duration).count(); }

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

core::Duration ServerAdmission::service_estimate() const noexcept { return from_seconds(latency_quartile_); }

core::Duration ServerAdmission::retry_after(std::uint64_t request_hash) const noexcept {
  const double severity = static_cast<double>(level().value) / kLevelCount;
  const double base =
      to_seconds(options_.retry_after_min) + severity * to_seconds(options_.retry_after_max - options_.retry_after_min);
  // Jitter of plus or minus half the base, derived from the request hash because the core has no random source here.
  const double jitter = static_cast<double>((request_hash * 0xD1B54A32D192ED03ULL) >> 54U) / 1024.0;
  return from_seconds(base * (0.5 + jitter));
}

AdmissionDecision ServerAdmission::refuse(const Arrival& arrival, core::Cause cause) const noexcept {
  return {AdmissionResult::kRefused, {}, core::not_run(cause, retry_after(arrival.request_hash))};
}

bool ServerAdmission::misses_deadline(const Arrival& arrival, core::Duration wait, core::TimePoint now) const noexcept {
  return arrival.deadline - now <= wait + service_estimate();
}

core::Duration ServerAdmission::expected_wait(int ahead) const noexcept {
  if (control_.capacity() <= 0) return core::Duration{0};
  return from_seconds(ahead / control_.capacity() * to_seconds(options_.window));
}

bool ServerAdmission::newest_first() const noexcept {
  return expected_wait(queue_.size()) > options_.newest_first_wait;
}

void ServerAdmission::record_critical_refusal(const Arrival& arrival) noexcept {
  if (arrival.importance == core::Importance::kCritical) critical_refused_ = true;
}

AdmissionDecision ServerAdmission::admit(const Arrival& arrival, core::TimePoint now, std::vector<QueueEvent>& events) {
  if (!started_) {
    started_ = true;
    busy_updated_ = now;
    window_start_ = now;
  }
  update_busy_time(now);
  close_window(now);
  if (draining_) {
    ++counters_.refused_leaving;
    return refuse(arrival, core::Cause::kLeaving);
  }
  const Level level = level_of(arrival.importance, arrival.request_hash);
  control_.on_arrival(level);
  if (misses_deadline(arrival, core::Duration{0}, now)) {
    ++counters_.refused_deadline;
    return refuse(arrival, core::Cause::kDeadline);
  }
  if (level < (arrival.continued ? control_.continued_threshold() : control_.threshold())) {
    ++counters_.refused_level;
    return refuse(arrival, core::Cause::kOverload);
  }
  // The limit may have risen since the last call ended. Queued calls start before new arrivals.
  if (queue_.size() > 0) start_queued(now, events);
  if (running_ >= limit_.limit()) return enqueue(arrival, now, events);
  const std::int32_t index = queue_.acquire(arrival);
  if (index < 0) return refuse(arrival, core::Cause::kOverload);
  queue_[index].state = internal::CallState::kRunning;
  ++running_;
  ++counters_.started;
  return {AdmissionResult::kStarted, queue_.ticket(index), {}};
}

AdmissionDecision ServerAdmission::enqueue(const Arrival& arrival, core::TimePoint now,
                                           std::vector<QueueEvent>& events) {
  const int rank = internal::CallQueue::rank_of(arrival);
  const core::Duration bound = std::min(options_.max_queue_wait, (arrival.deadline - now) / kDeadlineDivisor);
  const int ahead = queue_.count_above(rank) + (newest_first() ? 0 : queue_.count(rank));
  const core::Duration wait = expected_wait(ahead);
  if (misses_deadline(arrival, wait, now)) {
    record_critical_refusal(arrival);
    ++counters_.refused_deadline;
    return refuse(arrival, core::Cause::kDeadline);
  }
  bool has_room = wait <= bound;
  if (has_room && queue_.size() >= options_.queue_capacity) {
    const std::int32_t victim = queue_.least_important();
    has_room = internal::CallQueue::rank_of(queue_[victim].arrival) < rank;
    if (has_room) {
      ++counters_.displaced;
      drop(victim, core::Cause::kOverload, events);
    }
  }
  const std::int32_t index = has_room ? queue_.acquire(arrival) : -1;
  if (index < 0) {
    record_critical_refusal(arrival);
    ++counters_.refused_full;
    return refuse(arrival, core::Cause::kOverload);
  }
  queue_[index].expires = now + bound;
  queue_.push(index);
  ++counters_.queued;
  return {AdmissionResult::kQueued, queue_.ticket(index), {}};
}

void ServerAdmission::drop(std::int32_t index, core::Cause cause, std::vector<QueueEvent>& events) {
  const Arrival& arrival = queue_[index].arrival;
  record_critical_refusal(arrival);
  events.push_back(
      {QueueEventKind::kDropped, queue_.ticket(index), core::not_run(cause, retry_after(arrival.request_hash))});
  queue_.remove(index);
  queue_.release(index);
}

void ServerAdmission::start_queued(core::TimePoint now, std::vector<QueueEvent>& events) {
  while (running_ < limit_.limit()) {
    const std::int32_t index = queue_.first(newest_first());
    if (index < 0) return;
    if (queue_[index].expires <= now || misses_deadline(queue_[index].arrival, core::Duration{0}, now)) {
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
  for (int rank = 0; rank < internal::CallQueue::kRankCount; ++rank) {
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
  update_busy_time(now);
  if (result.refused) {
    limit_.on_server_refusal(now);
  } else {
    limit_.on_finish(result.latency - result.downstream_time, running_, result.ok, now);
  }
  if (result.ok) update_latency_quartile(to_seconds(result.latency));
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
  update_busy_time(now);
  limit_.advance_warm_up(now);
  close_window(now);
  drop_expired(now, events);
  start_queued(now, events);
}

void ServerAdmission::update_busy_time(core::TimePoint now) noexcept {
  if (now <= busy_updated_) return;
  busy_seconds_ += std::min(1.0, static_cast<double>(running_) / limit_.limit()) * to_seconds(now - busy_updated_);
  busy_updated_ = now;
}

void ServerAdmission::close_window(core::TimePoint now) noexcept {
  const core::Duration elapsed = now - window_start_;
  if (elapsed < options_.window) return;
  internal::WindowSample sample;
  sample.windows = to_seconds(elapsed) / to_seconds(options_.window);
  sample.completions = completions_;
  sample.utilization = busy_seconds_ / to_seconds(elapsed);
  sample.queued = queue_.size();
  sample.critical_refused = critical_refused_;
  control_.close_window(sample);
  limit_.advance_warm_up(now);
  if (completions_ == 0) latency_quartile_ *= kEstimateDecay;
  completions_ = 0;
  busy_seconds_ = 0;
  critical_refused_ = false;
  window_start_ = now;
}

void ServerAdmission::update_latency_quartile(double latency) noexcept {
  if (latency_quartile_ == 0) {
    latency_quartile_ = latency;
  } else if (latency < latency_quartile_) {
    latency_quartile_ -= latency_quartile_ * kQuartileGain * 0.75;
  } else {
    latency_quartile_ += latency_quartile_ * kQuartileGain * 0.25;
  }
}

}  // namespace damaskthread::admission
