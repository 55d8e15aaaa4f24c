#include "damaskthread/gate/server_gate.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>

namespace damaskthread::gate {
namespace {

core::Duration from_seconds(double seconds) {
  return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds));
}

void update_mean(double& mean, double sample, double weight) {
  mean = mean == 0 ? sample : mean + weight * (sample - mean);
}

}  // namespace

int ServerGate::limit() const noexcept {
  if (capacity_ <= 0) return 0;
  const int usable = static_cast<int>(std::floor(options_.usable_capacity_share * capacity_));
  return std::max(1, usable - untracked_requests_);
}

core::Duration ServerGate::mean_run_time(const std::string& kind) const noexcept {
  const auto found = mean_run_seconds_by_kind_.find(kind);
  return from_seconds(found == mean_run_seconds_by_kind_.end() ? 0 : found->second);
}

int ServerGate::count_ahead(const QueueKey& key) const noexcept {
  return static_cast<int>(std::distance(queue_.begin(), queue_.lower_bound(key)));
}

Admission ServerGate::arrive(const Arrival& arrival, core::TimePoint now) {
  if (capacity_ <= 0) return Admission::kRefuse;
  demand_.add(mean_run_time(arrival.kind), now);
  const auto needed =
      std::chrono::duration_cast<core::Duration>(options_.min_run_time_share * mean_run_time(arrival.kind));
  const core::TimePoint latest_start = std::min(arrival.deadline - needed, now + arrival.max_wait);
  if (arrival.deadline - needed <= now) return Admission::kRefuse;
  if (running_ < limit() && queue_.empty()) {
    ++running_;
    return Admission::kStart;
  }
  const QueueKey key{!arrival.nested, std::min(arrival.priority, options_.queue_priorities - 1), next_arrival_number_};
  const double expected_wait = mean_run_seconds_ * (count_ahead(key) + 1) / std::max(1, limit());
  if (now + from_seconds(expected_wait) > latest_start) return Admission::kRefuse;
  ++next_arrival_number_;
  queue_.emplace(key, QueuedRequest{arrival.ticket, latest_start});
  return Admission::kEnqueue;
}

void ServerGate::advance(core::TimePoint now, std::vector<Ticket>& start, std::vector<Ticket>& refuse) {
  for (auto queued_request = queue_.begin(); queued_request != queue_.end();) {
    if (queued_request->second.expires_at > now) {
      ++queued_request;
      continue;
    }
    refuse.push_back(queued_request->second.ticket);
    queued_request = queue_.erase(queued_request);
  }
  while (running_ < limit() && !queue_.empty()) {
    start.push_back(queue_.begin()->second.ticket);
    queue_.erase(queue_.begin());
    ++running_;
  }
}

void ServerGate::finish(const std::string& kind, core::Duration run_time) {
  running_ = std::max(0, running_ - 1);
  if (run_time <= core::Duration::zero()) return;
  const double seconds = std::chrono::duration<double>(run_time).count();
  update_mean(mean_run_seconds_by_kind_[kind], seconds, options_.smoothing);
  update_mean(mean_run_seconds_, seconds, options_.smoothing);
}

void ServerGate::reject(const std::string& kind, core::TimePoint now) {
  if (queue_.empty() && running_ < limit()) demand_.remove(mean_run_time(kind), now);
  finish(kind, core::Duration::zero());
}

bool ServerGate::withdraw(Ticket ticket) {
  const auto found =
      std::find_if(queue_.begin(), queue_.end(), [ticket](const auto& entry) { return entry.second.ticket == ticket; });
  if (found == queue_.end()) return false;
  queue_.erase(found);
  return true;
}

void ServerGate::withdraw_all(std::vector<Ticket>& refuse) {
  for (const auto& [key, queued_request] : queue_) refuse.push_back(queued_request.ticket);
  queue_.clear();
}

Load ServerGate::load(core::TimePoint now) const noexcept {
  Load load{limit(), running_, static_cast<int>(queue_.size()), from_seconds(mean_run_seconds_), demand_.slots(now)};
  load.work_time = work_time_;
  return load;
}

}  // namespace damaskthread::gate
