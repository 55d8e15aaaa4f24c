#ifndef DAMASKTHREAD_MESH_FLEET_H_
#define DAMASKTHREAD_MESH_FLEET_H_

/// @file
/// @brief The other daemons: who they are, and the connections to some of them.

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

/// How this daemon came to know of another one.
enum class Source : std::uint8_t {
  kItself,  ///< It connected and said who it is.
  kListed,  ///< From the list on the store, the settings or another daemon.
};

/// @brief Learns of daemons from the store and from each other, and keeps a connection to those of its plan. A daemon
/// whom the others do not know connects to each of them once, so that they know it. One that was out of reach for long
/// is forgotten; it makes itself known again when it connects.
class Fleet {
 public:
  struct Hooks {
    std::function<void(const std::string& endpoint, bool near, const peer::Status&)> status;
    std::function<void(const std::string& endpoint, const peer::LoadUpdate&)> pulse;
    std::function<void(const std::string& endpoint, bool reachable)> reachable;
    /// There is no connection to the daemon any more.
    std::function<void(const std::string& endpoint)> unlinked;
    std::function<void(const peer::Configuration&)> configuration;
    std::function<void(const peer::CrashNotice&)> crash;
  };
  using Links = std::map<std::string, std::shared_ptr<PeerLink>>;

  Fleet(boost::asio::io_context& io, const peer::Member& self, core::Incarnation incarnation, EventLog& log,
        Hooks hooks);

  /// @brief Takes a daemon in that was not known, or what is new of it.
  void learn(const peer::Member& member, Source source);
  /// @brief Notes that the others know this daemon from an earlier life, so that it need not introduce itself.
  void known_already();
  /// @brief Sets the service of the server beside this daemon, which the others are told.
  void set_service(const std::string& service) { self_.service = service; }
  /// @brief First message to a daemon: who this one is and some of those it knows.
  [[nodiscard]] peer::Hello greeting();

  /// @brief Decides whom to keep a connection to.
  void plan(const std::map<std::string, overlay::Interest, std::less<>>& interests, core::TimePoint now);
  /// @brief Opens, checks and closes connections; to be called several times a second.
  void tick(core::TimePoint now);
  void close();

  [[nodiscard]] PeerLink* link(const std::string& endpoint) const;
  [[nodiscard]] const Links& links() const noexcept { return links_; }
  /// @brief Sends news that concern every daemon on their way.
  void spread(const peer::Message& message);
  /// @brief Known daemons.
  [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }
  /// @brief Servers of a service, connected to or not.
  [[nodiscard]] int servers(std::string_view service) const;

 private:
  struct Entry {
    std::string zone;
    std::string service;
    core::TimePoint learned;
    core::TimePoint heard;
    /// The plan asks for a connection.
    bool planned = false;
    /// A connection is needed once, to introduce this daemon or to see whether the other one is there.
    bool greet = false;
    /// Since when neither of both asks for the connection that there is.
    core::TimePoint unneeded_since;
    core::TimePoint linked_since;
  };
  using Entries = std::map<std::string, Entry>;

  void open_links(core::TimePoint now);
  void check_links(core::TimePoint now);
  void unlink(const std::string& endpoint, Entry& entry);
  void forget(const std::string& endpoint);
  void greet_longest_unheard(core::TimePoint now);
  void on_greeted(const PeerLink& link, const peer::Hello& hello);
  [[nodiscard]] std::vector<overlay::Candidate> candidates(core::TimePoint now) const;
  [[nodiscard]] bool usable(const Entry& entry, const PeerLink* link, core::TimePoint now) const;

  boost::asio::io_context& io_;
  peer::Member self_;
  core::Incarnation incarnation_;
  EventLog& log_;
  Hooks hooks_;
  PeerLink::Hooks link_hooks_;
  overlay::LinkPlan plan_;
  bool introducing_ = true;
  Entries entries_;
  Links links_;
  std::vector<std::string> ring_;
  core::TimePoint next_check_;
  /// The member that was named last in a greeting.
  std::string last_named_;
};

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_FLEET_H_
