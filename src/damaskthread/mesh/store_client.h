#ifndef DAMASKTHREAD_MESH_STORE_CLIENT_H_
#define DAMASKTHREAD_MESH_STORE_CLIENT_H_

/// @file
/// @brief Client of the platform's store.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/mesh/adapter.h"
#include "damaskthread/mesh/event_log.h"
#include "damaskthread/mesh/http_connection.h"

namespace damaskthread::mesh {

/// @brief Makes one store call at a time and schedules retries with exponential backoff, since every call has a cost,
/// even a refused one.
class StoreCall {
 public:
  using Callback = std::function<void(const http::Response&)>;

  StoreCall(boost::asio::io_context& io, http::Endpoint endpoint);
  ~StoreCall();

  /// @brief Makes a call.
  /// @param timeout Time after which the call is abandoned.
  /// @param callback Called with the response; status 0 means that there was none.
  void call(const http::Request& request, core::Duration timeout, const Callback& callback);
  /// @brief Runs `next` after a backoff that grows with each consecutive failure.
  /// @param max_backoff Upper bound of the backoff.
  void retry_after_backoff(core::Duration max_backoff, std::function<void()> next);
  /// @brief Runs `next` after a delay.
  void schedule(core::Duration delay, std::function<void()> next);
  void reset_backoff() noexcept;
  void close();

 private:
  boost::asio::io_context& io_;
  http::Endpoint endpoint_;
  std::shared_ptr<HttpConnection> connection_;
  boost::asio::steady_timer timer_;
  core::Duration backoff_;
  core::Random random_;
};

/// @brief Reads and watches the configuration, reads the member list and writes this daemon's entry in it.
class StoreClient {
 public:
  struct Hooks {
    /// Called with each configuration read, even if it is already known.
    std::function<void(const std::string& document)> on_configuration;
    /// Called with the complete member list after each read.
    std::function<void(const std::vector<KeyedRecord>&)> on_members;
    /// Whether the fleet is so small that the list is read again shortly after the own entry was written: in a small
    /// fleet possibly no daemon knows both of two daemons that register at the same time.
    std::function<bool()> is_small_fleet;
    /// Whether a configuration is in effect.
    std::function<bool()> has_configuration;
    /// Called when the store was restored from a backup.
    std::function<void()> on_restored;
  };

  StoreClient(boost::asio::io_context& io, const Adapter& adapter, const http::Endpoint& store, EventLog& log,
              Hooks hooks);

  void start();
  /// @brief Sets whether this daemon watches the configuration for changes. Without a watch it reads the newest one
  /// only at startup. A disabled watch ends with the call in progress.
  void set_watch_enabled(bool enabled);
  [[nodiscard]] bool watch_enabled() const noexcept { return watch_enabled_; }
  /// @return Whether the watch is enabled and the store responds.
  [[nodiscard]] bool watching() const noexcept { return watch_enabled_ && last_watch_succeeded_; }
  /// @brief Reads the newest configuration, because another daemon has a newer one that this one did not receive from a
  /// peer or from its watch.
  void refresh_configuration();
  /// @brief Writes an entry of the member list; a later call supersedes one still in progress.
  void put_member(const std::string& key, const std::string& value);
  /// @brief Takes notice of the era of the store that another daemon has seen. Only some daemons call the store often.
  void observe_era(std::uint64_t era);
  /// @return Era of the store; it rises each time that the store is restored from a backup. Zero if unknown.
  [[nodiscard]] std::uint64_t era() const noexcept { return era_; }
  void close();

 private:
  /// Notes the era in a response.
  /// @return The era; zero if the response has none.
  std::uint64_t observe_era(const http::Response& response);
  /// Reads the member list soon, to find out whether the own entry was lost.
  void reread_members();
  void read_configuration();
  void watch_configuration();
  void deliver_configuration(const std::vector<KeyedRecord>& records);
  void read_members(const std::string& after, std::vector<KeyedRecord> collected);
  void write_member_entry();
  void log_reachability(bool reachable, int status);
  void on_watch_failure();

  const Adapter& adapter_;
  EventLog& log_;
  Hooks hooks_;
  StoreCall watch_;
  StoreCall members_;
  StoreCall writes_;
  std::uint64_t next_offset_ = 0;
  /// Era in which `next_offset_` was read; zero if unknown.
  std::uint64_t offset_era_ = 0;
  std::string member_key_;
  std::string member_value_;
  bool watch_enabled_ = false;
  /// Whether no watch call is in progress or scheduled.
  bool watch_idle_ = false;
  /// Whether the last watch call got a valid response.
  bool last_watch_succeeded_ = false;
  bool reading_members_ = false;
  /// The member list has to be read again after the read in progress.
  bool members_outdated_ = false;
  std::uint64_t era_ = 0;
  core::Random random_;
  bool write_in_progress_ = false;
  bool write_pending_ = false;
  bool reachable_ = true;
};

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_STORE_CLIENT_H_
