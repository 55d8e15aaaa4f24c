#ifndef DAMASKTHREAD_GATE_SERVER_LOAD_H_
#define DAMASKTHREAD_GATE_SERVER_LOAD_H_

/// @file
/// @brief The load that a server reports in its responses.

#include <optional>
#include <string_view>

namespace damaskthread::gate {

/// Load of a server at the time of a response.
struct ServerLoad {
  int running = 0;
  int waiting = 0;
  /// Number of slots; nothing if the server does not report it.
  std::optional<int> slots;
  /// How long work takes on the server's VM at this moment, relative to the usual time. Nothing if it is not reported.
  std::optional<double> work_time;
};

/// @brief Parses running requests, waiting requests, slots and work time in percent, separated by commas. The last two
/// may be missing.
/// @return The load, or nothing if the text has another form.
[[nodiscard]] std::optional<ServerLoad> parse_server_load(std::string_view text) noexcept;

}  // namespace damaskthread::gate

#endif  // DAMASKTHREAD_GATE_SERVER_LOAD_H_
