#include "support/policy_fixture.h"

#include <algorithm>
#include <random>
#include <utility>

namespace damaskthread::test {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Spread of the log-normal service times; their mean is the declared work.
constexpr double kSigma = 0.4;
// Time limit of one hop where deadlines are not carried.
constexpr Duration kHopTimeout = std::chrono::milliseconds{1000};
constexpr Duration kRestart = std::chrono::seconds{2};
constexpr Duration kColdTime = std::chrono::seconds{3};
constexpr double kColdFactor = 2;
constexpr Duration kPoisonPeriod = std::chrono::seconds{2};
constexpr Duration kBin = milliseconds{100};
// Requests issued within this time are judged together for recovery.
constexpr int kRecoveryBins = 5;

Duration from_ms(double value) { return duration_cast<Duration>(std::chrono::duration<double, std::milli>(value)); }
double to_s(Duration value) { return std::chrono::duration<double>(value).count(); }

struct Request {
  int operation = 0;
  TimePoint issued;
  std::uint64_t fingerprint = 0;
  bool poison = false;
  /// The daemon that its caller talks to.
  int daemon = 0;
  int tries = 0;
  bool done = false;
};

/// The sending side of one call, through all its tries at this hop.
struct Hop {
  std::uint32_t generation = 1;
  bool used = false;
  std::size_t request = 0;
  const CallSpec* spec = nullptr;
  PolicyCall call;
  int depth = 0;
  std::uint64_t attempt = 0;
  TimePoint sent;
};

/// The receiving side of one try.
struct Attempt {
  std::uint32_t generation = 1;
  bool used = false;
  std::uint64_t hop = 0;
  std::size_t request = 0;
  const CallSpec* spec = nullptr;
  PolicyCall call;
  int depth = 0;
  bool in_slot = false;
  bool ended = false;
  TimePoint start;
  int children = 0;
  bool failed = false;
  HopAnswer answer;
  /// Work at depth 2 and below that this call rests on.
  double deep_work = 0;
  double own_work = 0;
};

template <typename T>
class Pool {
 public:
  std::uint64_t acquire() {
    if (free_.empty()) {
      free_.push_back(items_.size());
      items_.emplace_back();
    }
    const std::size_t index = free_.back();
    free_.pop_back();
    T& item = items_[index];
    const std::uint32_t generation = item.generation;
    item = T{};
    item.generation = generation;
    item.used = true;
    return (static_cast<std::uint64_t>(generation) << 32U) | index;
  }
  T* find(std::uint64_t id) {
    const std::size_t index = id & 0xFFFFFFFFU;
    if (index >= items_.size()) return nullptr;
    T& item = items_[index];
    return item.used && item.generation == id >> 32U ? &item : nullptr;
  }
  void release(std::uint64_t id) {
    T* item = find(id);
    item->used = false;
    ++item->generation;
    free_.push_back(id & 0xFFFFFFFFU);
  }

 private:
  std::deque<T> items_;
  std::vector<std::size_t> free_;
};

struct Server {
  int service = 0;
  int busy = 0;
  std::deque<std::uint64_t> backlog;
  bool down = false;
  TimePoint cold_until;
  std::vector<std::uint64_t> running;
};

class Fixture : public PolicyHost {
 public:
  Fixture(const Deployment& deployment, const Scenario& scenario, Policy& policy)
      : deployment_(deployment), scenario_(scenario), policy_(policy), random_(scenario.seed) {
    for (std::size_t i = 0; i < deployment.services.size(); ++i) {
      for (int k = 0; k < deployment.services[i].servers; ++k) servers_.emplace_back().service = static_cast<int>(i);
    }
    bins_.resize(static_cast<std::size_t>(scenario.end / kBin) + 1);
    policy_.set_up(deployment, scenario, *this);
  }

  Result run() {
    after(Duration{0}, [this] { issue_next(); });
    if (scenario_.poison_at > Duration{0}) after(scenario_.poison_at, [this] { issue_poison(); });
    // Late answers still count for requests issued before the end.
    const TimePoint stop = TimePoint{scenario_.end} + std::chrono::seconds{3};
    while (!events_.empty() && events_.top().time <= stop) {
      now_ = events_.top().time;
      const std::function<void()> action = std::move(const_cast<Event&>(events_.top()).action);
      events_.pop();
      ++event_count_;
      action();
    }
    return result();
  }

  void after(Duration delay, std::function<void()> action) override {
    events_.push({now_ + delay, sequence_++, std::move(action)});
  }
  TimePoint now() const override { return now_; }
  core::Random& random() override { return random_; }

  void start_call(std::uint64_t id) override {
    Attempt* attempt = attempts_.find(id);
    if (attempt == nullptr) return;
    Server& server = servers_[static_cast<std::size_t>(attempt->call.server)];
    const ServiceSpec& service = deployment_.services[static_cast<std::size_t>(server.service)];
    attempt->start = now_;
    if (server.down) return end_attempt(id, {.refused = true});
    if (server.busy < service.slots) return work(id);
    if (server.busy + static_cast<int>(server.backlog.size()) >= service.connections) {
      return end_attempt(id, {.refused = true});
    }
    server.backlog.push_back(id);
  }

  void refuse_call(std::uint64_t id, const HopAnswer& answer) override {
    Attempt* attempt = attempts_.find(id);
    if (attempt == nullptr) return;
    attempt->ended = true;
    attempt->answer = answer;
    after(deployment_.hop, [this, id] { receive(id); });
  }

 private:
  struct Event {
    TimePoint time;
    std::uint64_t sequence;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return time != other.time ? time > other.time : sequence > other.sequence;
    }
  };
  struct Bin {
    int issued = 0;
    int good = 0;
  };

  const Phase& phase() const {
    const Phase* current = scenario_.phases.data();
    for (const Phase& phase : scenario_.phases) {
      if (now_.time_since_epoch() >= phase.from) current = &phase;
    }
    return *current;
  }

  // --- Callers ---

  void issue_next() {
    if (now_.time_since_epoch() >= scenario_.end) return;
    std::exponential_distribution<double> gap(phase().load * capacity(deployment_));
    after(from_ms(1000 * gap(random_)), [this] { issue_next(); });
    double pick = std::uniform_real_distribution<double>(0, 1)(random_);
    int operation = 0;
    while (operation + 1 < static_cast<int>(deployment_.operations.size()) &&
           pick >= deployment_.operations[static_cast<std::size_t>(operation)].share) {
      pick -= deployment_.operations[static_cast<std::size_t>(operation++)].share;
    }
    issue(operation, random_(), false);
  }

  void issue_poison() {
    if (now_.time_since_epoch() >= scenario_.end) return;
    after(kPoisonPeriod, [this] { issue_poison(); });
    issue(1, 0xBADBADULL, true);
  }

  void issue(int operation, std::uint64_t fingerprint, bool poison) {
    const std::size_t index = requests_.size();
    requests_.push_back(
        {operation, now_, fingerprint, poison, static_cast<int>(random_() % servers_.size()), 0, false});
    if (!poison) ++bins_[bin(now_)].issued;
    if (!poison && measured(now_)) ++issued_[operation_importance(operation)];
    try_request(index);
  }

  void try_request(std::size_t index) {
    Request& request = requests_[index];
    const OperationSpec& operation = operation_of(request);
    ++request.tries;
    const TimePoint give_up = std::min(now_ + operation.try_timeout, request.issued + operation.deadline);
    const std::uint64_t id = hops_.acquire();
    Hop& hop = *hops_.find(id);
    hop.request = index;
    hop.spec = &operation.root;
    hop.call.id = id;
    hop.call.operation = request.operation;
    hop.call.service = operation.root.service;
    hop.call.fingerprint = request.fingerprint;
    hop.call.daemon = request.daemon;
    hop.call.deadline = give_up - 2 * deployment_.client_hop;
    after(deployment_.client_hop, [this, id] { begin(id); });
    after(give_up - now_, [this, id] { time_out_entrance(id); });
  }

  void time_out_entrance(std::uint64_t id) {
    Hop* hop = hops_.find(id);
    if (hop == nullptr) return;
    const std::size_t request = hop->request;
    policy_.end_hop(hop->call);
    hops_.release(id);
    try_failed(request);
  }

  void try_failed(std::size_t index) {
    Request& request = requests_[index];
    const OperationSpec& operation = operation_of(request);
    if (request.tries > scenario_.caller_retries || now_ >= request.issued + operation.deadline) return;
    const double backoff_ms = std::uniform_real_distribution<double>(10, 30)(random_);
    after(from_ms(backoff_ms), [this, index] {
      if (now_ < requests_[index].issued + operation_of(requests_[index]).deadline) try_request(index);
    });
  }

  void answer_caller(std::size_t index, double deep_work) {
    Request& request = requests_[index];
    const OperationSpec& operation = operation_of(request);
    if (request.done || now_ > request.issued + operation.deadline) {
      wasted_work_ += deep_work;
      return;
    }
    request.done = true;
    useful_work_ += deep_work;
    if (request.poison) return;
    ++bins_[bin(request.issued)].good;
    if (measured(request.issued)) ++good_[operation_importance(request.operation)];
  }

  // --- Sending side ---

  void begin(std::uint64_t id) {
    if (Hop* hop = hops_.find(id)) apply(id, policy_.begin(hop->call));
  }

  void resume(std::uint64_t id) {
    if (Hop* hop = hops_.find(id)) apply(id, policy_.resume(hop->call));
  }

  void apply(std::uint64_t id, const HopStep& step) {
    switch (step.kind) {
      case HopStep::Kind::kSend:
        return send(id, step.server);
      case HopStep::Kind::kWait:
        ++hops_.find(id)->call.retries;
        return after(step.delay, [this, id] { resume(id); });
      case HopStep::Kind::kFail:
        return fail_hop(id);
    }
  }

  void send(std::uint64_t id, int server) {
    Hop* hop = hops_.find(id);
    hop->call.server = server;
    hop->sent = now_;
    const std::uint64_t attempt_id = attempts_.acquire();
    Attempt& attempt = *attempts_.find(attempt_id);
    attempt.hop = id;
    attempt.request = hop->request;
    attempt.spec = hop->spec;
    attempt.depth = hop->depth;
    attempt.call = hop->call;
    attempt.call.id = attempt_id;
    hop->attempt = attempt_id;
    policy_.sent(hop->call, attempt_id);
    after(deployment_.hop, [this, attempt_id] { arrive(attempt_id); });
    const Duration limit = policy_.carries_deadline() ? hop->call.deadline - now_ : kHopTimeout;
    after(limit, [this, id, attempt_id] {
      const Hop* waiting = hops_.find(id);
      if (waiting == nullptr || waiting->attempt != attempt_id) return;
      hop_failed(id, {.timed_out = true, .verdict = core::may_have_run(core::Cause::kDeadline)});
    });
  }

  void hop_failed(std::uint64_t id, HopAnswer answer) {
    Hop* hop = hops_.find(id);
    hop->attempt = 0;
    answer.latency = now_ - hop->sent;
    apply(id, policy_.answered(hop->call, answer));
  }

  void fail_hop(std::uint64_t id) {
    const Hop hop = *hops_.find(id);
    policy_.end_hop(hop.call);
    hops_.release(id);
    if (hop.call.parent != 0) return child_done(hop.call.parent, false, 0);
    after(deployment_.client_hop, [this, request = hop.request] { try_failed(request); });
  }

  // --- Servers ---

  void arrive(std::uint64_t id) {
    Attempt* attempt = attempts_.find(id);
    const Server& server = servers_[static_cast<std::size_t>(attempt->call.server)];
    if (server.down) return refuse_call(id, {.verdict = core::not_run(core::Cause::kConnection)});
    policy_.arrive(attempt->call);
  }

  void work(std::uint64_t id) {
    Attempt& attempt = *attempts_.find(id);
    Server& server = servers_[static_cast<std::size_t>(attempt.call.server)];
    ++server.busy;
    attempt.in_slot = true;
    server.running.push_back(id);
    std::lognormal_distribution<double> spread(-kSigma * kSigma / 2, kSigma);
    double ms = attempt.spec->work_ms * spread(random_);
    if (server.service == deployment_.bottleneck) ms /= phase().speed;
    if (now_ < server.cold_until) ms *= kColdFactor;
    attempt.own_work = ms / 1000;
    // A poison request brings its server down half-way through.
    if (requests_[attempt.request].poison) {
      after(from_ms(ms / 2), [this, id] { crash(id); });
      return;
    }
    after(from_ms(ms), [this, id] { work_done(id); });
  }

  void work_done(std::uint64_t id) {
    Attempt* attempt = attempts_.find(id);
    if (attempt == nullptr || attempt->ended) return;
    if (attempt->depth >= 1) attempt->deep_work += attempt->own_work;
    attempt->children = static_cast<int>(attempt->spec->children.size());
    if (attempt->children == 0) return end_attempt(id, {.ok = true, .latency = now_ - attempt->start});
    const CallSpec& spec = *attempt->spec;
    for (const CallSpec& child : spec.children) {
      const std::uint64_t hop_id = hops_.acquire();
      Hop& hop = *hops_.find(hop_id);
      hop.request = attempt->request;
      hop.spec = &child;
      hop.depth = attempt->depth + 1;
      hop.call = attempt->call;
      hop.call.id = hop_id;
      hop.call.parent = id;
      hop.call.service = child.service;
      hop.call.daemon = attempt->call.server;
      hop.call.retries = 0;
      hop.call.fingerprint = requests_[attempt->request].fingerprint + static_cast<std::uint64_t>(child.service) + 1;
      hop.call.deadline = attempt->call.deadline - 2 * deployment_.hop;
      after(Duration{0}, [this, hop_id] { begin(hop_id); });
    }
  }

  void child_done(std::uint64_t id, bool ok, double deep_work) {
    Attempt* attempt = attempts_.find(id);
    if (attempt == nullptr || attempt->ended) {
      wasted_work_ += deep_work;
      return;
    }
    attempt->deep_work += deep_work;
    if (!ok) attempt->failed = true;
    if (--attempt->children > 0) return;
    end_attempt(id, {.ok = !attempt->failed, .latency = now_ - attempt->start});
  }

  void end_attempt(std::uint64_t id, const ServerOutcome& outcome) {
    Attempt& attempt = *attempts_.find(id);
    attempt.ended = true;
    const PolicyCall call = attempt.call;
    if (attempt.in_slot) {
      Server& server = servers_[static_cast<std::size_t>(call.server)];
      --server.busy;
      std::erase(server.running, id);
      if (!server.backlog.empty() && !server.down) {
        const std::uint64_t next = server.backlog.front();
        server.backlog.pop_front();
        work(next);
      }
    }
    attempt.answer = policy_.finish(call, outcome);
    after(deployment_.hop + attempt.answer.hold, [this, id] { receive(id); });
  }

  void receive(std::uint64_t id) {
    const Attempt attempt = *attempts_.find(id);
    attempts_.release(id);
    Hop* hop = hops_.find(attempt.hop);
    if (hop == nullptr || hop->attempt != id) {
      wasted_work_ += attempt.deep_work;
      return;
    }
    if (!attempt.answer.ok) {
      wasted_work_ += attempt.deep_work;
      return hop_failed(attempt.hop, attempt.answer);
    }
    HopAnswer answer = attempt.answer;
    answer.latency = now_ - hop->sent;
    static_cast<void>(policy_.answered(hop->call, answer));
    policy_.end_hop(hop->call);
    const std::uint64_t parent = hop->call.parent;
    const std::size_t request = hop->request;
    hops_.release(attempt.hop);
    if (parent != 0) return child_done(parent, true, attempt.deep_work);
    after(deployment_.client_hop, [this, request, work = attempt.deep_work] { answer_caller(request, work); });
  }

  void crash(std::uint64_t id) {
    const Attempt* cause = attempts_.find(id);
    if (cause == nullptr || cause->ended) return;
    const int index = cause->call.server;
    Server& server = servers_[static_cast<std::size_t>(index)];
    if (server.down) return;
    ++crashes_;
    server.down = true;
    std::vector<std::uint64_t> lost = server.running;
    lost.insert(lost.end(), server.backlog.begin(), server.backlog.end());
    server.backlog.clear();
    policy_.crash(index);
    for (const std::uint64_t call : lost) {
      if (!attempts_.find(call)->ended) end_attempt(call, {.crashed = true});
    }
    after(kRestart, [this, index] {
      servers_[static_cast<std::size_t>(index)].down = false;
      servers_[static_cast<std::size_t>(index)].cold_until = now_ + kColdTime;
    });
  }

  // --- Measures ---

  bool measured(TimePoint issued) const {
    return issued.time_since_epoch() >= scenario_.measure_from && issued.time_since_epoch() < scenario_.end;
  }
  std::size_t bin(TimePoint time) const { return static_cast<std::size_t>(time.time_since_epoch() / kBin); }
  const OperationSpec& operation_of(const Request& request) const {
    return deployment_.operations[static_cast<std::size_t>(request.operation)];
  }
  std::size_t operation_importance(int operation) const {
    return static_cast<std::size_t>(deployment_.operations[static_cast<std::size_t>(operation)].importance);
  }

  double ideal_requests() const {
    double sum = 0;
    for (std::size_t i = 0; i < scenario_.phases.size(); ++i) {
      const Phase& part = scenario_.phases[i];
      const Duration from = std::max(part.from, scenario_.measure_from);
      const Duration to = i + 1 < scenario_.phases.size() ? scenario_.phases[i + 1].from : scenario_.end;
      if (to > from) sum += to_s(to - from) * ideal_rate(deployment_, part.load, part.speed);
    }
    return sum;
  }

  double recovery() const {
    const auto first = static_cast<std::size_t>(scenario_.recovery_from / kBin);
    const auto last = static_cast<std::size_t>(scenario_.end / kBin);
    std::size_t recovered = first;
    for (std::size_t i = first; i + kRecoveryBins <= last; ++i) {
      Bin sum;
      for (std::size_t k = i; k < i + kRecoveryBins; ++k) {
        sum.issued += bins_[k].issued;
        sum.good += bins_[k].good;
      }
      if (sum.good < 0.99 * sum.issued) recovered = i + 1;
    }
    return to_s(static_cast<int>(recovered - first) * Duration{kBin});
  }

  Result result() const {
    Result result;
    double good = 0;
    for (const int count : good_) good += count;
    result.goodput = good / ideal_requests();
    result.critical = issued_.back() == 0 ? 1 : static_cast<double>(good_.back()) / issued_.back();
    if (scenario_.recovery_from > Duration{0}) result.recovery_s = recovery();
    const double total = useful_work_ + wasted_work_;
    result.wasted = total > 0 ? wasted_work_ / total : 0;
    result.crashes = crashes_;
    result.events = event_count_;
    return result;
  }

  const Deployment& deployment_;
  const Scenario& scenario_;
  Policy& policy_;
  core::Random random_;
  TimePoint now_;
  std::priority_queue<Event> events_;
  std::uint64_t sequence_ = 0;
  std::uint64_t event_count_ = 0;
  std::vector<Server> servers_;
  std::deque<Request> requests_;
  Pool<Hop> hops_;
  Pool<Attempt> attempts_;
  std::array<int, core::kImportanceCount> issued_{};
  std::array<int, core::kImportanceCount> good_{};
  std::vector<Bin> bins_;
  double useful_work_ = 0;
  double wasted_work_ = 0;
  int crashes_ = 0;
};

}  // namespace

Result run(const Deployment& deployment, const Scenario& scenario, Policy& policy) {
  return Fixture(deployment, scenario, policy).run();
}

}  // namespace damaskthread::test
