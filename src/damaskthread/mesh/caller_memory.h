#ifndef DAMASKTHREAD_MESH_CALLER_MEMORY_H_
#define DAMASKTHREAD_MESH_CALLER_MEMORY_H_

/// @file
/// @brief Bounds the memory of all requests that callers send, from their first byte to the last copy of their bodies.

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "damaskthread/http/message.h"

namespace damaskthread::mesh {

/// @brief One limit for the requests that are being read and for the bodies and headers of accepted ones. They are kept
/// until their request has ended, so that large ones may only use a part of the limit: the rest lets small requests be
/// read. A single body that is larger than that part is accepted while no other one is held.
///
/// This guards against callers that send large bodies on many connections, or start them and never end: requests that
/// are incomplete can be rejected at any time, since none of them has run.
class CallerMemory {
 public:
  /// Bytes of an accepted body or header. Releases them when it is destroyed.
  class Reservation {
   public:
    Reservation() = default;
    /// @param total Sum that contains the bytes already.
    Reservation(std::size_t& total, std::size_t bytes) noexcept : total_(&total), bytes_(bytes) {}
    Reservation(Reservation&& other) noexcept
        : total_(std::exchange(other.total_, nullptr)), bytes_(std::exchange(other.bytes_, 0)) {}
    Reservation& operator=(Reservation&& other) noexcept {
      std::swap(total_, other.total_);
      std::swap(bytes_, other.bytes_);
      return *this;
    }
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;
    ~Reservation() {
      if (total_ != nullptr) *total_ -= bytes_;
    }

   private:
    std::size_t* total_ = nullptr;
    std::size_t bytes_ = 0;
  };

  /// @param limit Total bytes of all requests.
  explicit CallerMemory(std::size_t limit) noexcept : limit_(limit) {}

  /// @brief Records that the bytes being read on a connection have changed.
  void resize_reading(std::size_t before, std::size_t after) noexcept { reading_ += after - before; }
  /// @return Whether requests that are being read have to be rejected.
  [[nodiscard]] bool exceeded() const noexcept { return reading_ + accepted_ + headers_ > limit_; }

  /// @brief Accepts the body of a complete request.
  /// @return Its reservation, or nothing if there is no room and the request must be refused.
  [[nodiscard]] std::optional<Reservation> accept(std::size_t bytes) noexcept {
    if (accepted_ > 0 && !fits(bytes)) return std::nullopt;
    accepted_ += bytes;
    return Reservation(accepted_, bytes);
  }
  /// @brief Accepts the parsed header of a complete request, after its body.
  /// @return As for `accept`.
  [[nodiscard]] std::optional<Reservation> accept_header(std::size_t bytes) noexcept {
    if (!fits(bytes)) return std::nullopt;
    headers_ += bytes;
    return Reservation(headers_, bytes);
  }

  [[nodiscard]] std::size_t reading() const noexcept { return reading_; }
  /// @return Bytes of accepted bodies.
  [[nodiscard]] std::size_t accepted() const noexcept { return accepted_; }
  /// @return Bytes of accepted headers.
  [[nodiscard]] std::size_t headers() const noexcept { return headers_; }

  /// Ordinary requests; they may use the part of the limit that large bodies leave for reading.
  static constexpr std::size_t kSmallBytes = std::size_t{16} << 10U;
  /// The limit divided by this is not available to large accepted bodies.
  static constexpr std::size_t kReadingPart = 10;

 private:
  [[nodiscard]] bool fits(std::size_t bytes) const noexcept {
    const std::size_t used = accepted_ + headers_ + bytes;
    return used <= limit_ - limit_ / kReadingPart || (bytes <= kSmallBytes && used <= limit_);
  }

  std::size_t limit_;
  std::size_t reading_ = 0;
  std::size_t accepted_ = 0;
  std::size_t headers_ = 0;
};

/// @brief Makes a body that keeps its reservation until its last holder is gone.
[[nodiscard]] inline http::SharedBody make_shared_body(std::string&& bytes, CallerMemory::Reservation&& reservation) {
  if (bytes.empty()) return nullptr;
  struct Holder {
    CallerMemory::Reservation reservation;
    std::string bytes;
  };
  const auto holder = std::make_shared<Holder>(Holder{std::move(reservation), std::move(bytes)});
  return {holder, &holder->bytes};
}

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_CALLER_MEMORY_H_
