#ifndef DAMASKTHREAD_OVERLAY_LINK_PLAN_H_
#define DAMASKTHREAD_OVERLAY_LINK_PLAN_H_

/// @file
/// @brief Selects the daemons to connect to. In a large fleet each daemon knows all others but connects only to some of
/// them, so that its control traffic does not grow with the fleet.

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace damaskthread::overlay {

/// A daemon that this one may connect to.
struct Candidate {
  std::string_view endpoint;
  /// Service of its local server; empty if unknown.
  std::string_view service;
  /// In the same failure domain as this daemon.
  bool same_zone = false;
  /// May accept requests: not known to be unreachable, leaving or without a server.
  bool usable = true;
};

/// How this daemon uses a service.
enum class Interest : std::uint8_t {
  kObserved,   ///< Its load affects the admission of requests here, but none are sent to it from here.
  kUsed,       ///< Requests are sent to it.
  kSaturated,  ///< Requests are sent to it, and its connected servers are nearly full.
};

/// Number of servers of one service to connect to.
struct LinkCounts {
  std::size_t same_zone = 0;
  std::size_t other_zones = 0;
};

struct LinkPlanOptions {
  /// Fleets up to this size use a full mesh, since a selection would save little.
  std::size_t full_mesh_limit = 40;
  LinkCounts observed = {2, 4};
  LinkCounts used = {12, 8};
  LinkCounts saturated = {24, 24};
};

/// @brief Selects servers by rendezvous hashing, so that a joining or leaving daemon changes few connections and the
/// callers of a service spread evenly over its servers. In addition to the servers of the services of interest, each
/// daemon connects to fingers at doubling distances on a ring of all daemons. Broadcasts over the fingers reach the
/// whole fleet in a logarithmic number of hops.
///
/// Load patterns: hundreds of daemons that each use a few services (the control traffic per daemon stays constant while
/// the fleet grows), servers that fail or leave (others are selected in their place), a service close to saturation
/// (more of its servers are connected).
class LinkPlan {
 public:
  /// @param self Endpoint of this daemon.
  explicit LinkPlan(std::string self, const LinkPlanOptions& options = {});

  /// @brief Selects the daemons to connect to.
  /// @param candidates All known daemons except this one.
  /// @param interests The services of interest.
  /// @return Indices of the selected candidates.
  [[nodiscard]] std::set<std::size_t> select_peers(std::span<const Candidate> candidates,
                                                   const std::map<std::string, Interest, std::less<>>& interests) const;
  /// @brief Selects the ring fingers, over which broadcasts spread.
  /// @return Indices of the fingers, at most two for each doubling of the fleet size.
  [[nodiscard]] std::vector<std::size_t> ring_fingers(std::span<const Candidate> candidates) const;

 private:
  [[nodiscard]] const LinkCounts& link_counts(Interest interest) const noexcept;

  std::string self_;
  std::uint64_t seed_;
  LinkPlanOptions options_;
};

/// @brief Position of a daemon on the ring; every daemon computes the same.
[[nodiscard]] std::uint64_t ring_position(std::string_view endpoint) noexcept;

}  // namespace damaskthread::overlay

#endif  // DAMASKTHREAD_OVERLAY_LINK_PLAN_H_
