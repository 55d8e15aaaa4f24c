#ifndef DAMASKTHREAD_CORE_BUFFER_H_
#define DAMASKTHREAD_CORE_BUFFER_H_

/// @file
/// @brief Memory of buffers that belong to a connection.

#include <cstddef>
#include <string>

namespace damaskthread::core {

/// Capacity that an empty buffer may keep; most messages fit.
inline constexpr std::size_t kKeptBufferBytes = 2048;

/// @brief Frees the memory of a buffer that is empty and has grown, so that hundreds of idle connections hold little.
inline void release_spare(std::string& buffer) noexcept {
  if (buffer.empty() && buffer.capacity() > kKeptBufferBytes) std::string().swap(buffer);
}

}  // namespace damaskthread::core

#endif  // DAMASKTHREAD_CORE_BUFFER_H_
