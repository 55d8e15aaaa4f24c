#include "damaskthread/entrance/call_graph.h"

#include <algorithm>

namespace damaskthread::entrance {

void CallGraph::record_call(std::string_view caller, std::string_view callee, bool observed_locally,
                            core::TimePoint now) {
  if (caller == callee) return;
  EdgeState& edge = edges_[std::string(caller)][std::string(callee)];
  edge.last_seen = now;
  edge.observed_locally = edge.observed_locally || observed_locally;
}

std::vector<std::string> CallGraph::reachable_kinds(std::string_view kind, core::TimePoint now) const {
  std::vector<std::string> kinds{std::string(kind)};
  for (std::size_t i = 0; i < kinds.size(); ++i) {
    const auto found = edges_.find(kinds[i]);
    if (found == edges_.end()) continue;
    for (const auto& [callee, edge] : found->second) {
      if (now - edge.last_seen > expiry_ || std::find(kinds.begin(), kinds.end(), callee) != kinds.end()) continue;
      kinds.push_back(callee);
    }
  }
  return kinds;
}

std::vector<CallGraph::Edge> CallGraph::local_edges(core::TimePoint now) const {
  std::vector<Edge> result;
  for (const auto& [caller, callees] : edges_) {
    for (const auto& [callee, edge] : callees) {
      if (edge.observed_locally && now - edge.last_seen <= expiry_) result.emplace_back(caller, callee);
    }
  }
  return result;
}

}  // namespace damaskthread::entrance
