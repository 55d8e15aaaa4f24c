#ifndef DAMASKTHREAD_MESH_FLEET_H_
#define DAMASKTHREAD_MESH_FLEET_H_

/// @file
/// @brief The other daemons: who they are, and the connections to them.

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/mesh/event_log.h"
#include "damaskthread/mesh/peer_link.h"
#include "damaskthread/peer/message.h"

namespace damaskthread::mesh {

/// @brief Learns of daemons from the store and from each other, and keeps a connection to each. A daemon that was out
/// of reach for long is forgotten; it makes itself known again when it connects.
class Fleet {
 public:
  struct Hooks {
    std::function<void(const std::string& endpoint, bool near, const peer::Status&)> status;
    std::function<void(const std::string& endpoint, const peer::Pulse&)> pulse;
    std::function<void(const std::string& endpoint, bool reachable)> reachable;
    std::function<void(const std::string& endpoint)> forgotten;
    std::function<void(const peer::Configuration&)> configuration;
    std::function<void(const peer::Crash&)> crash;
  };

  Fleet(boost::asio::io_context& io, const peer::Member& self, core::Incarnation incarnation, EventLog& log,
        Hooks hooks);

  /// @brief Takes a daemon in that was not known.
  void learn(const peer::Member& member);
  /// @brief First message to a daemon: who this one is and some of those it knows.
  [[nodiscard]] peer::Hello greeting();
  [[nodiscard]] PeerLink* link(const std::string& endpoint) const;
  [[nodiscard]] const std::map<std::string, std::shared_ptr<PeerLink>>& links() const noexcept { return links_; }
  /// @brief How many daemons that can be reached come before this one in the order of their addresses.
  [[nodiscard]] int rank() const;
  void tick(core::TimePoint now);
  void close();

 private:
  boost::asio::io_context& io_;
  peer::Member self_;
  core::Incarnation incarnation_;
  EventLog& log_;
  Hooks hooks_;
  PeerLink::Hooks link_hooks_;
  std::map<std::string, std::shared_ptr<PeerLink>> links_;
  std::map<std::string, core::TimePoint> learned_;
  /// The member that was named last in a greeting.
  std::string last_named_;
};

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_FLEET_H_
