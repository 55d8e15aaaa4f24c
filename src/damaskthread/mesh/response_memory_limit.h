#ifndef DAMASKTHREAD_MESH_RESPONSE_MEMORY_LIMIT_H_
#define DAMASKTHREAD_MESH_RESPONSE_MEMORY_LIMIT_H_

/// @file
/// @brief Bounds the memory used by all responses that are being read.

#include <cstddef>

namespace damaskthread::mesh {

/// @brief Memory limit shared by the connections to one server. Small responses are always accepted; large ones only
/// while all responses together stay within the limit.
///
/// This guards against a faulty server that writes without end on many connections at once: the growing responses are
/// rejected, ordinary ones on other connections are not.
class ResponseMemoryLimit {
 public:
  /// @param bound Total bytes of all responses.
  explicit ResponseMemoryLimit(std::size_t bound) noexcept : bound_(bound) {}

  /// @brief Records that a response has grown.
  /// @param before Its size before.
  /// @param after Its size now.
  /// @return Whether reading may continue.
  [[nodiscard]] bool grow(std::size_t before, std::size_t after) noexcept {
    held_ += after - before;
    return after <= kGuaranteedBytes || held_ <= bound_;
  }
  /// @brief Releases the bytes of a response.
  void release(std::size_t bytes) noexcept { held_ -= bytes; }

  /// @return Bytes held by all responses.
  [[nodiscard]] std::size_t held() const noexcept { return held_; }

  /// Size up to which a response is accepted regardless of the others.
  static constexpr std::size_t kGuaranteedBytes = std::size_t{64} << 10U;

 private:
  std::size_t bound_;
  std::size_t held_ = 0;
};

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_RESPONSE_MEMORY_LIMIT_H_
