#include "damaskthread/quarantine/crash_quarantine.h"

#include <algorithm>
#include <cstddef>
#include <tuple>

namespace damaskthread::quarantine {
namespace {

// Crashes that hold a fingerprint if no other suspect shares them, and in any case.
constexpr int kHoldIfAlone = 2;
constexpr int kHoldAlways = 3;

}  // namespace

CrashQuarantine::CrashQuarantine(const QuarantineOptions& options) : options_(options) {
  table_.reserve(static_cast<std::size_t>(options_.capacity));
}

int CrashQuarantine::count(const Entry& entry) noexcept {
  return static_cast<int>(std::count_if(entry.accusations.begin(), entry.accusations.end(),
                                        [](const Accusation& item) { return item.crash.value != 0 && !item.cleared; }));
}

bool CrashQuarantine::accused_of(const Entry& entry, CrashId crash) noexcept {
  return std::any_of(entry.accusations.begin(), entry.accusations.end(),
                     [crash](const Accusation& item) { return item.crash == crash && !item.cleared; });
}

int CrashQuarantine::shared(const Entry& left, const Entry& right) noexcept {
  int sum = 0;
  for (const Accusation& item : left.accusations) {
    if (item.crash.value == 0 || item.cleared) continue;
    if (accused_of(right, item.crash)) ++sum;
  }
  return sum;
}

const CrashQuarantine::Accusation& CrashQuarantine::latest(const Entry& entry) noexcept {
  return *std::max_element(entry.accusations.begin(), entry.accusations.end(),
                           [](const Accusation& left, const Accusation& right) { return left.time < right.time; });
}

bool CrashQuarantine::expired(const Entry& entry, core::TimePoint now) const noexcept {
  return now - latest(entry).time >= (entry.held ? options_.hold : options_.suspect_expiry);
}

Treatment CrashQuarantine::treatment(std::uint64_t fingerprint, core::TimePoint now) const noexcept {
  const auto found = table_.find(fingerprint);
  if (found == table_.end() || expired(found->second, now)) return Treatment::kRun;
  if (found->second.held) return Treatment::kHeld;
  const int accusations = count(found->second);
  if (accusations >= kHoldIfAlone) {
    const Accusation& last = latest(found->second);
    if (!last.local || now - last.time < options_.shared_hold) return Treatment::kHeld;
  }
  return accusations > 0 ? Treatment::kAlone : Treatment::kRun;
}

StartResult CrashQuarantine::start(std::uint64_t fingerprint, core::TimePoint now) noexcept {
  switch (treatment(fingerprint, now)) {
    case Treatment::kRun:
      return StartResult::kStarted;
    case Treatment::kHeld:
      return StartResult::kHeld;
    case Treatment::kAlone:
      break;
  }
  if (now < suspect_until_) return StartResult::kWait;
  suspect_ = fingerprint;
  suspect_until_ = now + options_.suspect_timeout;
  return StartResult::kStarted;
}

void CrashQuarantine::end(std::uint64_t fingerprint) noexcept {
  if (suspect_ == fingerprint) suspect_until_ = {};
}

void CrashQuarantine::on_success(std::uint64_t fingerprint, core::TimePoint now) noexcept {
  if (!any()) return;
  end(fingerprint);
  const auto found = table_.find(fingerprint);
  if (found == table_.end() || count(found->second) == 0) return;
  Entry& entry = found->second;
  for (Accusation& item : entry.accusations) item.cleared = item.crash.value != 0;
  entry.changed = now;
  entry.sent = {};
  // Those who share crashes with it may be told apart now.
  resolve(now);
}

CrashQuarantine::Entry& CrashQuarantine::find_or_insert(std::uint64_t fingerprint) {
  const auto found = table_.find(fingerprint);
  if (found != table_.end()) return found->second;
  if (static_cast<int>(table_.size()) >= options_.capacity) {
    // The least suspected goes first and among equals the oldest, so that a flood of new marks displaces new marks.
    const auto key = [](const Table::value_type& item) {
      return std::make_tuple(item.second.held, count(item.second), latest(item.second).time);
    };
    table_.erase(std::min_element(table_.begin(), table_.end(),
                                  [&key](const auto& left, const auto& right) { return key(left) < key(right); }));
  }
  return table_[fingerprint];
}

bool CrashQuarantine::accuse(Entry& entry, const Accusation& accusation) noexcept {
  for (Accusation& item : entry.accusations) {
    if (item.crash != accusation.crash) continue;
    const bool changed = accusation.cleared && !item.cleared;
    item.cleared = item.cleared || accusation.cleared;
    return changed;
  }
  // A free place, or else that of the oldest crash of which the request is cleared.
  Accusation* place = nullptr;
  for (Accusation& item : entry.accusations) {
    if (item.crash.value != 0 && !item.cleared) continue;
    if (place == nullptr || item.time < place->time) place = &item;
  }
  if (place == nullptr) return false;
  *place = accusation;
  return true;
}

void CrashQuarantine::on_crash(CrashId crash, std::span<const std::uint64_t> running, core::TimePoint now) {
  suspect_until_ = {};
  const std::size_t limit = std::min(running.size(), static_cast<std::size_t>(options_.suspects_per_crash));
  // Known suspects first: leaving one of them out would hide that it was there at both crashes.
  for (const bool known : {true, false}) {
    std::size_t taken = 0;
    for (const std::uint64_t fingerprint : running) {
      if (table_.contains(fingerprint) != known || (!known && taken >= limit)) continue;
      ++taken;
      Entry& entry = find_or_insert(fingerprint);
      if (!accuse(entry, {crash, now, false, true})) continue;
      entry.changed = now;
      entry.sent = {};
    }
  }
  resolve(now);
  update_size();
}

void CrashQuarantine::resolve(core::TimePoint now) noexcept {
  for (auto& [fingerprint, entry] : table_) {
    const int accusations = count(entry);
    bool held = accusations >= kHoldIfAlone;
    if (held && accusations < kHoldAlways) {
      held = std::none_of(table_.begin(), table_.end(), [&entry = entry](const auto& other) {
        return &other.second != &entry && shared(entry, other.second) >= kHoldIfAlone;
      });
    }
    entry.held = held;
  }
  for (const auto& [culprit_fingerprint, culprit] : table_) {
    if (!culprit.held) continue;
    for (auto& [fingerprint, entry] : table_) {
      if (entry.held) continue;
      for (Accusation& item : entry.accusations) {
        if (item.cleared || !accused_of(culprit, item.crash)) continue;
        item.cleared = true;
        entry.changed = now;
        entry.sent = {};
      }
    }
  }
}

std::vector<CrashMark> CrashQuarantine::news(core::TimePoint now) {
  std::vector<Table::value_type*> fresh;
  for (auto& item : table_) {
    if (now - item.second.changed < options_.news_repeat) fresh.push_back(&item);
  }
  // The fingerprint breaks ties, so that the result does not depend on the order of the table.
  std::sort(fresh.begin(), fresh.end(), [](const auto* left, const auto* right) {
    return std::make_tuple(left->second.sent, -count(left->second), left->first) <
           std::make_tuple(right->second.sent, -count(right->second), right->first);
  });
  if (fresh.size() > static_cast<std::size_t>(options_.news_batch)) {
    fresh.resize(static_cast<std::size_t>(options_.news_batch));
  }
  std::vector<CrashMark> marks;
  marks.reserve(fresh.size());
  for (Table::value_type* item : fresh) {
    item->second.sent = now;
    CrashMark& mark = marks.emplace_back();
    mark.fingerprint = item->first;
    for (std::size_t i = 0; i < mark.accusations.size(); ++i) {
      const Accusation& accusation = item->second.accusations[i];
      if (accusation.crash.value == 0) continue;
      mark.accusations[i] = {accusation.crash, now - accusation.time, accusation.cleared};
    }
  }
  return marks;
}

void CrashQuarantine::merge(std::span<const CrashMark> marks, core::TimePoint now) {
  bool any_change = false;
  for (const CrashMark& mark : marks) {
    bool changed = false;
    for (const CrashMark::Accusation& item : mark.accusations) {
      if (item.crash.value == 0 || item.age < core::Duration{0} || item.age >= options_.hold) continue;
      Entry& entry = find_or_insert(mark.fingerprint);
      if (!accuse(entry, {item.crash, now - item.age, item.cleared, false})) continue;
      changed = true;
      entry.changed = now;
      entry.sent = {};
    }
    any_change = any_change || changed;
  }
  if (!any_change) return;
  resolve(now);
  update_size();
}

void CrashQuarantine::tick(core::TimePoint now) {
  if (!any()) return;
  if (std::erase_if(table_, [this, now](const auto& item) { return expired(item.second, now); }) == 0) return;
  resolve(now);
  update_size();
}

}  // namespace damaskthread::quarantine
