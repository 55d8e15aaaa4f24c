#include "damaskthread/tenant/access.h"

namespace damaskthread::tenant {
namespace {

// Schemes are case-insensitive (RFC 9110, section 11.1).
constexpr std::string_view kScheme = "Bearer ";

// Returns the key of a request, or an empty view if it has none, several or one in another form.
std::string_view bearer_key(const http::Headers& headers, std::string_view name) noexcept {
  std::string_view value;
  bool found = false;
  for (const http::Header& header : headers) {
    if (!http::equal_names(header.name, name)) continue;
    if (found) return {};
    found = true;
    value = header.value;
  }
  if (!http::equal_names(value.substr(0, kScheme.size()), kScheme)) return {};
  value.remove_prefix(kScheme.size());
  return value.size() > kMaxKeyBytes ? std::string_view() : value;
}

}  // namespace

Access check_access(const Directory& directory, const http::Headers& headers, std::string_view header_name,
                    const Exemption& exemption) noexcept {
  if (directory.empty()) return {true, nullptr};
  const std::string_view key = bearer_key(headers, header_name);
  const Tenant* const tenant = key.empty() ? nullptr : directory.find_by_key(key);
  return {tenant != nullptr || exemption.public_route || exemption.nested, tenant};
}

void replace_credentials(http::Headers& headers, std::string_view credentials_name, std::string_view tenant_name,
                         const Tenant* tenant) {
  std::erase_if(headers, [&](const http::Header& header) {
    return http::equal_names(header.name, credentials_name) || http::equal_names(header.name, tenant_name);
  });
  if (tenant != nullptr) headers.push_back({std::string(tenant_name), tenant->name});
}

}  // namespace damaskthread::tenant
