#ifndef DAMASKTHREAD_ENTRANCE_CALL_GRAPH_H_
#define DAMASKTHREAD_ENTRANCE_CALL_GRAPH_H_

/// @file
/// @brief Which services the servers of a service call, directly and through others.

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "damaskthread/core/types.h"

namespace damaskthread::entrance {

/// @brief Learned from the calls that daemons see their servers make. Servers pass no context on, so that one call
/// cannot be tied to the request that caused it; the edges between services can.
class CallGraph {
 public:
  /// @param expiry Time after which an edge that was not seen again is forgotten.
  explicit CallGraph(core::Duration expiry = std::chrono::seconds{60}) noexcept : expiry_(expiry) {}

  /// @brief Notes that servers of `caller` call `callee`.
  void saw(std::string_view caller, std::string_view callee, core::TimePoint now);
  /// @brief Services that a request to a service needs, that service first.
  [[nodiscard]] std::vector<std::string> needed(std::string_view service, core::TimePoint now) const;
  /// @brief Services that a service calls directly.
  [[nodiscard]] std::vector<std::string> callees(std::string_view service, core::TimePoint now) const;

 private:
  core::Duration expiry_;
  std::unordered_map<std::string, std::unordered_map<std::string, core::TimePoint>> edges_;
};

}  // namespace damaskthread::entrance

#endif  // DAMASKTHREAD_ENTRANCE_CALL_GRAPH_H_
