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

/// Answer of the server, kept for repeats.
struct StoredAnswer {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  /// @return Bytes that count against the memory budget.
  [[nodiscard]] std::size_t bytes() const noexcept;
};

struct TableOptions {
  core::Duration validity = std::chrono::minutes(5);  ///< How long a token may be used after its issue.
  std::size_t capacity = 65536;                       ///< Ids over all shards.
  std::size_t max_answer_bytes = std::size_t{64} * 1024;
  std::size_t answer_budget_bytes = std::size_t{16} * 1024 * 1024;  ///< All stored answers together.
};

/// What a call with a token may do.
enum class Begin : std::uint8_t {
  kRun,         ///< Run it; nobody else does until `finish`.
  kInProgress,  ///< It runs now.
  kFinished,    ///< It ended; the result holds its verdict and its answer, if that was kept.
  kExpired,
  kForeign,   ///< The token names another daemon or another life of this one.
  kMismatch,  ///< The token was issued for another request.
  kForged,    ///< The code is wrong.
  kFull,      ///< No room to remember the id; it did not run and the token stays valid.
};

struct BeginResult {
  Begin begin = Begin::kForged;
  std::uint64_t run = 0;    ///< Number of this run, to be passed to `finish`; valid with kRun.
  core::Verdict verdict{};  ///< What the caller is told; valid unless kRun.
  std::shared_ptr<const StoredAnswer> answer{};
};

/// @brief Remembers which tokens of this incarnation were used. Thread-safe.
///
/// An id is forgotten only when its token has expired by the clock of this process, after which `begin` refuses it. The
/// table holds used ids only: an unused token costs no memory, so that refused calls cannot fill the table.
class ExecutionTable {
 public:
  ExecutionTable(core::ServerId self, core::Incarnation incarnation, const core::MacKey& key,
                 TableOptions options = {});

  /// @brief Issues a token for one request.
  /// @param fingerprint Fingerprint of the request.
  /// @param now Current time of this process's monotonic clock.
  /// @return The token, or nothing if the table is full; the call is then refused as not run.
  [[nodiscard]] std::optional<ExecutionToken> issue(std::uint64_t fingerprint, core::TimePoint now);

  /// @brief Asks to run a request.
  /// @param token The caller's token.
  /// @param fingerprint Fingerprint of the request that came with it.
  /// @param now Current time.
  /// @return kRun at most once per token, unless the run ended with a verdict of not run.
  [[nodiscard]] BeginResult begin(const ExecutionToken& token, std::uint64_t fingerprint, core::TimePoint now);

  /// @brief Ends a run.
  /// @param token The token.
  /// @param run Number of the run that `begin` returned; a call with any other number has no effect.
  /// @param answer The answer to keep for repeats, if there is one.
  /// @param verdict Verdict on the run. After not run, the token may be used again.
  /// @param now Current time.
  void finish(const ExecutionToken& token, std::uint64_t run, std::optional<StoredAnswer> answer, core::Verdict verdict,
              core::TimePoint now);

  /// @return Ids held.
  [[nodiscard]] std::size_t size() const noexcept;
  /// @return Bytes of stored answers.
  [[nodiscard]] std::size_t answer_bytes() const noexcept;
  /// @return Answers that were not kept, for their size or for lack of budget.
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
    std::unordered_map<std::uint64_t, Entry> entries;         // By sequence of the token.
    std::multimap<core::TimePoint, std::uint64_t> by_expiry;  // Sequences of `entries`.
    core::TimePoint latest = core::TimePoint::min();          // Latest time seen; see `advance`.
    std::uint64_t next_run = 1;
  };

  Shard& shard_of(std::uint64_t sequence) noexcept;
  core::TimePoint advance(Shard& shard, core::TimePoint now) noexcept;
  void release_answer(Entry& entry) noexcept;

  core::ServerId self_;
  core::Incarnation incarnation_;
  core::MacKey key_;
  TableOptions options_;
  std::size_t shard_capacity_;
  std::atomic<std::uint64_t> next_sequence_{1};
  std::atomic<std::size_t> answer_bytes_{0};
  std::atomic<std::uint64_t> dropped_answers_{0};
  std::array<Shard, DAMASKTHREAD_SHARD_COUNT> shards_;
};

}  // namespace damaskthread::execution

#endif  // DAMASKTHREAD_EXECUTION_TABLE_H_
