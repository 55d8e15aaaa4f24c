#ifndef DAMASKTHREAD_QUARANTINE_CRASH_QUARANTINE_H_
#define DAMASKTHREAD_QUARANTINE_CRASH_QUARANTINE_H_

/// @file
/// @brief Finds and holds requests that crash the servers that run them.

#include <array>
#include <atomic>
#include <compare>
#include <cstdint>
#include <span>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/quarantine/fwd.h"

namespace damaskthread::quarantine {

/// Identifies one crash of one server, so that several reports of it count once. Zero is not a crash.
struct CrashId {
  std::uint64_t value = 0;
  auto operator<=>(const CrashId&) const = default;
};

inline constexpr int kCrashesPerMark = 4;

/// What is known of one fingerprint. Marks of several daemons merge in any order and any number of times to the same
/// result: the crashes it is accused of only grow, and so do those of which it is cleared.
struct CrashMark {
  struct Accusation {
    CrashId crash;
    /// Time since the crash when the mark was taken; clocks of two daemons cannot be compared.
    core::Duration age{0};
    bool cleared = false;
  };
  std::uint64_t fingerprint = 0;
  std::array<Accusation, kCrashesPerMark> accusations{};
};

/// How a fingerprint is to be treated.
enum class Treatment : std::uint8_t {
  kRun,    ///< Nothing is known against it.
  kAlone,  ///< Suspect: at most one suspect may run at a server at a time.
  kHeld,   ///< Not to be run.
};

struct QuarantineOptions {
  /// Fingerprints remembered. 1,024 marks of about 150 bytes are a small part of the memory bound.
  int capacity = 1024;
  /// Most suspects taken from one crash; more would only blur the intersection of two crashes.
  int suspects_per_crash = 256;
  /// A single crash is forgotten after this time.
  core::Duration suspect_expiry = std::chrono::minutes{10};
  /// A held request is held for this time after its last crash; then one attempt is allowed at a time.
  core::Duration hold = std::chrono::hours{1};
  /// A mark is spread again for this time after it changed, so that a lost message does not lose it.
  core::Duration news_repeat = std::chrono::seconds{10};
  /// Most marks handed out by one call of `news`.
  int news_batch = 32;
};

/// @brief Marks requests that crash servers. Not safe for several threads at once, except for `any`.
///
/// Every request that ran when a server crashed is a suspect. At any server only one suspect runs at a time, so that
/// the next crash tells which of them is the cause: a suspect that finishes is cleared of all crashes so far, one that
/// is accused of a second crash is held. Once the cause of a crash is found, the others are cleared of it. When two
/// suspects share two crashes, because the news was late, each is tried alone instead of held; a third crash decides.
class CrashQuarantine {
 public:
  explicit CrashQuarantine(const QuarantineOptions& options = {});

  /// @brief Whether any fingerprint is marked; cheap and safe from any thread.
  [[nodiscard]] bool any() const noexcept { return size_.load(std::memory_order_relaxed) > 0; }

  [[nodiscard]] Treatment treatment(std::uint64_t fingerprint, core::TimePoint now) const noexcept;
  [[nodiscard]] bool held(std::uint64_t fingerprint, core::TimePoint now) const noexcept {
    return treatment(fingerprint, now) == Treatment::kHeld;
  }

  /// @brief Accuses the requests that ran when a server crashed.
  /// @param crash Identifies the crash; the same at every daemon that reports it.
  /// @param running Fingerprints that ran at the crash.
  /// @param now The time.
  void on_crash(CrashId crash, std::span<const std::uint64_t> running, core::TimePoint now);

  /// @brief Clears a request that a server answered.
  void on_success(std::uint64_t fingerprint, core::TimePoint now) noexcept;

  /// @brief Marks to be sent to other daemons, the least recently sent first; empty when there is nothing new.
  [[nodiscard]] std::vector<CrashMark> news(core::TimePoint now);
  /// @brief Takes in marks of other daemons.
  void merge(std::span<const CrashMark> marks, core::TimePoint now);

  /// @brief Forgets expired marks; to be called every second or so.
  void tick(core::TimePoint now) noexcept;

  [[nodiscard]] int size() const noexcept { return size_.load(std::memory_order_relaxed); }

 private:
  struct Accusation {
    CrashId crash;
    core::TimePoint time;
    bool cleared = false;
    /// Another suspect of this crash shares an earlier one, so this crash does not tell them apart.
    bool ambiguous = false;
  };
  struct Entry {
    std::uint64_t fingerprint = 0;
    bool used = false;
    std::array<Accusation, kCrashesPerMark> accusations{};
    core::TimePoint changed;
    core::TimePoint sent;
  };

  [[nodiscard]] const Entry* find(std::uint64_t fingerprint) const noexcept;
  [[nodiscard]] Entry* find(std::uint64_t fingerprint) noexcept;
  [[nodiscard]] Entry* insert(std::uint64_t fingerprint, core::TimePoint now) noexcept;
  void erase(std::size_t index) noexcept;
  bool accuse(Entry& entry, const Accusation& accusation, core::TimePoint now) noexcept;
  /// Finds out whether a crash is explained by exactly one of its suspects.
  void resolve(CrashId crash, core::TimePoint now) noexcept;
  [[nodiscard]] static int count(const Entry& entry) noexcept;
  [[nodiscard]] static int count_clear_cut(const Entry& entry) noexcept;
  [[nodiscard]] core::TimePoint expiry(const Entry& entry) const noexcept;

  QuarantineOptions options_;
  std::vector<Entry> table_;
  std::atomic<int> size_{0};
};

}  // namespace damaskthread::quarantine

#endif  // DAMASKTHREAD_QUARANTINE_CRASH_QUARANTINE_H_
