#include "damaskthread/entrance/throttle.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/gate/demand_meter.h"
#include "damaskthread/gate/server_gate.h"

namespace damaskthread::entrance {
namespace {

using std::chrono::milliseconds;

constexpr int kSlots = 37;
constexpr int kCallsPerRequest = 5;
constexpr double kMeanRunMs = 65;
// Requests per second that the service can sustain.
constexpr double kCapacity = kSlots * 1000 / kMeanRunMs / kCallsPerRequest;
const std::vector<std::string> needed_services = {"entry", "stock"};

struct Outcome {
  double served_per_second = 0;
  double mean_queue = 0;
  /// Slot utilization in the least utilized second.
  double min_utilization = 0;
  std::map<int, double> served_share;
};

// Simulates fifteen entrances, each with a throttle and a delayed load report, in front of one service that every
// request calls five times in sequence. A request whose call is queued for too long fails and wastes its earlier work.
class FleetSimulation {
 public:
  // Takes the offered requests per second by priority, and the mean time until a request makes its first call.
  explicit FleetSimulation(std::map<int, double> offered, double mean_first_call_delay_ms = 60)
      : offered_(std::move(offered)), first_call_rate_(1 / mean_first_call_delay_ms) {}

  Outcome run(int seconds, int warm_up_seconds) {
    std::map<int, double> offered_counts;
    std::map<int, double> served_counts;
    utilization_.assign(static_cast<std::size_t>(seconds), 0);
    double queue_sum = 0;
    int steps = 0;
    // Requests count by arrival time; the last ones run to completion.
    for (int ms = 0; ms < (seconds + kDrainSeconds) * 1000; ++ms) {
      const bool counted = ms >= warm_up_seconds * 1000 && ms < seconds * 1000;
      if (ms < seconds * 1000) arrive(ms, counted, offered_counts);
      advance(ms, served_counts);
      if (ms < seconds * 1000) utilization_[static_cast<std::size_t>(ms / 1000)] += running_ / (1000.0 * kSlots);
      if (ms % kReportMs == 0) {
        reported_ = {kSlots, running_, static_cast<int>(queue_.size()), milliseconds(65), demand_.slots(time(ms))};
      }
      if (ms % kObserveMs == 0) {
        for (Throttle& throttle : throttles_) {
          throttle.observe("stock", reported_, milliseconds(kObserveMs));
          throttle.observe("entry", {1000, 100, 0, milliseconds(1), 100}, milliseconds(kObserveMs));
        }
      }
      if (!counted) continue;
      queue_sum += static_cast<double>(queue_.size());
      ++steps;
    }
    Outcome outcome;
    for (const auto& [priority, count] : served_counts) {
      outcome.served_per_second += count / (seconds - warm_up_seconds);
      outcome.served_share[priority] = count / offered_counts[priority];
    }
    outcome.mean_queue = queue_sum / steps;
    outcome.min_utilization = *std::min_element(utilization_.begin() + warm_up_seconds, utilization_.end());
    return outcome;
  }

 private:
  static constexpr int kDrainSeconds = 3;
  static constexpr int kReportMs = 200;
  static constexpr int kObserveMs = 100;
  static constexpr int kMaxWaitMs = 400;

  struct Request {
    int priority = 0;
    int calls_left = kCallsPerRequest;
    int ready_at = 0;
    int waiting_since = 0;
    int ends_at = 0;
    bool counted = false;
  };

  void arrive(int ms, bool counted, std::map<int, double>& offered_counts) {
    for (const auto& [priority, rate] : offered_) {
      std::poisson_distribution<int> arrivals(rate / 1000);
      for (int i = arrivals(random_); i > 0; --i) {
        if (counted) offered_counts[priority] += 1;
        Throttle& throttle = throttles_[random_() % throttles_.size()];
        const double share = throttle.limit(needed_services, priority).share;
        throttle.record_offered(needed_services, priority, share);
        if (std::uniform_real_distribution<double>(0, 1)(random_) < share)
          between_calls_.push_back({priority, kCallsPerRequest, ms + first_call_delay(), 0, 0, counted});
      }
    }
  }

  static core::TimePoint time(int ms) { return core::TimePoint(milliseconds(ms)); }
  int first_call_delay() {
    return 1 + static_cast<int>(std::exponential_distribution<double>(first_call_rate_)(random_));
  }

  void advance(int ms, std::map<int, double>& served_counts) {
    std::erase_if(between_calls_, [&](Request request) {
      if (request.ready_at > ms) return false;
      request.waiting_since = ms;
      demand_.add(milliseconds(65), time(ms));
      queue_.push_back(request);
      return true;
    });
    std::erase_if(queue_, [&](const Request& request) { return ms - request.waiting_since > kMaxWaitMs; });
    std::erase_if(running_requests_, [&](Request request) {
      if (request.ends_at > ms) return false;
      --running_;
      if (--request.calls_left == 0) {
        if (request.counted) served_counts[request.priority] += 1;
      } else {
        request.ready_at = ms + 2;
        between_calls_.push_back(request);
      }
      return true;
    });
    while (running_ < kSlots && !queue_.empty()) {
      Request request = queue_.front();
      queue_.pop_front();
      request.ends_at = ms + 1 + static_cast<int>(std::exponential_distribution<double>(1 / kMeanRunMs)(random_));
      running_requests_.push_back(request);
      ++running_;
    }
  }

  std::map<int, double> offered_;
  double first_call_rate_;
  gate::DemandMeter demand_;
  std::vector<double> utilization_;
  std::array<Throttle, 15> throttles_;
  core::Random random_{20261204};
  std::vector<Request> between_calls_;
  std::deque<Request> queue_;
  std::vector<Request> running_requests_;
  int running_ = 0;
  gate::Load reported_{kSlots, 0, 0, milliseconds(65)};
};

}  // namespace

TEST_CASE("a surge of over twice the capacity of a downstream service keeps that service busy") {
  FleetSimulation simulation({{0, 0.5 * kCapacity}, {2, 1.7 * kCapacity}});
  const Outcome outcome = simulation.run(30, 5);
  MESSAGE("served of capacity: ", outcome.served_per_second / kCapacity, ", mean queue: ", outcome.mean_queue);
  CHECK(outcome.served_per_second >= 0.85 * kCapacity);
  CHECK(outcome.mean_queue <= kSlots);
  // The important priority goes first, and the other one does not starve.
  CHECK(outcome.served_share.at(0) >= 0.9);
  CHECK(outcome.served_share.at(2) >= 0.1);
}

TEST_CASE("a long delay to the limiting service does not make the admitted share oscillate") {
  // Half a second before the first call, as in a chain of three services.
  FleetSimulation simulation({{0, 0.5 * kCapacity}, {2, 1.0 * kCapacity}}, 500);
  const Outcome outcome = simulation.run(40, 10);
  MESSAGE("served of capacity: ", outcome.served_per_second / kCapacity, ", mean queue: ", outcome.mean_queue,
          ", lowest utilization in a second: ", outcome.min_utilization);
  CHECK(outcome.served_per_second >= 0.85 * kCapacity);
  CHECK(outcome.min_utilization >= 0.8);
  CHECK(outcome.mean_queue <= kSlots);
  CHECK(outcome.served_share.at(0) >= 0.9);
}

TEST_CASE("no requests are rejected below the capacity of a service") {
  FleetSimulation simulation({{0, 0.3 * kCapacity}, {2, 0.4 * kCapacity}});
  const Outcome outcome = simulation.run(20, 5);
  CHECK(outcome.served_share.at(0) >= 0.99);
  CHECK(outcome.served_share.at(2) >= 0.97);
}

TEST_CASE("the pressure returns to zero within two seconds after a surge") {
  Throttle throttle;
  const gate::Load full{kSlots, kSlots, 30, milliseconds(65), 1.8 * kSlots};
  const gate::Load light{kSlots, 4, 0, milliseconds(65), 4};
  for (int i = 0; i < 100; ++i) {
    throttle.record_offered(needed_services, 2, throttle.limit(needed_services, 2).share);
    throttle.observe("stock", full, milliseconds(100));
  }
  CHECK(throttle.pressure("stock") > 0.3);
  for (int i = 0; i < 20; ++i) throttle.observe("stock", light, milliseconds(100));
  CHECK(throttle.pressure("stock") == 0);
}

TEST_CASE("the limit names the limiting service") {
  Throttle throttle;
  const std::vector<std::string> both = {"documents", "stock"};
  for (int i = 0; i < 50; ++i) {
    throttle.record_offered(both, 2, throttle.limit(both, 2).share);
    throttle.observe("documents", {kSlots, 4, 0, milliseconds(65), 4}, milliseconds(100));
    throttle.observe("stock", {kSlots, kSlots, 50, milliseconds(65), 2 * kSlots}, milliseconds(100));
  }
  const Throttle::Limit limit = throttle.limit(both, 2);
  CHECK(limit.share < 0.9);
  CHECK(limit.service == "stock");
}

TEST_CASE("an overloaded service does not affect requests that do not need it") {
  Throttle throttle;
  for (int i = 0; i < 50; ++i)
    throttle.observe("stock", {kSlots, kSlots, 50, milliseconds(65), 2 * kSlots}, milliseconds(100));
  const std::vector<std::string> other = {"documents"};
  CHECK(throttle.limit(other, 2).share == 1);
}

}  // namespace damaskthread::entrance
