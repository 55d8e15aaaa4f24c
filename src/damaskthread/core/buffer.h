#ifndef DAMASKTHREAD_CORE_BUFFER_H_
#define DAMASKTHREAD_CORE_BUFFER_H_

/// @file
/// @brief Memory management for per-connection buffers.

#include <cstddef>
#include <string>

namespace damaskthread::core {

/// Largest capacity that an empty buffer keeps. Most messages fit.
inline constexpr std::size_t kMaxIdleBufferBytes = 2048;

/// @brief Frees the memory of an empty buffer above kMaxIdleBufferBytes, which bounds the memory of idle connections.
inline void shrink_if_empty(std::string& buffer) noexcept {
  if (buffer.empty() && buffer.capacity() > kMaxIdleBufferBytes) std::string().swap(buffer);
}

}  // namespace damaskthread::core

#endif  // DAMASKTHREAD_CORE_BUFFER_H_
