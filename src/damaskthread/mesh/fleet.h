#ifndef DAMASKTHREAD_MESH_FLEET_H_
#define DAMASKTHREAD_MESH_FLEET_H_

/// @file
/// @brief The known daemons and the connections to some of them.

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/mesh/event_log.h"
#include "damaskthread/mesh/peer_link.h"
#include "damaskthread/overlay/link_plan.h"
#include "damaskthread/peer/message.h"

namespace damaskthread::mesh {

/// How this daemon learned of another one.
enum class Source : std::uint8_t {
  kIntroduced,  ///< It connected and introduced itself.
  kListed,      ///< Listed by the store, the settings or another daemon.
};

/// @brief Learns of daemons from the store and from each other, and keeps connections to those that the link plan
/// selects. A daemon that the others do not know yet connects to each of them once to introduce itself. A daemon that
/// was unreachable for long is removed; it introduces itself again when it connects.
class Fleet {
 public:
  struct Hooks {
    std::function<void(const std::string& endpoint, bool near, const peer::Status&)> status;
    std::function<void(const std::string& endpoint, const peer::LoadUpdate&)> pulse;
    std::function<void(const std::string& endpoint, bool reachable)> reachable;
    /// The connection to the daemon was closed and is not kept any more.
    std::function<void(const std::string& endpoint)> unlinked;
    std::function<void(const peer::Configuration&)> configuration;
    std::function<void(const peer::CrashNotice&)> crash;
    std::function<void(const std::string& endpoint, const quota::Grant&)> quota_grant;
  };
  using Links = std::map<std::string, std::shared_ptr<PeerLink>>;

  Fleet(boost::asio::io_context& io, const peer::Member& self, core::Incarnation incarnation, EventLog& log,
        Hooks hooks, const overlay::LinkPlanOptions& links = {});

  /// @brief Adds a daemon, or updates its zone and service if it introduced itself.
  void learn(const peer::Member& member, Source source);
  /// @brief Records that the others know this daemon from an earlier run, so that it need not introduce itself.
  void mark_introduced();
  /// @brief Sets the service of the local server, which greetings announce.
  void set_service(const std::string& service) { self_.service = service; }
  /// @brief First message on a connection: the identity of this daemon and some of the daemons it knows.
  [[nodiscard]] peer::Hello greeting();

  /// @brief Selects the daemons to keep connections to.
  /// @param required Endpoints that are selected in any case.
  void plan(const std::map<std::string, overlay::Interest, std::less<>>& interests,
            const std::vector<std::string>& required, core::TimePoint now);
  /// @brief Opens, checks and closes connections; to be called several times a second.
  void tick(core::TimePoint now);
  /// @brief Closes all connections.
  void close();

  /// @return The connection to a daemon, or null if there is none.
  [[nodiscard]] PeerLink* link(const std::string& endpoint) const;
  [[nodiscard]] const Links& links() const noexcept { return links_; }
  /// @brief Sends a message for all daemons to the ring neighbours, which pass it on.
  void broadcast(const peer::Message& message);
  /// @return Endpoints of all known daemons.
  [[nodiscard]] std::vector<std::string> endpoints() const;
  /// @brief Number of known daemons.
  [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }
  /// @brief Number of servers of a service, including the local one, connected or not.
  [[nodiscard]] int servers(std::string_view service) const;

 private:
  struct Entry {
    std::string zone;
    std::string service;
    core::TimePoint learned;
    core::TimePoint heard;
    /// The link plan requires a connection.
    bool planned = false;
    /// A connection is needed once, to introduce this daemon or to check whether the other one is reachable.
    bool needs_greeting = false;
    /// Time since which neither `planned` nor `needs_greeting` requires the open connection.
    core::TimePoint unneeded_since;
    core::TimePoint link_opened_at;
  };
  using Entries = std::map<std::string, Entry>;

  void open_links(core::TimePoint now);
  void check_links(core::TimePoint now);
  void unlink(const std::string& endpoint, Entry& entry);
  void forget(const std::string& endpoint);
  /// Schedules a connection to the daemon that has been unreachable for longest.
  void schedule_greeting(core::TimePoint now);
  void on_greeted(const PeerLink& link, const peer::Hello& hello);
  [[nodiscard]] std::vector<overlay::Candidate> candidates(core::TimePoint now) const;
  /// Whether the plan may count on a daemon: no failed or unready connection speaks against it.
  [[nodiscard]] bool usable(const Entry& entry, const PeerLink* link, core::TimePoint now) const;

  boost::asio::io_context& io_;
  peer::Member self_;
  core::Incarnation incarnation_;
  EventLog& log_;
  Hooks hooks_;
  PeerLink::Hooks link_hooks_;
  overlay::LinkPlan plan_;
  bool needs_introduction_ = true;
  Entries entries_;
  Links links_;
  std::vector<std::string> broadcast_targets_;
  core::TimePoint next_reconnect_;
  /// Member that was listed last in a greeting; the next greeting continues after it.
  std::string last_advertised_;
};

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_FLEET_H_
