#ifndef DAMASKTHREAD_TENANT_ACCESS_H_
#define DAMASKTHREAD_TENANT_ACCESS_H_

/// @file
/// @brief Decides whether a request may enter, by the key that it carries.

#include <string_view>

#include "damaskthread/http/message.h"
#include "damaskthread/tenant/directory.h"

namespace damaskthread::tenant {

/// Properties of a request that decide whether it needs a key.
struct Exemption {
  /// Its route is open to everybody.
  bool public_route = false;
  /// A request that runs at the local server made it, so that it carries no key of its own.
  bool nested = false;
};

/// Result of the check of a request.
struct Access {
  bool allowed = false;
  /// The tenant that holds the key; null without a valid key.
  const Tenant* tenant = nullptr;
};

/// @brief Checks the key of a request. A request with several credentials is treated like one with an unknown key:
/// which of them counts would depend on the reader.
/// @param headers Headers of the request.
/// @param header_name Name of the header that holds the credentials, in the form `Bearer KEY`.
[[nodiscard]] Access check_access(const Directory& directory, const http::Headers& headers,
                                  std::string_view header_name, const Exemption& exemption) noexcept;

/// @brief Replaces the credentials of a request by the name of its tenant, whatever the caller sent under that name.
/// @param tenant The tenant, or null if the request has none.
void replace_credentials(http::Headers& headers, std::string_view credentials_name, std::string_view tenant_name,
                         const Tenant* tenant);

}  // namespace damaskthread::tenant

#endif  // DAMASKTHREAD_TENANT_ACCESS_H_
