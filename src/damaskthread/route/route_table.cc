#include "damaskthread/route/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace damaskthread::route {
namespace {

std::string normalize_host(std::string_view host) {
  std::string name(host.substr(0, host.rfind(':')));
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
  return name;
}

}  // namespace

RouteTable::RouteTable(std::uint64_t version, std::vector<Route> routes,
                       std::unordered_map<std::string, ServiceProperties> services, CallerLimits caller_limits,
                       tenant::Directory tenants)
    : version_(version),
      routes_(std::move(routes)),
      services_(std::move(services)),
      caller_limits_(caller_limits),
      tenants_(std::move(tenants)) {
  routes_by_prefix_.reserve(routes_.size());
  for (std::size_t i = 0; i < routes_.size(); ++i) {
    routes_by_prefix_.emplace(normalize_host(routes_[i].host) + routes_[i].prefix, i);
    routes_by_name_.emplace(routes_[i].name, i);
  }
}

const Route* RouteTable::find(std::string_view host, std::string_view target) const {
  const std::string_view path = target.substr(0, target.find_first_of("?#"));
  std::string key = normalize_host(host);
  const std::size_t host_length = key.size();
  key += path;
  for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;
       slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
    key.resize(host_length + slash + 1);
    const auto found = routes_by_prefix_.find(key);
    if (found != routes_by_prefix_.end()) return &routes_[found->second];
  }
  return nullptr;
}

const Route* RouteTable::find_by_name(const std::string& name) const {
  const auto found = routes_by_name_.find(name);
  return found == routes_by_name_.end() ? nullptr : &routes_[found->second];
}

std::vector<std::string> RouteTable::service_names() const {
  std::vector<std::string> names;
  names.reserve(services_.size());
  for (const auto& [name, properties] : services_) names.push_back(name);
  return names;
}

const ServiceProperties* RouteTable::find_service(const std::string& name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : &found->second;
}

}  // namespace damaskthread::route
