#ifndef DAMASKTHREAD_DAEMON_DIRECTORY_H_
#define DAMASKTHREAD_DAEMON_DIRECTORY_H_

/// @file
/// @brief Directory of the addresses of all known daemons.

#include <mutex>
#include <optional>
#include <shared_mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/http/message.h"

namespace damaskthread::daemon {

/// Service and addresses of one daemon.
struct DirectoryEntry {
  core::ServerId id;
  std::string service;
  http::Endpoint peer;
  http::Endpoint admin;
};

/// Maps server ids to daemon addresses. Thread-safe; read by every call, replaced as a whole on membership changes.
class Directory {
 public:
  void replace(std::vector<DirectoryEntry> entries) {
    std::unordered_map<core::ServerId, DirectoryEntry> fresh;
    for (DirectoryEntry& entry : entries) fresh.emplace(entry.id, std::move(entry));
    const std::unique_lock lock(mutex_);
    entries_.swap(fresh);
  }

  /// @brief Returns the address of a daemon's peer port.
  [[nodiscard]] std::optional<http::Endpoint> peer(core::ServerId id) const {
    const std::shared_lock lock(mutex_);
    const auto found = entries_.find(id);
    return found == entries_.end() ? std::nullopt : std::optional(found->second.peer);
  }

  [[nodiscard]] std::vector<DirectoryEntry> entries() const {
    std::vector<DirectoryEntry> result;
    const std::shared_lock lock(mutex_);
    for (const auto& [id, entry] : entries_) result.push_back(entry);
    return result;
  }

 private:
  mutable std::shared_mutex mutex_;
  std::unordered_map<core::ServerId, DirectoryEntry> entries_;
};

}  // namespace damaskthread::daemon

#endif  // DAMASKTHREAD_DAEMON_DIRECTORY_H_
