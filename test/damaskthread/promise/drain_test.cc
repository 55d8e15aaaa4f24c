#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <memory>
#include <vector>

#include "damaskthread/engine/inbound_call.h"
#include "damaskthread/engine/node.h"

namespace damaskthread {
namespace {

using core::Cause;
using core::Execution;
using core::TimePoint;
using engine::InboundAction;
using engine::InboundStep;

struct Pending {
  std::unique_ptr<engine::InboundCall> call;
  admission::Ticket ticket;
  bool running = false;
};

// Simulates calls that arrive, wait, run and finish at one node in random order.
class NodeSimulation {
 public:
  NodeSimulation() : node_(options()) {}

  void arrive() {
    engine::PeerRequest request;
    request.method = "GET";
    request.target = "/";
    request.fingerprint = next_;
    request.context.service = "fleet";
    request.context.time_left = std::chrono::hours(1);
    request.context.importance = static_cast<core::Importance>(next_ % core::kImportanceCount);
    request.attempt = {1, next_++};
    auto call = std::make_unique<engine::InboundCall>(node_, request);
    std::vector<admission::QueueEvent> events;
    const InboundStep step = call->begin(now_, events);
    apply(events);
    if (step.kind == InboundAction::kRefuse) {
      accepted_after_drain_ += draining_ && step.verdict.cause != Cause::kLeaving ? 1 : 0;
      return;
    }
    accepted_after_drain_ += draining_ ? 1 : 0;
    pending_.push_back({std::move(call), step.ticket, step.kind == InboundAction::kRun});
  }

  void finish(std::size_t index) {
    if (pending_.empty()) return;
    index %= pending_.size();
    if (!pending_[index].running) return;
    std::vector<admission::QueueEvent> events;
    engine::LocalResult result;
    result.latency = std::chrono::milliseconds(1);
    const auto outcome = pending_[index].call->finish(result, now_, events);
    finished_after_drain_ += outcome.verdict.execution == Execution::kRan ? 1 : 0;
    pending_.erase(pending_.begin() + static_cast<std::ptrdiff_t>(index));
    apply(events);
  }

  void drain() {
    if (draining_) return;
    draining_ = true;
    node_.begin_drain();
    in_flight_at_drain_ = static_cast<int>(pending_.size());
    finished_after_drain_ = 0;
  }

  void finish_all() {
    while (!pending_.empty()) {
      const std::size_t before = pending_.size();
      for (std::size_t i = 0; i < pending_.size(); ++i) finish(i);
      if (pending_.size() == before) return;
    }
  }

  [[nodiscard]] int in_flight_at_drain() const { return in_flight_at_drain_; }
  [[nodiscard]] int finished_after_drain() const { return finished_after_drain_; }
  [[nodiscard]] int accepted_after_drain() const { return accepted_after_drain_; }
  [[nodiscard]] bool idle() const { return node_.idle(); }

 private:
  static engine::NodeOptions options() {
    engine::NodeOptions result;
    result.self = {1};
    result.service = "fleet";
    result.admission.limit = {.slots = 4, .warm_up = core::Duration{0}};
    return result;
  }

  void apply(const std::vector<admission::QueueEvent>& events) {
    for (const admission::QueueEvent& event : events) {
      for (std::size_t i = 0; i < pending_.size(); ++i) {
        if (!(pending_[i].ticket == event.ticket) || pending_[i].running) continue;
        std::vector<admission::QueueEvent> nested_events;
        if (event.kind == admission::QueueEventKind::kStarted) {
          pending_[i].running = pending_[i].call->started(now_, nested_events).kind == InboundAction::kRun;
        } else {
          (void)pending_[i].call->dropped(event.verdict, now_);
          pending_.erase(pending_.begin() + static_cast<std::ptrdiff_t>(i));
        }
        break;
      }
    }
  }

  engine::Node node_;
  TimePoint now_{std::chrono::hours(1)};
  std::uint64_t next_ = 1;
  std::vector<Pending> pending_;
  bool draining_ = false;
  int in_flight_at_drain_ = 0;
  int finished_after_drain_ = 0;
  int accepted_after_drain_ = 0;
};

}  // namespace

// P6 and P7. Guards against a stop that drops running or queued calls, and against new calls after the drain has begun.
TEST_CASE("P7 a draining server completes all its calls and P6 admits no new ones") {
  CHECK(rc::check([] {
    NodeSimulation simulation;
    const int steps = *rc::gen::inRange(1, 60);
    const int drain_at = *rc::gen::inRange(0, steps);
    for (int i = 0; i < steps; ++i) {
      if (i == drain_at) simulation.drain();
      if (*rc::gen::inRange(0, 3) == 0) {
        simulation.finish(*rc::gen::inRange<std::size_t>(0, 64));
      } else {
        simulation.arrive();
      }
    }
    simulation.drain();
    simulation.finish_all();
    RC_ASSERT(simulation.accepted_after_drain() == 0);
    RC_ASSERT(simulation.finished_after_drain() == simulation.in_flight_at_drain());
    RC_ASSERT(simulation.idle());
  }));
}

}  // namespace damaskthread
