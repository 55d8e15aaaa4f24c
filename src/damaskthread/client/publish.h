#ifndef DAMASKTHREAD_CLIENT_PUBLISH_H_
#define DAMASKTHREAD_CLIENT_PUBLISH_H_

/// @file
/// @brief Publishes one change and finds out what became of it.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "damaskthread/client/admin_client.h"

namespace damaskthread::client {

enum class PublishState : std::uint8_t {
  kAccepted,
  kConflict,     ///< Another change came first.
  kInvalid,      ///< The daemon rejected the request.
  kUnavailable,  ///< Nothing was done.
  kUnknown,      ///< It may have been accepted; a repeat with the same operation id is safe.
};

struct PublishResult {
  PublishState state = PublishState::kUnavailable;
  std::uint64_t version = 0;  ///< The version created, or that of the winner.
  std::string operation_id;
  std::string message;
};

/// What to publish.
struct Change {
  std::string name;
  std::optional<std::string> body;  ///< The declaration; nothing deletes the service.
  std::uint64_t base_version = 0;   ///< 0 creates.
  std::string operation_id;
};

/// Bounds of the search for an outcome.
struct PublishLimits {
  int attempts = 8;
  core::Duration request_timeout = std::chrono::seconds{10};
  core::Duration pause = std::chrono::milliseconds{500};
  std::function<void(core::Duration)> sleep;
};

/// @brief Sends a change until its outcome is known or the attempts are used up. Each attempt carries the same
/// operation id, so the change takes effect at most once.
[[nodiscard]] PublishResult publish(AdminClient& client, const Change& change, const PublishLimits& limits);

/// @brief A new operation id that no other process chooses.
[[nodiscard]] std::string new_operation_id();

}  // namespace damaskthread::client

#endif  // DAMASKTHREAD_CLIENT_PUBLISH_H_
