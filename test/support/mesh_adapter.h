#ifndef TEST_SUPPORT_MESH_ADAPTER_H_
#define TEST_SUPPORT_MESH_ADAPTER_H_

/// @file
/// @brief An adapter with different header names, which ensures that the mesh does not depend on one platform.

#include <boost/leaf/error.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "damaskthread/core/error.h"
#include "damaskthread/mesh/adapter.h"

namespace damaskthread::support {

/// @brief Adapter for tests that use neither the store nor control calls.
class TestAdapter : public mesh::Adapter {
 public:
  [[nodiscard]] const mesh::HeaderNames& headers() const noexcept override { return names_; }
  [[nodiscard]] std::string_view parent_attempt(std::string_view attempt_id) const noexcept override {
    const std::size_t slash = attempt_id.rfind('/');
    return slash == std::string_view::npos ? std::string_view() : attempt_id.substr(0, slash);
  }
  [[nodiscard]] mesh::ControlCall parse_control_call(const http::Request& /*request*/) const override {
    return mesh::MalformedCall{"not used"};
  }
  [[nodiscard]] http::Response control_response() const override { return {}; }
  [[nodiscard]] bool is_readiness_check(const http::Request& /*request*/) const noexcept override { return true; }
  [[nodiscard]] boost::leaf::result<std::shared_ptr<const route::RouteTable>> configuration(
      std::string_view /*document*/) const override {
    return boost::leaf::new_error(core::Error{core::ErrorCode::kInvalidInput, "test", "not used"});
  }
  [[nodiscard]] http::Request newest(mesh::Topic /*topic*/, std::string_view /*after*/) const override { return {}; }
  [[nodiscard]] http::Request changes(mesh::Topic /*topic*/, std::uint64_t /*from*/,
                                      std::chrono::milliseconds /*wait*/) const override {
    return {};
  }
  [[nodiscard]] http::Request put(mesh::Topic /*topic*/, std::string_view /*key*/,
                                  std::string_view /*value*/) const override {
    return {};
  }
  [[nodiscard]] http::Request put_at(mesh::Topic /*topic*/, std::string_view /*key*/, std::string_view /*value*/,
                                     std::uint64_t /*end*/) const override {
    return {};
  }
  [[nodiscard]] boost::leaf::result<mesh::NewestPage> parse_newest(const http::Response& /*response*/) const override {
    return mesh::NewestPage{};
  }
  [[nodiscard]] boost::leaf::result<mesh::Changes> parse_changes(const http::Response& /*response*/,
                                                                 std::uint64_t /*from*/) const override {
    return mesh::Changes{};
  }

 private:
  mesh::HeaderNames names_ = {"Attempt",     "Time-Left",      "Seal",      "Target",      "Load",   "Not-Run",
                              "Retry-After", "Caller-Service", "Server-Id", "Credentials", "Tenant", "Era"};
};

}  // namespace damaskthread::support

#endif  // TEST_SUPPORT_MESH_ADAPTER_H_
