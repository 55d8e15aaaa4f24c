#ifndef DAMASKTHREAD_CONFIG_CONFIG_H_
#define DAMASKTHREAD_CONFIG_CONFIG_H_

/// @file
/// @brief Compile-time settings. Each macro may be defined on the compiler's command line to override its default.

#ifndef DAMASKTHREAD_SHARD_COUNT
/// Number of shards that the sharded tables are split into; each shard has its own lock. A power of two.
#define DAMASKTHREAD_SHARD_COUNT 16
#endif

#ifndef DAMASKTHREAD_CACHE_LINE_BYTES
/// Alignment that keeps two shards from sharing a cache line.
#define DAMASKTHREAD_CACHE_LINE_BYTES 64
#endif

#endif  // DAMASKTHREAD_CONFIG_CONFIG_H_
