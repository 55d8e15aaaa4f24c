#ifndef DAMASKTHREAD_MESH_SETTINGS_H_
#define DAMASKTHREAD_MESH_SETTINGS_H_

/// @file
/// @brief Settings of the mesh daemon, loaded from a JSON file that may contain comments.

#include <boost/leaf/result.hpp>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/mesh/policy.h"
#include "damaskthread/settings/settings.h"

namespace damaskthread::mesh {

/// Service guarantees that operators give their users and that the daemon must keep.
struct Promises {
  /// Time after the acknowledgement of a server's departure within which it stops receiving requests.
  core::Duration drain = std::chrono::seconds{2};
  /// Grace period of a stopping daemon before it is killed.
  core::Duration grace = std::chrono::seconds{6};
  /// Permitted repeats per request to a service within a window, over all daemons.
  double repeat_ratio = 0.2;
  core::Duration repeat_window = std::chrono::seconds{10};
  /// Repeats permitted in a window in addition to the ratio.
  double repeat_slack = 0;
};

/// Settings of one daemon.
struct MeshSettings {
  std::string name;
  std::string service;
  std::string zone;            ///< Failure domain.
  settings::Endpoint calls;    ///< Accepts requests of callers and of the local server.
  settings::Endpoint peers;    ///< Accepts connections of other daemons.
  settings::Endpoint ready;    ///< Serves readiness checks.
  settings::Endpoint control;  ///< Accepts heartbeats of the local server.
  /// Serves metrics and status, if set.
  std::optional<settings::Endpoint> admin;
  /// Address under which other daemons reach `peers`, by default the same; identifies this daemon.
  settings::Endpoint advertised;
  settings::Endpoint local_server;
  settings::Endpoint store;
  std::vector<settings::Endpoint> seeds;  ///< Peer addresses to contact at startup in addition to those in the store.
  core::Duration heartbeat = std::chrono::milliseconds{1500};
  Promises promises;
  Policy policy;
  std::uint32_t max_descriptors = 4096;
  std::uint32_t memory_mb = 160;  ///< Memory limit of the process in megabytes.
  /// Share of `memory_mb` for the requests of callers. With the default a daemon of 160 MB can hold a body of 64 MB,
  /// the largest one that configurations permit by default.
  double caller_memory_share = 0.45;
  settings::LogLevel log_level = settings::LogLevel::kInfo;
};

/// @brief Parses and validates settings. The error object is `settings::Errors`.
/// @param source Name of the text in error messages.
[[nodiscard]] boost::leaf::result<MeshSettings> parse_mesh_settings(std::string_view text, std::string_view source);

/// @brief Loads, parses and validates a settings file. The error object is `settings::Errors`.
[[nodiscard]] boost::leaf::result<MeshSettings> load_mesh_settings(const std::filesystem::path& path);

/// Result of reloading the settings file of a running daemon.
struct SettingsUpdate {
  std::vector<std::string> applied;   ///< Fields whose new values are in effect.
  std::vector<std::string> rejected;  ///< Changed fields that require a restart.
};

/// @brief Applies all fields that can change at run time.
/// @param current The settings in effect; updated in place.
/// @param loaded The settings loaded from the file.
[[nodiscard]] SettingsUpdate apply_reloadable(MeshSettings& current, const MeshSettings& loaded);

/// @brief Returns a digest of the settings that must be identical on all daemons of a fleet. Different digests reveal
/// inconsistent settings.
[[nodiscard]] std::string fleet_digest(const MeshSettings& settings);

/// @brief Formats the settings as `field: value` lines.
[[nodiscard]] std::string describe(const MeshSettings& settings);

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_SETTINGS_H_
