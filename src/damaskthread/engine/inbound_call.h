#ifndef DAMASKTHREAD_ENGINE_INBOUND_CALL_H_
#define DAMASKTHREAD_ENGINE_INBOUND_CALL_H_

/// @file
/// @brief One attempt at the daemon beside its server: quarantine, at-most-once, admission, execution, verdict.

#include <memory>
#include <optional>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/core/verdict.h"
#include "damaskthread/engine/call.h"
#include "damaskthread/engine/node.h"
#include "damaskthread/execution/token.h"

namespace damaskthread::engine {

/// @brief State machine of one inbound call. Used by one thread at a time.
class InboundCall {
 public:
  InboundCall(Node& node, PeerRequest request);
  ~InboundCall();
  InboundCall(const InboundCall&) = delete;
  InboundCall& operator=(const InboundCall&) = delete;

  /// @brief Decides whether the call runs, waits or is refused.
  /// @param now The time.
  /// @param events What became of other queued calls.
  [[nodiscard]] InboundStep arrive(core::TimePoint now, std::vector<admission::QueueEvent>& events);
  /// @brief The queued call's ticket has started.
  [[nodiscard]] InboundStep started(core::TimePoint now, std::vector<admission::QueueEvent>& events);
  /// @brief The queued call was dropped.
  [[nodiscard]] InboundStep dropped(const core::Verdict& verdict, core::TimePoint now);
  /// @brief The caller has gone. A queued call ends; the calls that a running one has made are cancelled.
  /// @return Whether the call was queued and is now over.
  bool cancel(core::TimePoint now, std::vector<admission::QueueEvent>& events);
  /// @brief The local server has answered or failed.
  [[nodiscard]] InboundOutcome finish(const LocalResult& result, core::TimePoint now,
                                      std::vector<admission::QueueEvent>& events);
  /// @brief What an answer carries that does not come from the server.
  [[nodiscard]] InboundOutcome outcome(const core::Verdict& verdict) const;

  [[nodiscard]] const std::shared_ptr<Running>& running() const noexcept { return running_; }

 private:
  enum class State : std::uint8_t { kNew, kQueued, kRunning, kEnded };

  [[nodiscard]] std::optional<InboundStep> check_service();
  [[nodiscard]] std::optional<InboundStep> begin_execution(core::TimePoint now);
  [[nodiscard]] InboundStep run(core::TimePoint now, std::vector<admission::QueueEvent>& events);
  [[nodiscard]] InboundStep refuse(const core::Verdict& verdict, core::TimePoint now);
  void release_slot(const admission::CallResult& result, core::TimePoint now,
                    std::vector<admission::QueueEvent>& events);
  [[nodiscard]] core::Verdict verdict_of(const LocalResult& result) const noexcept;
  void end_quarantine(const LocalResult& result, core::TimePoint now);

  Node& node_;
  PeerRequest request_;
  State state_ = State::kNew;
  admission::Arrival arrival_;
  admission::Ticket ticket_;
  bool at_most_once_ = false;
  std::optional<execution::ExecutionToken> token_;
  /// Number of the run under the token.
  std::optional<std::uint64_t> execution_;
  std::shared_ptr<Running> running_;
};

}  // namespace damaskthread::engine

#endif  // DAMASKTHREAD_ENGINE_INBOUND_CALL_H_
