#include "damaskthread/mesh/policy.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>

namespace damaskthread::mesh {
namespace {

struct ReadResult {
  Policy policy;
  std::string errors;
};

ReadResult read(const std::string& text) {
  ReadResult result;
  settings::Errors errors;
  const nlohmann::json node = nlohmann::json::parse(text);
  read_policy(&node, "settings.json", errors, result.policy);
  result.errors = settings::to_string(errors);
  return result;
}

}  // namespace

TEST_CASE("options of every type are read, and the others keep their defaults") {
  const ReadResult result = read(R"({
    "entrance": {"min_share": 1, "share_time_constant_ms": 250}, "quarantine": {"crash_threshold": 5},
    "links": {"full_mesh_limit": 7}, "repeats": {"progress_levels": 1}
  })");
  CHECK(result.errors.empty());
  CHECK(result.policy.entrance.min_share == 1);
  CHECK(result.policy.entrance.share_time_constant == std::chrono::milliseconds{250});
  CHECK(result.policy.quarantine.crash_threshold == 5);
  CHECK(result.policy.links.full_mesh_limit == 7);
  CHECK(result.policy.repeats.progress_levels == 1);
  CHECK(result.policy.repeats.limit_fraction == retry::RepeatBudgetOptions{}.limit_fraction);
}

TEST_CASE("an unknown section or option and a value out of range are errors that name the key") {
  CHECK(read(R"({"entrence": {}})").errors.find("policy.entrence: unknown") != std::string::npos);
  CHECK(read(R"({"gate": {"usable": 1}})").errors.find("policy.gate.usable: unknown") != std::string::npos);
  CHECK(read(R"({"gate": {"usable_capacity_share": 1.5}})")
            .errors.find("policy.gate.usable_capacity_share: expected a "
                         "number from 0.01 to 1") != std::string::npos);
  CHECK(read(R"({"gate": {"smoothing": "x"}})").errors.find("policy.gate.smoothing: expected") != std::string::npos);
  CHECK(read(R"({"requests": {"max_hedges": 1.5}})").errors.find("policy.requests.max_hedges: expected a whole") !=
        std::string::npos);
  CHECK(read(R"({"gate": 3})").errors.find("policy.gate: expected an object") != std::string::npos);
}

TEST_CASE("the description lists every option with its value") {
  const std::string text = describe(read(R"({"placement": {"refusal_backoff_ms": 12}})").policy);
  CHECK(text.find("policy.placement.refusal_backoff_ms: 12\n") != std::string::npos);
  CHECK(text.find("policy.requests.max_hedges: 4\n") != std::string::npos);
}

}  // namespace damaskthread::mesh
