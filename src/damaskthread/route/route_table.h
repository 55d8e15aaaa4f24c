#ifndef DAMASKTHREAD_ROUTE_ROUTE_TABLE_H_
#define DAMASKTHREAD_ROUTE_ROUTE_TABLE_H_

/// @file
/// @brief The routes of one accepted configuration: which service answers a host and path, and how it may be called.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "damaskthread/core/types.h"

namespace damaskthread::route {

/// A service that takes a share of a route's requests.
struct Part {
  std::string service;
  std::uint32_t weight = 1;
};

/// What operators declare for the requests under one host and path prefix.
struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  /// Whether a request may run more than once.
  bool idempotent = false;
  /// Longest time that a caller is kept waiting; zero if only the caller's own deadline counts.
  core::Duration timeout{0};
  /// Time within which an answer earns its full worth.
  core::Duration objective{0};
  /// Rank, 0 is the most important.
  int priority = 0;
  /// Most servers that one request may be sent to.
  int max_servers = 1;
  std::vector<Part> parts;
};

/// Bounds on what callers may send and how long they may take.
struct CallerBounds {
  std::size_t header_bytes = 16U << 10U;
  std::size_t body_bytes = 64U << 20U;
  core::Duration header_time = std::chrono::seconds{5};
  core::Duration idle_time = std::chrono::seconds{15};
};

/// What operators declare for a service.
struct ServiceFacts {
  /// Path that answers whether a server takes requests.
  std::string health_path;
  /// Connections that one of its servers accepts.
  int max_connections = 0;
};

/// @brief An immutable set of routes. Shared by the requests that began under it, so that a change never alters a
/// request in flight.
class RouteTable {
 public:
  /// @param version Version that the operator gave it; a process only moves to larger ones.
  /// @param routes All routes; of two with one host and prefix the first one counts.
  /// @param services Facts by the name of the service.
  RouteTable(std::uint64_t version, std::vector<Route> routes, std::unordered_map<std::string, ServiceFacts> services,
             CallerBounds bounds);

  /// @brief Finds the route with the longest prefix among those of the host.
  /// @param host Host of the request; a port and the case are ignored.
  /// @param target Path and query of the request.
  /// @return The route, or null if none matches.
  [[nodiscard]] const Route* find(std::string_view host, std::string_view target) const;

  /// @return The route of a name, or null.
  [[nodiscard]] const Route* named(const std::string& name) const;
  /// @return Facts of a service, or null if it is not declared.
  [[nodiscard]] const ServiceFacts* service(const std::string& name) const;

  /// @return Names of all declared services.
  [[nodiscard]] std::vector<std::string> service_names() const;

  [[nodiscard]] std::uint64_t version() const noexcept { return version_; }
  [[nodiscard]] const CallerBounds& bounds() const noexcept { return bounds_; }
  [[nodiscard]] const std::vector<Route>& routes() const noexcept { return routes_; }

 private:
  std::uint64_t version_;
  std::vector<Route> routes_;
  std::unordered_map<std::string, ServiceFacts> services_;
  CallerBounds bounds_;
  /// Keyed by host and prefix, joined without a separator: every prefix begins with a slash.
  std::unordered_map<std::string, std::size_t> index_;
  std::unordered_map<std::string, std::size_t> names_;
};

}  // namespace damaskthread::route

#endif  // DAMASKTHREAD_ROUTE_ROUTE_TABLE_H_
