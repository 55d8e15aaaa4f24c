#ifndef DAMASKTHREAD_QUARANTINE_CRASH_QUARANTINE_H_
#define DAMASKTHREAD_QUARANTINE_CRASH_QUARANTINE_H_

/// @file
/// @brief Finds and holds requests that crash the servers that run them.

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

enum class StartResult : std::uint8_t {
  kStarted,
  kWait,  ///< A suspect while another one runs here; the call did not run and may be tried again shortly.
  kHeld,
};

struct QuarantineOptions {
  /// Fingerprints remembered. 1,024 marks of about 150 bytes are a small part of the memory bound.
  int capacity = 1024;
  /// Most suspects taken from one crash; more would only blur the intersection of two crashes.
  int suspects_per_crash = 256;
  /// A single crash is forgotten after this time.
  core::Duration suspect_expiry = std::chrono::minutes{10};
  /// A held request is forgotten this long after its last crash.
  core::Duration hold = std::chrono::hours{1};
  /// Suspects that share two crashes are held for this time after the second one before each is tried alone, so that
  /// news of a third crash is not overtaken by another try.
  core::Duration shared_hold = std::chrono::seconds{5};
  /// A suspect whose end is not reported stops blocking other suspects after this time.
  core::Duration suspect_timeout = std::chrono::seconds{5};
  /// A mark is spread again for this time after it changed, so that a lost message does not lose it.
  core::Duration news_repeat = std::chrono::seconds{10};
  /// Most marks handed out by one call of `news`.
  int news_batch = 32;
};

/// @brief Marks requests that crash servers. Not safe for several threads at once, except for `any`.
///
/// Every request that ran when a server crashed is a suspect. At any server only one suspect runs at a time, so that
/// the next crash tells which of them is the cause: a suspect that finishes is cleared of all its crashes so far, one
/// that is accused of a second crash is held. Once a crash is explained by a held request, the others are cleared of
/// it. Two suspects that share two crashes, because the news was late, cannot be told apart: each is tried alone, and a
/// third crash decides. Only the daemon that saw the second crash itself tries them: it hears of the third one without
/// delay, where two daemons could each try before they hear of the other's crash.
class CrashQuarantine {
 public:
  explicit CrashQuarantine(const QuarantineOptions& options = {});

  /// @brief Whether any fingerprint is marked; cheap and safe from any thread.
  [[nodiscard]] bool any() const noexcept { return size_.load(std::memory_order_relaxed) > 0; }
  [[nodiscard]] int size() const noexcept { return size_.load(std::memory_order_relaxed); }

  [[nodiscard]] Treatment treatment(std::uint64_t fingerprint, core::TimePoint now) const noexcept;
  [[nodiscard]] bool held(std::uint64_t fingerprint, core::TimePoint now) const noexcept {
    return treatment(fingerprint, now) == Treatment::kHeld;
  }

  /// @brief Asks, right before the local server is given a call, whether it may run now.
  [[nodiscard]] StartResult start(std::uint64_t fingerprint, core::TimePoint now) noexcept;
  /// @brief Ends a call that was started and neither answered nor crashed its server.
  void end(std::uint64_t fingerprint) noexcept;
  /// @brief Ends a call that its server answered, and clears it of the crashes known here.
  void on_success(std::uint64_t fingerprint, core::TimePoint now) noexcept;

  /// @brief Accuses the requests that ran when a server crashed.
  /// @param crash Identifies the crash; the same at every daemon that reports it.
  /// @param running Fingerprints that ran at the crash.
  /// @param now The time.
  void on_crash(CrashId crash, std::span<const std::uint64_t> running, core::TimePoint now);

  /// @brief Marks to be sent to other daemons, the least recently sent first; empty when nothing changed of late.
  [[nodiscard]] std::vector<CrashMark> news(core::TimePoint now);
  /// @brief Takes in marks of other daemons.
  void merge(std::span<const CrashMark> marks, core::TimePoint now);

  /// @brief Forgets expired marks; to be called every second or so.
  void tick(core::TimePoint now);

 private:
  struct Accusation {
    CrashId crash;
    core::TimePoint time;
    bool cleared = false;
    /// The crash was that of the local server.
    bool local = false;
  };
  struct Entry {
    std::array<Accusation, kCrashesPerMark> accusations{};
    /// Result of the last `resolve`.
    bool held = false;
    core::TimePoint changed;
    core::TimePoint sent;
  };
  using Table = std::unordered_map<std::uint64_t, Entry>;

  [[nodiscard]] static int count(const Entry& entry) noexcept;
  [[nodiscard]] static bool accused_of(const Entry& entry, CrashId crash) noexcept;
  [[nodiscard]] static int shared(const Entry& left, const Entry& right) noexcept;
  [[nodiscard]] static const Accusation& latest(const Entry& entry) noexcept;
  /// @return Whether the entry changed.
  static bool accuse(Entry& entry, const Accusation& accusation) noexcept;
  [[nodiscard]] Entry& find_or_insert(std::uint64_t fingerprint);
  [[nodiscard]] bool expired(const Entry& entry, core::TimePoint now) const noexcept;
  /// Decides anew which entries are held, and clears the others of the crashes that these explain.
  void resolve(core::TimePoint now) noexcept;
  void update_size() noexcept { size_.store(static_cast<int>(table_.size()), std::memory_order_relaxed); }

  QuarantineOptions options_;
  Table table_;
  std::atomic<int> size_{0};
  /// The suspect that runs at the local server, if `suspect_until_` is in the future.
  std::uint64_t suspect_ = 0;
  core::TimePoint suspect_until_;
};

}  // namespace damaskthread::quarantine

#endif  // DAMASKTHREAD_QUARANTINE_CRASH_QUARANTINE_H_
