#ifndef DAMASKTHREAD_MESH_PEER_LINK_H_
#define DAMASKTHREAD_MESH_PEER_LINK_H_

/// @file
/// @brief The client side of a connection to another daemon, used to execute requests at that daemon's server.

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "damaskthread/core/types.h"
#include "damaskthread/http/message.h"
#include "damaskthread/mesh/stream.h"
#include "damaskthread/peer/frame.h"
#include "damaskthread/peer/message.h"

namespace damaskthread::mesh {

/// Callbacks for the outcome of one request.
struct RequestObserver {
  std::function<void(const peer::Result&)> on_result;
  /// Called for idempotent requests if the peer fell silent or the connection broke. The result may still arrive.
  std::function<void()> on_interrupted;
};

/// @brief Reconnects whenever the connection breaks and resumes the pending requests. Their outcome stays unknown only
/// if the peer was restarted (a new incarnation) or refuses the connection because its process is gone.
class PeerLink : public StreamHandler, public std::enable_shared_from_this<PeerLink> {
 public:
  struct Hooks {
    /// Creates the first message of a connection.
    std::function<peer::Hello()> make_hello;
    std::function<void(const PeerLink&, const peer::Hello&)> on_hello;
    std::function<void(PeerLink&, const peer::Status&)> on_status;
    std::function<void(PeerLink&, const peer::LoadUpdate&)> on_load_update;
    std::function<void(const peer::Configuration&)> on_configuration;
    std::function<void(const peer::CrashNotice&)> on_crash_notice;
    std::function<void(const PeerLink&, const peer::QuotaGrant&)> on_quota_grant;
    /// Called when `reachable` has changed.
    std::function<void(PeerLink&)> on_reachability_changed;
  };

  PeerLink(boost::asio::io_context& io, std::string endpoint, const Hooks& hooks);
  ~PeerLink() override;

  /// @brief Sends a request to the peer. The observer gets its result unless the request is cancelled.
  void execute(const peer::Execute& execute, RequestObserver observer);
  void cancel(std::uint64_t stream);
  void send(const peer::Message& message);
  /// @brief Reconnects and detects a silent peer. Must be called several times per second.
  void tick(core::TimePoint now);
  void close();

  void on_bytes(std::string_view bytes) override;
  void on_end(StreamCloseReason reason) override;

  [[nodiscard]] const std::string& endpoint() const noexcept { return endpoint_; }
  [[nodiscard]] const std::string& zone() const noexcept { return zone_; }
  /// @return Whether the handshake is done and the peer has sent data recently.
  [[nodiscard]] bool reachable() const noexcept { return handshake_done_ && !silent_; }
  /// @return Whether a handshake with this peer has ever succeeded.
  [[nodiscard]] bool connected_before() const noexcept { return incarnation_.value != 0; }
  /// @return Whether the peer has sent its status.
  [[nodiscard]] bool status_received() const noexcept { return status_received_; }
  [[nodiscard]] bool has_pending_requests() const noexcept { return !pending_.empty(); }
  [[nodiscard]] const peer::Status& status() const noexcept { return status_; }
  /// @return When data last arrived from the peer.
  [[nodiscard]] core::TimePoint last_received() const noexcept { return last_received_; }

 private:
  struct PendingRequest {
    bool idempotent = false;
    RequestObserver observer;
  };

  void connect_stream(core::TimePoint now);
  void on_connected(ConnectResult result);
  void on_message(peer::Message&& message);
  void on_hello(const peer::Hello& hello);
  void on_result(const peer::Result& result);
  void fail_pending();
  void interrupt_pending();
  void set_silent(bool silent);
  void disconnect();

  boost::asio::io_context& io_;
  std::string endpoint_;
  std::string zone_;
  const Hooks& hooks_;
  std::shared_ptr<Stream> stream_;
  peer::FrameReader reader_;
  std::map<std::uint64_t, PendingRequest> pending_;
  core::Incarnation incarnation_;
  peer::Status status_;
  bool connecting_ = false;
  bool connected_ = false;
  bool handshake_done_ = false;
  bool silent_ = false;
  bool status_received_ = false;
  core::TimePoint last_received_;
  core::TimePoint next_connect_;
  core::Duration backoff_;
};

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_PEER_LINK_H_
