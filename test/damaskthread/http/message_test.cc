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
