#include "damaskthread/mesh/member_entry.h"

#include <doctest/doctest.h>

namespace damaskthread::mesh {

TEST_CASE("a member entry round-trips") {
  const auto entry = parse_member_entry(serialize({"z", "s", gate::ServerIncarnation{"i-1", 1700000000123}}));
  REQUIRE(entry);
  CHECK(entry->zone == "z");
  CHECK(entry->service == "s");
  CHECK(entry->departed_server == gate::ServerIncarnation{"i-1", 1700000000123});
  CHECK(!parse_member_entry(serialize({"z", "s", std::nullopt}))->departed_server);
}

TEST_CASE("an entry without a zone is no member, and other fields may be absent or of another type") {
  for (const char* text : {"", "{", "[]", "3", "{}", R"({"zone": 3})", R"({"service": "s"})"}) {
    CHECK_MESSAGE(!parse_member_entry(text), text);
  }
  const auto entry = parse_member_entry(R"({"zone": "z", "service": 3, "more": {}})");
  REQUIRE(entry);
  CHECK(entry->service.empty());
  CHECK(!entry->departed_server);
}

TEST_CASE("an entry that is nested deeply or holds numbers out of range is read or dropped") {
  const std::string nested(200'000, '[');
  const std::string closed = nested + std::string(nested.size(), ']');
  CHECK(!parse_member_entry(nested));
  CHECK(!parse_member_entry(closed));
  CHECK(parse_member_entry(R"({"zone": "z", "more": )" + closed + "}"));
  CHECK(!parse_member_entry(R"({"zone": "z", "left": "i-1", "left_started_ms": 1e999})"));
  CHECK(!parse_member_entry(R"({"zone": "z", "left": "i-1", "left_started_ms": 1e30})")->departed_server);
}

TEST_CASE("an entry is encoded even if an id is not UTF-8") {
  CHECK(parse_member_entry(serialize({"z", "s", gate::ServerIncarnation{"i-\xff", 1}}))->departed_server);
}

TEST_CASE("a departure without a start time is dropped, since it would apply to every start under that id") {
  for (const char* text :
       {R"({"zone": "z", "left": "i-1"})", R"({"zone": "z", "left": "i-1", "left_started_ms": "1"})",
        R"({"zone": "z", "left": "i-1", "left_started_ms": 0})", R"({"zone": "z", "left_started_ms": 1})"}) {
    const auto entry = parse_member_entry(text);
    REQUIRE_MESSAGE(entry, text);
    CHECK_MESSAGE(!entry->departed_server, text);
  }
}

}  // namespace damaskthread::mesh
