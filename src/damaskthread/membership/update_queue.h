#ifndef DAMASKTHREAD_MEMBERSHIP_UPDATE_QUEUE_H_
#define DAMASKTHREAD_MEMBERSHIP_UPDATE_QUEUE_H_

/// @file
/// @brief News that rides on outgoing messages until each item has been sent often enough.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace damaskthread::membership {

/// Items by the number of sends that they have left; those with the most go first, so that fresh news overtakes old.
/// @tparam Key What identifies an item; its content is looked up when it is sent and is therefore current.
template <typename Key>
class UpdateQueue {
 public:
  /// @brief Queues an item, or starts it anew.
  /// @param sends How often it is to be sent. An item with more left than `sends` keeps them.
  void push(const Key& key, std::size_t sends) {
    auto& left = left_[key];
    if (left >= sends) return;
    left = sends;
    levels_[sends].push_back(key);
  }

  /// @brief Offers items in order until `take` has no room.
  /// @param take Called with a key; returns whether the item was added to the message. An item that was not is left as
  /// it is.
  /// @param max_misses Items without room that are looked at before giving up.
  template <typename Take>
  void fill(const Take& take, std::size_t max_misses = 2) {
    moved_.clear();
    std::size_t misses = 0;
    for (auto level = levels_.rbegin(); level != levels_.rend() && misses < max_misses; ++level) {
      auto& keys = level->second;
      for (std::size_t i = 0; i < keys.size() && misses < max_misses;) {
        const Key key = keys[i];
        const auto found = left_.find(key);
        // The item was started anew at another level.
        const bool current = found != left_.end() && found->second == level->first;
        if (current && !take(key)) {
          ++misses;
          ++i;
          continue;
        }
        keys.erase(keys.begin() + static_cast<std::ptrdiff_t>(i));
        if (!current) continue;
        if (--found->second == 0) {
          left_.erase(found);
        } else {
          moved_.emplace_back(key, found->second);
        }
      }
    }
    for (const auto& [key, left] : moved_) levels_[left].push_back(key);
    std::erase_if(levels_, [](const auto& level) { return level.second.empty(); });
  }

  [[nodiscard]] bool empty() const noexcept { return left_.empty(); }
  [[nodiscard]] std::size_t size() const noexcept { return left_.size(); }

 private:
  std::unordered_map<Key, std::size_t> left_;
  std::map<std::size_t, std::deque<Key>> levels_;
  std::vector<std::pair<Key, std::size_t>> moved_;
};

}  // namespace damaskthread::membership

#endif  // DAMASKTHREAD_MEMBERSHIP_UPDATE_QUEUE_H_
