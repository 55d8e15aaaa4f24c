#include "damaskthread/daemon/control_plane.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "damaskthread/daemon/log.h"

namespace damaskthread::daemon {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

constexpr milliseconds kTickPeriod{100};
constexpr milliseconds kLogPollPeriod{500};
// Routers age their statistics on this refresh; membership changes are applied immediately.
constexpr seconds kViewRefreshPeriod{1};
// Minimum time between two refreshes, so that bursts of changes are applied together.
constexpr milliseconds kMinViewRefreshInterval{20};
constexpr std::size_t kMaxReadRecords = 500;
// Announcements let new daemons find a seed; repeated well within the one-day retention of the log.
constexpr std::chrono::minutes kAnnouncePeriod{30};
constexpr seconds kAnnounceRetry{5};
// A daemon without live peers accepts a gap in the log after this time and continues with the retained records.
constexpr seconds kAcceptGapDelay{10};

// A neighbour reports a lag after 12 s; the lag note takes a few gossip rounds to spread.
constexpr seconds kLagReportDelay{15};
constexpr std::size_t kMarksPerMessage = (wire::kMaxDatagramBytes - wire::kEnvelopeBytes) / wire::kMarkBytes;

std::string format_address(const std::string& ip, std::uint16_t port) { return http::to_string({ip, port}); }

wire::MemberInfo self_info(const settings::Settings& settings) {
  const std::string& ip = settings.advertised_ip;
  return {settings.service,
          settings.zone,
          settings.region,
          format_address(ip, settings.listen.call_port),
          format_address(ip, settings.listen.peer_port),
          format_address(ip, settings.listen.admin_port),
          format_address(ip, settings.listen.control_port),
          settings.slots,
          settings.connections};
}

std::vector<std::string> seed_addresses(const settings::Settings& settings) {
  std::vector<std::string> seeds;
  for (const auto& seed : settings.seeds) seeds.push_back(settings::to_string(seed));
  return seeds;
}

std::string key_string(const settings::Settings& settings) {
  const auto bytes = settings.shared_key.reveal();
  return {bytes.begin(), bytes.end()};
}

// Each accusation is gossiped as one mark: `origin` identifies the crash, `crashes` increases from accused to cleared.
constexpr std::uint32_t kAccused = 1;
constexpr std::uint32_t kCleared = 2;

std::vector<wire::CrashMark> to_wire(const std::vector<quarantine::CrashMark>& marks) {
  std::vector<wire::CrashMark> result;
  for (const quarantine::CrashMark& mark : marks) {
    for (const auto& crash_record : mark.crash_records) {
      if (crash_record.crash.value == 0) continue;
      result.push_back({mark.fingerprint,
                        crash_record.cleared ? kCleared : kAccused,
                        {crash_record.crash.value},
                        std::chrono::duration_cast<milliseconds>(crash_record.age)});
    }
  }
  return result;
}

std::vector<quarantine::CrashMark> from_wire(const std::vector<wire::CrashMark>& marks) {
  std::vector<quarantine::CrashMark> result;
  for (const wire::CrashMark& mark : marks) {
    quarantine::CrashMark converted;
    converted.fingerprint = mark.fingerprint;
    converted.crash_records[0] = {{mark.origin.value}, mark.age, mark.crashes >= kCleared};
    result.push_back(converted);
  }
  return result;
}

}  // namespace

// Adapts the resource store to the interfaces of configuration replication.
class ControlPlane::StoreAdapter final : public replication::ConfigSource, public replication::ConfigSink {
 public:
  explicit StoreAdapter(resource::ResourceStore& store) : store_(store) {}
  [[nodiscard]] std::uint64_t revision() const override { return store_.revision(); }
  [[nodiscard]] std::uint64_t offset() const override { return store_.offset(); }
  [[nodiscard]] std::optional<std::string> records_since(std::uint64_t offset, std::size_t max_bytes) const override {
    return store_.records_since(offset, max_bytes);
  }
  [[nodiscard]] std::string state() const override { return store_.state(); }
  bool apply_records(std::string_view bytes) override { return store_.apply_records(bytes, Clock::now()); }
  bool apply_state(std::string_view bytes) override { return store_.apply_state(bytes); }

 private:
  resource::ResourceStore& store_;
};

ControlPlane::ControlPlane(const settings::Settings& settings, core::Incarnation incarnation, engine::Node& node,
                           Directory& directory)
    : settings_(settings),
      node_(node),
      directory_(directory),
      random_(std::random_device{}()),
      store_adapter_(std::make_unique<StoreAdapter>(store_)),
      authenticator_(key_string(settings), {settings.server_id, incarnation}),
      membership_({settings.server_id, incarnation}, self_info(settings), seed_addresses(settings)),
      replication_(settings.server_id, *store_adapter_, *store_adapter_) {
  for (const auto& endpoint : settings.log_service) {
    log_clients_.emplace_back(logservice::LogClientOptions{.ip = endpoint.host, .port = endpoint.port});
  }
  transport::ControlSocket::Options options;
  options.listen_address = format_address(settings.listen.address, settings.listen.control_port);
  {
    // The first message may arrive before the socket is assigned; its handler waits for this lock.
    const std::lock_guard lock(mutex_);
    socket_ = std::make_unique<transport::ControlSocket>(options, [this](std::string_view bytes) { receive(bytes); });
    refresh_view(Clock::now());
  }
  timer_thread_ = std::thread([this] { run_timer(); });
  if (!log_clients_.empty()) log_thread_ = std::thread([this] { run_log(); });
}

ControlPlane::~ControlPlane() {
  {
    // A message that is being received still uses the socket; later ones are dropped.
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  timer_thread_.join();
  if (log_thread_.joinable()) log_thread_.join();
  socket_.reset();
}

void ControlPlane::announce_leaving() {
  const std::lock_guard lock(mutex_);
  membership_.announce_leaving();
}

void ControlPlane::notify_crash() {
  const auto now = Clock::now();
  // Holds the lock against the timer, which could otherwise consume the crash marks and send them by slower gossip
  // only.
  const std::lock_guard lock(mutex_);
  node_.server_crashed(now);
  const std::vector<wire::CrashMark> marks = to_wire(node_.crash_marks_to_send(now));
  membership_.spread(marks, now);
  std::vector<wire::Outgoing> messages;
  for (const membership::Member& member : membership_.members()) {
    if (member.id == settings_.server_id || member.state == membership::State::kDead) continue;
    if (member.info->service != settings_.service) continue;
    for (std::size_t first = 0; first < marks.size(); first += kMarksPerMessage) {
      wire::Message message;
      const std::size_t last = std::min(first + kMarksPerMessage, marks.size());
      message.marks.assign(marks.begin() + static_cast<std::ptrdiff_t>(first),
                           marks.begin() + static_cast<std::ptrdiff_t>(last));
      messages.push_back({member.info->control_address, std::move(message)});
    }
  }
  send(messages);
}

void ControlPlane::receive(std::string_view bytes) {
  const auto now = Clock::now();
  const std::lock_guard lock(mutex_);
  if (stopping_) return;
  auto opened = authenticator_.open(bytes);
  if (std::holds_alternative<wire::OpenError>(opened)) return;
  const auto& received = std::get<wire::Received>(opened);
  send(membership_.receive(received.sender, received.message, now));
  send(replication_.receive(received.sender, received.message, now));
  node_.merge_crash_marks(from_wire(membership_.take_marks()), now);
  if (membership_.version() != view_version_ && now - view_refreshed_at_ >= kMinViewRefreshInterval) refresh_view(now);
  refresh_configuration();
}

void ControlPlane::send(const std::vector<wire::Outgoing>& messages) {
  for (const wire::Outgoing& outgoing : messages) {
    socket_->send(outgoing.address, authenticator_.seal(outgoing.message));
  }
}

void ControlPlane::run_timer() {
  auto next = Clock::now();
  while (!stopping_) {
    tick(Clock::now());
    next = std::max(next + kTickPeriod, Clock::now());
    std::unique_lock lock(wake_mutex_);
    wake_.wait_until(lock, next, [this] { return stopping_.load(); });
  }
}

void ControlPlane::tick(core::TimePoint now) {
  const std::lock_guard lock(mutex_);
  send(membership_.tick(now, random_));
  if (membership_.version() != view_version_ || now - view_refreshed_at_ >= kViewRefreshPeriod) refresh_view(now);
  send(replication_.tick(now, random_));
  membership_.spread(replication_.take_lag_notes(), now);
  membership_.set_digest(replication_.digest());
  spread_crash_marks(now);
  refresh_configuration();
  log_polling_enabled_ = replication_.polls_log() || !membership_.joined();
}

void ControlPlane::spread_crash_marks(core::TimePoint now) {
  const std::vector<quarantine::CrashMark> news = node_.crash_marks_to_send(now);
  if (!news.empty()) membership_.spread(to_wire(news), now);
}

void ControlPlane::refresh_view(core::TimePoint now) {
  const std::vector<membership::Member> members = membership_.members();
  if (membership_.version() != view_version_) replication_.set_view(members, now);
  view_version_ = membership_.version();
  view_refreshed_at_ = now;
  std::map<std::string, std::vector<routing::ServerInfo>> services;
  std::vector<DirectoryEntry> entries;
  routing::CallerCounts callers;
  // Services without any remaining server still need an update with an empty list.
  for (const std::string& name : node_.service_names()) services[name];
  for (const membership::Member& member : members) {
    if (member.state == membership::State::kDead) continue;
    const wire::MemberInfo& info = *member.info;
    ++callers.all;
    if (info.region == settings_.region) ++callers.region;
    if (info.zone == settings_.zone) ++callers.zone;
    DirectoryEntry entry{member.id, info.service, {}, {}};
    if (!http::parse_endpoint(info.peer_address, entry.peer)) continue;
    if (!http::parse_endpoint(info.admin_address, entry.admin)) continue;
    entries.push_back(entry);
    services[info.service].push_back({.id = member.id,
                                      .incarnation = member.incarnation,
                                      .zone = zone_hash(info.zone),
                                      .region = zone_hash(info.region),
                                      .slots = static_cast<int>(info.slots),
                                      .connections = static_cast<int>(info.connections),
                                      .leaving = member.state == membership::State::kLeaving,
                                      .suspect = member.state == membership::State::kSuspect});
  }
  directory_.replace(std::move(entries));
  for (const auto& [name, servers] : services) node_.set_servers(name, servers, callers, now);
}

void ControlPlane::refresh_configuration() {
  const std::uint64_t revision = store_.revision();
  if (revision == applied_revision_) return;
  applied_revision_ = revision;
  revision_applied_at_ = Clock::now();
  node_.set_services(store_.table());
  LOG4CPLUS_INFO(logger(), "configuration revision " << revision << " applied");
}

AppendOutcome ControlPlane::append(const std::string& record) {
  AppendOutcome outcome{AppendOutcome::State::kRefused, "no log service is configured"};
  for (const logservice::LogClient& log : log_clients_) {
    outcome = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<AppendOutcome> {
          BOOST_LEAF_AUTO(offset, log.append(record));
          return AppendOutcome{AppendOutcome::State::kAppended, "offset " + std::to_string(offset)};
        },
        [](const core::Error& error) {
          const bool unknown = error.code == core::ErrorCode::kUnknown;
          return AppendOutcome{unknown ? AppendOutcome::State::kUnknown : AppendOutcome::State::kRefused,
                               error.message};
        },
        [] {
          return AppendOutcome{AppendOutcome::State::kUnknown, "unexpected error"};
        });
    if (outcome.state != AppendOutcome::State::kRefused) break;
  }
  if (outcome.state != AppendOutcome::State::kRefused) request_log_read();
  return outcome;
}

void ControlPlane::request_log_read() {
  {
    const std::lock_guard lock(wake_mutex_);
    read_requested_ = true;
  }
  wake_.notify_all();
}

void ControlPlane::run_log() {
  auto isolated_in_gap_since = core::TimePoint::max();
  while (!stopping_) {
    bool should_poll = log_polling_enabled_;
    {
      std::unique_lock lock(wake_mutex_);
      // Always reset: if left set, it would end every wait below immediately.
      const bool requested = std::exchange(read_requested_, false);
      should_poll = should_poll || requested;
    }
    if (should_poll) {
      while (!stopping_ && poll_log()) {
      }
      const auto now = Clock::now();
      bool isolated = false;
      {
        const std::lock_guard lock(mutex_);
        isolated = membership_.live_count() == 0;
      }
      const bool gap = isolated && store_.condition() == resource::LogCondition::kGap;
      isolated_in_gap_since = gap ? std::min(isolated_in_gap_since, now) : core::TimePoint::max();
      if (gap && now - isolated_in_gap_since >= kAcceptGapDelay) store_.accept_gap();
      write_snapshot();
    }
    announce();
    std::unique_lock lock(wake_mutex_);
    wake_.wait_for(lock, kLogPollPeriod, [this] { return stopping_.load() || read_requested_; });
  }
}

// Reads one batch of records. Returns whether more may be available.
bool ControlPlane::poll_log() {
  for (const logservice::LogClient& log : log_clients_) {
    const std::optional<resource::LogSlice> slice = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<resource::LogSlice>> {
          BOOST_LEAF_AUTO(read, log.read(store_.next_read_offset(), kMaxReadRecords));
          return std::optional(std::move(read));
        },
        [] { return std::optional<resource::LogSlice>(); });
    if (!slice) continue;
    if (!log_reachable_.exchange(true)) LOG4CPLUS_INFO(logger(), "the log service is reachable");
    const std::lock_guard lock(mutex_);
    const auto before = store_.condition();
    const auto condition = store_.apply(*slice, Clock::now());
    if (condition != before && condition == resource::LogCondition::kRegressed) {
      LOG4CPLUS_WARN(logger(), "the log ends before the applied offset; keeping the current configuration");
    }
    if (!membership_.joined()) {
      std::vector<std::string> seeds;
      const std::string own = self_info(settings_).control_address;
      for (const resource::Announcement& announcement : store_.announcements()) {
        const auto body = nlohmann::json::parse(announcement.body, nullptr, false);
        if (!body.is_object() || !body.contains("control") || !body["control"].is_string()) continue;
        if (body["control"] != own) seeds.push_back(body["control"]);
      }
      membership_.add_seeds(std::move(seeds));
    }
    refresh_configuration();
    return slice->entries.size() >= kMaxReadRecords;
  }
  if (log_reachable_.exchange(false)) {
    LOG4CPLUS_WARN(logger(), "the log service is unreachable; keeping the current configuration");
  }
  return false;
}

void ControlPlane::write_snapshot() {
  std::vector<std::string> records;
  {
    const std::lock_guard lock(mutex_);
    if (!replication_.polls_log() || !store_.snapshot_due(Clock::now(), random_)) return;
    const std::string id = "snapshot-" + std::to_string(random_());
    records = store_.snapshot_records(settings_.server_name, id);
  }
  for (const std::string& record : records) {
    if (append(record).state == AppendOutcome::State::kRefused) return;
  }
}

void ControlPlane::announce() {
  const auto now = Clock::now();
  if (announced_ && now < next_announcement_) return;
  const nlohmann::json body = {{"control", self_info(settings_).control_address}, {"service", settings_.service}};
  const std::optional<std::string> record =
      resource::encode({.operation = resource::RecordOperation::kAnnounce,
                        .kind = "Daemon",
                        .name = settings_.server_name,
                        .operation_id = "announce-" + std::to_string(settings_.server_id.value) + "-" +
                                        std::to_string(now.time_since_epoch().count()),
                        .author = settings_.server_name,
                        .body = body.dump()});
  if (!record) return;
  const bool appended = append(*record).state == AppendOutcome::State::kAppended;
  announced_ = true;
  next_announcement_ = now + (appended ? core::Duration(kAnnouncePeriod) : core::Duration(kAnnounceRetry));
}

std::string ControlPlane::status_json() const {
  const auto now = Clock::now();
  nlohmann::json status;
  const std::lock_guard lock(mutex_);
  status["server"] = settings_.server_name;
  status["service"] = settings_.service;
  status["revision"] = store_.revision();
  status["offset"] = store_.offset();
  status["log"] = log_clients_.empty() ? "none" : (log_reachable_ ? "reachable" : "unreachable");
  status["joined"] = membership_.joined();
  std::map<core::ServerId, std::string> names;
  status["members"] = nlohmann::json::array();
  for (const membership::Member& member : membership_.members()) {
    const std::string name = member.info->service + "@" + member.info->call_address;
    names[member.id] = name;
    status["members"].push_back({{"name", name},
                                 {"service", member.info->service},
                                 {"zone", member.info->zone},
                                 {"region", member.info->region},
                                 {"call", member.info->call_address},
                                 {"admin", member.info->admin_address},
                                 {"state", membership::to_string(member.state)}});
  }
  std::uint64_t slowest = store_.revision();
  status["lagging"] = nlohmann::json::array();
  status["unknown"] = nlohmann::json::array();
  for (const replication::PeerConfig& peer : replication_.peers(now)) {
    const std::string name = names.contains(peer.id) ? names[peer.id] : std::to_string(peer.id.value);
    if (!peer.digest) {
      status["unknown"].push_back(name);
      continue;
    }
    // Neighbours report lagging members within kLagReportDelay. Until then a digest received before the last change is
    // inconclusive, and the member counts as not up to date.
    const bool reported_by_now = now - revision_applied_at_ >= kLagReportDelay;
    if (peer.behind || !reported_by_now) slowest = std::min(slowest, peer.digest->revision);
  }
  for (const wire::LagNote& note : membership_.lagging(now)) {
    slowest = std::min(slowest, note.revision);
    status["lagging"].push_back({{"name", names.contains(note.id) ? names[note.id] : std::to_string(note.id.value)},
                                 {"revision", note.revision},
                                 {"behind_ms", note.behind.count()}});
  }
  status["slowest_revision"] = slowest;
  status["resources"] = nlohmann::json::array();
  for (const resource::ResourceView& view : store_.list()) {
    status["resources"].push_back({{"kind", view.kind},
                                   {"name", view.name},
                                   {"desired_version", view.version},
                                   {"in_force_everywhere", slowest >= view.version && status["unknown"].empty()},
                                   {"author", view.author}});
  }
  return status.dump();
}

std::vector<std::pair<std::string, double>> ControlPlane::counters() const {
  const std::lock_guard lock(mutex_);
  const auto& members = membership_.counters();
  const auto store = store_.counters();
  const auto socket = socket_->counters();
  std::vector<std::pair<std::string, double>> result = {
      {"control_sent_bytes", socket.sent_bytes},
      {"control_received_bytes", socket.received_bytes},
      {"control_dropped", socket.dropped},
      {"control_opened", authenticator_.counters().opened},
      {"members_living", membership_.live_count() + 1},
      {"membership_suspicions", members.suspicions},
      {"membership_deaths", members.deaths},
      {"membership_refutations", members.refutations},
      {"membership_pauses", members.pauses},
      {"configuration_revision", store_.revision()},
      {"configuration_accepted", store.accepted},
      {"configuration_conflicts", store.conflicts},
      {"configuration_skipped", store.skipped},
      {"configuration_regressions", store.regressions},
      {"log_reachable", log_reachable_ ? 1 : 0},
  };
  for (std::size_t i = 0; i < wire::kOpenErrorCount; ++i) {
    std::string name = "control_rejected_" + std::string(wire::to_string(static_cast<wire::OpenError>(i)));
    std::replace(name.begin(), name.end(), '-', '_');
    result.emplace_back(std::move(name), authenticator_.counters().dropped[i]);
  }
  return result;
}

}  // namespace damaskthread::daemon
