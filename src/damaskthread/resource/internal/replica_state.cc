#include "damaskthread/resource/internal/replica_state.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "damaskthread/resource/declaration.h"

namespace damaskthread::resource::internal {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxStateBytes = std::size_t{128} << 20U;

// Array indexes of the fields in an entry of `resources` and of `operations`.
enum ResourceField : std::uint8_t { kKind, kName, kVersion, kDeleted, kAuthor, kBody, kResourceFields };
enum OperationField : std::uint8_t { kId, kState, kOutcomeKind, kOutcomeName, kOutcomeVersion, kOperationFields };

bool is_resource_entry(const Json& json) {
  return json.is_array() && json.size() >= kResourceFields && json[kKind].is_string() && json[kName].is_string() &&
         json[kVersion].is_number_unsigned() && json[kDeleted].is_boolean() && json[kAuthor].is_string() &&
         json[kBody].is_string();
}

bool is_operation_entry(const Json& json) {
  return json.is_array() && json.size() >= kOperationFields && json[kId].is_string() && json[kState].is_boolean() &&
         json[kOutcomeKind].is_string() && json[kOutcomeName].is_string() && json[kOutcomeVersion].is_number_unsigned();
}

bool is_state(const Json& json) {
  if (!json.is_object() || json.value("format", Json{}) != kRecordFormat) return false;
  for (const char* key : {"offset", "revision"}) {
    if (!json.contains(key) || !json[key].is_number_unsigned()) return false;
  }
  const auto all = [&](const char* key, bool (*valid)(const Json&)) {
    return json.contains(key) && json[key].is_array() && std::all_of(json[key].begin(), json[key].end(), valid);
  };
  return all("resources", is_resource_entry) && all("operations", is_operation_entry);
}

}  // namespace

Decision ReplicaState::apply(const LogRecord& record) {
  if (operations_.contains(record.operation_id)) return Decision::kRepeat;
  const ResourceKey key{record.kind, record.name};
  const auto found = resources_.find(key);
  const bool exists = found != resources_.end();
  const std::uint64_t current = exists ? found->second.version : 0;
  const bool is_delete = record.operation == RecordOperation::kDelete;
  // A tombstone keeps its version, so that a late retry of a create (base 0) cannot undo the deletion.
  bool accepted = record.base_version == current;
  if (is_delete && (!exists || found->second.deleted)) accepted = false;
  if (accepted && !exists) accepted = evict_tombstone_if_full();
  if (!accepted) {
    record_outcome(record.operation_id, {OperationState::kConflict, record.kind, record.name, current});
    return Decision::kConflict;
  }
  ++revision;
  resources_[key] = {revision, is_delete, record.author, is_delete ? std::string{} : record.body};
  record_outcome(record.operation_id, {OperationState::kAccepted, record.kind, record.name, revision});
  return Decision::kAccepted;
}

const OperationOutcome* ReplicaState::outcome(std::string_view operation_id) const {
  const auto it = operations_.find(std::string{operation_id});
  return it == operations_.end() ? nullptr : &it->second;
}

// Returns false if the table is full and holds no tombstone.
bool ReplicaState::evict_tombstone_if_full() {
  if (resources_.size() < max_resources_) return true;
  auto oldest = resources_.end();
  for (auto it = resources_.begin(); it != resources_.end(); ++it) {
    if (!it->second.deleted) continue;
    if (oldest == resources_.end() || it->second.version < oldest->second.version) oldest = it;
  }
  if (oldest == resources_.end()) return false;
  resources_.erase(oldest);
  return true;
}

void ReplicaState::record_outcome(const std::string& operation_id, OperationOutcome outcome) {
  operations_.emplace(operation_id, std::move(outcome));
  operation_order_.push_back(operation_id);
  while (operation_order_.size() > max_operations_) {
    operations_.erase(operation_order_.front());
    operation_order_.pop_front();
  }
}

std::string ReplicaState::encode() const {
  Json resources = Json::array();
  for (const auto& [key, resource] : resources_) {
    resources.push_back(
        Json::array({key.first, key.second, resource.version, resource.deleted, resource.author, resource.body}));
  }
  Json operations = Json::array();
  for (const std::string& id : operation_order_) {
    const OperationOutcome& outcome = operations_.at(id);
    operations.push_back(
        Json::array({id, outcome.state == OperationState::kAccepted, outcome.kind, outcome.name, outcome.version}));
  }
  const Json state = {{"format", kRecordFormat},
                      {"offset", offset},
                      {"revision", revision},
                      {"resources", std::move(resources)},
                      {"operations", std::move(operations)}};
  return state.dump();
}

std::optional<ReplicaState> ReplicaState::decode(std::string_view bytes) const {
  if (bytes.size() > kMaxStateBytes) return std::nullopt;
  const Json json = Json::parse(bytes.begin(), bytes.end(), nullptr, false);
  if (!is_state(json)) return std::nullopt;
  ReplicaState state{max_operations_, max_resources_};
  state.offset = json["offset"].get<std::uint64_t>();
  state.revision = json["revision"].get<std::uint64_t>();
  for (const Json& entry : json["resources"]) {
    ResourceKey key{entry[kKind].get<std::string>(), entry[kName].get<std::string>()};
    StoredResource resource{entry[kVersion].get<std::uint64_t>(), entry[kDeleted].get<bool>(),
                            entry[kAuthor].get<std::string>(), entry[kBody].get<std::string>()};
    if (!is_valid_name(key.second) || resource.version == 0 || resource.version > state.revision) return std::nullopt;
    if (!state.resources_.emplace(std::move(key), std::move(resource)).second) return std::nullopt;
  }
  for (const Json& entry : json["operations"]) {
    const OperationState operation_state =
        entry[kState].get<bool>() ? OperationState::kAccepted : OperationState::kConflict;
    state.record_outcome(entry[kId].get<std::string>(),
                         {operation_state, entry[kOutcomeKind].get<std::string>(),
                          entry[kOutcomeName].get<std::string>(), entry[kOutcomeVersion].get<std::uint64_t>()});
  }
  return state;
}

}  // namespace damaskthread::resource::internal
