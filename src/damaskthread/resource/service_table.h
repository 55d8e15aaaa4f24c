#ifndef DAMASKTHREAD_RESOURCE_SERVICE_TABLE_H_
#define DAMASKTHREAD_RESOURCE_SERVICE_TABLE_H_

/// @file
/// @brief Immutable table of the declarations in force, read by the data path.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "damaskthread/resource/declaration.h"

namespace damaskthread::resource {

/// Maps service names to the declarations of one revision.
class ServiceTable {
 public:
  struct Entry {
    std::shared_ptr<const ServiceDeclaration> declaration;
    std::uint64_t version = 0;
  };
  struct Hash : std::hash<std::string_view> {
    using is_transparent = void;
  };
  using Map = std::unordered_map<std::string, Entry, Hash, std::equal_to<>>;

  ServiceTable() = default;
  ServiceTable(Map entries, std::uint64_t revision) : entries_(std::move(entries)), revision_(revision) {}

  /// @brief Finds the declaration of a service.
  /// @param name Name of the service.
  /// @return The declaration, valid for the lifetime of this table; null if the service is not declared.
  [[nodiscard]] const ServiceDeclaration* find(std::string_view name) const noexcept {
    const auto it = entries_.find(name);
    return it == entries_.end() ? nullptr : it->second.declaration.get();
  }

  [[nodiscard]] const Map& entries() const noexcept { return entries_; }
  [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }

 private:
  Map entries_;
  std::uint64_t revision_ = 0;
};

}  // namespace damaskthread::resource

#endif  // DAMASKTHREAD_RESOURCE_SERVICE_TABLE_H_
