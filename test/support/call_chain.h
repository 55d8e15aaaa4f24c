#ifndef TEST_SUPPORT_CALL_CHAIN_H_
#define TEST_SUPPORT_CALL_CHAIN_H_

/// @file
/// @brief A few nodes whose calls are carried out recursively, with faults drawn from a seed. No time passes by itself:
/// each exchange advances the clock by a drawn amount.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/engine/inbound_call.h"
#include "damaskthread/engine/node.h"
#include "damaskthread/engine/outbound_call.h"

namespace damaskthread::support {

/// Chances of faults in thousandths, drawn for each exchange.
struct Faults {
  int connect = 0;
  int server_down = 0;  ///< The daemon answers, its server does not accept connections.
  int lost_answer = 0;
  int cut_before = 0;  ///< The connection breaks after the request was written, before it is handled.
  int duplicate = 0;   ///< The attempt is delivered a second time.
  int server_refuses = 0;
  int server_fails = 0;
  int restart = 0;  ///< The daemon restarts as a new incarnation while an answer is on its way.
  int pause = 0;    ///< Time jumps past the validity of tokens.
  int caller_gone = 0;
};

/// What a caller outside got.
struct Answer {
  core::Verdict verdict;
  std::string token;
  std::string request_id;
  /// Root request whose answer this is; 0 if there is none.
  std::uint64_t body = 0;
};

/// Counts kept for one root request (by the number the caller gave it).
struct Ledger {
  int attempts = 0;                 ///< Attempts delivered to any server beyond the first at each call.
  int retries = 0;                  ///< Attempts that reached a server after an earlier attempt of the same call had.
  int most_sends = 0;               ///< Largest number of attempts of one call, those that reached no server included.
  int runs = 0;                     ///< Executions at the root's service.
  int runs_anywhere = 0;            ///< Executions at any server of the chain.
  std::map<std::string, int> once;  ///< Executions of each at-most-once operation by call key.
};

class CallChain {
 public:
  CallChain(std::uint64_t seed, const Faults& faults);

  /// @brief One call from outside.
  /// @param ingress Index of the daemon that is called.
  /// @param number Number of the root request; the payload that the answer must match.
  /// @param target Path of the operation at service `front`.
  /// @param request_id Id from an earlier answer, for a repeat; empty for a new request.
  /// @param token Token from an earlier answer, or empty.
  Answer call(std::size_t ingress, std::uint64_t number, const std::string& target, const std::string& request_id,
              const std::string& token);

  [[nodiscard]] std::size_t size() const noexcept { return daemons_.size(); }
  [[nodiscard]] Ledger& ledger(std::uint64_t number) { return ledgers_[number]; }
  [[nodiscard]] core::TimePoint now() const noexcept { return now_; }
  /// @brief Gives every daemon a view in which some servers are missing.
  void scramble_views();
  void restart(std::size_t index);

 private:
  struct Daemon {
    std::string service;
    core::ServerId id;
    std::uint64_t life = 0;
    std::shared_ptr<engine::Node> node;
  };
  struct Exchange {
    engine::AttemptResult result;
    std::uint64_t body = 0;
    bool reached_server = false;
  };

  [[nodiscard]] bool draw(int chance);
  Daemon* find(core::ServerId id);
  void start(Daemon& daemon);
  void share_view(Daemon& daemon, int missing);
  Answer outbound(engine::Node& node, const engine::CallRequest& request, std::uint64_t number);
  Exchange exchange(const engine::OutboundStep& step, const engine::CallRequest& request, std::uint64_t number);
  Exchange deliver(Daemon& daemon, const engine::PeerRequest& request, std::uint64_t number);
  engine::LocalResult run(Daemon& daemon, const engine::InboundStep& step, const engine::PeerRequest& request,
                          std::uint64_t number, std::uint64_t& body);

  Faults faults_;
  core::Random random_;
  core::TimePoint now_{std::chrono::hours(1)};
  std::vector<Daemon> daemons_;
  std::shared_ptr<const resource::ServiceTable> services_;
  std::map<std::uint64_t, Ledger> ledgers_;
  std::uint64_t next_attempt_ = 1;
};

}  // namespace damaskthread::support

#endif  // TEST_SUPPORT_CALL_CHAIN_H_
