#ifndef DAMASKTHREAD_MEMBERSHIP_OPTIONS_H_
#define DAMASKTHREAD_MEMBERSHIP_OPTIONS_H_

/// @file
/// @brief Tuning of Membership.

#include <chrono>
#include <cstddef>

#include "damaskthread/core/types.h"

namespace damaskthread::membership {

/// Defaults are worked out in docs/membership.md for 2,400 members.
struct Options {
  /// In each period a daemon probes its next two members on the ring and one at random.
  core::Duration probe_period = std::chrono::seconds{1};
  /// Without an ack after this, proxies are asked. Above the round trip between regions.
  core::Duration direct_timeout = std::chrono::milliseconds{250};
  /// Without any ack after this, the target becomes suspect.
  core::Duration probe_timeout = std::chrono::milliseconds{600};
  std::size_t proxies = 3;
  /// A suspect that has not refuted within this is dead.
  core::Duration suspicion = std::chrono::seconds{3};
  core::Duration gossip_period = std::chrono::milliseconds{200};
  /// Members that news is sent to in each gossip period.
  std::size_t fan_out = 4;
  /// Members told at once when this daemon starts to leave.
  std::size_t leave_fan_out = 24;
  /// Interval at which the owner calls tick().
  core::Duration tick_period = std::chrono::milliseconds{100};
  /// A tick later than this means that the process was paused.
  core::Duration late_tick = std::chrono::milliseconds{500};
  /// Period at which one remembered dead member is probed, so that parted regions find each other.
  core::Duration dead_probe_period = std::chrono::seconds{4};
  /// How long the dead are remembered; far above the hour that regions may be parted.
  core::Duration dead_retention = std::chrono::hours{24};
  /// Least time between two digests or summaries that this daemon sends because views differ.
  core::Duration sync_period = std::chrono::seconds{2};
  std::size_t max_members = 16384;
  std::size_t max_dead = 4096;
  std::size_t max_marks = 1024;
};

}  // namespace damaskthread::membership

#endif  // DAMASKTHREAD_MEMBERSHIP_OPTIONS_H_
