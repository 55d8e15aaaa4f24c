#ifndef DAMASKTHREAD_DAEMON_CONTROL_PLANE_H_
#define DAMASKTHREAD_DAEMON_CONTROL_PLANE_H_

/// @file
/// @brief Runs membership, configuration and crash news of one daemon: control socket, timers, log.

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "damaskthread/core/error.h"
#include "damaskthread/core/types.h"
#include "damaskthread/daemon/directory.h"
#include "damaskthread/engine/node.h"
#include "damaskthread/logservice/log_client.h"
#include "damaskthread/membership/membership.h"
#include "damaskthread/replication/replication.h"
#include "damaskthread/resource/resource_store.h"
#include "damaskthread/settings/settings.h"
#include "damaskthread/transport/control_socket.h"
#include "damaskthread/wire/authenticator.h"

namespace damaskthread::daemon {

/// What became of an append to the log.
struct AppendOutcome {
  enum class State : std::uint8_t { kTaken, kRefused, kUnknown };
  State state = State::kRefused;
  std::string reason;
};

/// Owns the threads of the control side. Everything about members and configuration is under one lock: its work is a
/// small part of a core.
class ControlPlane {
 public:
  ControlPlane(const settings::Settings& settings, core::Incarnation incarnation, engine::Node& node,
               Directory& directory);
  ~ControlPlane();
  ControlPlane(const ControlPlane&) = delete;
  ControlPlane& operator=(const ControlPlane&) = delete;

  /// @brief Accuses the calls that ran when the local server crashed, and sends the news at once to every daemon beside
  /// a server of the same service: these are the ones that would run the request next.
  void notify_crash();
  /// @brief Announces that this daemon takes no new work.
  void announce_leaving();

  [[nodiscard]] const resource::ResourceStore& store() const noexcept { return store_; }
  /// @brief Appends a record, trying the log's addresses in order. A record that may have been taken is not appended
  /// again.
  [[nodiscard]] AppendOutcome append(const std::string& record);
  /// @brief Reads the log soon, since a record of this daemon's operator was appended.
  void read_log_soon();
  [[nodiscard]] bool log_reachable() const noexcept { return log_reachable_.load(std::memory_order_relaxed); }

  /// @brief Seals and checks the headers of calls between daemons.
  [[nodiscard]] const wire::Authenticator& authenticator() const noexcept { return authenticator_; }

  /// @brief Members, configuration in force and who lags, as JSON.
  [[nodiscard]] std::string status_json() const;
  /// @brief Control counters by name.
  [[nodiscard]] std::vector<std::pair<std::string, double>> counters() const;

 private:
  class Sink;

  void receive(std::string_view bytes);
  void send(const std::vector<wire::Outgoing>& messages);
  void run_timer();
  void run_log();
  void tick(core::TimePoint now);
  void refresh_view(core::TimePoint now);
  void refresh_configuration();
  void exchange_crash_marks(core::TimePoint now);
  bool poll_log();
  void write_snapshot();
  void announce();

  const settings::Settings& settings_;
  engine::Node& node_;
  Directory& directory_;
  core::Random random_;
  resource::ResourceStore store_;
  std::unique_ptr<Sink> sink_;
  std::vector<logservice::LogClient> logs_;

  mutable std::mutex mutex_;
  wire::Authenticator authenticator_;
  membership::Membership membership_;
  replication::Replication replication_;
  std::uint64_t view_version_ = 0;
  core::TimePoint view_refreshed_;
  std::uint64_t revision_in_force_ = 0;
  core::TimePoint revision_since_;

  std::atomic<bool> stopping_{false};
  std::atomic<bool> log_reachable_{false};
  std::atomic<bool> log_wanted_{true};
  std::mutex wake_mutex_;
  std::condition_variable wake_;
  bool read_soon_ = false;
  bool announced_ = false;
  core::TimePoint announce_at_;

  std::unique_ptr<transport::ControlSocket> socket_;
  std::thread timer_;
  std::thread log_;
};

}  // namespace damaskthread::daemon

#endif  // DAMASKTHREAD_DAEMON_CONTROL_PLANE_H_
