#ifndef DAMASKTHREAD_ENGINE_RUNNING_TABLE_H_
#define DAMASKTHREAD_ENGINE_RUNNING_TABLE_H_

/// @file
/// @brief Table of the calls running at the local server, used to find the parent of a child call.

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

/// A call running at the local server. Shared by the call and its child calls. Thread-safe.
struct RunningCall {
  RunningCall(core::RequestKey running_key, core::RequestKey root_key) : key(running_key), root(root_key) {}

  const core::RequestKey key;
  const core::RequestKey root;
  core::Importance importance = core::Importance::kNormal;
  core::TimePoint deadline;
  int depth = 0;
  bool at_most_once = false;
  std::uint64_t fingerprint = 0;

  /// @brief Records the execution state of a child call. If the child may have run, the call cannot be "not run".
  void record_child_execution(core::Execution execution) noexcept;
  [[nodiscard]] core::Execution child_execution() const noexcept {
    return child_execution_.load(std::memory_order_relaxed);
  }

  /// @brief Raises the level reported in the answer.
  void raise_level(admission::Level level) noexcept;
  [[nodiscard]] admission::Level level() const noexcept { return {level_.load(std::memory_order_relaxed)}; }

  /// @brief Marks the start and the end of a child call. The time with at least one active child call is accumulated.
  void child_started(core::TimePoint now) noexcept;
  void child_finished(core::TimePoint now) noexcept;
  [[nodiscard]] core::Duration downstream_time(core::TimePoint now) const noexcept;

  /// @brief Cancels the child calls and refuses new ones after the caller has disconnected.
  void cancel();
  [[nodiscard]] bool cancelled() const noexcept { return cancelled_.load(std::memory_order_relaxed); }
  /// @brief Registers a handler that cancels a child call. Runs it immediately if the call is already cancelled.
  /// @return Handler id for remove_cancel_handler.
  std::uint64_t add_cancel_handler(std::function<void()> handler);
  void remove_cancel_handler(std::uint64_t handler_id);

 private:
  std::atomic<core::Execution> child_execution_{core::Execution::kNotRun};
  std::atomic<std::uint16_t> level_{0};
  std::atomic<bool> cancelled_{false};
  mutable std::mutex mutex_;
  int active_children_ = 0;
  core::TimePoint active_since_;
  core::Duration downstream_time_{0};
  std::uint64_t next_handler_id_ = 1;
  std::map<std::uint64_t, std::function<void()>> cancel_handlers_;
};

/// Sharded table of running calls.
class RunningTable {
 public:
  /// @brief Adds a call under its key.
  void add(const std::shared_ptr<RunningCall>& running);
  void remove(core::RequestKey key) noexcept;
  [[nodiscard]] std::shared_ptr<RunningCall> find(core::RequestKey key) const;
  /// @brief Fingerprints of all running calls.
  [[nodiscard]] std::vector<std::uint64_t> fingerprints() const;
  [[nodiscard]] std::size_t size() const noexcept;

 private:
  struct alignas(DAMASKTHREAD_CACHE_LINE_BYTES) Shard {
    mutable std::mutex mutex;
    std::unordered_map<core::RequestKey, std::shared_ptr<RunningCall>> calls;
  };
  [[nodiscard]] const Shard& shard_of(core::RequestKey key) const noexcept;
  [[nodiscard]] Shard& shard_of(core::RequestKey key) noexcept;

  std::array<Shard, DAMASKTHREAD_SHARD_COUNT> shards_;
};

}  // namespace damaskthread::engine

#endif  // DAMASKTHREAD_ENGINE_RUNNING_TABLE_H_
