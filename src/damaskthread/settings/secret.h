#ifndef DAMASKTHREAD_SETTINGS_SECRET_H_
#define DAMASKTHREAD_SETTINGS_SECRET_H_

/// @file
/// @brief Byte string that is never printed in log lines, error messages or status pages.

#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <span>
#include <vector>

namespace damaskthread::settings {

/// Holds secret bytes. Prints as `[redacted]`, compares in constant time and zeroes its memory on destruction.
class Secret {
 public:
  Secret() = default;
  explicit Secret(std::span<const std::uint8_t> bytes);
  Secret(const Secret& other) = default;
  Secret(Secret&& other) noexcept = default;
  Secret& operator=(const Secret& other);
  Secret& operator=(Secret&& other) noexcept;
  ~Secret();

  /// @brief Returns the raw bytes; for key setup only.
  [[nodiscard]] std::span<const std::uint8_t> reveal() const noexcept { return bytes_; }
  [[nodiscard]] bool empty() const noexcept { return bytes_.empty(); }
  [[nodiscard]] std::size_t size() const noexcept { return bytes_.size(); }

  /// @brief Compares in constant time for a given length.
  [[nodiscard]] bool operator==(const Secret& other) const noexcept;

 private:
  void clear() noexcept;

  std::vector<std::uint8_t> bytes_;
};

/// @brief Writes `[redacted]` regardless of the content.
std::ostream& operator<<(std::ostream& out, const Secret& secret);

}  // namespace damaskthread::settings

#endif  // DAMASKTHREAD_SETTINGS_SECRET_H_
