#ifndef DAMASKTHREAD_MESH_STORE_CLIENT_H_
#define DAMASKTHREAD_MESH_STORE_CLIENT_H_

/// @file
/// @brief What the daemon reads from the platform's store and writes to it.

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

/// @brief One call to the store at a time, repeated until it succeeds, with growing pauses: every call costs, refused
/// ones too.
class StoreCall {
 public:
  using Done = std::function<void(const http::Response&)>;

  StoreCall(boost::asio::io_context& io, http::Endpoint endpoint);
  ~StoreCall();

  /// @brief Makes a call.
  /// @param limit Time after which the call is given up.
  /// @param done Called with the answer; status 0 says that there was none.
  void call(const http::Request& request, core::Duration limit, const Done& done);
  /// @brief Runs something after the pause that the last failures call for.
  /// @param longest Bound of the pause.
  void after_failure(core::Duration longest, std::function<void()> next);
  /// @brief Runs something after a time.
  void after(core::Duration pause, std::function<void()> next);
  void succeeded() noexcept;
  void close();

 private:
  boost::asio::io_context& io_;
  http::Endpoint endpoint_;
  std::shared_ptr<HttpConnection> connection_;
  boost::asio::steady_timer timer_;
  core::Duration pause_;
  core::Random random_;
};

/// @brief Watches the configuration and keeps this daemon's entry in the list of members.
class StoreClient {
 public:
  struct Hooks {
    /// A configuration was read; it may be one that is known already.
    std::function<void(const std::string& document)> configuration;
    std::function<void(const std::vector<KeyedRecord>&)> members;
  };

  StoreClient(boost::asio::io_context& io, const Adapter& adapter, const http::Endpoint& store, EventLog& log,
              Hooks hooks);

  void start();
  /// @brief Sets whether this daemon is one of the few that notice quickly when their connection to the store is dead.
  /// The others hear of a change from them and make fewer calls. On until it is turned off.
  void watch_closely(bool closely);
  /// @brief Watches over a new connection, since another daemon knew of a change first.
  void restart_watch();
  /// @brief Writes an entry of the list of members; a later call replaces one that is still under way.
  void put_member(const std::string& key, const std::string& value);
  void close();

 private:
  void read_configuration();
  void watch_configuration();
  void take_configuration(const std::vector<KeyedRecord>& records);
  void read_members(const std::string& after, std::vector<KeyedRecord> so_far);
  void write_member();
  void note_reachable(bool reachable, int status);
  [[nodiscard]] core::Duration longest_pause() const noexcept;

  const Adapter& adapter_;
  EventLog& log_;
  Hooks hooks_;
  StoreCall watch_;
  StoreCall members_;
  StoreCall writes_;
  std::uint64_t next_offset_ = 0;
  std::string member_key_;
  std::string member_value_;
  bool watch_closely_ = true;
  bool long_watch_ = false;
  bool reading_members_ = false;
  bool writing_ = false;
  bool write_again_ = false;
  bool reachable_ = true;
};

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_STORE_CLIENT_H_
