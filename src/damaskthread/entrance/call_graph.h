#ifndef DAMASKTHREAD_ENTRANCE_CALL_GRAPH_H_
#define DAMASKTHREAD_ENTRANCE_CALL_GRAPH_H_

/// @file
/// @brief Directed graph of the calls that requests of each kind make, directly and transitively.

#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "damaskthread/core/types.h"

namespace damaskthread::entrance {

/// @brief Learned from the calls that daemons observe their servers making, and shared between daemons. A kind is a
/// route.
class CallGraph {
 public:
  /// Caller kind and callee kind.
  using Edge = std::pair<std::string, std::string>;

  /// @param expiry Time after which an edge that was not observed again is dropped.
  explicit CallGraph(core::Duration expiry = std::chrono::seconds{60}) noexcept : expiry_(expiry) {}

  /// @brief Records that requests of kind `caller` make calls of kind `callee`.
  /// @param own Whether this daemon observed the call; false if another daemon reported it.
  void record_call(std::string_view caller, std::string_view callee, bool observed_locally, core::TimePoint now);
  /// @brief Returns the kind itself and all kinds that its requests call transitively.
  [[nodiscard]] std::vector<std::string> reachable_kinds(std::string_view kind, core::TimePoint now) const;
  /// @brief Returns the edges that this daemon observed itself.
  [[nodiscard]] std::vector<Edge> local_edges(core::TimePoint now) const;

 private:
  struct EdgeState {
    core::TimePoint last_seen;
    bool observed_locally = false;
  };
  core::Duration expiry_;
  std::unordered_map<std::string, std::unordered_map<std::string, EdgeState>> edges_;
};

}  // namespace damaskthread::entrance

#endif  // DAMASKTHREAD_ENTRANCE_CALL_GRAPH_H_
