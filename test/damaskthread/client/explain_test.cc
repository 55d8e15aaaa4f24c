#include "damaskthread/client/explain.h"

#include <doctest/doctest.h>

#include <sstream>

namespace damaskthread::client {

TEST_CASE("a story holds the lines of a request and its calls, in order, from many logs") {
  Story story("ab12");
  std::istringstream first(
      "{\"time_ms\":1010,\"node\":\"n2\",\"event\":\"run\",\"attempt\":\"ab12\",\"cause\":\"none\",\"status\":500}\n"
      "  3.2 n2 "
      "{\"time_ms\":1007,\"node\":\"n2\",\"event\":\"request\",\"attempt\":\"ab12.cd\",\"cause\":\"overload\"}\n"
      "{\"time_ms\":1,\"node\":\"n2\",\"event\":\"run\",\"attempt\":\"ab123\"}\n");
  std::istringstream second("{\"time_ms\":1012,\"node\":\"n1\",\"event\":\"request\",\"attempt\":\"ab12\"}\n{broken\n");
  story.read(first);
  story.read(second);
  CHECK(story.unreadable() == 1);
  std::ostringstream out;
  story.print(out, false);
  CHECK(out.str() ==
        "+0 ms   n2 request ab12.cd: cause=overload\n"
        "+3 ms n2 run ab12: cause=none status=500\n"
        "+5 ms n1 request ab12: \n");
}

TEST_CASE("a request that no log knows has no story") {
  Story story("zz");
  std::istringstream log("{\"attempt\":\"ab12\"}\n");
  story.read(log);
  CHECK(story.empty());
}

}  // namespace damaskthread::client
