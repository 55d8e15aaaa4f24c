#ifndef DAMASKTHREAD_MESH_ADAPTER_H_
#define DAMASKTHREAD_MESH_ADAPTER_H_

/// @file
/// @brief What the daemon needs to know of the platform that it runs on: names, formats and calls. An adapter
/// translates and decides nothing.

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

/// Headers between callers, the daemon and backend servers.
struct HeaderNames {
  std::string attempt_id;      ///< Identifies one attempt of a caller; echoed in answers.
  std::string time_left_ms;    ///< Milliseconds that the caller will wait.
  std::string seal;            ///< Server's signature; an answer without it is not the server's.
  std::string target_server;   ///< Id of the only server that may run the request.
  std::string server_load;     ///< Running, waiting and slots of the server.
  std::string not_run;         ///< Present if the server did not run the request.
  std::string retry_after;     ///< Seconds, with fractions.
  std::string caller_service;  ///< Service of the VM where the request began.
  std::string server_id;       ///< Id of the server that answers a health check.
};

/// A server deregistered.
struct Departure {
  std::string server_id;
};

/// A call at the control address that names no server: malformed, or from another writer.
struct MalformedCall {
  std::string reason;
};

using ControlCall = std::variant<gate::ServerHeartbeat, Departure, MalformedCall>;

/// What the daemon keeps on the platform's store or reads from it.
enum class Topic : std::uint8_t {
  kConfiguration,  ///< Written by operators.
  kMembers,        ///< Written by daemons: where each can be reached.
};

struct KeyedRecord {
  std::string key;
  std::string value;
};

/// The newest record of each key; one page.
struct NewestPage {
  std::vector<KeyedRecord> records;
  bool more = false;
  /// Offset at which a read for later changes begins.
  std::uint64_t end = 0;
};

/// Records that were appended from an offset on.
struct Changes {
  std::vector<KeyedRecord> records;
  /// The store dropped some of the records asked for; the newest ones have to be read anew.
  bool truncated = false;
  std::uint64_t next = 0;
};

/// Key of the configuration in its topic.
inline constexpr std::string_view kConfigurationKey = "config";

class Adapter {
 public:
  virtual ~Adapter() = default;

  [[nodiscard]] virtual const HeaderNames& headers() const noexcept = 0;

  /// @brief Id of the attempt whose run made a call, if the id of the call tells.
  /// @return The id, or an empty view.
  [[nodiscard]] virtual std::string_view parent_attempt(std::string_view attempt_id) const noexcept = 0;

  /// @brief Decodes a call of the server beside the daemon.
  [[nodiscard]] virtual ControlCall control_call(const http::Request& request) const = 0;
  /// @brief Acknowledges a call of the server.
  [[nodiscard]] virtual http::Response control_answer() const = 0;
  /// @brief Whether a request asks if the daemon is ready.
  [[nodiscard]] virtual bool asks_readiness(const http::Request& request) const noexcept = 0;

  /// @brief Translates an operator's document. Errors are `core::Error`.
  [[nodiscard]] virtual boost::leaf::result<std::shared_ptr<const route::RouteTable>> configuration(
      std::string_view document) const = 0;

  /// @brief Request for the newest record of each key.
  /// @param after Key after which the page begins; empty for the first page.
  [[nodiscard]] virtual http::Request newest(Topic topic, std::string_view after) const = 0;
  /// @brief Request for changes from an offset on, answered when there is one or after the wait.
  [[nodiscard]] virtual http::Request changes(Topic topic, std::uint64_t from,
                                              std::chrono::milliseconds wait) const = 0;
  /// @brief Request that sets a key.
  [[nodiscard]] virtual http::Request put(Topic topic, std::string_view key, std::string_view value) const = 0;
  /// @brief Decodes the answer to `newest`. Errors are `core::Error`.
  [[nodiscard]] virtual boost::leaf::result<NewestPage> read_newest(const http::Response& response) const = 0;
  /// @brief Decodes the answer to `changes`. Errors are `core::Error`.
  [[nodiscard]] virtual boost::leaf::result<Changes> read_changes(const http::Response& response,
                                                                  std::uint64_t from) const = 0;
};

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_ADAPTER_H_
