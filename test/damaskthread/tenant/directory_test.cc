#include "damaskthread/tenant/directory.h"

#include <doctest/doctest.h>

#include <boost/leaf/handle_errors.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "damaskthread/core/error.h"
#include "damaskthread/tenant/access.h"

namespace damaskthread::tenant {
namespace {

Declaration declare(std::string name, std::vector<std::string> keys, double rate = 0) {
  return {{std::move(name), std::nullopt, rate, 0}, std::move(keys)};
}

std::optional<Directory> create(std::vector<Declaration> declarations, std::string* where = nullptr) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<Directory>> {
        BOOST_LEAF_AUTO(directory, Directory::create(std::move(declarations)));
        return std::optional(std::move(directory));
      },
      [&](const core::Error& error) {
        if (where != nullptr) *where = error.where;
        CHECK(error.message.find("secret") == std::string::npos);
        return std::optional<Directory>();
      },
      [] { return std::optional<Directory>(); });
}

Access check(const Directory& directory, const http::Headers& headers, const Exemption& exemption = {}) {
  return check_access(directory, headers, "Authorization", exemption);
}

}  // namespace

TEST_CASE("a tenant is found by each of its keys and by its name") {
  const auto directory = create({declare("a", {"secret-1", "secret-2"}), declare("b", {"secret-3"})});
  REQUIRE(directory);
  REQUIRE(directory->find_by_key("secret-2") != nullptr);
  CHECK(directory->find_by_key("secret-2")->name == "a");
  CHECK(directory->find_by_key("secret-3") == directory->find_by_name("b"));
  CHECK(directory->find_by_key("secret") == nullptr);
  CHECK(directory->find_by_name("c") == nullptr);
}

// A key that counts for two tenants would let one use the other's quota.
TEST_CASE("invalid declarations are refused with their place and without the key") {
  const std::vector<std::pair<std::vector<Declaration>, std::string>> cases = {
      {{declare("a", {"secret"}), declare("b", {"secret"})}, "tenants[1].keys"},
      {{declare("", {"secret"})}, "tenants[0].name"},
      {{declare("a", {}), declare("a", {})}, "tenants[1].name"},
      // Servers get the name in a header, where a line break would start another one.
      {{declare("a\r\nX-Admin: 1", {"secret"})}, "tenants[0].name"},
      {{declare("a", {""})}, "tenants[0].keys"},
      {{declare("a", {std::string(kMaxKeyBytes + 1, 'x')})}, "tenants[0].keys"},
      {{declare("a", {"secret"}, -1)}, "tenants[0].rate_per_second"}};
  for (const auto& [declarations, expected] : cases) {
    std::string where;
    CHECK(!create(declarations, &where));
    CHECK(where == expected);
  }
}

TEST_CASE("a request needs exactly one valid key") {
  const auto directory = create({declare("a", {"secret"})});
  REQUIRE(directory);
  CHECK(check(*directory, {{"authorization", "bearer secret"}}).tenant == directory->find_by_name("a"));
  const std::vector<http::Headers> refused = {{},
                                              {{"Authorization", "Bearer "}},
                                              {{"Authorization", "Bearer other"}},
                                              {{"Authorization", "secret"}},
                                              {{"Authorization", "Basic secret"}},
                                              {{"Authorization", "Bearer " + std::string(100'000, 'x')}},
                                              {{"Authorization", "Bearer secret"}, {"Authorization", "Bearer secret"}},
                                              {{"Authorization", "Bearer secret"}, {"Authorization", "Bearer other"}}};
  for (const http::Headers& headers : refused) CHECK(!check(*directory, headers).allowed);
}

TEST_CASE("public routes, nested calls and configurations without tenants need no key") {
  const auto directory = create({declare("a", {"secret"})});
  REQUIRE(directory);
  CHECK(check(*directory, {}, {.public_route = true}).allowed);
  CHECK(check(*directory, {}, {.nested = true}).allowed);
  CHECK(check(*directory, {{"Authorization", "Bearer other"}}, {.public_route = true}).tenant == nullptr);
  CHECK(check(Directory(), {}).allowed);
}

// A caller that names a tenant itself must not be taken for it, and its key must not reach a server.
TEST_CASE("the credentials and a tenant named by the caller are replaced") {
  const Tenant tenant{"a", std::nullopt, 0, 0};
  http::Headers headers = {{"authorization", "Bearer secret"}, {"X-Tenant", "b"}, {"x-tenant", "c"}, {"Accept", "x"}};
  replace_credentials(headers, "Authorization", "X-Tenant", &tenant);
  CHECK(headers.size() == 2);
  CHECK(http::find(headers, "X-Tenant") == "a");
  replace_credentials(headers, "Authorization", "X-Tenant", nullptr);
  CHECK(headers.size() == 1);
}

}  // namespace damaskthread::tenant
