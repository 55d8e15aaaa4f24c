#ifndef DAMASKTHREAD_OVERLAY_CONFIGURATION_PULL_H_
#define DAMASKTHREAD_OVERLAY_CONFIGURATION_PULL_H_

/// @file
/// @brief Selects the daemon from which to fetch a newer configuration.

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "damaskthread/core/types.h"

namespace damaskthread::overlay {

/// A connected daemon and the configuration version in force there.
struct ConfigurationOffer {
  std::string endpoint;
  bool same_zone = false;
  std::uint64_t version = 0;
};

/// @brief Requests the configuration from one daemon at a time, preferring those in the same failure domain. Requests
/// to other failure domains wait for a random delay, so that one daemon fetches the document and the others of its
/// failure domain get it from there.
///
/// Load patterns: hundreds of daemons that need a large configuration at the same time (each fetches it once, mostly
/// within its failure domain), a daemon that does not answer (another one is asked).
class ConfigurationPull {
 public:
  explicit ConfigurationPull(std::uint64_t seed) : random_(seed) {}

  /// @brief Selects the daemon to send a request to now.
  /// @param offers Reachable daemons.
  /// @param version Version in force at this daemon, 0 if none.
  /// @return Endpoint of the daemon, or nothing if no request is due.
  [[nodiscard]] std::optional<std::string> next_source(std::span<const ConfigurationOffer> offers,
                                                       std::uint64_t version, core::TimePoint now);

  /// Time to wait for an answer before another daemon is asked.
  static constexpr core::Duration kRequestTimeout = std::chrono::milliseconds{300};
  /// Maximum random delay before a request to another failure domain.
  static constexpr core::Duration kCrossZoneDelay = std::chrono::milliseconds{120};

 private:
  core::Random random_;
  /// Newest version announced by any daemon.
  std::uint64_t newest_known_ = 0;
  core::TimePoint cross_zone_after_;
  core::TimePoint request_deadline_;
  std::vector<std::string> requested_;
};

}  // namespace damaskthread::overlay

#endif  // DAMASKTHREAD_OVERLAY_CONFIGURATION_PULL_H_
