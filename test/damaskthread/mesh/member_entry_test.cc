#include "damaskthread/mesh/member_entry.h"

#include <doctest/doctest.h>

namespace damaskthread::mesh {

TEST_CASE("a member entry round-trips") {
  const auto entry = parse_member_entry(serialize({"z", "s", "i-1"}));
  REQUIRE(entry);
  CHECK(entry->zone == "z");
  CHECK(entry->service == "s");
  CHECK(entry->departed_server == "i-1");
}

TEST_CASE("an entry without a zone is no member, and other fields may be absent or of another type") {
  for (const char* text : {"", "{", "[]", "3", "{}", R"({"zone": 3})", R"({"service": "s"})"}) {
    CHECK_MESSAGE(!parse_member_entry(text), text);
  }
  const auto entry = parse_member_entry(R"({"zone": "z", "service": 3, "more": {}})");
  REQUIRE(entry);
  CHECK(entry->service.empty());
  CHECK(entry->departed_server.empty());
}

}  // namespace damaskthread::mesh
