#ifndef DAMASKTHREAD_ENTRANCE_THROTTLE_H_
#define DAMASKTHREAD_ENTRANCE_THROTTLE_H_

/// @file
/// @brief Turns new requests away where the services that they need cannot serve them all.

#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "damaskthread/core/types.h"
#include "damaskthread/gate/server_gate.h"

namespace damaskthread::entrance {

struct ThrottleOptions {
  /// Load (running and waiting requests for each slot) that the throttle steers towards.
  double target_load = 0.92;
  /// Growth of the pressure in a second at a load of one above the target.
  double rise = 1.2;
  /// Fall of the pressure in a second at a load of one below the target.
  double fall = 0.8;
  /// Largest excess of load that is acted on, so that one deep queue does not shut the entrance.
  double max_excess = 0.5;
  /// Share that is let in of a rank at the least, so that none starves.
  double floor = 0.3;
};

/// @brief Holds a pressure for each service that rises while its servers are overloaded and falls otherwise. A new
/// request is turned away by the highest pressure among the services that it needs; the least important ranks give way
/// first, down to a floor.
///
/// Load patterns: a surge that a service deep in the tree cannot carry (work further up is not begun for requests that
/// would fail below), clients that repeat at once (the share let in follows the load, whatever is offered), a slow
/// return to normal (the pressure falls step by step, so that those turned away do not return as a wave).
class Throttle {
 public:
  explicit Throttle(const ThrottleOptions& options = {}) noexcept : options_(options) {}

  /// @brief Takes the present load of a service in.
  /// @param service The service.
  /// @param total Load of all of its servers.
  /// @param elapsed Time since the last call for this service.
  void observe(const std::string& service, const gate::Load& total, core::Duration elapsed);

  /// @brief Share of the new requests of a rank that is let in.
  /// @param needed Services that the request needs.
  /// @param priority Its rank.
  /// @param ranks All ranks in use at the entrance, most important first.
  [[nodiscard]] double admitted_share(std::span<const std::string> needed, int priority,
                                      std::span<const int> ranks) const;

  /// @brief Pressure of a service, 0 to 1.
  [[nodiscard]] double pressure(const std::string& service) const;

 private:
  ThrottleOptions options_;
  std::unordered_map<std::string, double> pressure_;
};

}  // namespace damaskthread::entrance

#endif  // DAMASKTHREAD_ENTRANCE_THROTTLE_H_
