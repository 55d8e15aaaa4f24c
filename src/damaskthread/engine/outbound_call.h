#ifndef DAMASKTHREAD_ENGINE_OUTBOUND_CALL_H_
#define DAMASKTHREAD_ENGINE_OUTBOUND_CALL_H_

/// @file
/// @brief One call from the call port to its answer: context, entrance check, routing, retries, at-most-once.

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/core/verdict.h"
#include "damaskthread/engine/call.h"
#include "damaskthread/engine/node.h"
#include "damaskthread/execution/token.h"

namespace damaskthread::engine {

/// @brief State machine of one outbound call. The host carries out each step and reports its result until the step is
/// kPassAnswer or kRefuse. Used by one thread at a time.
class OutboundCall {
 public:
  OutboundCall(Node& node, CallRequest request);
  ~OutboundCall();
  OutboundCall(const OutboundCall&) = delete;
  OutboundCall& operator=(const OutboundCall&) = delete;

  /// @brief Checks the call and decides on the first step.
  [[nodiscard]] Step begin(core::Random& random, core::TimePoint now);
  /// @brief Takes the result of a kSend step.
  [[nodiscard]] Step attempt_finished(const AttemptResult& result, core::Random& random, core::TimePoint now);
  /// @brief Takes the result of a kObtainToken step.
  /// @param token The token's text form, or nothing if the server gave none.
  /// @param verdict Why there is no token.
  [[nodiscard]] Step token_obtained(const std::optional<std::string>& token, const core::Verdict& verdict,
                                    core::Random& random, core::TimePoint now);
  /// @brief Takes the result of a kConfirmRepeat step.
  /// @param allowance Allowance for the repeat, or nothing if the home refused or could not be asked.
  [[nodiscard]] Step repeat_confirmed(std::optional<int> allowance, core::Random& random, core::TimePoint now);
  /// @brief Goes on after a kWait step.
  [[nodiscard]] Step resume(core::Random& random, core::TimePoint now);

  /// @brief The running call that makes this call; null for a call from outside.
  [[nodiscard]] const std::shared_ptr<Running>& parent() const noexcept { return parent_; }
  [[nodiscard]] core::Importance importance() const noexcept { return arrival_.importance; }
  [[nodiscard]] core::TimePoint deadline() const noexcept { return arrival_.deadline; }
  [[nodiscard]] int attempts() const noexcept { return attempts_; }
  [[nodiscard]] const std::string& request_id() const noexcept { return request_id_; }
  [[nodiscard]] bool at_most_once() const noexcept { return at_most_once_; }

 private:
  [[nodiscard]] std::optional<Step> classify(core::TimePoint now);
  [[nodiscard]] std::optional<Step> join_parent(core::TimePoint now);
  [[nodiscard]] std::optional<Step> open_root(core::TimePoint now);
  [[nodiscard]] Step enter(core::Random& random, core::TimePoint now);
  [[nodiscard]] std::optional<Step> read_token();
  [[nodiscard]] Step find_token(core::Random& random, core::TimePoint now);
  [[nodiscard]] Step obtain_token(core::Random& random, core::TimePoint now);
  [[nodiscard]] Step send(core::Random& random, core::TimePoint now);
  [[nodiscard]] Step send_to(core::ServerId server, core::TimePoint now);
  [[nodiscard]] Step retry_or_refuse(const core::Verdict& verdict, core::Random& random, core::TimePoint now);
  [[nodiscard]] bool may_reroute(const core::Verdict& verdict) const noexcept;
  [[nodiscard]] Step refuse(core::Verdict verdict);
  void end_attempt(const AttemptResult& result, const core::Verdict& verdict, core::TimePoint now);
  void close() noexcept;
  [[nodiscard]] core::ServiceId throttle_key() const noexcept;
  [[nodiscard]] core::Verdict verdict_of(const AttemptResult& result) const noexcept;

  Node& node_;
  CallRequest request_;
  std::shared_ptr<const resource::ServiceTable> services_;
  std::shared_ptr<ServiceState> state_;
  const resource::ServiceDeclaration* declaration_ = nullptr;
  const resource::Operation* operation_ = nullptr;
  std::shared_ptr<Running> parent_;
  admission::Arrival arrival_;
  std::string request_id_;
  core::RequestKey root_;
  /// Entry of the ledger that this call's retries are taken from.
  core::RequestKey allowance_key_;
  bool at_most_once_ = false;
  std::optional<execution::ExecutionToken> token_;
  /// The token is kept for repeats by the local server rather than given by the caller.
  std::optional<std::uint64_t> reservation_;
  std::uint64_t onward_key_ = 0;
  /// Where the token was obtained for the caller; the call is not run.
  bool token_for_caller_ = false;

  int attempts_ = 0;
  int waits_ = 0;
  int reroutes_ = 0;
  std::vector<core::ServerId> tried_;
  core::ServerId target_;
  bool in_flight_ = false;
  bool counted_at_parent_ = false;
  core::TimePoint latest_;
  retry::Share share_;
  core::Execution executed_ = core::Execution::kNotRun;
};

}  // namespace damaskthread::engine

#endif  // DAMASKTHREAD_ENGINE_OUTBOUND_CALL_H_
