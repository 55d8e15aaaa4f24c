#include "damaskthread/platform/log_client.h"

#include <doctest/doctest.h>

#include <boost/leaf/handle_errors.hpp>

namespace damaskthread::platform {
namespace {

template <typename T>
core::Error error_of(boost::leaf::result<T> (*call)(const LogClient&), const LogClient& client) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<core::Error> {
        BOOST_LEAF_CHECK(call(client));
        return core::Error{core::ErrorCode::kNotFound, "", "no error"};
      },
      [](const core::Error& error) { return error; },
      [] {
        return core::Error{core::ErrorCode::kNotFound, "", "lost"};
      });
}

}  // namespace

// Guards against reporting "may have been taken" for an append that never left this process: the library has no type
// of its own for a failed connect.
TEST_CASE("a refused connection means that nothing was done") {
  const LogClient client{{.ip = "127.0.0.1", .port = 1}};
  const core::Error append = error_of<std::uint64_t>([](const LogClient& c) { return c.append("x"); }, client);
  CHECK(append.code == core::ErrorCode::kUnavailable);
  const core::Error info = error_of<LogInfo>([](const LogClient& c) { return c.info(); }, client);
  CHECK(info.code == core::ErrorCode::kUnavailable);
}

}  // namespace damaskthread::platform
