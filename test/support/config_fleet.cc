#include "support/config_fleet.h"

#include <nlohmann/json.hpp>

namespace damaskthread::test {
namespace {

constexpr core::Duration kPollPeriod = std::chrono::milliseconds{500};

// Decides records again, without retention, snapshots, peers or a bound on what is remembered.
struct Oracle {
  std::map<std::string, std::pair<std::uint64_t, bool>> resources;  // Version and whether deleted.
  std::map<std::string, std::uint64_t> accepted;
  std::set<std::string> decided;
  std::uint64_t revision = 0;

  void apply(const std::string& bytes) {
    const auto record = resource::decode(bytes);
    if (!record || record->kind != resource::kServiceKind || !decided.insert(record->operation_id).second) return;
    const bool remove = record->operation == resource::RecordOperation::kDelete;
    auto& [version, deleted] = resources[record->name];
    if (record->base_version != version || (remove && deleted)) return;
    version = ++revision;
    deleted = remove;
    accepted[record->operation_id] = version;
  }
};

}  // namespace

ConfigFleet::ConfigFleet(std::size_t replicas, resource::StoreOptions options) : options_(options) {
  replicas_.resize(replicas);
  for (Replica& replica : replicas_) replica.store = std::make_unique<resource::ResourceStore>(options_);
  for (std::size_t i = 0; i < replicas_.size(); ++i) poll(i, 100);
}

void ConfigFleet::step(std::uint32_t event) {
  const std::size_t a = (event >> 4) % replicas_.size();
  const std::size_t b = (event >> 8) % replicas_.size();
  const std::size_t c = event >> 12;
  now_ += std::chrono::milliseconds{c % 700};
  switch (event % 16) {
    case 5:
      return publish(a, b, c, true);
    case 6:
      return requests_.empty() ? void() : send(a, requests_[c % requests_.size()]);
    case 7:
      return poll(a, c % 4);
    case 8:
      for (std::size_t i = 0; i < replicas_.size(); ++i) poll(i, 100);
      return;
    case 9:
      return log_.start_outage(now_, std::chrono::seconds{c % 5});
    case 10:
      return log_.drop_replies(1 + c % 2);
    case 11:
      return restart(a);
    case 12:
      return truncate(log_.first() + c % 8);
    case 13:
      return sync(a, b);
    case 14:
      return maintain(a);
    case 15:
      return append(history_.empty() ? "noise" : history_.back().substr(0, c % 90));
    default:
      return publish(a, b, c, false);
  }
}

void ConfigFleet::publish(std::size_t at, std::size_t seen_at, std::size_t name, bool remove) {
  const auto seen = replicas_[seen_at].store->find(resource::kServiceKind, name_of(name));
  Request request;
  request.request.method = remove ? "DELETE" : "PUT";
  request.request.path = "/v1/resources/services/" + name_of(name);
  request.request.role = resource::Role::kWrite;
  if (!remove && (!seen || seen->deleted)) {
    request.request.if_none_match = "*";
  } else {
    request.request.if_match = std::to_string(seen ? seen->version : 0);
  }
  request.request.operation_id = "op-" + std::to_string(requests_.size());
  request.request.body =
      R"({"kind": "Service", "retries": )" + std::to_string(name % 9) + R"(, "name": ")" + name_of(name) + "\"}";
  request.refused = true;
  requests_.push_back(std::move(request));
  send(at, requests_.back());
}

void ConfigFleet::send(std::size_t at, Request& request) {
  const resource::ApiHandler handler{*replicas_[at].store};
  const resource::ApiResult result = handler.handle(request.request);
  if (const auto* answer = std::get_if<resource::ApiResponse>(&result)) {
    note_answer(request.request.operation_id, *answer);
    return;
  }
  const auto& step = std::get<resource::AppendStep>(result);
  const AppendReply reply = log_.append(step.record, now_);
  if (reply.status == AppendStatus::kRefused) return;
  request.refused = false;
  history_.push_back(step.record);
  // An operator whose answer is lost learns the outcome from a repeat of the request.
  if (reply.status == AppendStatus::kAppended) replicas_[at].pending.push_back(step);
}

void ConfigFleet::note_answer(const std::string& operation_id, const resource::ApiResponse& answer) {
  if (answer.status != 200 && answer.status != 409) return;
  const auto body = nlohmann::json::parse(answer.body);
  const bool accepted = answer.status == 200;
  auto& told = accepted ? told_accepted_ : told_conflict_;
  const std::uint64_t version = body[accepted ? "version" : "winner"].get<std::uint64_t>();
  const auto [it, added] = told.emplace(operation_id, version);
  if (accepted && it->second != version) fault_ = operation_id + " was answered with two versions";
}

void ConfigFleet::append(const std::string& record) {
  if (log_.append(record, now_).status != AppendStatus::kRefused) history_.push_back(record);
}

void ConfigFleet::poll(std::size_t at, std::size_t max) {
  Replica& replica = replicas_[at];
  const auto slice = log_.read(replica.store->next_read_offset(), max, now_);
  if (!slice) return;
  replica.store->apply(*slice, now_);
  observe(at);
}

void ConfigFleet::sync(std::size_t at, std::size_t from) {
  if (at == from) return;
  const auto records = replicas_[from].store->records_since(replicas_[at].store->offset(), 2'000);
  if (!records || !replicas_[at].store->apply_records(*records, now_)) {
    static_cast<void>(replicas_[at].store->apply_state(replicas_[from].store->state()));
  }
  observe(at);
}

void ConfigFleet::maintain(std::size_t at) {
  if (!replicas_[at].store->snapshot_due(now_, random_)) return;
  const std::string id = "snapshot-" + std::to_string(++snapshots_);
  for (const std::string& record : replicas_[at].store->snapshot_records("replica", id)) append(record);
}

// Only what some live replica or the log still knows can survive, so the schedule never removes the last copy.
bool ConfigFleet::known_elsewhere(std::size_t except, std::uint64_t offset) const {
  for (std::size_t i = 0; i < replicas_.size(); ++i) {
    if (i != except && replicas_[i].store->is_synchronized() && replicas_[i].store->offset() >= offset) return true;
  }
  return false;
}

void ConfigFleet::restart(std::size_t at) {
  if (!known_elsewhere(at, log_.first())) return;
  replicas_[at] = {};
  replicas_[at].store = std::make_unique<resource::ResourceStore>(options_);
}

void ConfigFleet::truncate(std::uint64_t offset) {
  if (known_elsewhere(replicas_.size(), offset)) log_.truncate_before(offset);
}

// Checks that nothing moves backwards and collects the answers that operators wait for.
void ConfigFleet::observe(std::size_t at) {
  Replica& replica = replicas_[at];
  if (replica.store->revision() < replica.revision) fault_ = "a revision went backwards";
  replica.revision = replica.store->revision();
  for (std::size_t name = 0; name < 3; ++name) {
    const auto view = replica.store->find(resource::kServiceKind, name_of(name));
    std::uint64_t& highest = replica.versions[name_of(name)];
    if ((view ? view->version : 0) < highest) fault_ = name_of(name) + " went back to an older version";
    if (!view) continue;
    highest = view->version;
    const bool in_force = replica.store->table()->find(name_of(name)) != nullptr;
    if (in_force == view->deleted) fault_ = name_of(name) + " is in force although deleted, or the reverse";
  }
  const resource::ApiHandler handler{*replica.store};
  std::erase_if(replica.pending, [&](const resource::AppendStep& step) {
    const auto answer = handler.poll(step);
    if (answer) note_answer(step.operation_id, *answer);
    return answer.has_value();
  });
}

void ConfigFleet::heal_and_run(core::Duration time) {
  log_.start_outage(now_, core::Duration{0});
  log_.drop_replies(0);
  for (std::size_t i = 0; i < replicas_.size(); ++i) poll(i, 1'000);
  // Retention passes over everything that was read, so a server that starts later depends on a new snapshot.
  truncate(log_.next());
  const core::TimePoint end = now_ + time;
  for (; now_ < end; now_ += kPollPeriod) {
    for (std::size_t i = 0; i < replicas_.size(); ++i) {
      poll(i, 1'000);
      if (!replicas_[i].store->is_synchronized()) sync(i, (i + 1) % replicas_.size());
      maintain(i);
    }
  }
}

std::string ConfigFleet::broken_promise() {
  if (!fault_.empty()) return fault_;
  Oracle oracle;
  for (const std::string& record : history_) oracle.apply(record);
  // A server that starts now reads what the log still keeps; an uncut log needs no snapshot.
  replicas_.push_back({});
  replicas_.back().store = std::make_unique<resource::ResourceStore>(options_);
  for (int i = 0; i < 3; ++i) poll(replicas_.size() - 1, 100'000);
  for (const Replica& replica : replicas_) {
    const resource::ResourceStore& store = *replica.store;
    if (!store.is_synchronized() || store.offset() != log_.next()) return "a replica has not read the whole log";
    if (store.digest() != replicas_.front().store->digest()) return "two replicas differ";
    if (store.revision() != oracle.revision) return "a replica's revision differs from the oracle's";
    for (const auto& [name, expected] : oracle.resources) {
      const auto view = store.find(resource::kServiceKind, name);
      if (expected.first == 0) continue;
      if (!view || view->version != expected.first) return "an accepted change of " + name + " is lost";
      if (view->deleted != expected.second) return name + " is back after its deletion, or gone";
    }
  }
  if (!fault_.empty()) return fault_;
  for (const auto& [id, version] : told_accepted_) {
    if (!oracle.accepted.contains(id) || oracle.accepted[id] != version) return id + " was falsely answered accepted";
  }
  for (const auto& [id, winner] : told_conflict_) {
    if (oracle.accepted.contains(id)) return id + " was answered conflict and yet accepted";
  }
  for (const Request& request : requests_) {
    if (request.refused && oracle.decided.contains(request.request.operation_id)) return "a refused request was run";
  }
  return {};
}

}  // namespace damaskthread::test
