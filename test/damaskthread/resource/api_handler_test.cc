#include "damaskthread/resource/api_handler.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "damaskthread/resource/log_record.h"
#include "damaskthread/resource/resource_store.h"

namespace damaskthread::resource {
namespace {

constexpr std::string_view kBody = R"({"kind": "Service", "name": "a", "retries": 1})";

struct Fixture {
  ResourceStore store;
  ApiHandler handler{store};
  std::uint64_t next = 0;

  Fixture() { store.apply({0, 0, {}}, {}); }

  static ApiRequest request(std::string method, std::string path, std::string id = "op", std::string if_match = "") {
    return {std::move(method), std::move(path),     "", std::string{kBody}, Role::kWrite,
            "operator",        std::move(if_match), "", std::move(id)};
  }
  [[nodiscard]] ApiResponse immediate_response(const ApiRequest& request) const {
    const ApiResult result = handler.handle(request);
    REQUIRE(std::holds_alternative<ApiResponse>(result));
    return std::get<ApiResponse>(result);
  }
  [[nodiscard]] AppendStep append_step(const ApiRequest& request) const {
    const ApiResult result = handler.handle(request);
    REQUIRE(std::holds_alternative<AppendStep>(result));
    return std::get<AppendStep>(result);
  }
  ApiResponse write(const ApiRequest& request) {
    const AppendStep append = append_step(request);
    CHECK_FALSE(handler.poll(append).has_value());
    store.apply({0, next + 1, {{next, append.record}}}, {});
    ++next;
    return *handler.poll(append);
  }
};

constexpr const char* kPath = "/v1/resources/services/a";

nlohmann::json json(const ApiResponse& response) { return nlohmann::json::parse(response.body); }

}  // namespace

TEST_CASE_FIXTURE(Fixture, "a write returns its version, a conflict or its validation errors") {
  const ApiResponse created = write(request("PUT", kPath, "one", "0"));
  CHECK(created.status == 200);
  CHECK(json(created)["version"] == 1);
  CHECK(json(immediate_response(request("PUT", kPath, "one", "0")))["version"] == 1);
  const ApiResponse conflict = write(request("PUT", kPath, "two", "0"));
  CHECK(conflict.status == 409);
  CHECK(json(conflict)["winner"] == 1);
  ApiRequest invalid = request("PUT", kPath, "three", "1");
  invalid.body = R"({"kind": "Service", "name": "a", "retries": 99})";
  CHECK(immediate_response(invalid).status == 422);
  CHECK(json(immediate_response(invalid))["errors"][0]["path"] == "retries");
  CHECK(immediate_response(request("PUT", "/v1/resources/services/b", "four", "0")).status == 422);
  CHECK(write(request("PUT", kPath, "five", "\"1\"")).status == 200);
  CHECK(immediate_response(request("PUT", kPath, "six", "1")).status == 409);
  const AppendStep pending = append_step(request("PUT", kPath, "seven", "2"));
  CHECK(handler.refused_response(pending, "log unavailable").status == 503);
  CHECK(handler.unknown_outcome_response(pending, "log unavailable").status == 504);
}

// Guards against a deleted service that cannot be created again, and against an accidental deletion.
TEST_CASE_FIXTURE(Fixture, "deletion requires the version, and a deleted service can be created again") {
  CHECK(write(request("PUT", kPath, "one", "0")).status == 200);
  CHECK(immediate_response(request("DELETE", kPath, "two")).status == 428);
  CHECK(immediate_response(request("DELETE", kPath, "two", "0")).status == 428);
  CHECK(write(request("DELETE", kPath, "two", "1")).status == 200);
  CHECK(immediate_response(request("DELETE", kPath, "three", "2")).status == 409);
  CHECK(immediate_response(request("GET", kPath)).status == 404);
  ApiRequest create = request("PUT", kPath, "four");
  create.if_none_match = "*";
  CHECK(json(write(create))["version"] == 3);
  CHECK(json(immediate_response(request("GET", kPath)))["declaration"]["retries"] == 1);
}

TEST_CASE_FIXTURE(Fixture, "roles, routes and headers are checked") {
  ApiRequest put = request("PUT", kPath, "one", "0");
  put.role = Role::kRead;
  CHECK(immediate_response(put).status == 403);
  ApiRequest list = request("GET", "/v1/resources");
  list.role = Role::kNone;
  CHECK(immediate_response(list).status == 403);
  CHECK(immediate_response(request("POST", "/v1/resources")).status == 405);
  CHECK(immediate_response(request("GET", "/v1/other")).status == 404);
  CHECK(immediate_response(request("PUT", kPath, "", "0")).status == 400);
  CHECK(immediate_response(request("PUT", kPath, "one")).status == 428);
  CHECK(immediate_response(request("PUT", kPath, "one", "latest")).status == 400);
  CHECK(immediate_response(request("GET", "/v1/operations/one")).status == 200);
  CHECK(json(immediate_response(request("GET", "/v1/operations/one")))["outcome"] == "not-seen");
}

// Guards against a write accepted by a daemon that has not loaded the configuration yet.
TEST_CASE("a daemon without a state refuses writes") {
  ResourceStore store;
  const ApiHandler handler{store};
  const ApiResult result = handler.handle(Fixture::request("PUT", kPath, "one", "0"));
  REQUIRE(std::holds_alternative<ApiResponse>(result));
  CHECK(std::get<ApiResponse>(result).status == 503);
}

TEST_CASE_FIXTURE(Fixture, "a watch waits for changes and reports updates and deletions") {
  ApiRequest watch = request("GET", "/v1/watch");
  watch.query = "after=0&timeout_ms=100";
  const ApiResult waiting = handler.handle(watch);
  REQUIRE(std::holds_alternative<WatchStep>(waiting));
  CHECK_FALSE(handler.poll(std::get<WatchStep>(waiting)).has_value());
  CHECK(write(request("PUT", kPath, "one", "0")).status == 200);
  CHECK(write(request("DELETE", kPath, "two", "1")).status == 200);
  const nlohmann::json changes = json(*handler.poll(std::get<WatchStep>(waiting)));
  CHECK(changes["revision"] == 2);
  CHECK(changes["resources"][0]["deleted"] == true);
  watch.query = "after=2&timeout_ms=0";
  CHECK(json(immediate_response(watch))["resources"].empty());
  watch.query = "after=x";
  CHECK(immediate_response(watch).status == 400);
}

}  // namespace damaskthread::resource
