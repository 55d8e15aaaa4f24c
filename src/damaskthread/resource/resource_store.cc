#include "damaskthread/resource/resource_store.h"

#include <algorithm>
#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <utility>

#include "damaskthread/resource/internal/replica_state.h"
#include "damaskthread/resource/internal/snapshot.h"

namespace damaskthread::resource {
namespace {

using internal::Decision;
using internal::ReplicaState;
using internal::ResourceKey;
using internal::StoredResource;
using Json = nlohmann::json;

constexpr std::size_t kMaxAnnouncements = 1'024;
// Time to append a snapshot and read it back before it is considered due again.
constexpr core::Duration kSnapshotWriteTime = std::chrono::seconds{5};

std::string encode_entries(std::uint64_t first, std::uint64_t next, const std::vector<LogEntry>& entries) {
  Json records = Json::array();
  for (const LogEntry& entry : entries) {
    records.push_back(Json::array({entry.offset, internal::encode_base64(entry.bytes)}));
  }
  return Json{{"first", first}, {"next", next}, {"records", std::move(records)}}.dump();
}

std::optional<std::vector<LogEntry>> decode_entries(std::string_view bytes) {
  const Json json = Json::parse(bytes.begin(), bytes.end(), nullptr, false);
  if (!json.is_object() || !json.contains("records") || !json["records"].is_array()) return std::nullopt;
  std::vector<LogEntry> entries;
  for (const Json& record : json["records"]) {
    const bool valid =
        record.is_array() && record.size() >= 2 && record[0].is_number_unsigned() && record[1].is_string();
    if (!valid) return std::nullopt;
    auto body = internal::decode_base64(record[1].get_ref<const std::string&>());
    if (!body) return std::nullopt;
    entries.push_back({record[0].get<std::uint64_t>(), std::move(*body)});
  }
  return entries;
}

}  // namespace

// State guarded by `mutex`, except the table and the two atomics that the data path reads.
class ResourceStore::Replica {
 public:
  explicit Replica(StoreOptions options) : options_(options), state_(options.max_operations, options.max_resources) {}

  LogCondition apply(const LogSlice& slice, core::TimePoint now);
  bool apply_records(std::string_view bytes, core::TimePoint now);
  bool apply_state(std::string_view bytes);
  void accept_gap();
  bool snapshot_due(core::TimePoint now, core::Random& random);
  [[nodiscard]] std::optional<std::string> records_since(std::uint64_t offset, std::size_t max_bytes) const;
  [[nodiscard]] ResourceView view(const ResourceKey& key, const StoredResource& resource) const;

  [[nodiscard]] std::uint64_t next_read_offset() const {
    return condition_ == LogCondition::kGap ? std::max(snapshot_scan_offset_, first_log_offset_) : state_.offset;
  }
  [[nodiscard]] bool is_synchronized() const { return initialized_ && condition_ == LogCondition::kContiguous; }

  mutable std::mutex mutex;
  mutable std::mutex table_mutex;
  std::shared_ptr<const ServiceTable> table = std::make_shared<ServiceTable>();
  std::atomic<std::uint64_t> revision{0};
  std::atomic<std::uint64_t> offset{0};

  [[nodiscard]] const ReplicaState& state() const { return state_; }
  [[nodiscard]] LogCondition condition() const { return condition_; }
  [[nodiscard]] const StoreCounters& counters() const { return counters_; }
  [[nodiscard]] const std::map<std::string, Announcement>& announcements() const { return announcements_; }

 private:
  void update_condition(const LogSlice& slice);
  void close_gap_if_reached();
  void apply_entry(const LogEntry& entry, core::TimePoint now);
  void scan_for_snapshot(const LogEntry& entry, core::TimePoint now);
  std::optional<internal::Snapshot> add_snapshot_part(const LogRecord& record, std::uint64_t record_offset,
                                                      core::TimePoint now);
  bool load_state(std::string_view bytes);
  void apply_change(const LogRecord& record);
  void record_announcement(const LogRecord& record, std::uint64_t record_offset);
  void update_declaration(const ResourceKey& key, const StoredResource& resource);
  void publish();
  [[nodiscard]] bool snapshot_wanted(core::TimePoint now) const;

  struct KnownSnapshot {
    std::uint64_t offset = 0;
    std::size_t parts = 0;
    core::TimePoint seen_at;
  };

  const StoreOptions options_;
  ReplicaState state_;
  StoreCounters counters_;
  LogCondition condition_ = LogCondition::kContiguous;
  bool initialized_ = false;
  core::TimePoint started_at_;
  std::uint64_t first_log_offset_ = 0;
  std::uint64_t snapshot_scan_offset_ = 0;
  std::deque<LogEntry> recent_entries_;
  std::size_t recent_bytes_ = 0;
  internal::SnapshotAssembler assembler_;
  std::optional<KnownSnapshot> latest_snapshot_;
  std::optional<core::TimePoint> snapshot_not_before_;
  std::map<std::string, Announcement> announcements_;
  // The last readable declaration of each service, and the resources whose body this version cannot read.
  ServiceTable::Map declarations_;
  std::set<ResourceKey> unreadable_resources_;
  bool table_changed_ = false;
};

LogCondition ResourceStore::Replica::apply(const LogSlice& slice, core::TimePoint now) {
  if (!initialized_) started_at_ = now;
  initialized_ = true;
  update_condition(slice);
  if (condition_ == LogCondition::kRegressed) return condition_;
  for (const LogEntry& entry : slice.entries) {
    if (condition_ == LogCondition::kGap) {
      scan_for_snapshot(entry, now);
      continue;
    }
    if (entry.offset < state_.offset) continue;
    // Entries after a missing one cannot be applied; the caller reads again from `next_read_offset()`.
    if (entry.offset > state_.offset) break;
    apply_entry(entry, now);
  }
  publish();
  return condition_;
}

void ResourceStore::Replica::update_condition(const LogSlice& slice) {
  first_log_offset_ = slice.first;
  if (slice.next < state_.offset) {
    if (condition_ != LogCondition::kRegressed) ++counters_.regressions;
    condition_ = LogCondition::kRegressed;
    return;
  }
  if (condition_ == LogCondition::kRegressed) condition_ = LogCondition::kContiguous;
  if (slice.first <= state_.offset) {
    condition_ = LogCondition::kContiguous;
    return;
  }
  if (condition_ == LogCondition::kGap) return;
  condition_ = LogCondition::kGap;
  snapshot_scan_offset_ = slice.first;
  assembler_.clear();
  ++counters_.gaps;
}

void ResourceStore::Replica::close_gap_if_reached() {
  if (condition_ != LogCondition::kGap || state_.offset < first_log_offset_) return;
  condition_ = LogCondition::kContiguous;
  assembler_.clear();
}

void ResourceStore::Replica::apply_entry(const LogEntry& entry, core::TimePoint now) {
  state_.offset = entry.offset + 1;
  recent_entries_.push_back(entry);
  recent_bytes_ += entry.bytes.size();
  while (recent_bytes_ > options_.max_recent_bytes) {
    recent_bytes_ -= recent_entries_.front().bytes.size();
    recent_entries_.pop_front();
  }
  const auto record = decode(entry.bytes);
  if (!record) {
    ++counters_.skipped;
    return;
  }
  switch (record->operation) {
    case RecordOperation::kPut:
    case RecordOperation::kDelete:
      apply_change(*record);
      break;
    case RecordOperation::kSnapshot:
      static_cast<void>(add_snapshot_part(*record, entry.offset, now));
      break;
    case RecordOperation::kAnnounce:
      record_announcement(*record, entry.offset);
      break;
  }
}

void ResourceStore::Replica::scan_for_snapshot(const LogEntry& entry, core::TimePoint now) {
  if (entry.offset < snapshot_scan_offset_) return;
  snapshot_scan_offset_ = entry.offset + 1;
  const auto record = decode(entry.bytes);
  if (!record) return;
  if (record->operation == RecordOperation::kAnnounce) record_announcement(*record, entry.offset);
  if (record->operation != RecordOperation::kSnapshot) return;
  const auto snapshot = add_snapshot_part(*record, entry.offset, now);
  if (snapshot && load_state(snapshot->state)) close_gap_if_reached();
}

std::optional<internal::Snapshot> ResourceStore::Replica::add_snapshot_part(const LogRecord& record,
                                                                            std::uint64_t record_offset,
                                                                            core::TimePoint now) {
  bool valid = false;
  auto snapshot = assembler_.add(record, record_offset, valid);
  if (!valid) ++counters_.skipped;
  if (!snapshot) return std::nullopt;
  ++counters_.snapshots_seen;
  if (latest_snapshot_ && snapshot->offset <= latest_snapshot_->offset) return snapshot;
  latest_snapshot_ = KnownSnapshot{snapshot->offset, snapshot->parts, now};
  snapshot_not_before_.reset();
  return snapshot;
}

// Replaces the state by one that is ahead of it; rejects any other.
bool ResourceStore::Replica::load_state(std::string_view bytes) {
  auto loaded = state_.decode(bytes);
  if (!loaded || loaded->offset <= state_.offset || loaded->revision < state_.revision) {
    ++counters_.states_rejected;
    return false;
  }
  state_ = std::move(*loaded);
  ++counters_.states_loaded;
  recent_entries_.clear();
  recent_bytes_ = 0;
  ServiceTable::Map previous;
  std::swap(previous, declarations_);
  unreadable_resources_.clear();
  for (const auto& [key, resource] : state_.resources()) {
    const auto known = key.first == kServiceKind ? previous.find(key.second) : previous.end();
    if (known != previous.end()) declarations_.insert(*known);
    update_declaration(key, resource);
  }
  table_changed_ = true;
  return true;
}

void ResourceStore::Replica::apply_change(const LogRecord& record) {
  const Decision decision = state_.apply(record);
  if (decision == Decision::kRepeat) ++counters_.duplicate_records;
  if (decision == Decision::kConflict) ++counters_.conflicts;
  if (decision != Decision::kAccepted) return;
  ++counters_.accepted;
  table_changed_ = true;
  const ResourceKey key{record.kind, record.name};
  update_declaration(key, state_.resources().at(key));
}

// Keeps the current declaration if this version cannot read the new body.
void ResourceStore::Replica::update_declaration(const ResourceKey& key, const StoredResource& resource) {
  unreadable_resources_.erase(key);
  if (key.first != kServiceKind) return;
  if (resource.deleted) {
    declarations_.erase(key.second);
    return;
  }
  const auto known = declarations_.find(key.second);
  if (known != declarations_.end() && known->second.version == resource.version) return;
  ParsedDeclaration parsed = parse_declaration(resource.body, key.second, ParseMode::kStored);
  if (!parsed.declaration || parsed.declaration->name != key.second) {
    ++counters_.unreadable_declarations;
    unreadable_resources_.insert(key);
    return;
  }
  declarations_[key.second] = {std::make_shared<const ServiceDeclaration>(std::move(*parsed.declaration)),
                               resource.version};
}

void ResourceStore::Replica::publish() {
  if (table_changed_) {
    auto next = std::make_shared<const ServiceTable>(declarations_, state_.revision);
    const std::scoped_lock lock{table_mutex};
    table.swap(next);
  }
  table_changed_ = false;
  revision.store(state_.revision, std::memory_order_release);
  offset.store(state_.offset, std::memory_order_release);
}

void ResourceStore::Replica::record_announcement(const LogRecord& record, std::uint64_t record_offset) {
  announcements_[record.name] = {record.name, record.body, record_offset};
  if (announcements_.size() <= kMaxAnnouncements) return;
  announcements_.erase(std::min_element(announcements_.begin(), announcements_.end(), [](const auto& a, const auto& b) {
    return a.second.offset < b.second.offset;
  }));
}

bool ResourceStore::Replica::apply_records(std::string_view bytes, core::TimePoint now) {
  const auto entries = decode_entries(bytes);
  if (!entries) return false;
  const bool contiguous =
      std::adjacent_find(entries->begin(), entries->end(), [](const LogEntry& a, const LogEntry& b) {
        return b.offset != a.offset + 1;
      }) == entries->end();
  if (!contiguous || (!entries->empty() && entries->front().offset > state_.offset)) return false;
  for (const LogEntry& entry : *entries) {
    if (entry.offset == state_.offset) apply_entry(entry, now);
  }
  if (!initialized_) started_at_ = now;
  initialized_ = true;
  close_gap_if_reached();
  publish();
  return true;
}

bool ResourceStore::Replica::apply_state(std::string_view bytes) {
  if (!load_state(bytes)) return false;
  initialized_ = true;
  close_gap_if_reached();
  publish();
  return true;
}

void ResourceStore::Replica::accept_gap() {
  if (condition_ != LogCondition::kGap) return;
  state_.offset = first_log_offset_;
  recent_entries_.clear();
  recent_bytes_ = 0;
  close_gap_if_reached();
  publish();
}

std::optional<std::string> ResourceStore::Replica::records_since(std::uint64_t from, std::size_t max_bytes) const {
  if (from > state_.offset) return std::nullopt;
  if (from < state_.offset - recent_entries_.size()) return std::nullopt;
  std::vector<LogEntry> entries;
  std::size_t bytes = 0;
  for (std::uint64_t i = from - (state_.offset - recent_entries_.size()); i < recent_entries_.size(); ++i) {
    // Base64 and JSON punctuation add about one half.
    bytes += recent_entries_[i].bytes.size() * 3 / 2 + 32;
    if (bytes > max_bytes && !entries.empty()) break;
    entries.push_back(recent_entries_[i]);
  }
  return encode_entries(from, state_.offset, entries);
}

ResourceView ResourceStore::Replica::view(const ResourceKey& key, const StoredResource& resource) const {
  return {key.first,       key.second,   resource.version, resource.deleted, !unreadable_resources_.contains(key),
          resource.author, resource.body};
}

bool ResourceStore::Replica::snapshot_wanted(core::TimePoint now) const {
  if (!is_synchronized() || state_.offset == 0) return false;
  const bool is_truncated = first_log_offset_ > 0;
  if (!latest_snapshot_) {
    return is_truncated || state_.offset >= options_.snapshot_record_interval ||
           (state_.revision > 0 && now - started_at_ >= options_.max_snapshot_age);
  }
  if (latest_snapshot_->offset < first_log_offset_) return true;
  const std::uint64_t end = std::min(state_.offset, latest_snapshot_->offset + latest_snapshot_->parts);
  const std::uint64_t records_after = state_.offset - end;
  if (records_after >= options_.snapshot_record_interval ||
      now - latest_snapshot_->seen_at >= options_.max_snapshot_age)
    return true;
  // The log has begun to drop records and the snapshot is in its older half.
  return is_truncated && records_after > latest_snapshot_->offset - first_log_offset_;
}

bool ResourceStore::Replica::snapshot_due(core::TimePoint now, core::Random& random) {
  if (!snapshot_wanted(now)) {
    snapshot_not_before_.reset();
    return false;
  }
  std::uniform_int_distribution<core::Duration::rep> wait{0, options_.snapshot_jitter.count()};
  if (!snapshot_not_before_) snapshot_not_before_ = now + core::Duration{wait(random)};
  if (now < *snapshot_not_before_) return false;
  snapshot_not_before_ = now + kSnapshotWriteTime + core::Duration{wait(random)};
  return true;
}

ResourceStore::ResourceStore(StoreOptions options) : replica_(std::make_unique<Replica>(options)) {}
ResourceStore::~ResourceStore() = default;

LogCondition ResourceStore::apply(const LogSlice& slice, core::TimePoint now) {
  const std::scoped_lock lock{replica_->mutex};
  return replica_->apply(slice, now);
}

std::uint64_t ResourceStore::next_read_offset() const {
  const std::scoped_lock lock{replica_->mutex};
  return replica_->next_read_offset();
}

std::uint64_t ResourceStore::revision() const noexcept { return replica_->revision.load(std::memory_order_acquire); }

std::uint64_t ResourceStore::offset() const noexcept { return replica_->offset.load(std::memory_order_acquire); }

bool ResourceStore::is_synchronized() const {
  const std::scoped_lock lock{replica_->mutex};
  return replica_->is_synchronized();
}

LogCondition ResourceStore::condition() const {
  const std::scoped_lock lock{replica_->mutex};
  return replica_->condition();
}

std::shared_ptr<const ServiceTable> ResourceStore::table() const {
  const std::scoped_lock lock{replica_->table_mutex};
  return replica_->table;
}

OperationOutcome ResourceStore::outcome(std::string_view operation_id) const {
  const std::scoped_lock lock{replica_->mutex};
  const OperationOutcome* outcome = replica_->state().outcome(operation_id);
  return outcome == nullptr ? OperationOutcome{} : *outcome;
}

std::optional<ResourceView> ResourceStore::find(std::string_view kind, std::string_view name) const {
  const std::scoped_lock lock{replica_->mutex};
  const auto& resources = replica_->state().resources();
  const auto it = resources.find(ResourceKey{kind, name});
  if (it == resources.end()) return std::nullopt;
  return replica_->view(it->first, it->second);
}

std::vector<ResourceView> ResourceStore::list() const {
  const std::scoped_lock lock{replica_->mutex};
  std::vector<ResourceView> views;
  for (const auto& [key, resource] : replica_->state().resources()) {
    if (!resource.deleted) views.push_back(replica_->view(key, resource));
  }
  return views;
}

std::vector<ResourceView> ResourceStore::changed_since(std::uint64_t revision) const {
  const std::scoped_lock lock{replica_->mutex};
  std::vector<ResourceView> views;
  for (const auto& [key, resource] : replica_->state().resources()) {
    if (resource.version > revision) views.push_back(replica_->view(key, resource));
  }
  return views;
}

std::vector<Announcement> ResourceStore::announcements() const {
  const std::scoped_lock lock{replica_->mutex};
  std::vector<Announcement> all;
  for (const auto& [name, announcement] : replica_->announcements()) all.push_back(announcement);
  return all;
}

StoreCounters ResourceStore::counters() const {
  const std::scoped_lock lock{replica_->mutex};
  return replica_->counters();
}

bool ResourceStore::snapshot_due(core::TimePoint now, core::Random& random) {
  const std::scoped_lock lock{replica_->mutex};
  return replica_->snapshot_due(now, random);
}

std::vector<std::string> ResourceStore::snapshot_records(std::string_view author, std::string_view snapshot_id) const {
  const std::scoped_lock lock{replica_->mutex};
  return internal::split_snapshot(replica_->state().encode(), replica_->state().offset, author, snapshot_id);
}

std::optional<std::string> ResourceStore::records_since(std::uint64_t offset, std::size_t max_bytes) const {
  const std::scoped_lock lock{replica_->mutex};
  return replica_->records_since(offset, max_bytes);
}

bool ResourceStore::apply_records(std::string_view bytes, core::TimePoint now) {
  const std::scoped_lock lock{replica_->mutex};
  return replica_->apply_records(bytes, now);
}

std::string ResourceStore::state() const {
  const std::scoped_lock lock{replica_->mutex};
  return replica_->state().encode();
}

bool ResourceStore::apply_state(std::string_view bytes) {
  const std::scoped_lock lock{replica_->mutex};
  return replica_->apply_state(bytes);
}

void ResourceStore::accept_gap() {
  const std::scoped_lock lock{replica_->mutex};
  replica_->accept_gap();
}

std::uint64_t ResourceStore::digest() const {
  const std::scoped_lock lock{replica_->mutex};
  return internal::hash_bytes(replica_->state().encode());
}

}  // namespace damaskthread::resource
