#ifndef DAMASKTHREAD_ROUTING_SUBSET_H_
#define DAMASKTHREAD_ROUTING_SUBSET_H_

/// @file
/// @brief Which servers one daemon connects to, so that no server gets more connections than it declares.

#include <cstddef>
#include <cstdint>
#include <vector>

#include "damaskthread/core/types.h"

namespace damaskthread::routing {

/// How many servers a daemon uses and how many connections it may open to each.
struct SubsetShape {
  int members = 0;
  int quota = 0;  ///< Connections, and thereby calls in flight, per member.
  bool operator==(const SubsetShape&) const = default;
};

/// @brief Chooses the size of a subset so that the connections of all callers stay within a server's bound.
/// @param servers Servers that the callers choose from.
/// @param callers Daemons that choose from them, each by itself.
/// @param connections Connections that each server accepts from these callers.
/// @param max_members Largest useful subset.
/// @return The shape; one connection to one member if even that exceeds the bound.
[[nodiscard]] SubsetShape subset_shape(int servers, int callers, int connections, int max_members) noexcept;

/// @brief Orders servers by rendezvous hash for one daemon.
/// @param self The daemon.
/// @param servers The servers; on return the first `count` are those with the largest hash, in descending order.
/// @param count How many to select.
void rendezvous_select(core::ServerId self, std::vector<core::ServerId>& servers, std::size_t count);

}  // namespace damaskthread::routing

#endif  // DAMASKTHREAD_ROUTING_SUBSET_H_
