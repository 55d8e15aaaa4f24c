#ifndef DAMASKTHREAD_MESH_PEER_LINK_H_
#define DAMASKTHREAD_MESH_PEER_LINK_H_

/// @file
/// @brief The connection over which this daemon uses the server of another one.

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

/// Receives what becomes of one request.
struct RunObserver {
  std::function<void(const peer::Result&)> ended;
  /// The daemon has gone silent or its connection broke; the request may end later all the same.
  std::function<void()> interrupted;
};

/// @brief Dials the daemon again whenever the connection breaks, and asks what became of the requests that were under
/// way. Only a new life of the daemon, or the news that its process is gone, leaves their fate unknown.
class PeerLink : public StreamHandler, public std::enable_shared_from_this<PeerLink> {
 public:
  struct Hooks {
    /// Makes the first message.
    std::function<peer::Hello()> greeting;
    std::function<void(const PeerLink&, const peer::Hello&)> greeted;
    std::function<void(PeerLink&, const peer::Status&)> status;
    std::function<void(PeerLink&, const peer::LoadUpdate&)> pulse;
    std::function<void(const peer::Configuration&)> configuration;
    std::function<void(const peer::CrashNotice&)> crash;
    /// The daemon became reachable or ceased to be so.
    std::function<void(PeerLink&)> reachable_changed;
  };

  PeerLink(boost::asio::io_context& io, std::string endpoint, const Hooks& hooks);
  ~PeerLink() override;

  /// @brief Hands a request over. The observer hears of its end unless it is cancelled.
  void execute(const peer::Execute& execute, RunObserver observer);
  void cancel(std::uint64_t stream);
  void send(const peer::Message& message);
  /// @brief Dials, and notices silence; to be called several times a second.
  void tick(core::TimePoint now);
  void close();

  void on_bytes(std::string_view bytes) override;
  void on_end(StreamEnd end) override;

  [[nodiscard]] const std::string& endpoint() const noexcept { return endpoint_; }
  [[nodiscard]] const std::string& zone() const noexcept { return zone_; }
  /// @return Whether the connection stands and the daemon was heard from lately.
  [[nodiscard]] bool reachable() const noexcept { return greeted_ && !silent_; }
  /// @return Whether the daemon has ever answered the greeting.
  [[nodiscard]] bool greeted_once() const noexcept { return incarnation_.value != 0; }
  /// @return Whether it has told its status.
  [[nodiscard]] bool told() const noexcept { return told_; }
  /// @return Whether requests are under way.
  [[nodiscard]] bool busy() const noexcept { return !pending_.empty(); }
  [[nodiscard]] const peer::Status& status() const noexcept { return status_; }
  /// @return When the daemon was heard from last.
  [[nodiscard]] core::TimePoint heard() const noexcept { return heard_; }

 private:
  struct Pending {
    bool idempotent = false;
    RunObserver observer;
  };

  void dial(core::TimePoint now);
  void on_connected(ConnectEnd end);
  void on_message(peer::Message&& message);
  void on_hello(const peer::Hello& hello);
  void on_result(const peer::Result& result);
  void lose_pending();
  void interrupt_pending();
  void set_silent(bool silent);
  void disconnect();

  boost::asio::io_context& io_;
  std::string endpoint_;
  std::string zone_;
  const Hooks& hooks_;
  std::shared_ptr<Stream> stream_;
  peer::FrameReader reader_;
  std::map<std::uint64_t, Pending> pending_;
  core::Incarnation incarnation_;
  peer::Status status_;
  bool dialing_ = false;
  bool connected_ = false;
  bool greeted_ = false;
  bool silent_ = false;
  bool told_ = false;
  core::TimePoint heard_;
  core::TimePoint next_dial_;
  core::Duration backoff_;
};

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_PEER_LINK_H_
