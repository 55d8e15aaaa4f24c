#include "damaskthread/mesh/server_connections.h"

#include <cstddef>
#include <utility>

namespace damaskthread::mesh {
namespace {

// The server is on the same VM; connecting takes longer only if its accept queue is full.
constexpr StreamTimeouts kServerTimeouts{std::chrono::milliseconds{500}, std::chrono::seconds{3}};
// A request that must run at most once is not sent on a connection idle for longer: if the server has dropped the
// connection, it resets it, and whether the request ran would be unknown.
constexpr core::Duration kMaxIdleForSingleRun = std::chrono::seconds{2};

}  // namespace

void ServerConnections::set_endpoint(const http::Endpoint& endpoint) {
  if (endpoint_ == endpoint) return;
  endpoint_ = endpoint;
  close_idle();
}

std::shared_ptr<HttpConnection> ServerConnections::acquire(core::TimePoint now, bool recently_used_only,
                                                           std::string_view match_value) {
  for (std::size_t i = idle_.size(); i-- > 0;) {
    if (recently_used_only && now - idle_[i].idle_since > kMaxIdleForSingleRun) break;
    if (idle_[i].connection->has_sent(match_value)) continue;
    std::shared_ptr<HttpConnection> connection = std::move(idle_[i].connection);
    idle_.erase(idle_.begin() + static_cast<std::ptrdiff_t>(i));
    if (connection->usable(now)) return connection;
    connection->close();
  }
  auto connection = std::make_shared<HttpConnection>(io_, endpoint_, kServerTimeouts);
  connection->match_responses_by(match_header_);
  connection->limit_response_memory(memory_limit_);
  return connection;
}

void ServerConnections::release(std::shared_ptr<HttpConnection> connection, core::TimePoint now) {
  if (connection->usable(now)) {
    idle_.push_back({std::move(connection), now});
  } else {
    connection->close();
  }
}

void ServerConnections::close_idle() {
  for (const IdleConnection& idle : idle_) idle.connection->close();
  idle_.clear();
}

void ServerConnections::sweep(core::TimePoint now) {
  std::erase_if(idle_, [now](const IdleConnection& idle) {
    if (idle.connection->usable(now)) return false;
    idle.connection->close();
    return true;
  });
}

}  // namespace damaskthread::mesh
