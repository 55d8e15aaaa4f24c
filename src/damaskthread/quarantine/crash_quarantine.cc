#include "damaskthread/quarantine/crash_quarantine.h"

#include <algorithm>
#include <cstddef>
#include <tuple>

namespace damaskthread::quarantine {
namespace {

// Number of crashes after which a fingerprint is held if no other suspect shares them, and unconditionally.
constexpr int kHoldThreshold = 2;
constexpr int kUnconditionalHoldThreshold = 3;

}  // namespace

CrashQuarantine::CrashQuarantine(const QuarantineOptions& options) : options_(options) {
  table_.reserve(static_cast<std::size_t>(options_.capacity));
}

int CrashQuarantine::open_crash_count(const Entry& entry) noexcept {
  return static_cast<int>(
      std::count_if(entry.crash_records.begin(), entry.crash_records.end(),
                    [](const CrashRecord& item) { return item.crash.value != 0 && !item.cleared; }));
}

bool CrashQuarantine::has_open_crash(const Entry& entry, CrashId crash) noexcept {
  return std::any_of(entry.crash_records.begin(), entry.crash_records.end(),
                     [crash](const CrashRecord& item) { return item.crash == crash && !item.cleared; });
}

int CrashQuarantine::shared_crash_count(const Entry& left, const Entry& right) noexcept {
  int sum = 0;
  for (const CrashRecord& item : left.crash_records) {
    if (item.crash.value == 0 || item.cleared) continue;
    if (has_open_crash(right, item.crash)) ++sum;
  }
  return sum;
}

const CrashQuarantine::CrashRecord& CrashQuarantine::latest_crash(const Entry& entry) noexcept {
  return *std::max_element(entry.crash_records.begin(), entry.crash_records.end(),
                           [](const CrashRecord& left, const CrashRecord& right) { return left.time < right.time; });
}

bool CrashQuarantine::expired(const Entry& entry, core::TimePoint now) const noexcept {
  return now - latest_crash(entry).time >= (entry.held ? options_.hold_expiry : options_.suspect_expiry);
}

Treatment CrashQuarantine::treatment(std::uint64_t fingerprint, core::TimePoint now) const noexcept {
  const auto found = table_.find(fingerprint);
  if (found == table_.end() || expired(found->second, now)) return Treatment::kRun;
  if (found->second.held) return Treatment::kHeld;
  const int crashes = open_crash_count(found->second);
  if (crashes >= kHoldThreshold) {
    const CrashRecord& last = latest_crash(found->second);
    if (!last.local || now - last.time < options_.shared_hold_time) return Treatment::kHeld;
  }
  return crashes > 0 ? Treatment::kIsolated : Treatment::kRun;
}

StartResult CrashQuarantine::start(std::uint64_t fingerprint, core::TimePoint now) noexcept {
  switch (treatment(fingerprint, now)) {
    case Treatment::kRun:
      return StartResult::kStarted;
    case Treatment::kHeld:
      return StartResult::kHeld;
    case Treatment::kIsolated:
      break;
  }
  if (now < running_suspect_until_) return StartResult::kWait;
  running_suspect_ = fingerprint;
  running_suspect_until_ = now + options_.suspect_timeout;
  return StartResult::kStarted;
}

void CrashQuarantine::end(std::uint64_t fingerprint) noexcept {
  if (running_suspect_ == fingerprint) running_suspect_until_ = {};
}

void CrashQuarantine::on_success(std::uint64_t fingerprint, core::TimePoint now) noexcept {
  if (!has_marks()) return;
  end(fingerprint);
  const auto found = table_.find(fingerprint);
  if (found == table_.end() || open_crash_count(found->second) == 0) return;
  Entry& entry = found->second;
  for (CrashRecord& item : entry.crash_records) item.cleared = item.crash.value != 0;
  entry.last_changed = now;
  entry.last_sent = {};
  // Other suspects of the same crashes may be distinguishable now.
  update_held(now);
}

CrashQuarantine::Entry& CrashQuarantine::find_or_insert(std::uint64_t fingerprint) {
  const auto found = table_.find(fingerprint);
  if (found != table_.end()) return found->second;
  if (static_cast<int>(table_.size()) >= options_.capacity) {
    // Evicts the entry with the fewest crashes, and the oldest among equals, so that a flood of new marks evicts only
    // new marks.
    const auto key = [](const Table::value_type& item) {
      return std::make_tuple(item.second.held, open_crash_count(item.second), latest_crash(item.second).time);
    };
    table_.erase(std::min_element(table_.begin(), table_.end(),
                                  [&key](const auto& left, const auto& right) { return key(left) < key(right); }));
  }
  return table_[fingerprint];
}

bool CrashQuarantine::add_crash_record(Entry& entry, const CrashRecord& record) noexcept {
  for (CrashRecord& item : entry.crash_records) {
    if (item.crash != record.crash) continue;
    const bool changed = record.cleared && !item.cleared;
    item.cleared = item.cleared || record.cleared;
    return changed;
  }
  // Uses a free slot, else the slot of the oldest cleared crash.
  CrashRecord* slot = nullptr;
  for (CrashRecord& item : entry.crash_records) {
    if (item.crash.value != 0 && !item.cleared) continue;
    if (slot == nullptr || item.time < slot->time) slot = &item;
  }
  if (slot == nullptr) return false;
  *slot = record;
  return true;
}

void CrashQuarantine::on_crash(CrashId crash, std::span<const std::uint64_t> running, core::TimePoint now) {
  running_suspect_until_ = {};
  const std::size_t limit = std::min(running.size(), static_cast<std::size_t>(options_.max_suspects_per_crash));
  // Known suspects are recorded first and without limit: omitting one would hide that it ran at both crashes.
  for (const bool known : {true, false}) {
    std::size_t added = 0;
    for (const std::uint64_t fingerprint : running) {
      if (table_.contains(fingerprint) != known || (!known && added >= limit)) continue;
      ++added;
      Entry& entry = find_or_insert(fingerprint);
      if (!add_crash_record(entry, {crash, now, false, true})) continue;
      entry.last_changed = now;
      entry.last_sent = {};
    }
  }
  update_held(now);
  update_size();
}

void CrashQuarantine::update_held(core::TimePoint now) noexcept {
  for (auto& [fingerprint, entry] : table_) {
    const int crashes = open_crash_count(entry);
    bool held = crashes >= kHoldThreshold;
    if (held && crashes < kUnconditionalHoldThreshold) {
      held = std::none_of(table_.begin(), table_.end(), [&entry = entry](const auto& other) {
        return &other.second != &entry && shared_crash_count(entry, other.second) >= kHoldThreshold;
      });
    }
    entry.held = held;
  }
  for (const auto& [cause_fingerprint, cause] : table_) {
    if (!cause.held) continue;
    for (auto& [fingerprint, entry] : table_) {
      if (entry.held) continue;
      for (CrashRecord& item : entry.crash_records) {
        if (item.cleared || !has_open_crash(cause, item.crash)) continue;
        item.cleared = true;
        entry.last_changed = now;
        entry.last_sent = {};
      }
    }
  }
}

std::vector<CrashMark> CrashQuarantine::marks_to_send(core::TimePoint now) {
  std::vector<Table::value_type*> changed_items;
  for (auto& item : table_) {
    if (now - item.second.last_changed < options_.resend_duration) changed_items.push_back(&item);
  }
  // The fingerprint breaks ties, so that the result does not depend on the iteration order of the table.
  std::sort(changed_items.begin(), changed_items.end(), [](const auto* left, const auto* right) {
    return std::make_tuple(left->second.last_sent, -open_crash_count(left->second), left->first) <
           std::make_tuple(right->second.last_sent, -open_crash_count(right->second), right->first);
  });
  if (changed_items.size() > static_cast<std::size_t>(options_.max_marks_per_send)) {
    changed_items.resize(static_cast<std::size_t>(options_.max_marks_per_send));
  }
  std::vector<CrashMark> marks;
  marks.reserve(changed_items.size());
  for (Table::value_type* item : changed_items) {
    item->second.last_sent = now;
    CrashMark& mark = marks.emplace_back();
    mark.fingerprint = item->first;
    for (std::size_t i = 0; i < mark.crash_records.size(); ++i) {
      const CrashRecord& record = item->second.crash_records[i];
      if (record.crash.value == 0) continue;
      mark.crash_records[i] = {record.crash, now - record.time, record.cleared};
    }
  }
  return marks;
}

void CrashQuarantine::merge(std::span<const CrashMark> marks, core::TimePoint now) {
  bool any_change = false;
  for (const CrashMark& mark : marks) {
    bool changed = false;
    for (const CrashMark::CrashRecord& item : mark.crash_records) {
      if (item.crash.value == 0 || item.age < core::Duration{0} || item.age >= options_.hold_expiry) continue;
      Entry& entry = find_or_insert(mark.fingerprint);
      if (!add_crash_record(entry, {item.crash, now - item.age, item.cleared, false})) continue;
      changed = true;
      entry.last_changed = now;
      entry.last_sent = {};
    }
    any_change = any_change || changed;
  }
  if (!any_change) return;
  update_held(now);
  update_size();
}

void CrashQuarantine::tick(core::TimePoint now) {
  if (!has_marks()) return;
  if (std::erase_if(table_, [this, now](const auto& item) { return expired(item.second, now); }) == 0) return;
  update_held(now);
  update_size();
}

}  // namespace damaskthread::quarantine
