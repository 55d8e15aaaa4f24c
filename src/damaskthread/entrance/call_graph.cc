#include "damaskthread/entrance/call_graph.h"

#include <algorithm>

namespace damaskthread::entrance {

void CallGraph::saw(std::string_view caller, std::string_view callee, bool own, core::TimePoint now) {
  if (caller == callee) return;
  Seen& seen = edges_[std::string(caller)][std::string(callee)];
  seen.last = now;
  seen.own = seen.own || own;
}

std::vector<std::string> CallGraph::reached(std::string_view kind, core::TimePoint now) const {
  std::vector<std::string> kinds{std::string(kind)};
  for (std::size_t i = 0; i < kinds.size(); ++i) {
    const auto found = edges_.find(kinds[i]);
    if (found == edges_.end()) continue;
    for (const auto& [callee, seen] : found->second) {
      if (now - seen.last > expiry_ || std::find(kinds.begin(), kinds.end(), callee) != kinds.end()) continue;
      kinds.push_back(callee);
    }
  }
  return kinds;
}

std::vector<CallGraph::Edge> CallGraph::own_edges(core::TimePoint now) const {
  std::vector<Edge> result;
  for (const auto& [caller, callees] : edges_) {
    for (const auto& [callee, seen] : callees) {
      if (seen.own && now - seen.last <= expiry_) result.emplace_back(caller, callee);
    }
  }
  return result;
}

}  // namespace damaskthread::entrance
