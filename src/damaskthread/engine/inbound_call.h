#ifndef DAMASKTHREAD_ENGINE_INBOUND_CALL_H_
#define DAMASKTHREAD_ENGINE_INBOUND_CALL_H_

/// @file
/// @brief One attempt at the daemon of the called server: quarantine, at-most-once, admission, execution, verdict.

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
  /// @param events Receives the events of other queued calls.
  [[nodiscard]] InboundStep begin(core::TimePoint now, std::vector<admission::QueueEvent>& events);
  /// @brief Runs the queued call after its ticket has started.
  [[nodiscard]] InboundStep started(core::TimePoint now, std::vector<admission::QueueEvent>& events);
  /// @brief Refuses the queued call after it was dropped.
  [[nodiscard]] InboundStep dropped(const core::Verdict& verdict, core::TimePoint now);
  /// @brief Handles the disconnection of the caller: ends a queued call or cancels the child calls of a running call.
  /// @return True if the call was queued and has ended.
  bool cancel(core::TimePoint now, std::vector<admission::QueueEvent>& events);
  /// @brief Takes the result of the call at the local server.
  [[nodiscard]] InboundOutcome finish(const LocalResult& result, core::TimePoint now,
                                      std::vector<admission::QueueEvent>& events);
  /// @brief Answer metadata for a verdict, as added by the daemon.
  [[nodiscard]] InboundOutcome outcome(const core::Verdict& verdict) const;

  [[nodiscard]] const std::shared_ptr<RunningCall>& running() const noexcept { return running_; }

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
  /// Number of the current run under the token.
  std::optional<std::uint64_t> execution_;
  std::shared_ptr<RunningCall> running_;
};

}  // namespace damaskthread::engine

#endif  // DAMASKTHREAD_ENGINE_INBOUND_CALL_H_
