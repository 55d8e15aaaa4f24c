#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <boost/leaf/handle_errors.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "damaskthread/core/error.h"
#include "damaskthread/execution/table.h"

namespace damaskthread::execution {
namespace {

using std::chrono::milliseconds;

constexpr core::MacKey kMacKey{7};
constexpr std::size_t kDaemons = 3;
constexpr std::size_t kOperations = 4;
constexpr core::Duration kValidity = milliseconds(100);
// All tokens of the test belong to one shard with room for one id, so that the table of a daemon is often full.
constexpr std::size_t kCapacity = DAMASKTHREAD_SHARD_COUNT;

// One run of the daemon at an address. Ended runs are kept, so that their late steps can be recognized.
struct DaemonRun {
  std::size_t address = 0;
  core::Incarnation incarnation;
  core::Duration clock_offset{0};
  std::unique_ptr<ExecutionTable> table;
  bool alive = true;
  bool frozen = false;
};

// A pending step. Steps are executed in any order, lost and duplicated like the messages they represent.
struct Step {
  enum class Kind { kRequest, kForwarded, kBegin, kExecute, kFinish };
  Kind kind = Kind::kRequest;
  std::size_t operation = 0;
  std::string token;
  std::size_t daemon_run = 0;
  core::TimePoint clock{};  // Clock value read before the thread was paused.
  std::uint64_t run = 0;
  bool refused = false;   // Admission refuses the run.
  bool repeated = false;  // Duplicate report of the end of a run.
};

// Simulates clients, daemons and a network, and counts the executions of each operation.
class Simulation {
 public:
  Simulation() {
    for (std::size_t address = 0; address < kDaemons; ++address) start(address, milliseconds(37 * address));
  }

  void apply_action(int action, std::uint64_t choice) {
    const std::size_t operation = choice % kOperations;
    const std::size_t address = (choice / kOperations) % kDaemons;
    switch (action) {
      case 0:  // A client sends its request, repeatedly until the schedule ends.
        steps_.push_back({.operation = operation, .token = tokens_[operation], .daemon_run = current_[address]});
        break;
      case 1:  // The same request concurrently through two daemons.
        for (const std::size_t entry : {address, (address + 1) % kDaemons}) {
          steps_.push_back({.operation = operation, .token = tokens_[operation], .daemon_run = current_[entry]});
        }
        break;
      case 2:
        execute_step(choice, true);
        break;
      case 3:
        execute_step(choice, false);
        break;
      case 4:
        if (!steps_.empty()) steps_.erase(steps_.begin() + static_cast<std::ptrdiff_t>(choice % steps_.size()));
        break;
      case 5:
        time_ += milliseconds(choice % 40);
        break;
      case 6:
        daemon_runs_[current_[address]].frozen = !daemon_runs_[current_[address]].frozen;
        break;
      case 7:  // The daemon restarts at the same address without its state.
        daemon_runs_[current_[address]].alive = false;
        start(address, milliseconds(choice % 500));
        break;
      case 8:  // A client sends its token with another body.
        if (!tokens_[operation].empty()) {
          steps_.push_back({.operation = (operation + 1) % kOperations,
                            .token = tokens_[operation],
                            .daemon_run = current_[address]});
        }
        break;
      case 9:  // The client gives up and starts a new operation.
        tokens_[operation].clear();
        break;
      default:  // Toggles whether a daemon knows the daemons at other addresses.
        outdated_view_[address] = !outdated_view_[address];
    }
  }

  [[nodiscard]] int max_executions() const { return max_executions_; }
  [[nodiscard]] int false_not_run() const { return false_not_run_; }
  [[nodiscard]] int mismatched_executions() const { return mismatched_executions_; }
  [[nodiscard]] int executions() const { return total_executions_; }

 private:
  static std::uint64_t fingerprint_of(std::size_t operation) { return 1000 + operation; }

  core::TimePoint clock(const DaemonRun& daemon_run) const { return time_ + daemon_run.clock_offset; }

  void start(std::size_t address, core::Duration offset) {
    const core::Incarnation incarnation{next_incarnation_++};
    current_[address] = daemon_runs_.size();
    daemon_runs_.push_back(
        {.address = address,
         .incarnation = incarnation,
         .clock_offset = offset,
         .table = std::make_unique<ExecutionTable>(
             core::ServerId{address + 1}, incarnation, kMacKey,
             ExecutionTableOptions{
                 .validity = kValidity, .capacity = kCapacity, .max_answer_bytes = 100, .answer_budget_bytes = 200})});
  }

  // Executes a pending step. A message may be kept as a duplicate; other steps are executed once.
  void execute_step(std::uint64_t choice, bool keep_copy) {
    if (steps_.empty()) return;
    const std::size_t index = choice % steps_.size();
    const Step step = steps_[index];
    DaemonRun& daemon_run = daemon_runs_[step.daemon_run];
    if (daemon_run.alive && daemon_run.frozen) return;
    const bool is_message = step.kind == Step::Kind::kRequest || step.kind == Step::Kind::kForwarded;
    if (!is_message || !keep_copy) steps_.erase(steps_.begin() + static_cast<std::ptrdiff_t>(index));
    if (!daemon_run.alive && is_message) return;
    switch (step.kind) {
      case Step::Kind::kRequest:
        return receive(step, daemon_run, choice);
      case Step::Kind::kForwarded:
        steps_.push_back(retarget(step, Step::Kind::kBegin, step.daemon_run));
        steps_.back().clock = clock(daemon_run);
        steps_.back().refused = choice % 5 == 0;
        return;
      case Step::Kind::kBegin:
        return begin(step, daemon_run);
      case Step::Kind::kExecute:
        return execute(step);
      case Step::Kind::kFinish:
        return finish(step, daemon_run);
    }
  }

  static Step retarget(Step step, Step::Kind kind, std::size_t daemon_run) {
    step.kind = kind;
    step.daemon_run = daemon_run;
    return step;
  }

  // At the ingress daemon: obtains a token from a known daemon, or forwards the request to the daemon in the token.
  void receive(const Step& step, const DaemonRun& ingress, std::uint64_t choice) {
    if (step.token.empty()) {
      const DaemonRun& issuer =
          daemon_runs_[current_[outdated_view_[ingress.address] ? ingress.address : choice % kDaemons]];
      if (issuer.frozen) return;
      const auto token = issuer.table->issue(fingerprint_of(step.operation), clock(issuer));
      // Skips the sequence numbers of the other shards.
      for (int i = 1; i < DAMASKTHREAD_SHARD_COUNT; ++i) (void)issuer.table->issue(0, clock(issuer));
      // The client keeps the first token; an answer with a later token belongs to a duplicate request.
      if (token && tokens_[step.operation].empty() && choice % 7 != 0) tokens_[step.operation] = to_string(*token);
      return;
    }
    const std::optional<ExecutionToken> token = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<ExecutionToken>> {
          BOOST_LEAF_AUTO(parsed, parse_token(step.token, kMacKey));
          return parsed;
        },
        [] { return std::optional<ExecutionToken>(); });
    const std::size_t address = token->server.value - 1;
    const bool unknown_issuer = outdated_view_[ingress.address] && address != ingress.address;
    if (unknown_issuer) return;  // Answered with 410, may have run.
    steps_.push_back(retarget(step, Step::Kind::kForwarded, current_[address]));
  }

  void begin(const Step& step, const DaemonRun& daemon_run) {
    if (!daemon_run.alive) return;
    const ExecutionToken token = parse(step.token);
    const BeginResult result = daemon_run.table->begin(token, fingerprint_of(step.operation), step.clock);
    if (result.status != BeginStatus::kRun) {
      check_verdict(step, result.verdict);
      return;
    }
    steps_.push_back(retarget(step, step.refused ? Step::Kind::kFinish : Step::Kind::kExecute, step.daemon_run));
    steps_.back().run = result.run;
    if (!step.refused) ++running_[key(step)];
  }

  // The server of a daemon that has died may still execute the calls passed to it.
  void execute(const Step& step) {
    --running_[key(step)];
    ++total_executions_;
    max_executions_ = std::max(max_executions_, ++executions_[key(step)]);
    if (parse(step.token).fingerprint != fingerprint_of(step.operation)) ++mismatched_executions_;
    steps_.push_back(retarget(step, Step::Kind::kFinish, step.daemon_run));
  }

  void finish(const Step& step, const DaemonRun& daemon_run) {
    if (!daemon_run.alive) return;
    const core::Verdict verdict = step.refused
                                      ? core::not_run(core::Cause::kOverload)
                                      : core::Verdict{core::Execution::kRan, core::Cause::kNone, core::Duration{0}};
    daemon_run.table->finish(parse(step.token), step.run, StoredAnswer{.status = 200, .headers = {}, .body = "done"},
                             verdict, clock(daemon_run));
    if (step.repeated) return;
    // The end of a refused run may be reported again after another run of the same token has started.
    if (step.refused) {
      steps_.push_back(step);
      steps_.back().repeated = true;
    }
    check_verdict(step, verdict);
  }

  // When a verdict is "not run", no execution with this token and body may have started or be pending.
  void check_verdict(const Step& step, const core::Verdict& verdict) {
    if (verdict.execution != core::Execution::kNotRun) return;
    if (executions_[key(step)] > 0 || running_[key(step)] > 0) ++false_not_run_;
  }

  static ExecutionToken parse(const std::string& text) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<ExecutionToken> { return parse_token(text, kMacKey); },
        [] { return ExecutionToken(); });
  }

  using Key = std::pair<std::string, std::size_t>;
  static Key key(const Step& step) { return {step.token, step.operation}; }

  core::TimePoint time_{std::chrono::seconds(1000)};
  std::uint64_t next_incarnation_ = 1;
  std::vector<DaemonRun> daemon_runs_;
  std::array<std::size_t, kDaemons> current_{};
  std::array<bool, kDaemons> outdated_view_{};
  std::array<std::string, kOperations> tokens_;
  std::vector<Step> steps_;
  std::map<Key, int> executions_;
  std::map<Key, int> running_;
  int max_executions_ = 0;
  int total_executions_ = 0;
  int false_not_run_ = 0;
  int mismatched_executions_ = 0;  // Executions with a token issued for another request.
};

}  // namespace

// P4 and P5. Guards against a payment that runs twice, or that is reported as "not run" although it has run or will
// run.
TEST_CASE("a token runs once and not run is never false under pauses, restarts, duplicates and lost answers") {
  CHECK(rc::check([] {
    const auto schedule = *rc::gen::resize(
        900, rc::gen::container<std::vector<std::pair<int, std::uint32_t>>>(rc::gen::pair(
                 rc::gen::weightedElement<int>(
                     {{5, 0}, {3, 1}, {10, 2}, {14, 3}, {1, 4}, {2, 5}, {1, 6}, {1, 7}, {1, 8}, {2, 9}, {1, 10}}),
                 rc::gen::resize(1000, rc::gen::arbitrary<std::uint32_t>()))));
    Simulation simulation;
    for (const auto& [action, choice] : schedule) {
      simulation.apply_action(action, choice);
      RC_ASSERT(simulation.max_executions() <= 1);
      RC_ASSERT(simulation.false_not_run() == 0);
      RC_ASSERT(simulation.mismatched_executions() == 0);
    }
    RC_CLASSIFY(simulation.executions() >= 2, "two or more operations ran");
    RC_CLASSIFY(simulation.executions() == 0, "nothing ran");
  }));
}

}  // namespace damaskthread::execution
