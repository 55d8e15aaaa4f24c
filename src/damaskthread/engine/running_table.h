#ifndef DAMASKTHREAD_ENGINE_RUNNING_TABLE_H_
#define DAMASKTHREAD_ENGINE_RUNNING_TABLE_H_

/// @file
/// @brief The calls that run at the local server. A call that the server makes onward finds its parent here.

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "damaskthread/admission/level.h"
#include "damaskthread/config/config.h"
#include "damaskthread/core/types.h"
#include "damaskthread/core/verdict.h"
#include "damaskthread/engine/fwd.h"

namespace damaskthread::engine {

/// One call that runs at the local server. Shared by the call and its children; thread-safe.
struct Running {
  Running(core::RequestKey running_key, core::RequestKey root_key) : key(running_key), root(root_key) {}

  const core::RequestKey key;
  const core::RequestKey root;
  core::Importance importance = core::Importance::kNormal;
  core::TimePoint deadline;
  int depth = 0;
  bool at_most_once = false;
  std::uint64_t fingerprint = 0;

  /// @brief Notes what a child call may have done. The call itself can then no longer be "not run".
  void child_ran(core::Execution execution) noexcept;
  [[nodiscard]] core::Execution children() const noexcept { return children_.load(std::memory_order_relaxed); }

  /// @brief Raises the level that the answer carries.
  void raise_level(admission::Level level) noexcept;
  [[nodiscard]] admission::Level level() const noexcept { return {level_.load(std::memory_order_relaxed)}; }

  /// @brief Marks the begin and the end of a child call; the time during which any child runs is summed up.
  void child_started(core::TimePoint now) noexcept;
  void child_finished(core::TimePoint now) noexcept;
  [[nodiscard]] core::Duration downstream(core::TimePoint now) const noexcept;

  /// @brief Ends the child calls and refuses new ones, since nobody waits for the call any more.
  void cancel();
  [[nodiscard]] bool cancelled() const noexcept { return cancelled_.load(std::memory_order_relaxed); }
  /// @brief Registers what ends a child call. Runs it at once if the call is already cancelled.
  /// @return Number for remove_cancel.
  std::uint64_t on_cancel(std::function<void()> action);
  void remove_cancel(std::uint64_t number);

 private:
  std::atomic<core::Execution> children_{core::Execution::kNotRun};
  std::atomic<std::uint16_t> level_{0};
  std::atomic<bool> cancelled_{false};
  mutable std::mutex mutex_;
  int active_ = 0;
  core::TimePoint active_since_;
  core::Duration downstream_{0};
  std::uint64_t next_action_ = 1;
  std::map<std::uint64_t, std::function<void()>> actions_;
};

/// Sharded table of the running calls.
class RunningTable {
 public:
  /// @brief Adds a call under its key.
  void add(const std::shared_ptr<Running>& running);
  void remove(core::RequestKey key) noexcept;
  [[nodiscard]] std::shared_ptr<Running> find(core::RequestKey key) const;
  /// @brief Fingerprints of all running calls.
  [[nodiscard]] std::vector<std::uint64_t> fingerprints() const;
  [[nodiscard]] std::size_t size() const noexcept;

 private:
  struct alignas(DAMASKTHREAD_CACHE_LINE_BYTES) Shard {
    mutable std::mutex mutex;
    std::unordered_map<core::RequestKey, std::shared_ptr<Running>> calls;
  };
  [[nodiscard]] const Shard& shard_of(core::RequestKey key) const noexcept;
  [[nodiscard]] Shard& shard_of(core::RequestKey key) noexcept;

  std::array<Shard, DAMASKTHREAD_SHARD_COUNT> shards_;
};

}  // namespace damaskthread::engine

#endif  // DAMASKTHREAD_ENGINE_RUNNING_TABLE_H_
