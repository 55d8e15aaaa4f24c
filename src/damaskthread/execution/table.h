#ifndef DAMASKTHREAD_EXECUTION_TABLE_H_
#define DAMASKTHREAD_EXECUTION_TABLE_H_

/// @file
/// @brief At-most-once execution by one incarnation of a daemon.

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "damaskthread/config/config.h"
#include "damaskthread/core/mac.h"
#include "damaskthread/core/types.h"
#include "damaskthread/core/verdict.h"
#include "damaskthread/execution/token.h"

namespace damaskthread::execution {

/// Answer of the server, stored for repeats of the request.
struct StoredAnswer {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  /// @return Size charged against the memory budget, in bytes.
  [[nodiscard]] std::size_t bytes() const noexcept;
};

struct ExecutionTableOptions {
  core::Duration validity = std::chrono::minutes(5);  ///< Lifetime of a token after it is issued.
  std::size_t capacity = 65536;                       ///< Maximum number of entries over all shards.
  std::size_t max_answer_bytes = std::size_t{64} * 1024;
  std::size_t answer_budget_bytes = std::size_t{16} * 1024 * 1024;  ///< Total size of the stored answers.
};

/// Result of `begin` for a request with a token.
enum class BeginStatus : std::uint8_t {
  kRun,         ///< The caller runs the request; no other run begins until `finish`.
  kInProgress,  ///< Another run of the request is in progress.
  kFinished,    ///< The request has run; the result holds its verdict, and its answer if that was stored.
  kExpired,
  kOtherIssuer,   ///< The token was issued by another daemon or another incarnation of this one.
  kOtherRequest,  ///< The token was issued for another request.
  kInvalidMac,    ///< The MAC is invalid.
  kFull,          ///< The table is full; the request did not run and the token stays valid.
};

struct BeginResult {
  BeginStatus status = BeginStatus::kInvalidMac;
  std::uint64_t run = 0;    ///< Id of this run, for `finish`; valid with kRun.
  core::Verdict verdict{};  ///< Verdict for the caller; valid unless kRun.
  std::shared_ptr<const StoredAnswer> answer{};
};

/// @brief Tracks which tokens of this incarnation were used. Thread-safe.
///
/// An entry is removed only when its token has expired by the clock of this process, after which `begin` refuses it.
/// The table holds only used tokens: an unused token takes no memory, so refused calls cannot fill the table.
class ExecutionTable {
 public:
  ExecutionTable(core::ServerId self, core::Incarnation incarnation, const core::MacKey& key,
                 ExecutionTableOptions options = {});

  /// @brief Issues a token for one request.
  /// @param fingerprint Fingerprint of the request.
  /// @param now Current time of this process's monotonic clock.
  /// @return The token, or nothing if the table is full; the call is then refused as not run.
  [[nodiscard]] std::optional<ExecutionToken> issue(std::uint64_t fingerprint, core::TimePoint now);

  /// @brief Begins a run of a request if its token permits.
  /// @param token The caller's token.
  /// @param fingerprint Fingerprint of the request that carries the token.
  /// @param now Current time.
  /// @return kRun at most once per token, unless the run ended with a verdict of not run.
  [[nodiscard]] BeginResult begin(const ExecutionToken& token, std::uint64_t fingerprint, core::TimePoint now);

  /// @brief Completes a run.
  /// @param token The token.
  /// @param run Run id returned by `begin`; a call with any other id has no effect.
  /// @param answer The answer to store for repeats, if any.
  /// @param verdict Verdict on the run. After a not-run verdict the token may be used again.
  /// @param now Current time.
  void finish(const ExecutionToken& token, std::uint64_t run, std::optional<StoredAnswer> answer, core::Verdict verdict,
              core::TimePoint now);

  /// @return Number of entries.
  [[nodiscard]] std::size_t size() const noexcept;
  /// @return Total size of the stored answers, in bytes.
  [[nodiscard]] std::size_t answer_bytes() const noexcept;
  /// @return Number of answers not stored because of their size or the budget.
  [[nodiscard]] std::uint64_t dropped_answers() const noexcept;

 private:
  struct Entry {
    std::uint64_t run = 0;
    bool finished = false;
    core::Verdict verdict;
    std::shared_ptr<const StoredAnswer> answer;
  };
  struct alignas(DAMASKTHREAD_CACHE_LINE_BYTES) Shard {
    mutable std::mutex mutex;
    std::unordered_map<std::uint64_t, Entry> entries;         // By token sequence.
    std::multimap<core::TimePoint, std::uint64_t> by_expiry;  // Keys of `entries`.
    core::TimePoint latest_time = core::TimePoint::min();     // Latest time seen; see `remove_expired`.
    std::uint64_t next_run = 1;
  };

  Shard& shard_of(std::uint64_t sequence) noexcept;
  core::TimePoint remove_expired(Shard& shard, core::TimePoint now) noexcept;
  void release_answer(Entry& entry) noexcept;

  core::ServerId self_;
  core::Incarnation incarnation_;
  core::MacKey key_;
  ExecutionTableOptions options_;
  std::size_t shard_capacity_;
  std::atomic<std::uint64_t> next_sequence_{1};
  std::atomic<std::size_t> answer_bytes_{0};
  std::atomic<std::uint64_t> dropped_answers_{0};
  std::array<Shard, DAMASKTHREAD_SHARD_COUNT> shards_;
};

}  // namespace damaskthread::execution

#endif  // DAMASKTHREAD_EXECUTION_TABLE_H_
