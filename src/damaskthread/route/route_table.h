#ifndef DAMASKTHREAD_ROUTE_ROUTE_TABLE_H_
#define DAMASKTHREAD_ROUTE_ROUTE_TABLE_H_

/// @file
/// @brief Routes of one accepted configuration, which map a host and path to services and their call settings.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/tenant/directory.h"

namespace damaskthread::route {

/// A service that receives a weighted part of a route's requests.
struct WeightedService {
  std::string service;
  std::uint32_t weight = 1;
};

/// Declared settings of the requests under one host and path prefix.
struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  /// Whether a request may run more than once.
  bool idempotent = false;
  /// Maximum time until a caller gets an answer; zero if only the caller's deadline applies.
  core::Duration timeout{0};
  /// Latency objective: an answer within this time has its full value.
  core::Duration objective{0};
  /// Priority; 0 is the highest.
  int priority = 0;
  /// Maximum number of servers that one request may be sent to.
  int max_servers = 1;
  /// Whether requests need no key although tenants are declared.
  bool is_public = false;
  std::vector<WeightedService> parts;
};

/// Limits on the size and the timing of callers' requests.
struct CallerLimits {
  std::size_t header_bytes = 16U << 10U;
  std::size_t body_bytes = 64U << 20U;
  core::Duration header_time = std::chrono::seconds{5};
  core::Duration idle_time = std::chrono::seconds{15};
};

/// Declared properties of a service.
struct ServiceProperties {
  /// Path of the health check, which tells whether a server accepts requests.
  std::string health_path;
  /// Maximum number of connections accepted by one server.
  int max_connections = 0;
};

/// @brief Immutable set of routes. Requests share the table under which they began, so that a configuration change
/// never affects a request in flight.
class RouteTable {
 public:
  /// @param version Version set by the operator; a process only accepts increasing versions.
  /// @param routes All routes; of several with the same host and prefix the first is used.
  /// @param services Properties by service name.
  /// @param tenants Tenants and their keys; without any, requests need no key.
  RouteTable(std::uint64_t version, std::vector<Route> routes,
             std::unordered_map<std::string, ServiceProperties> services, CallerLimits caller_limits,
             tenant::Directory tenants = {});

  /// @brief Finds the route of the host with the longest matching prefix.
  /// @param host Host of the request; the port and letter case are ignored.
  /// @param target Path and query of the request.
  /// @return The route, or null if none matches.
  [[nodiscard]] const Route* find(std::string_view host, std::string_view target) const;

  /// @return The route with this name, or null.
  [[nodiscard]] const Route* find_by_name(const std::string& name) const;
  /// @return Properties of a service, or null if it is not declared.
  [[nodiscard]] const ServiceProperties* find_service(const std::string& name) const;

  /// @return Names of all declared services.
  [[nodiscard]] std::vector<std::string> service_names() const;

  [[nodiscard]] std::uint64_t version() const noexcept { return version_; }
  [[nodiscard]] const CallerLimits& caller_limits() const noexcept { return caller_limits_; }
  [[nodiscard]] const tenant::Directory& tenants() const noexcept { return tenants_; }
  [[nodiscard]] const std::vector<Route>& routes() const noexcept { return routes_; }

 private:
  std::uint64_t version_;
  std::vector<Route> routes_;
  std::unordered_map<std::string, ServiceProperties> services_;
  CallerLimits caller_limits_;
  tenant::Directory tenants_;
  /// Keyed by host and prefix, concatenated without a separator since every prefix begins with a slash.
  std::unordered_map<std::string, std::size_t> routes_by_prefix_;
  std::unordered_map<std::string, std::size_t> routes_by_name_;
};

}  // namespace damaskthread::route

#endif  // DAMASKTHREAD_ROUTE_ROUTE_TABLE_H_
