#include "damaskthread/http/message.h"

#include <doctest/doctest.h>

namespace damaskthread::http {

// Guards against forwarding headers that are valid for one connection only.
TEST_CASE("hop-by-hop headers are removed, including those listed in Connection") {
  Headers headers = {{"Connection", "close, X-Private"}, {"Keep-Alive", "5"}, {"x-private", "1"},     {"X-Kept", "2"},
                     {"Transfer-Encoding", "chunked"},   {"TE", "trailers"},  {"Content-Length", "4"}};
  remove_hop_by_hop(headers);
  REQUIRE(headers.size() == 1);
  CHECK(headers.front().name == "X-Kept");
}

// Guards against values that change on the way, such as a path with its own query.
TEST_CASE("a value survives encoding and parsing, and an invalid escape is reported") {
  const std::string value = "/a b?c=d&e=%41+\xC3\xA4";
  const auto parameters = parse_query("/p?x=" + encode_query_value(value) + "&&y");
  REQUIRE(parameters);
  REQUIRE(parameters->size() == 2);
  CHECK((*parameters)[0].name == "x");
  CHECK((*parameters)[0].value == value);
  CHECK((*parameters)[1].name == "y");
  CHECK((*parameters)[1].value.empty());
  CHECK((*parse_query("/p?x=/a?b=c+d"))[0].value == "/a?b=c+d");
  CHECK(parse_query("/p")->empty());
  for (const char* bad : {"/p?x=%", "/p?x=%4", "/p?x=%4g", "/p?%zz=1", "/p?x=%-1", "/p?x=%+1"}) {
    CHECK_FALSE(parse_query(bad).has_value());
  }
}

TEST_CASE("endpoints are IP addresses with a port") {
  Endpoint endpoint;
  CHECK(parse_endpoint("10.0.0.1:80", endpoint));
  CHECK(to_string(endpoint) == "10.0.0.1:80");
  CHECK(parse_endpoint("[::1]:8080", endpoint));
  CHECK(to_string(endpoint) == "[::1]:8080");
  for (const char* bad : {"", ":", "1.2.3.4", "1.2.3.4:", "1.2.3.4:0", "1.2.3.4:70000", "1.2.3.4:8a", ":80"}) {
    CHECK_FALSE(parse_endpoint(bad, endpoint));
  }
}

}  // namespace damaskthread::http
