#ifndef DAMASKTHREAD_MEMBERSHIP_OPTIONS_H_
#define DAMASKTHREAD_MEMBERSHIP_OPTIONS_H_

/// @file
/// @brief Options of Membership.

#include <chrono>
#include <cstddef>

#include "damaskthread/core/types.h"

namespace damaskthread::membership {

/// Protocol timing and limits. docs/membership.md derives the defaults for 2,400 members.
struct Options {
  /// In each period a daemon probes its next two members on the ring and one random member.
  core::Duration probe_period = std::chrono::seconds{1};
  /// Time without an ack before proxies are asked to probe. Exceeds the round-trip time between regions.
  core::Duration direct_timeout = std::chrono::milliseconds{250};
  /// Time without any ack before the target becomes suspect.
  core::Duration probe_timeout = std::chrono::milliseconds{600};
  std::size_t proxies = 3;
  /// Time in which a suspect must refute before it is declared dead.
  core::Duration suspicion_timeout = std::chrono::seconds{3};
  core::Duration gossip_period = std::chrono::milliseconds{200};
  /// Number of members that receive pending updates in each gossip period.
  std::size_t fan_out = 4;
  /// Number of members notified immediately when this daemon starts to leave.
  std::size_t leave_fan_out = 24;
  /// Interval at which the owner calls tick().
  core::Duration tick_period = std::chrono::milliseconds{100};
  /// A longer gap between ticks means that the process was paused.
  core::Duration pause_threshold = std::chrono::milliseconds{500};
  /// Period at which one retained dead member is probed, so that regions find each other after a partition.
  core::Duration dead_probe_period = std::chrono::seconds{4};
  /// How long dead members are retained. Far exceeds the hour for which regions may be partitioned.
  core::Duration dead_retention = std::chrono::hours{24};
  /// Minimum time between digests or summaries that this daemon sends because views differ.
  core::Duration sync_period = std::chrono::seconds{2};
  std::size_t max_members = 16384;
  std::size_t max_dead = 4096;
  std::size_t max_marks = 1024;
};

}  // namespace damaskthread::membership

#endif  // DAMASKTHREAD_MEMBERSHIP_OPTIONS_H_
