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
// All tokens of the test belong to one shard, which holds one id, so that the table of a daemon is often full.
constexpr std::size_t kCapacity = DAMASKTHREAD_SHARD_COUNT;

// One life of the daemon at an address. All lives stay in memory, so that late steps of a dead one can be told.
struct Life {
  std::size_t address = 0;
  core::Incarnation incarnation;
  core::Duration clock_offset{0};
  std::unique_ptr<ExecutionTable> table;
  bool alive = true;
  bool frozen = false;
};

// One step that is still to come. Steps are taken in any order, lost and doubled like the messages they stand for.
struct Step {
  enum class Kind { kRequest, kForwarded, kBegin, kExecute, kFinish };
  Kind kind = Kind::kRequest;
  std::size_t operation = 0;
  std::string token;
  std::size_t life = 0;
  core::TimePoint clock{};  // What the thread read before it was paused.
  std::uint64_t run = 0;
  bool refused = false;   // Admission refuses the run.
  bool repeated = false;  // Second report of the end of a run.
};

// Clients, daemons and a network; counts the executions of every operation.
class World {
 public:
  World() {
    for (std::size_t address = 0; address < kDaemons; ++address) start(address, milliseconds(37 * address));
  }

  void act(int action, std::uint64_t choice) {
    const std::size_t operation = choice % kOperations;
    const std::size_t address = (choice / kOperations) % kDaemons;
    switch (action) {
      case 0:  // A client sends its request, again and again until the schedule ends.
        steps_.push_back({.operation = operation, .token = tokens_[operation], .life = current_[address]});
        break;
      case 1:  // The same request at once through two daemons.
        for (const std::size_t entry : {address, (address + 1) % kDaemons}) {
          steps_.push_back({.operation = operation, .token = tokens_[operation], .life = current_[entry]});
        }
        break;
      case 2:
        take(choice, true);
        break;
      case 3:
        take(choice, false);
        break;
      case 4:
        if (!steps_.empty()) steps_.erase(steps_.begin() + static_cast<std::ptrdiff_t>(choice % steps_.size()));
        break;
      case 5:
        time_ += milliseconds(choice % 40);
        break;
      case 6:
        lives_[current_[address]].frozen = !lives_[current_[address]].frozen;
        break;
      case 7:  // A new daemon without memory at the same address.
        lives_[current_[address]].alive = false;
        start(address, milliseconds(choice % 500));
        break;
      case 8:  // A client sends its token with another body.
        if (!tokens_[operation].empty()) {
          steps_.push_back(
              {.operation = (operation + 1) % kOperations, .token = tokens_[operation], .life = current_[address]});
        }
        break;
      case 9:  // The client gives up and starts a new operation.
        tokens_[operation].clear();
        break;
      default:  // A daemon's view changes: it does or does not see the life at the next address.
        unseen_[address] = !unseen_[address];
    }
  }

  [[nodiscard]] int most_executions() const { return most_executions_; }
  [[nodiscard]] int false_not_run() const { return false_not_run_; }
  [[nodiscard]] int wrong_requests() const { return wrong_requests_; }
  [[nodiscard]] int executions() const { return executions_total_; }

 private:
  static std::uint64_t print_of(std::size_t operation) { return 1000 + operation; }

  core::TimePoint clock(const Life& life) const { return time_ + life.clock_offset; }

  void start(std::size_t address, core::Duration offset) {
    const core::Incarnation incarnation{next_incarnation_++};
    current_[address] = lives_.size();
    lives_.push_back(
        {.address = address,
         .incarnation = incarnation,
         .clock_offset = offset,
         .table = std::make_unique<ExecutionTable>(
             core::ServerId{address + 1}, incarnation, kMacKey,
             ExecutionTableOptions{
                 .validity = kValidity, .capacity = kCapacity, .max_answer_bytes = 100, .answer_budget_bytes = 200})});
  }

  // A step stays on the way as a duplicate if it is not removed; runs and ends happen once per thread.
  void take(std::uint64_t choice, bool keep_copy) {
    if (steps_.empty()) return;
    const std::size_t index = choice % steps_.size();
    const Step step = steps_[index];
    Life& life = lives_[step.life];
    if (life.alive && life.frozen) return;
    const bool message = step.kind == Step::Kind::kRequest || step.kind == Step::Kind::kForwarded;
    if (!message || !keep_copy) steps_.erase(steps_.begin() + static_cast<std::ptrdiff_t>(index));
    if (!life.alive && message) return;
    switch (step.kind) {
      case Step::Kind::kRequest:
        return receive(step, life, choice);
      case Step::Kind::kForwarded:
        steps_.push_back(with(step, Step::Kind::kBegin, step.life));
        steps_.back().clock = clock(life);
        steps_.back().refused = choice % 5 == 0;
        return;
      case Step::Kind::kBegin:
        return begin(step, life);
      case Step::Kind::kExecute:
        return execute(step);
      case Step::Kind::kFinish:
        return finish(step, life);
    }
  }

  static Step with(Step step, Step::Kind kind, std::size_t life) {
    step.kind = kind;
    step.life = life;
    return step;
  }

  // At the ingress daemon: obtain a token from some daemon it sees, or hand over to the one the token names.
  void receive(const Step& step, const Life& ingress, std::uint64_t choice) {
    if (step.token.empty()) {
      const Life& issuer = lives_[current_[unseen_[ingress.address] ? ingress.address : choice % kDaemons]];
      if (issuer.frozen) return;
      const auto token = issuer.table->issue(print_of(step.operation), clock(issuer));
      // Sequences of the other shards go unused.
      for (int i = 1; i < DAMASKTHREAD_SHARD_COUNT; ++i) (void)issuer.table->issue(0, clock(issuer));
      // The client keeps the first token it gets; an answer with a later one is the answer to a duplicate.
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
    const bool unseen = unseen_[ingress.address] && address != ingress.address;
    if (unseen) return;  // Answered with 410, may have run.
    steps_.push_back(with(step, Step::Kind::kForwarded, current_[address]));
  }

  void begin(const Step& step, const Life& life) {
    if (!life.alive) return;
    const ExecutionToken token = parse(step.token);
    const BeginResult result = life.table->begin(token, print_of(step.operation), step.clock);
    if (result.status != BeginStatus::kRun) {
      answer(step, result.verdict);
      return;
    }
    steps_.push_back(with(step, step.refused ? Step::Kind::kFinish : Step::Kind::kExecute, step.life));
    steps_.back().run = result.run;
    if (!step.refused) ++running_[key(step)];
  }

  // The server beside a daemon that has died may still run what it was given.
  void execute(const Step& step) {
    --running_[key(step)];
    ++executions_total_;
    most_executions_ = std::max(most_executions_, ++executions_[key(step)]);
    if (parse(step.token).fingerprint != print_of(step.operation)) ++wrong_requests_;
    steps_.push_back(with(step, Step::Kind::kFinish, step.life));
  }

  void finish(const Step& step, const Life& life) {
    if (!life.alive) return;
    const core::Verdict verdict = step.refused
                                      ? core::not_run(core::Cause::kOverload)
                                      : core::Verdict{core::Execution::kRan, core::Cause::kNone, core::Duration{0}};
    life.table->finish(parse(step.token), step.run, StoredAnswer{.status = 200, .headers = {}, .body = "done"}, verdict,
                       clock(life));
    if (step.repeated) return;
    // The end of a refused run may be reported a second time, after another run of the same token has begun.
    if (step.refused) {
      steps_.push_back(step);
      steps_.back().repeated = true;
    }
    answer(step, verdict);
  }

  // A verdict of not run must hold when it is given: nothing with this token and body has run or is about to.
  void answer(const Step& step, const core::Verdict& verdict) {
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
  std::vector<Life> lives_;
  std::array<std::size_t, kDaemons> current_{};
  std::array<bool, kDaemons> unseen_{};
  std::array<std::string, kOperations> tokens_;
  std::vector<Step> steps_;
  std::map<Key, int> executions_;
  std::map<Key, int> running_;
  int most_executions_ = 0;
  int executions_total_ = 0;
  int false_not_run_ = 0;
  int wrong_requests_ = 0;  // Executions with a token that was issued for another request.
};

}  // namespace

// Guards against P5 and P4: a payment that runs twice, or that is called not run although it ran or is about to.
TEST_CASE("a token runs once and not run is never false under pauses, restarts, duplicates and lost answers") {
  CHECK(rc::check([] {
    const auto schedule = *rc::gen::resize(
        900, rc::gen::container<std::vector<std::pair<int, std::uint32_t>>>(rc::gen::pair(
                 rc::gen::weightedElement<int>(
                     {{5, 0}, {3, 1}, {10, 2}, {14, 3}, {1, 4}, {2, 5}, {1, 6}, {1, 7}, {1, 8}, {2, 9}, {1, 10}}),
                 rc::gen::resize(1000, rc::gen::arbitrary<std::uint32_t>()))));
    World world;
    for (const auto& [action, choice] : schedule) {
      world.act(action, choice);
      RC_ASSERT(world.most_executions() <= 1);
      RC_ASSERT(world.false_not_run() == 0);
      RC_ASSERT(world.wrong_requests() == 0);
    }
    RC_CLASSIFY(world.executions() >= 2, "two or more operations ran");
    RC_CLASSIFY(world.executions() == 0, "nothing ran");
  }));
}

}  // namespace damaskthread::execution
