#ifndef DAMASKTHREAD_ROUTING_SUBSET_H_
#define DAMASKTHREAD_ROUTING_SUBSET_H_

/// @file
/// @brief Selects the subset of servers that a daemon connects to, within the connection limit that each server
/// declares.

#include <cstddef>
#include <cstdint>
#include <vector>

#include "damaskthread/core/types.h"

namespace damaskthread::routing {

/// Number of servers that a daemon uses and number of connections to each.
struct SubsetShape {
  int members = 0;
  int quota = 0;  ///< Maximum connections, and thus calls in flight, per member.
  bool operator==(const SubsetShape&) const = default;
};

/// @brief Computes a subset size such that the connections of all callers stay within the limit of each server.
/// @param servers Number of servers to select from.
/// @param callers Number of daemons that select from them independently.
/// @param connections Number of connections that each server accepts from these callers.
/// @param max_members Maximum size of the subset.
/// @return The shape; one connection to one member if even that exceeds the limit.
[[nodiscard]] SubsetShape subset_shape(int servers, int callers, int connections, int max_members) noexcept;

/// @brief Selects servers for one daemon by rendezvous hashing.
/// @param self Id of the daemon.
/// @param servers Servers; on return the first `count` are those with the largest hashes, in descending order.
/// @param count Number of servers to select.
void select_by_rendezvous_hash(core::ServerId self, std::vector<core::ServerId>& servers, std::size_t count);

}  // namespace damaskthread::routing

#endif  // DAMASKTHREAD_ROUTING_SUBSET_H_
