#ifndef DAMASKTHREAD_QUARANTINE_CRASH_QUARANTINE_H_
#define DAMASKTHREAD_QUARANTINE_CRASH_QUARANTINE_H_

/// @file
/// @brief Detects requests that crash servers (poison requests) and prevents them from running.

#include <array>
#include <atomic>
#include <compare>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/quarantine/fwd.h"

namespace damaskthread::quarantine {

/// Identifies one crash of one server, so that duplicate reports count once. Zero means no crash.
struct CrashId {
  std::uint64_t value = 0;
  auto operator<=>(const CrashId&) const = default;
};

inline constexpr int kCrashesPerMark = 4;

/// Crash history of one fingerprint. Merging marks is commutative and idempotent: the set of recorded crashes and the
/// set of cleared crashes only grow.
struct CrashMark {
  struct CrashRecord {
    CrashId crash;
    /// Time since the crash when the mark was created. An age is sent because daemon clocks are not comparable.
    core::Duration age{0};
    bool cleared = false;
  };
  std::uint64_t fingerprint = 0;
  std::array<CrashRecord, kCrashesPerMark> crash_records{};
};

/// Restriction on running a fingerprint.
enum class Treatment : std::uint8_t {
  kRun,       ///< Not a suspect.
  kIsolated,  ///< Suspect: a server runs at most one suspect at a time.
  kHeld,      ///< Must not run.
};

enum class StartResult : std::uint8_t {
  kStarted,
  kWait,  ///< Another suspect is running here; the call did not run and may be retried shortly.
  kHeld,
};

struct QuarantineOptions {
  /// Maximum number of fingerprints. 1,024 marks of about 150 bytes are a small part of the memory bound.
  int capacity = 1024;
  /// Maximum number of new suspects per crash; more would make the intersection of two crashes less selective.
  int max_suspects_per_crash = 256;
  /// Time after which a suspect that is not held expires, counted from its last crash.
  core::Duration suspect_expiry = std::chrono::minutes{10};
  /// Time after which a held request expires, counted from its last crash.
  core::Duration hold_expiry = std::chrono::hours{1};
  /// Suspects that share two crashes are held for this time after the second crash before each may run alone, so that
  /// the report of a third crash arrives before another one runs.
  core::Duration shared_hold_time = std::chrono::seconds{5};
  /// Time after which a running suspect without a reported end no longer blocks other suspects.
  core::Duration suspect_timeout = std::chrono::seconds{5};
  /// Time for which a changed mark is sent repeatedly, so that message loss does not lose it.
  core::Duration resend_duration = std::chrono::seconds{10};
  /// Maximum number of marks returned by one call of `marks_to_send`.
  int max_marks_per_send = 32;
};

/// @brief Tracks requests that crash servers. Not thread-safe, except for `has_marks` and `size`.
///
/// Every request that was running when a server crashed becomes a suspect. A server runs only one suspect at a time, so
/// that the next crash identifies the cause: a suspect that succeeds is cleared of all its crashes so far, and a
/// suspect with a second crash is held. Once a held request accounts for a crash, the other suspects are cleared of
/// that crash. Two suspects that share two crashes, because reports arrived late, cannot be distinguished: each is run
/// alone, and a third crash decides. Only the daemon whose local server had the second crash runs them. It learns of a
/// third crash immediately, while two daemons could each cause a crash before learning of the other's.
class CrashQuarantine {
 public:
  explicit CrashQuarantine(const QuarantineOptions& options = {});

  /// @brief Whether any fingerprint has a mark. Cheap and thread-safe.
  [[nodiscard]] bool has_marks() const noexcept { return size_.load(std::memory_order_relaxed) > 0; }
  [[nodiscard]] int size() const noexcept { return size_.load(std::memory_order_relaxed); }

  [[nodiscard]] Treatment treatment(std::uint64_t fingerprint, core::TimePoint now) const noexcept;
  [[nodiscard]] bool held(std::uint64_t fingerprint, core::TimePoint now) const noexcept {
    return treatment(fingerprint, now) == Treatment::kHeld;
  }

  /// @brief Checks whether a call may run now. Call immediately before passing it to the local server.
  [[nodiscard]] StartResult start(std::uint64_t fingerprint, core::TimePoint now) noexcept;
  /// @brief Ends a started call that neither succeeded nor crashed the server.
  void end(std::uint64_t fingerprint) noexcept;
  /// @brief Ends a call that the server answered and clears its fingerprint of all known crashes.
  void on_success(std::uint64_t fingerprint, core::TimePoint now) noexcept;

  /// @brief Marks the requests that were running when a server crashed as suspects.
  /// @param crash Id of the crash, the same at every daemon.
  /// @param running Fingerprints of the running requests.
  /// @param now The time.
  void on_crash(CrashId crash, std::span<const std::uint64_t> running, core::TimePoint now);

  /// @brief Recently changed marks to send to other daemons, least recently sent first.
  [[nodiscard]] std::vector<CrashMark> marks_to_send(core::TimePoint now);
  /// @brief Merges marks received from other daemons.
  void merge(std::span<const CrashMark> marks, core::TimePoint now);

  /// @brief Removes expired marks. Call about once per second.
  void tick(core::TimePoint now);

 private:
  struct CrashRecord {
    CrashId crash;
    core::TimePoint time;
    bool cleared = false;
    /// The crash happened at the local server.
    bool local = false;
  };
  struct Entry {
    std::array<CrashRecord, kCrashesPerMark> crash_records{};
    /// Result of the last `update_held`.
    bool held = false;
    core::TimePoint last_changed;
    core::TimePoint last_sent;
  };
  using Table = std::unordered_map<std::uint64_t, Entry>;

  [[nodiscard]] static int open_crash_count(const Entry& entry) noexcept;
  [[nodiscard]] static bool has_open_crash(const Entry& entry, CrashId crash) noexcept;
  [[nodiscard]] static int shared_crash_count(const Entry& left, const Entry& right) noexcept;
  [[nodiscard]] static const CrashRecord& latest_crash(const Entry& entry) noexcept;
  /// @return Whether the entry changed.
  static bool add_crash_record(Entry& entry, const CrashRecord& record) noexcept;
  [[nodiscard]] Entry& find_or_insert(std::uint64_t fingerprint);
  [[nodiscard]] bool expired(const Entry& entry, core::TimePoint now) const noexcept;
  /// Recomputes which entries are held and clears the others of the crashes of held entries.
  void update_held(core::TimePoint now) noexcept;
  void update_size() noexcept { size_.store(static_cast<int>(table_.size()), std::memory_order_relaxed); }

  QuarantineOptions options_;
  Table table_;
  std::atomic<int> size_{0};
  /// Suspect running at the local server; valid while `running_suspect_until_` is in the future.
  std::uint64_t running_suspect_ = 0;
  core::TimePoint running_suspect_until_;
};

}  // namespace damaskthread::quarantine

#endif  // DAMASKTHREAD_QUARANTINE_CRASH_QUARANTINE_H_
