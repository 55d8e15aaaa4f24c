#ifndef DAMASKTHREAD_MESH_ADAPTER_H_
#define DAMASKTHREAD_MESH_ADAPTER_H_

/// @file
/// @brief Interface to the platform that the daemon runs on: its header names, formats and calls. Adapters only
/// translate; they make no decisions.

#include <boost/leaf/result.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/gate/server_lifecycle.h"
#include "damaskthread/http/message.h"
#include "damaskthread/route/route_table.h"

namespace damaskthread::mesh {

/// Names of the headers between callers, the daemon and backend servers.
struct HeaderNames {
  std::string attempt_id;        ///< Identifies one attempt of a caller; echoed in responses.
  std::string time_left_ms;      ///< Milliseconds until the caller's deadline.
  std::string server_signature;  ///< Signature of the server; a response without it is not from the server.
  std::string target_server;     ///< Id of the only server that may run the request.
  std::string server_load;       ///< Running requests, queued requests and slots of the server.
  std::string not_run;           ///< Present if the server did not run the request.
  std::string retry_after;       ///< Seconds, with fractions.
  std::string caller_service;    ///< Service of the VM where the request originated.
  std::string server_id;         ///< Id of the server that responds to a health check.
  std::string credentials;       ///< Key of a caller's tenant.
  std::string tenant;            ///< Name of the tenant, set for the server.
  std::string store_era;         ///< Number that rises when the store was restored from a backup.
};

/// The deregistration of a server.
struct Deregistration {
  std::string server_id;
};

/// A control call that could not be decoded: malformed, or sent by a different kind of client.
struct MalformedCall {
  std::string reason;
};

using ControlCall = std::variant<gate::ServerHeartbeat, Deregistration, MalformedCall>;

/// Topics of the platform's store that the daemon uses.
enum class Topic : std::uint8_t {
  kConfiguration,  ///< Written by operators.
  kMembers,        ///< Written by daemons: the address of each.
  kLeases,         ///< Written by daemons: the holder of each lease.
};

/// A record of a topic.
struct KeyedRecord {
  std::string key;
  std::string value;
};

/// One page of the newest record of each key.
struct NewestPage {
  std::vector<KeyedRecord> records;
  /// Whether further pages follow.
  bool more = false;
  /// Offset from which later changes are read.
  std::uint64_t end = 0;
};

/// Records appended since an offset.
struct Changes {
  std::vector<KeyedRecord> records;
  /// Whether the store has dropped some of the requested records; the newest records must be read again.
  bool truncated = false;
  /// Offset from which the next changes are read.
  std::uint64_t next = 0;
};

/// Key of the configuration in its topic.
inline constexpr std::string_view kConfigurationKey = "config";

/// @brief Translates between the daemon and the platform.
class Adapter {
 public:
  virtual ~Adapter() = default;

  [[nodiscard]] virtual const HeaderNames& headers() const noexcept = 0;

  /// @brief Derives the id of the parent attempt, which issued a call, from the id of the call.
  /// @return The id, or an empty view if it is unknown.
  [[nodiscard]] virtual std::string_view parent_attempt(std::string_view attempt_id) const noexcept = 0;

  /// @brief Decodes a control call of the local server.
  [[nodiscard]] virtual ControlCall parse_control_call(const http::Request& request) const = 0;
  /// @brief Creates the response that acknowledges a control call.
  [[nodiscard]] virtual http::Response control_response() const = 0;
  /// @brief Returns whether a request is a readiness check.
  [[nodiscard]] virtual bool is_readiness_check(const http::Request& request) const noexcept = 0;

  /// @brief Parses the operators' configuration document. Errors are `core::Error`.
  [[nodiscard]] virtual boost::leaf::result<std::shared_ptr<const route::RouteTable>> configuration(
      std::string_view document) const = 0;

  /// @brief Creates a request for the newest record of each key.
  /// @param after Last key of the previous page; empty for the first page.
  [[nodiscard]] virtual http::Request newest(Topic topic, std::string_view after) const = 0;
  /// @brief Creates a long-polling request for changes since an offset.
  [[nodiscard]] virtual http::Request changes(Topic topic, std::uint64_t from,
                                              std::chrono::milliseconds wait) const = 0;
  /// @brief Creates a request that sets a key.
  [[nodiscard]] virtual http::Request put(Topic topic, std::string_view key, std::string_view value) const = 0;
  /// @brief Creates a request that sets a key, which the store carries out only if the topic ends at an offset.
  [[nodiscard]] virtual http::Request put_at(Topic topic, std::string_view key, std::string_view value,
                                             std::uint64_t end) const = 0;
  /// @brief Decodes the response to `newest`. Errors are `core::Error`.
  [[nodiscard]] virtual boost::leaf::result<NewestPage> parse_newest(const http::Response& response) const = 0;
  /// @brief Decodes the response to `changes`. Errors are `core::Error`.
  [[nodiscard]] virtual boost::leaf::result<Changes> parse_changes(const http::Response& response,
                                                                   std::uint64_t from) const = 0;
};

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_ADAPTER_H_
