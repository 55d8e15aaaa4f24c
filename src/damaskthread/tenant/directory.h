#ifndef DAMASKTHREAD_TENANT_DIRECTORY_H_
#define DAMASKTHREAD_TENANT_DIRECTORY_H_

/// @file
/// @brief The tenants of one configuration and the keys by which their requests are recognized.

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace damaskthread::tenant {

/// Declared settings of one tenant.
struct Tenant {
  std::string name;
  /// Priority of its requests, instead of the route's; 0 is the highest.
  std::optional<int> priority;
  /// Requests per second over all daemons; zero if there is no limit.
  double rate_per_second = 0;
  /// Requests permitted in addition to the rate.
  double burst = 0;
  /// @return Whether its requests are limited.
  [[nodiscard]] bool has_quota() const noexcept { return rate_per_second > 0; }
};

/// A tenant and its keys, as declared by the operator.
struct Declaration {
  Tenant tenant;
  std::vector<std::string> keys;
};

/// Longer keys belong to no tenant.
inline constexpr std::size_t kMaxKeyBytes = 256;

/// @brief Immutable index of tenants by key and name. Look-ups allocate no memory.
class Directory {
 public:
  /// @brief Creates an empty directory, with which requests need no key.
  Directory() = default;

  /// @brief Validates declarations. Names must be unique, not empty and without control characters, limits not
  /// negative, and a key must not belong to two tenants. Errors are `core::Error`, which name the place but no key.
  [[nodiscard]] static boost::leaf::result<Directory> create(std::vector<Declaration> declarations);

  /// @return The tenant that holds a key, or null.
  [[nodiscard]] const Tenant* find_by_key(std::string_view key) const noexcept;
  /// @return The tenant with this name, or null.
  [[nodiscard]] const Tenant* find_by_name(std::string_view name) const noexcept;
  [[nodiscard]] std::span<const Tenant> tenants() const noexcept { return tenants_; }
  /// @return Whether no tenant is declared, so that requests need no key.
  [[nodiscard]] bool empty() const noexcept { return tenants_.empty(); }

 private:
  struct Hash {
    using is_transparent = void;  // NOLINT(readability-identifier-naming): name required by the standard library.
    std::size_t operator()(std::string_view text) const noexcept { return std::hash<std::string_view>()(text); }
  };
  using Index = std::unordered_map<std::string, std::size_t, Hash, std::equal_to<>>;

  std::vector<Tenant> tenants_;
  Index index_by_key_;
  Index index_by_name_;
};

}  // namespace damaskthread::tenant

#endif  // DAMASKTHREAD_TENANT_DIRECTORY_H_
