#include "damaskthread/engine/node.h"

#include <boost/leaf/handle_errors.hpp>
#include <utility>

namespace damaskthread::engine {
namespace {

routing::ServiceRouterOptions router_options(const NodeOptions& options) {
  routing::ServiceRouterOptions result = options.router;
  result.self = options.self;
  result.zone = options.zone;
  result.region = options.region;
  return result;
}

}  // namespace

Node::Node(const NodeOptions& options)
    : options_(options),
      services_(std::make_shared<const resource::ServiceTable>()),
      admission_(options.admission),
      quarantine_(options.quarantine),
      caller_throttle_(options.caller_throttle),
      minter_(options.self, options.incarnation, options.key),
      repeats_(options.self, options.incarnation, ledger_),
      executions_(options.self, options.incarnation, options.key, options.execution) {
  options_.router = router_options(options);
}

void Node::set_services(std::shared_ptr<const resource::ServiceTable> services) {
  const std::unique_lock lock(services_mutex_);
  services_ = std::move(services);
}

std::shared_ptr<const resource::ServiceTable> Node::services() const {
  const std::shared_lock lock(services_mutex_);
  return services_;
}

void Node::set_servers(const std::string& service, std::span<const routing::ServerInfo> servers,
                       routing::CallerCounts callers, core::TimePoint now) {
  std::shared_ptr<ServiceState> state;
  {
    const std::unique_lock lock(services_mutex_);
    std::shared_ptr<ServiceState>& entry = service_states_[service];
    if (!entry) entry = std::make_shared<ServiceState>(options_.router, options_.retry_ratio);
    state = entry;
  }
  state->router.set_servers(servers, callers, now);
}

std::shared_ptr<ServiceState> Node::service(std::string_view name) const {
  const std::shared_lock lock(services_mutex_);
  const auto found = service_states_.find(name);
  return found == service_states_.end() ? nullptr : found->second;
}

std::vector<std::string> Node::service_names() const {
  const std::shared_lock lock(services_mutex_);
  std::vector<std::string> names;
  for (const auto& [name, state] : service_states_) names.push_back(name);
  return names;
}

void Node::tick(core::TimePoint now, std::vector<admission::QueueEvent>& events) {
  {
    const std::lock_guard lock(admission_mutex_);
    admission_.tick(now, events);
  }
  if (!quarantine_.has_marks()) return;
  const std::lock_guard lock(quarantine_mutex_);
  quarantine_.tick(now);
}

void Node::begin_drain() {
  draining_.store(true, std::memory_order_relaxed);
  const std::lock_guard lock(admission_mutex_);
  admission_.begin_drain();
}

bool Node::idle() const {
  const std::lock_guard lock(admission_mutex_);
  return admission_.idle();
}

std::optional<std::string> Node::issue_token(std::uint64_t fingerprint, core::TimePoint now) {
  if (draining()) return std::nullopt;
  const std::optional<execution::ExecutionToken> token = executions_.issue(fingerprint, now);
  if (!token) return std::nullopt;
  return execution::to_string(*token);
}

std::optional<int> Node::confirm_repeat(std::string_view request_id, core::TimePoint now) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<int>> {
        BOOST_LEAF_AUTO(id, retry::parse_request_id(request_id, options_.key));
        if (repeats_.origin_of(id) != retry::RequestIdOrigin::kThisIncarnation) return std::optional<int>();
        const retry::RepeatGrant grant = repeats_.authorize_repeat(id, now);
        return grant.granted ? std::optional<int>(grant.share.amount) : std::nullopt;
      },
      [] { return std::optional<int>(); });
}

quarantine::Treatment Node::treatment(std::uint64_t fingerprint, core::TimePoint now) {
  if (!quarantine_.has_marks()) return quarantine::Treatment::kRun;
  const std::lock_guard lock(quarantine_mutex_);
  return quarantine_.treatment(fingerprint, now);
}

void Node::server_crashed(core::TimePoint now) {
  const std::vector<std::uint64_t> running = running_.fingerprints();
  const std::lock_guard lock(quarantine_mutex_);
  ++crashes_;
  // The incarnation makes the id unique across daemons. Each daemon reports only the crashes of its own server.
  const quarantine::CrashId crash{(options_.incarnation.value * 0x9E3779B97F4A7C15ULL) ^ options_.self.value ^
                                  crashes_};
  quarantine_.on_crash(crash, running, now);
}

std::vector<quarantine::CrashMark> Node::crash_marks_to_send(core::TimePoint now) {
  if (!quarantine_.has_marks()) return {};
  const std::lock_guard lock(quarantine_mutex_);
  return quarantine_.marks_to_send(now);
}

void Node::merge_crash_marks(std::span<const quarantine::CrashMark> marks, core::TimePoint now) {
  const std::lock_guard lock(quarantine_mutex_);
  quarantine_.merge(marks, now);
}

Node::LocalStatus Node::local_status() const {
  const std::lock_guard lock(admission_mutex_);
  return {admission_.limit(), admission_.running(),  admission_.queued(),
          admission_.level(), admission_.counters(), quarantine_.size()};
}

}  // namespace damaskthread::engine
