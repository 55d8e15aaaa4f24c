#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>
#include <optional>
#include <queue>
#include <random>
#include <unordered_map>
#include <utility>
#include <vector>

#include "damaskthread/admission/server_admission.h"

namespace damaskthread {
namespace {

using admission::AdmissionResult;
using admission::QueueEvent;
using admission::QueueEventKind;
using core::Duration;
using core::Importance;
using core::TimePoint;

struct ClassCounts {
  int offered = 0;
  int answered = 0;
};

struct LoadProfile {
  std::uint64_t seed = 0;
  double critical = 0;  ///< Offered critical load, as a share of capacity.
  double total = 0;     ///< Offered load of all classes.
  bool immediate_retries = false;
};

// Simulates one server with a fixed number of slots, exponential service times and Poisson arrivals.
class Server {
 public:
  explicit Server(const LoadProfile& load) : load_(load), random_(load.seed), admission_(options()) {
    events_.reserve(64);
  }

  std::array<ClassCounts, core::kImportanceCount> run() {
    const TimePoint end = now_ + std::chrono::seconds(6);
    TimePoint next_tick = now_;
    schedule_arrival();
    while (now_ < end) {
      const Event event = timeline_.top();
      while (next_tick <= event.at) {
        admission_.tick(next_tick, events_);
        now_ = next_tick;
        process_events();
        next_tick += std::chrono::milliseconds(10);
      }
      timeline_.pop();
      now_ = event.at;
      if (event.finished) {
        finish(*event.finished);
      } else {
        arrive();
        schedule_arrival();
      }
    }
    return counts_by_class_;
  }

 private:
  static constexpr int kSlots = 20;
  static constexpr double kServiceSeconds = 0.01;

  struct Event {
    TimePoint at;
    std::optional<admission::Ticket> finished;
    bool operator>(const Event& other) const { return at > other.at; }
  };
  struct Call {
    Importance importance;
    TimePoint arrived;
    TimePoint started;
  };

  static admission::AdmissionOptions options() {
    admission::AdmissionOptions result;
    result.limit = {.slots = kSlots, .warm_up = Duration{0}};
    return result;
  }

  Duration exponential(double mean) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::exponential_distribution<double>(1 / mean)(random_)));
  }

  void schedule_arrival() {
    const double rate = load_.total * kSlots / kServiceSeconds;
    timeline_.push({now_ + exponential(1 / rate), std::nullopt});
  }

  // Excludes the first second, in which the threshold settles, and the last half second, whose calls may not finish.
  [[nodiscard]] bool in_measurement_window(TimePoint arrived) const {
    return arrived >= start_ + std::chrono::seconds(1) && arrived < start_ + std::chrono::milliseconds(5'500);
  }

  Importance draw_importance() {
    const double share = load_.critical / load_.total;
    const double drawn = std::uniform_real_distribution<double>(0, 1)(random_);
    if (drawn < share) return Importance::kCritical;
    return static_cast<Importance>(static_cast<int>((drawn - share) / (1 - share) * 3) % 3);
  }

  void arrive() {
    const Importance importance = draw_importance();
    ClassCounts& counts = counts_by_class_[static_cast<std::size_t>(importance)];
    counts.offered += in_measurement_window(now_) ? 1 : 0;
    // The caller retries a refused request immediately, up to three times.
    const std::uint64_t hash = random_();
    for (int i = 0; i < (load_.immediate_retries ? 4 : 1); ++i) {
      const admission::AdmissionDecision decision =
          admission_.admit({importance, hash, 0, now_ + std::chrono::milliseconds(500), false}, now_, events_);
      if (decision.admission != AdmissionResult::kRefused) {
        calls_[decision.ticket.value] = {importance, now_, now_};
        if (decision.admission == AdmissionResult::kStarted) begin(decision.ticket);
        break;
      }
    }
    process_events();
  }

  void begin(admission::Ticket ticket) {
    calls_[ticket.value].started = now_;
    timeline_.push({now_ + exponential(kServiceSeconds), ticket});
  }

  void finish(admission::Ticket ticket) {
    const Call call = calls_[ticket.value];
    calls_.erase(ticket.value);
    counts_by_class_[static_cast<std::size_t>(call.importance)].answered += in_measurement_window(call.arrived) ? 1 : 0;
    admission_.finish(ticket, {.latency = now_ - call.started}, now_, events_);
    process_events();
  }

  void process_events() {
    const std::vector<QueueEvent> events = std::exchange(events_, {});
    for (const QueueEvent& event : events) {
      if (event.kind == QueueEventKind::kStarted) {
        begin(event.ticket);
      } else {
        calls_.erase(event.ticket.value);
      }
    }
  }

  LoadProfile load_;
  core::Random random_;
  admission::ServerAdmission admission_;
  std::vector<QueueEvent> events_;
  const TimePoint start_{std::chrono::hours(1)};
  TimePoint now_ = start_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> timeline_;
  std::unordered_map<std::uint64_t, Call> calls_;
  std::array<ClassCounts, core::kImportanceCount> counts_by_class_;
};

double answered_share(const ClassCounts& counts) {
  return counts.offered == 0 ? 1 : static_cast<double>(counts.answered) / counts.offered;
}

}  // namespace

// P2. Guards against a flood of less important calls, with immediate retries, that displaces important calls.
TEST_CASE("P2 the least important calls are refused first") {
  CHECK(rc::check([] {
    LoadProfile load;
    load.seed = *rc::gen::arbitrary<std::uint64_t>();
    load.critical = *rc::gen::inRange(5, 80) / 100.0;
    load.total = *rc::gen::inRange(150, 500) / 100.0;
    load.immediate_retries = *rc::gen::arbitrary<bool>();
    const auto counts_by_class = Server(load).run();
    const double critical = answered_share(counts_by_class[3]);
    RC_ASSERT(critical >= 0.999);
    // Less important classes are answered at most as often, within the tolerance of the 100 ms control window.
    RC_ASSERT(answered_share(counts_by_class[0]) <= answered_share(counts_by_class[1]) + 0.05);
    RC_ASSERT(answered_share(counts_by_class[1]) <= answered_share(counts_by_class[2]) + 0.05);
  }));
}

}  // namespace damaskthread
