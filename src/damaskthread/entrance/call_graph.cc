#include "damaskthread/entrance/call_graph.h"

#include <algorithm>

namespace damaskthread::entrance {

void CallGraph::saw(std::string_view caller, std::string_view callee, core::TimePoint now) {
  if (caller == callee) return;
  edges_[std::string(caller)][std::string(callee)] = now;
}

std::vector<std::string> CallGraph::callees(std::string_view service, core::TimePoint now) const {
  std::vector<std::string> result;
  const auto found = edges_.find(std::string(service));
  if (found == edges_.end()) return result;
  for (const auto& [callee, seen] : found->second) {
    if (now - seen <= expiry_) result.push_back(callee);
  }
  return result;
}

std::vector<std::string> CallGraph::needed(std::string_view service, core::TimePoint now) const {
  std::vector<std::string> result{std::string(service)};
  for (std::size_t i = 0; i < result.size(); ++i) {
    for (std::string& callee : callees(result[i], now)) {
      if (std::find(result.begin(), result.end(), callee) == result.end()) result.push_back(std::move(callee));
    }
  }
  return result;
}

}  // namespace damaskthread::entrance
