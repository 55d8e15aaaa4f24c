#ifndef DAMASKTHREAD_MESH_LEASE_CLIENT_H_
#define DAMASKTHREAD_MESH_LEASE_CLIENT_H_

/// @file
/// @brief Keeps a lease on the platform's store.

#include <boost/asio/io_context.hpp>

#include "damaskthread/core/types.h"
#include "damaskthread/mesh/adapter.h"
#include "damaskthread/mesh/event_log.h"
#include "damaskthread/mesh/store_client.h"
#include "damaskthread/quota/lease.h"

namespace damaskthread::mesh {

/// @brief Makes the store calls of a lease. Without need for the lease it makes none.
class LeaseClient {
 public:
  /// @param self Endpoint of this daemon.
  LeaseClient(boost::asio::io_context& io, const Adapter& adapter, const http::Endpoint& store, EventLog& log,
              const std::string& self);

  /// @brief Acquires, renews or abandons the lease; to be called several times a second.
  /// @param wanted Whether this daemon needs the lease.
  void tick(bool wanted, core::TimePoint now);
  [[nodiscard]] bool held(core::TimePoint now) const noexcept { return lease_.held(now); }
  void close() { call_.close(); }

 private:
  void read(core::TimePoint now);
  void write(core::TimePoint now);

  const Adapter& adapter_;
  EventLog& log_;
  quota::Lease lease_;
  StoreCall call_;
  bool logged_held_ = false;
};

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_LEASE_CLIENT_H_
