#ifndef DAMASKTHREAD_ENGINE_OUTBOUND_CALL_H_
#define DAMASKTHREAD_ENGINE_OUTBOUND_CALL_H_

/// @file
/// @brief One call from the call port to its answer: context, throttling, routing, retries, at-most-once.

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

/// @brief State machine of one outbound call. The host executes each step and reports its result until the step is
/// kForwardAnswer or kRefuse. Used by one thread at a time.
class OutboundCall {
 public:
  OutboundCall(Node& node, CallRequest request);
  ~OutboundCall();
  OutboundCall(const OutboundCall&) = delete;
  OutboundCall& operator=(const OutboundCall&) = delete;

  /// @brief Checks the call and returns the first step.
  [[nodiscard]] OutboundStep begin(core::Random& random, core::TimePoint now);
  /// @brief Takes the result of a kSend step.
  [[nodiscard]] OutboundStep attempt_finished(const AttemptResult& result, core::Random& random, core::TimePoint now);
  /// @brief Takes the result of a kObtainToken step.
  /// @param token The token as text, or `std::nullopt` if the server did not issue one.
  /// @param verdict Why there is no token.
  [[nodiscard]] OutboundStep token_obtained(const std::optional<std::string>& token, const core::Verdict& verdict,
                                            core::Random& random, core::TimePoint now);
  /// @brief Takes the result of a kConfirmRepeat step.
  /// @param allowance Retry allowance of the repeat, or `std::nullopt` if the home daemon refused or was unreachable.
  [[nodiscard]] OutboundStep repeat_confirmed(std::optional<int> allowance, core::Random& random, core::TimePoint now);
  /// @brief Continues after a kWait step.
  [[nodiscard]] OutboundStep resume(core::Random& random, core::TimePoint now);

  /// @brief Running call that makes this call; null for a root call.
  [[nodiscard]] const std::shared_ptr<RunningCall>& parent() const noexcept { return parent_; }
  [[nodiscard]] core::Importance importance() const noexcept { return arrival_.importance; }
  [[nodiscard]] core::TimePoint deadline() const noexcept { return arrival_.deadline; }
  [[nodiscard]] int attempts() const noexcept { return attempts_; }
  [[nodiscard]] const std::string& request_id() const noexcept { return request_id_; }
  [[nodiscard]] bool at_most_once() const noexcept { return at_most_once_; }

 private:
  [[nodiscard]] std::optional<OutboundStep> classify(core::TimePoint now);
  [[nodiscard]] std::optional<OutboundStep> join_parent(core::TimePoint now);
  [[nodiscard]] std::optional<OutboundStep> begin_root(core::TimePoint now);
  [[nodiscard]] OutboundStep check_and_send(core::Random& random, core::TimePoint now);
  [[nodiscard]] std::optional<OutboundStep> read_token();
  [[nodiscard]] OutboundStep find_or_obtain_token(core::Random& random, core::TimePoint now);
  [[nodiscard]] OutboundStep obtain_token(core::Random& random, core::TimePoint now);
  [[nodiscard]] OutboundStep send(core::Random& random, core::TimePoint now);
  [[nodiscard]] OutboundStep send_to(core::ServerId server, core::TimePoint now);
  [[nodiscard]] OutboundStep retry_or_refuse(const core::Verdict& verdict, core::Random& random, core::TimePoint now);
  [[nodiscard]] bool may_reroute(const core::Verdict& verdict) const noexcept;
  [[nodiscard]] OutboundStep refuse(core::Verdict verdict);
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
  std::shared_ptr<RunningCall> parent_;
  admission::Arrival arrival_;
  std::string request_id_;
  core::RequestKey root_;
  /// Ledger entry that the retries of this call are charged to.
  core::RequestKey allowance_key_;
  bool at_most_once_ = false;
  std::optional<execution::ExecutionToken> token_;
  /// Set while a token for repeats by the local server is being obtained.
  std::optional<std::uint64_t> reservation_;
  std::uint64_t onward_key_ = 0;
  /// The token is returned to the caller; the call is not run.
  bool token_for_caller_ = false;

  int attempts_ = 0;
  int retry_count_ = 0;
  int reroutes_ = 0;
  std::vector<core::ServerId> tried_servers_;
  core::ServerId target_;
  bool in_flight_ = false;
  bool counted_at_parent_ = false;
  core::TimePoint last_event_time_;
  retry::AllowanceShare share_;
  core::Execution known_execution_ = core::Execution::kNotRun;
};

}  // namespace damaskthread::engine

#endif  // DAMASKTHREAD_ENGINE_OUTBOUND_CALL_H_
