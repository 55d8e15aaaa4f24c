#ifndef DAMASKTHREAD_MESH_REQUEST_OPTIONS_H_
#define DAMASKTHREAD_MESH_REQUEST_OPTIONS_H_

/// @file
/// @brief Options of the way of a request through an ingress.

#include <cstddef>

namespace damaskthread::mesh {

struct RequestOptions {
  /// Share of the latency objective that a new request may spend in a queue; execution needs the rest.
  double max_wait_share = 0.25;
  /// Share of the remaining latency objective after which a refused caller should retry.
  double retry_after_share = 0.5;
  /// Smallest random factor of Retry-After. Refused callers do not all retry at the same moment.
  double retry_after_min_factor = 0.4;
  /// Copies of an idempotent request that are sent elsewhere while its daemon is silent.
  int max_hedges = 4;
  /// With at most this many services, connections to the servers of all are opened before the first request needs them.
  std::size_t preconnected_services = 8;
};

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_REQUEST_OPTIONS_H_
