#ifndef DAMASKTHREAD_SETTINGS_SECRET_H_
#define DAMASKTHREAD_SETTINGS_SECRET_H_

/// @file
/// @brief Bytes that must not appear in a log line, an error message or a status page.

#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <span>
#include <vector>

namespace damaskthread::settings {

/// Holds secret bytes. Streams as `[redacted]`, compares in constant time and clears its memory when destroyed.
class Secret {
 public:
  Secret() = default;
  explicit Secret(std::span<const std::uint8_t> bytes);
  Secret(const Secret& other) = default;
  Secret(Secret&& other) noexcept = default;
  Secret& operator=(const Secret& other);
  Secret& operator=(Secret&& other) noexcept;
  ~Secret();

  /// @brief The bytes themselves; for key set-up only.
  [[nodiscard]] std::span<const std::uint8_t> reveal() const noexcept { return bytes_; }
  [[nodiscard]] bool empty() const noexcept { return bytes_.empty(); }
  [[nodiscard]] std::size_t size() const noexcept { return bytes_.size(); }

  /// @brief Compares in a time that depends on the lengths only.
  [[nodiscard]] bool operator==(const Secret& other) const noexcept;

 private:
  void clear() noexcept;

  std::vector<std::uint8_t> bytes_;
};

/// @brief Writes `[redacted]`, whatever the content.
std::ostream& operator<<(std::ostream& out, const Secret& secret);

}  // namespace damaskthread::settings

#endif  // DAMASKTHREAD_SETTINGS_SECRET_H_
