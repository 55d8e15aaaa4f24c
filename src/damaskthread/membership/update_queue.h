#ifndef DAMASKTHREAD_MEMBERSHIP_UPDATE_QUEUE_H_
#define DAMASKTHREAD_MEMBERSHIP_UPDATE_QUEUE_H_

/// @file
/// @brief Queue of updates that are piggybacked on outgoing messages a limited number of times.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace damaskthread::membership {

/// Items ordered by remaining transmissions, most first, so that new updates are sent before old ones.
/// @tparam Key Identifies an item. The content is looked up on sending and is therefore current.
template <typename Key>
class UpdateQueue {
 public:
  /// @brief Queues an item or resets its transmission count.
  /// @param transmits Number of transmissions. An item with more remaining transmissions keeps them.
  void push(const Key& key, std::size_t transmits) {
    auto& left = transmits_left_[key];
    if (left >= transmits) return;
    left = transmits;
    levels_[transmits].push_back(key);
  }

  /// @brief Offers items in order until `try_add` has no space left.
  /// @param try_add Called with a key; returns whether the item was added to the message. Otherwise the item remains
  /// queued unchanged.
  /// @param max_misses Number of items that do not fit before giving up.
  template <typename Take>
  void fill(const Take& try_add, std::size_t max_misses = 2) {
    requeued_.clear();
    std::size_t misses = 0;
    for (auto level = levels_.rbegin(); level != levels_.rend() && misses < max_misses; ++level) {
      auto& keys = level->second;
      for (std::size_t i = 0; i < keys.size() && misses < max_misses;) {
        const Key key = keys[i];
        const auto found = transmits_left_.find(key);
        // A stale key: the item has been pushed again at another level.
        const bool current = found != transmits_left_.end() && found->second == level->first;
        if (current && !try_add(key)) {
          ++misses;
          ++i;
          continue;
        }
        keys.erase(keys.begin() + static_cast<std::ptrdiff_t>(i));
        if (!current) continue;
        if (--found->second == 0) {
          transmits_left_.erase(found);
        } else {
          requeued_.emplace_back(key, found->second);
        }
      }
    }
    for (const auto& [key, left] : requeued_) levels_[left].push_back(key);
    std::erase_if(levels_, [](const auto& level) { return level.second.empty(); });
  }

  [[nodiscard]] bool empty() const noexcept { return transmits_left_.empty(); }
  [[nodiscard]] std::size_t size() const noexcept { return transmits_left_.size(); }

 private:
  std::unordered_map<Key, std::size_t> transmits_left_;
  std::map<std::size_t, std::deque<Key>> levels_;
  std::vector<std::pair<Key, std::size_t>> requeued_;
};

}  // namespace damaskthread::membership

#endif  // DAMASKTHREAD_MEMBERSHIP_UPDATE_QUEUE_H_
