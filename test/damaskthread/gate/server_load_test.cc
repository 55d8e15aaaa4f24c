#include "damaskthread/gate/server_load.h"

#include <doctest/doctest.h>

#include <string>

namespace damaskthread::gate {

TEST_CASE("a reported load has two to four figures") {
  const auto two = parse_server_load("3,1");
  REQUIRE(two);
  CHECK(two->running == 3);
  CHECK(two->waiting == 1);
  CHECK(!two->slots);
  CHECK(!two->work_time);
  const auto three = parse_server_load("3,0,8");
  REQUIRE(three);
  CHECK(three->slots == 8);
  const auto four = parse_server_load("3,0,8,250");
  REQUIRE(four);
  CHECK(four->work_time == 2.5);
  CHECK(parse_server_load("3,0,8,250,7")->work_time == 2.5);
}

// A server in trouble reports anything; a wrong figure must neither end the daemon nor turn all requests away.
TEST_CASE("a malformed load is ignored") {
  for (const std::string text : {"", ",", "3", "3,", "a,b", "3;1", "-3,1", "3,1,x", "99999999999,1", "3,0,8,-5"}) {
    CHECK_MESSAGE(!parse_server_load(text), text);
  }
  CHECK(!parse_server_load("3,0,8,0")->work_time);
  CHECK(!parse_server_load("3,0,8,900000")->work_time);
}

}  // namespace damaskthread::gate
