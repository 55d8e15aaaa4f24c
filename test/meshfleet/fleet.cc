#include "meshfleet/fleet.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace damaskthread::meshfleet {
namespace {

using Json = nlohmann::json;
using std::chrono::seconds;

std::string local(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

const char* route_kind(const ServiceSpec& service) {
  if (service.download) return "download";
  return service.idempotent ? "idempotent" : "non_idempotent";
}

Json host_entry(const std::string& host, const ServiceSpec& service, std::chrono::milliseconds timeout) {
  const Json path = {{"name", host},
                     {"path_prefix", "/"},
                     {"kind", route_kind(service)},
                     {"timeout", std::to_string(timeout.count()) + "ms"},
                     {"slo", "800ms"},
                     {"priority", service.idempotent ? 2 : 0},
                     {"service", service.name},
                     {"max_attempts", 2}};
  return {{"host", host}, {"paths", Json::array({path})}};
}

}  // namespace

Fleet::Fleet(std::vector<ServiceSpec> services, std::string logs, const FleetLimits& limits,
             std::vector<TenantSpec> tenants)
    : services_(std::move(services)), logs_(std::move(logs)), limits_(limits), tenants_(std::move(tenants)) {
  std::filesystem::create_directories(logs_);
  const std::uint16_t store_port = reserve_port();
  store_ = std::make_unique<Store>(io_, store_port);
  for (const ServiceSpec& service : services_) {
    for (int i = 0; i < service.vms; ++i) add_vm(service, i, store_port);
  }
  loop_ = std::make_unique<LoopThread>(io_);
  publish();
}

Fleet::~Fleet() {
  for (const auto& vm : vms_) {
    if (vm->daemon != nullptr) vm->daemon->signal(SIGKILL);
  }
  for (const auto& vm : vms_) vm->daemon.reset();
}

void Fleet::add_vm(const ServiceSpec& service, int index, std::uint16_t store_port) {
  auto vm = std::make_unique<Vm>();
  vm->service = service.name;
  vm->name = service.name + "-" + std::to_string(index);
  vm->ports = {reserve_port(), reserve_port(), reserve_port(),
               service.server_proxies ? reserve_port() : std::uint16_t{0}};
  vm->peer_port = reserve_port();
  vm->readiness_port = reserve_port();
  vm->admin_port = reserve_port();
  vm->peer_proxy_port = reserve_port();
  vm->store_proxy_port = reserve_port();
  vm->settings_path = logs_ + "/" + vm->name + ".json";
  const Json settings = {{"name", vm->name},
                         {"service", service.name},
                         {"zone", "z" + std::to_string(index)},
                         {"listen",
                          {{"calls", local(vm->ports.caller_port)},
                           {"peers", local(vm->peer_port)},
                           {"advertised", local(vm->peer_proxy_port)},
                           {"ready", local(vm->readiness_port)},
                           {"admin", local(vm->admin_port)},
                           {"control", local(vm->ports.control_port)}}},
                         {"local_server", local(vm->ports.local_server())},
                         {"store", local(vm->store_proxy_port)},
                         {"heartbeat", "300ms"},
                         {"memory_mb", limits_.memory_mb},
                         {"max_descriptors", limits_.max_descriptors},
                         {"promises", {{"grace", "6s"}, {"repeat_slack", 50}}}};
  std::ofstream(vm->settings_path) << settings.dump(2);
  const std::string callee = service.callee.empty() ? "" : service.callee + ".example";
  vm->server = std::make_unique<Server>(io_, service.name, vm->ports, callee, execution_log_,
                                        static_cast<unsigned>(vms_.size()), service.max_response_bytes);
  vm->server->set_capacity(service.capacity);
  if (service.server_proxies) {
    vm->server_proxy = std::make_unique<Proxy>(io_, vm->ports.server_proxy_port, vm->ports.server_port);
  }
  vm->peer_proxy = std::make_unique<Proxy>(io_, vm->peer_proxy_port, vm->peer_port);
  vm->store_proxy = std::make_unique<Proxy>(io_, vm->store_proxy_port, store_port);
  vms_.push_back(std::move(vm));
}

bool Fleet::start() {
  bool listening = true;
  for (const auto& vm : vms_) start_daemon(*vm);
  for (const auto& vm : vms_) {
    listening = support::wait_for_port(vm->ports.control_port) && listening;
    on_loop([&] { vm->server->start(); });
  }
  return listening;
}

void Fleet::start_daemon(Vm& vm) {
  vm.daemon = std::make_unique<support::ChildProcess>(support::program_path("damaskthread_mesh"),
                                                      std::vector<std::string>{"--settings", vm.settings_path},
                                                      logs_ + "/" + vm.name + ".log" + std::to_string(++starts_));
}

void Fleet::kill_daemon(Vm& vm) {
  vm.daemon->signal(SIGKILL);
  (void)vm.daemon->wait(seconds(5));
}

void Fleet::publish() {
  ++version_;
  publish_again();
}

void Fleet::publish_again() {
  on_loop([&] { store_->write_as_operator("config", configuration()); });
}

std::string Fleet::configuration() const {
  Json services = Json::array();
  Json hosts = Json::array();
  for (const ServiceSpec& service : services_) {
    services.push_back({{"name", service.name}, {"health_path", "/health"}, {"max_conns", 500}});
    hosts.push_back(host_entry(service.name + ".example", service, limits_.timeout));
    hosts.push_back(host_entry(newest_host(service.name), service, limits_.timeout));
  }
  const Json limits = {
      {"header_bytes", 16384}, {"body_bytes", limits_.body_bytes}, {"header", "3000ms"}, {"idle", "15000ms"}};
  Json document = {{"version", version_.load()}, {"services", services}, {"limits", limits}, {"virtual_hosts", hosts}};
  for (const TenantSpec& tenant : tenants_) {
    document["tenants"].push_back({{"name", tenant.name}, {"api_keys", tenant.keys}});
  }
  return document.dump();
}

std::string Fleet::newest_host(const std::string& service) const {
  return "v" + std::to_string(version_.load()) + "." + service + ".example";
}

Vm& Fleet::vm(const std::string& name) const {
  const auto found = std::find_if(vms_.begin(), vms_.end(), [&name](const auto& vm) { return vm->name == name; });
  if (found == vms_.end()) throw std::invalid_argument("no VM " + name);
  return **found;
}

}  // namespace damaskthread::meshfleet
