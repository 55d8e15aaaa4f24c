#include "damaskthread/resource/resource_store.h"

#include <doctest/doctest.h>

#include <thread>

namespace damaskthread::resource {
namespace {

constexpr core::TimePoint kNow{};

std::string declaration(std::string_view name, int retries, std::string_view extra = "") {
  return R"({"kind":"Service","name":")" + std::string{name} + R"(","retries":)" + std::to_string(retries) +
         std::string{extra} + "}";
}

std::string put(std::string_view name, std::uint64_t base, std::string_view id, int retries = 3) {
  return *encode({RecordOperation::kPut, "Service", std::string{name}, base, std::string{id}, "operator",
                  declaration(name, retries)});
}

std::string remove(std::string_view name, std::uint64_t base, std::string_view id) {
  return *encode({RecordOperation::kDelete, "Service", std::string{name}, base, std::string{id}, "operator", ""});
}

// In-memory log that replays all retained records into a store.
struct InMemoryLog {
  std::uint64_t first = 0;
  std::vector<std::string> records;

  void replay_into(ResourceStore& store, core::TimePoint now = kNow) const {
    LogSlice slice{first, records.size(), {}};
    for (std::uint64_t i = std::max(first, store.next_read_offset()); i < records.size(); ++i) {
      slice.entries.push_back({i, records[i]});
    }
    store.apply(slice, now);
  }
};

}  // namespace

TEST_CASE("a put is accepted only on the current version, and a conflict reports that version") {
  InMemoryLog log{0, {put("a", 0, "one"), put("a", 0, "two"), put("a", 1, "three", 5), put("a", 1, "four")}};
  ResourceStore store;
  log.replay_into(store);
  CHECK(store.revision() == 2);
  CHECK(store.outcome("one") == OperationOutcome{OperationState::kAccepted, "Service", "a", 1});
  CHECK(store.outcome("two") == OperationOutcome{OperationState::kConflict, "Service", "a", 1});
  CHECK(store.outcome("four") == OperationOutcome{OperationState::kConflict, "Service", "a", 2});
  CHECK(store.outcome("five").state == OperationState::kNotSeen);
  CHECK(store.table()->find("a")->retries == 5);
}

// Guards against a publish that takes effect twice: its response is lost, and the retry has the new base version.
TEST_CASE("a repeated operation id is the same operation whatever its base version") {
  InMemoryLog log{0, {put("a", 0, "one"), remove("a", 1, "two"), put("a", 2, "one")}};
  ResourceStore store;
  log.replay_into(store);
  CHECK(store.revision() == 2);
  CHECK(store.find("Service", "a")->deleted);
  CHECK(store.counters().duplicate_records == 1);
  CHECK(store.outcome("one").version == 1);
}

// Guards against a late retry of a create that undoes a deletion after its operation id has been evicted.
TEST_CASE("a tombstone outlives the retained operation ids") {
  InMemoryLog log{
      0, {put("a", 0, "one"), remove("a", 1, "two"), put("b", 0, "three"), put("c", 0, "four"), put("a", 0, "one")}};
  ResourceStore store{{.max_operations = 2}};
  log.replay_into(store);
  CHECK(store.table()->find("a") == nullptr);
  CHECK(store.find("Service", "a")->deleted);
  log.records.push_back(put("a", 2, "again"));
  log.replay_into(store);
  CHECK(store.table()->find("a") != nullptr);
}

TEST_CASE("the number of resources is bounded and the oldest tombstone is evicted") {
  InMemoryLog log{0, {put("a", 0, "1"), put("b", 0, "2"), put("c", 0, "3"), remove("a", 1, "4"), put("c", 0, "5")}};
  ResourceStore store{{.max_resources = 2}};
  log.replay_into(store);
  CHECK(store.outcome("3").state == OperationState::kConflict);
  CHECK(store.outcome("5").state == OperationState::kAccepted);
  CHECK_FALSE(store.find("Service", "a").has_value());
}

// Guards against replicas of different versions that disagree on whether a record is valid.
TEST_CASE("invalid and unknown records are skipped and counted") {
  std::string newer = put("a", 0, "one");
  newer.replace(newer.find("\"format\":1"), 10, "\"format\":2");
  std::string extended = put("b", 0, "two");
  extended.insert(1, "\"added_later\":{\"x\":[1]},");
  const std::string large(kMaxRecordBytes + 1, ' ');
  InMemoryLog log{0, {newer, "", "noise", "{}", large, put("a", 0, "x").substr(0, 60), extended}};
  ResourceStore store;
  log.replay_into(store);
  CHECK(store.counters().skipped == 6);
  CHECK(store.offset() == 7);
  CHECK(store.revision() == 1);
  CHECK(store.table()->find("b") != nullptr);
}

// Guards against a service that loses its declaration because a newer version published an unreadable one.
TEST_CASE("an unreadable body keeps the current declaration and is reported") {
  InMemoryLog log{0,
                  {put("a", 0, "one", 5), *encode({RecordOperation::kPut, "Service", "a", 1, "two", "",
                                                   R"({"kind":"Service","name":"a","retries":"many"})"})}};
  ResourceStore store;
  log.replay_into(store);
  CHECK(store.revision() == 2);
  CHECK(store.table()->find("a")->retries == 5);
  CHECK_FALSE(store.find("Service", "a")->understood);
  CHECK(store.counters().unreadable_declarations == 1);
}

// Guards against a new daemon that applies records without the preceding state.
TEST_CASE("a truncated log keeps the state, and a snapshot in several parts closes the gap") {
  InMemoryLog log;
  ResourceStore writer;
  for (int i = 0; i < 100; ++i) {
    const std::string name = "s" + std::to_string(i);
    LogRecord record{RecordOperation::kPut, "Service", name, 0, "op" + name, "operator", ""};
    record.body = declaration(name, 1, ",\"note\":\"" + std::string(2'000, 'x') + "\"");
    log.records.push_back(*encode(record));
  }
  log.replay_into(writer);
  const std::vector<std::string> parts = writer.snapshot_records("writer", "snap");
  CHECK(parts.size() == 5);
  ResourceStore lagging;
  InMemoryLog early{0, {log.records.begin(), log.records.begin() + 10}};
  early.replay_into(lagging);
  log.records.push_back(put("s0", 1, "in-between"));
  for (const std::string& part : parts) {
    log.records.push_back(part);
    log.records.push_back("noise");
  }
  log.first = 100;
  ResourceStore fresh;
  CHECK_FALSE(fresh.is_synchronized());
  for (ResourceStore* store : {&fresh, &lagging}) {
    InMemoryLog missing_end = log;
    missing_end.records.resize(log.records.size() - 2);
    missing_end.replay_into(*store);
    CHECK(store->condition() == LogCondition::kGap);
    CHECK(store->outcome("in-between").state == OperationState::kNotSeen);
    CHECK(store->revision() == (store == &fresh ? 0 : 10));
    log.replay_into(*store);
    log.replay_into(*store);
    CHECK(store->is_synchronized());
  }
  log.replay_into(writer);
  CHECK(fresh.digest() == writer.digest());
  CHECK(lagging.digest() == writer.digest());
  CHECK(lagging.counters().gaps == 1);
  CHECK(fresh.outcome("in-between").version == 101);
}

TEST_CASE("a gap is skipped only on request, and a shorter log is reported") {
  InMemoryLog log{0, {put("a", 0, "one"), put("b", 0, "two"), put("a", 1, "three")}};
  ResourceStore store;
  InMemoryLog{0, {log.records[0]}}.replay_into(store);
  log.first = 2;
  log.replay_into(store);
  CHECK(store.condition() == LogCondition::kGap);
  store.accept_gap();
  log.replay_into(store);
  CHECK(store.is_synchronized());
  CHECK(store.outcome("three").state == OperationState::kAccepted);
  InMemoryLog{0, {"other log"}}.replay_into(store);
  CHECK(store.condition() == LogCondition::kRegressed);
  CHECK(store.revision() == 2);
}

// Guards against the last snapshot expiring before a new one is written, and against every daemon writing one.
TEST_CASE("a snapshot is due by record count, age and log retention, and not after a recent one") {
  const StoreOptions options{.snapshot_record_interval = 4, .snapshot_jitter = core::Duration{0}};
  core::Random random{1};
  ResourceStore store{options};
  InMemoryLog log{0, {put("a", 0, "1"), put("b", 0, "2")}};
  log.replay_into(store);
  CHECK_FALSE(store.snapshot_due(kNow, random));
  CHECK(store.snapshot_due(kNow + options.max_snapshot_age, random));
  log.records.push_back(put("c", 0, "3"));
  log.records.push_back(put("d", 0, "4"));
  log.replay_into(store);
  CHECK(store.snapshot_due(kNow + options.max_snapshot_age + std::chrono::seconds{9}, random));
  log.records.push_back(store.snapshot_records("w", "snap").front());
  log.replay_into(store, kNow);
  CHECK_FALSE(store.snapshot_due(kNow + std::chrono::minutes{1}, random));
  log.first = 4;
  log.records.push_back("noise");
  log.replay_into(store);
  CHECK(store.snapshot_due(kNow + std::chrono::minutes{1}, random));
  ResourceStore waiting{{.snapshot_record_interval = 1}};
  log.replay_into(waiting);
  log.replay_into(waiting);
  CHECK_FALSE(waiting.snapshot_due(kNow, random));
}

TEST_CASE("records and states from a peer never move a store backwards") {
  InMemoryLog log{0, {put("a", 0, "one"), put("b", 0, "two"), put("c", 0, "three")}};
  ResourceStore ahead;
  ResourceStore behind;
  log.replay_into(ahead);
  CHECK_FALSE(behind.apply_records(*ahead.records_since(1, 10'000), kNow));
  CHECK(behind.apply_records(*ahead.records_since(0, 1), kNow));
  CHECK(behind.offset() == 1);
  CHECK(behind.apply_state(ahead.state()));
  CHECK(behind.digest() == ahead.digest());
  CHECK_FALSE(behind.apply_state(ahead.state()));
  CHECK_FALSE(behind.records_since(0, 10'000).has_value());
  CHECK_FALSE(behind.records_since(4, 10'000).has_value());
  CHECK(behind.records_since(3, 10'000).has_value());
}

TEST_CASE("announcements do not change the revision") {
  InMemoryLog log{0, {*encode({RecordOperation::kAnnounce, "Daemon", "127.0.0.1:7004", 0, "d1", "", R"({"x":1})"})}};
  ResourceStore store;
  log.replay_into(store);
  CHECK(store.revision() == 0);
  REQUIRE(store.announcements().size() == 1);
  CHECK(store.announcements().front().body == R"({"x":1})");
}

// Guards against a table that changes while the data path reads it; run under the thread sanitizer.
TEST_CASE("tables are read while records are applied") {
  ResourceStore store;
  std::thread reader{[&] {
    std::uint64_t last = 0;
    while (last < 50) {
      const auto table = store.table();
      CHECK_MESSAGE(table->revision() >= last, "the table revision decreased");
      last = table->revision();
      if (last > 0) CHECK(table->find("a")->retries == static_cast<int>(last % 9));
    }
  }};
  InMemoryLog log;
  for (std::uint64_t i = 0; i < 50; ++i) {
    log.records.push_back(put("a", i, "op" + std::to_string(i), static_cast<int>((i + 1) % 9)));
    log.replay_into(store);
  }
  reader.join();
}

}  // namespace damaskthread::resource
