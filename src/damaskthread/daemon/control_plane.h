#ifndef DAMASKTHREAD_DAEMON_CONTROL_PLANE_H_
#define DAMASKTHREAD_DAEMON_CONTROL_PLANE_H_

/// @file
/// @brief Control plane of one daemon: membership, configuration and crash marks over control socket, timer and log.

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

/// Result of an append to the log.
struct AppendOutcome {
  enum class State : std::uint8_t { kAppended, kRefused, kUnknown };
  State state = State::kRefused;
  std::string reason;
};

/// Owns the control plane threads. One lock protects all membership and configuration state: the work under it takes a
/// small fraction of one core.
class ControlPlane {
 public:
  ControlPlane(const settings::Settings& settings, core::Incarnation incarnation, engine::Node& node,
               Directory& directory);
  ~ControlPlane();
  ControlPlane(const ControlPlane&) = delete;
  ControlPlane& operator=(const ControlPlane&) = delete;

  /// @brief Accuses the calls that ran when the local server crashed, and immediately sends the crash marks to every
  /// daemon of the same service, since their servers would run a repeated request next.
  void notify_crash();
  /// @brief Announces that this daemon accepts no new work.
  void announce_leaving();

  [[nodiscard]] const resource::ResourceStore& store() const noexcept { return store_; }
  /// @brief Appends a record, trying the log service addresses in order. A record that may have been appended is
  /// not appended again.
  [[nodiscard]] AppendOutcome append(const std::string& record);
  /// @brief Triggers an early read of the log after a record was appended through this daemon.
  void request_log_read();
  [[nodiscard]] bool log_reachable() const noexcept { return log_reachable_.load(std::memory_order_relaxed); }

  /// @brief Signs and verifies the headers of calls between daemons.
  [[nodiscard]] const wire::Authenticator& authenticator() const noexcept { return authenticator_; }

  /// @brief Formats members, applied configuration and lagging daemons as JSON.
  [[nodiscard]] std::string status_json() const;
  /// @brief Returns the control plane counters by metric name.
  [[nodiscard]] std::vector<std::pair<std::string, double>> counters() const;

 private:
  class StoreAdapter;

  void receive(std::string_view bytes);
  void send(const std::vector<wire::Outgoing>& messages);
  void run_timer();
  void run_log();
  void tick(core::TimePoint now);
  void refresh_view(core::TimePoint now);
  void refresh_configuration();
  void spread_crash_marks(core::TimePoint now);
  bool poll_log();
  void write_snapshot();
  void announce();

  const settings::Settings& settings_;
  engine::Node& node_;
  Directory& directory_;
  core::Random random_;
  resource::ResourceStore store_;
  std::unique_ptr<StoreAdapter> store_adapter_;
  std::vector<logservice::LogClient> log_clients_;

  mutable std::mutex mutex_;
  wire::Authenticator authenticator_;
  membership::Membership membership_;
  replication::Replication replication_;
  std::uint64_t view_version_ = 0;
  core::TimePoint view_refreshed_at_;
  std::uint64_t applied_revision_ = 0;
  core::TimePoint revision_applied_at_;

  std::atomic<bool> stopping_{false};
  std::atomic<bool> log_reachable_{false};
  std::atomic<bool> log_polling_enabled_{true};
  std::mutex wake_mutex_;
  std::condition_variable wake_;
  bool read_requested_ = false;
  bool announced_ = false;
  core::TimePoint next_announcement_;

  std::unique_ptr<transport::ControlSocket> socket_;
  std::thread timer_thread_;
  std::thread log_thread_;
};

}  // namespace damaskthread::daemon

#endif  // DAMASKTHREAD_DAEMON_CONTROL_PLANE_H_
