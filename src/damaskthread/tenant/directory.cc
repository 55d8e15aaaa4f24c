#include "damaskthread/tenant/directory.h"

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <cmath>
#include <utility>

#include "damaskthread/core/error.h"

namespace damaskthread::tenant {
namespace {

namespace leaf = boost::leaf;

leaf::error_id invalid(std::size_t index, const char* field, const char* message) {
  return leaf::new_error(
      core::Error{core::ErrorCode::kInvalidInput, "tenants[" + std::to_string(index) + "]." + field, message});
}

// Servers get the name as the value of a header.
bool is_header_value(std::string_view text) noexcept {
  return std::none_of(text.begin(), text.end(), [](char letter) {
    const auto code = static_cast<unsigned char>(letter);
    return code < ' ' || code == 0x7f;
  });
}

bool is_limit(double value) noexcept { return std::isfinite(value) && value >= 0; }

}  // namespace

leaf::result<Directory> Directory::create(std::vector<Declaration> declarations) {
  Directory directory;
  directory.tenants_.reserve(declarations.size());
  for (std::size_t i = 0; i < declarations.size(); ++i) {
    Declaration& declaration = declarations[i];
    Tenant& tenant = declaration.tenant;
    if (tenant.name.empty()) return invalid(i, "name", "must not be empty");
    if (!is_header_value(tenant.name)) return invalid(i, "name", "contains a control character");
    if (!directory.index_by_name_.emplace(tenant.name, i).second) return invalid(i, "name", "is used twice");
    if (!is_limit(tenant.rate_per_second)) return invalid(i, "rate_per_second", "must not be negative");
    if (!is_limit(tenant.burst)) return invalid(i, "burst", "must not be negative");
    if (tenant.priority && *tenant.priority < 0) return invalid(i, "priority", "must not be negative");
    for (std::string& key : declaration.keys) {
      if (key.empty() || key.size() > kMaxKeyBytes) return invalid(i, "keys", "a key is empty or too long");
      const auto [found, inserted] = directory.index_by_key_.emplace(std::move(key), i);
      if (!inserted && found->second != i) return invalid(i, "keys", "a key belongs to another tenant as well");
    }
    directory.tenants_.push_back(std::move(tenant));
  }
  return directory;
}

const Tenant* Directory::find_by_key(std::string_view key) const noexcept {
  const auto found = index_by_key_.find(key);
  return found == index_by_key_.end() ? nullptr : &tenants_[found->second];
}

const Tenant* Directory::find_by_name(std::string_view name) const noexcept {
  const auto found = index_by_name_.find(name);
  return found == index_by_name_.end() ? nullptr : &tenants_[found->second];
}

}  // namespace damaskthread::tenant
