#include "damaskthread/mesh/settings.h"

#include <doctest/doctest.h>

#include <boost/leaf/handle_errors.hpp>
#include <optional>
#include <string>

namespace damaskthread::mesh {
namespace {

constexpr const char* kCompleteSettings = R"(// A comment.
{
  "name": "n1", "service": "s", "zone": "z",
  "listen": {"calls": "10.0.0.1:1", "peers": "10.0.0.1:2", "ready": "10.0.0.1:3", "control": "10.0.0.1:4"},
  "local_server": "10.0.0.1:5", "store": "10.0.0.9:6", "heartbeat": "1.5s",
  "promises": {"drain": "2500ms", "grace": "6s", "repeat_ratio": 0.2, "repeat_window": "10s", "repeat_slack": 49}
})";

struct ParseResult {
  std::optional<MeshSettings> settings;
  std::string errors;
};

ParseResult parse(const std::string& text) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<ParseResult> {
        BOOST_LEAF_AUTO(settings, parse_mesh_settings(text, "settings.json"));
        return ParseResult{std::move(settings), ""};
      },
      [](const settings::Errors& errors) {
        return ParseResult{std::nullopt, settings::to_string(errors)};
      },
      [] {
        return ParseResult{std::nullopt, "unknown"};
      });
}

std::string replace_first(std::string text, const std::string& from, const std::string& to) {
  const std::size_t position = text.find(from);
  REQUIRE(position != std::string::npos);
  return text.replace(position, from.size(), to);
}

}  // namespace

TEST_CASE("a complete file with comments and units is parsed") {
  const ParseResult result = parse(kCompleteSettings);
  REQUIRE_MESSAGE(result.settings, result.errors);
  CHECK(result.settings->heartbeat == std::chrono::milliseconds{1500});
  CHECK(result.settings->promises.drain == std::chrono::milliseconds{2500});
  CHECK(result.settings->promises.repeat_slack == 49);
  CHECK(result.settings->peers.port == 2);
  CHECK(describe(*result.settings).find("promises.grace: 6000ms") != std::string::npos);
}

TEST_CASE("each error names its field") {
  const std::vector<std::pair<std::string, std::string>> cases = {
      {replace_first(kCompleteSettings, "\"zone\": \"z\",", ""), "settings.json: zone: missing"},
      {replace_first(kCompleteSettings, "10.0.0.1:2", "localhost:2"), "listen.peers: expected 'ip:port'"},
      {replace_first(kCompleteSettings, "10.0.0.1:3", "10.0.0.1:1"), "listen.ready: the same address as calls"},
      {replace_first(kCompleteSettings, "1.5s", "1.5"), "heartbeat: expected a number with the unit"},
      {replace_first(kCompleteSettings, "0.2", "-1"), "promises.repeat_ratio: expected a number"},
      {replace_first(kCompleteSettings, "\"name\"", "\"nmae\""), "nmae"},
      {replace_first(kCompleteSettings, "\"promises\"", "\"policy\": {\"gate\": {\"share\": 1}}, \"promises\""),
       "policy.gate.share: unknown"},
      {"{", "settings.json"}};
  for (const auto& [text, expected] : cases) {
    const ParseResult result = parse(text);
    CHECK(!result.settings);
    CHECK_MESSAGE(result.errors.find(expected) != std::string::npos, result.errors);
  }
}

TEST_CASE("a reload applies what can change at run time and reports fields that need a restart") {
  MeshSettings current;
  current.service = "old";
  current.local_server = {"10.0.0.1", 80};
  current.store = {"10.0.0.9", 81};
  MeshSettings loaded = current;
  CHECK(apply_reloadable(current, loaded).applied.empty());
  loaded.service = "new";
  loaded.local_server.port = 90;
  loaded.promises.grace = std::chrono::seconds{10};
  loaded.promises.repeat_ratio = 0.5;
  loaded.memory_mb = 512;
  loaded.policy.entrance.min_share = 1;
  const SettingsUpdate update = apply_reloadable(current, loaded);
  CHECK(update.applied == std::vector<std::string>{"local_server", "promises.grace", "service"});
  CHECK(update.rejected == std::vector<std::string>{"memory_mb", "policy.entrance.min_share", "promises.repeat_ratio"});
  CHECK(current.service == "new");
  CHECK(current.local_server.port == 90);
  CHECK(current.promises.grace == std::chrono::seconds{10});
  CHECK(current.promises.repeat_ratio != 0.5);
  CHECK(current.memory_mb != 512);
}

TEST_CASE("daemons with the same promises have the same digest regardless of their addresses") {
  MeshSettings one;
  MeshSettings other;
  other.name = "other";
  other.local_server = {"10.0.0.2", 80};
  CHECK(fleet_digest(one) == fleet_digest(other));
  other.promises.drain = std::chrono::seconds{3};
  CHECK(fleet_digest(one) != fleet_digest(other));
  other = one;
  other.policy.gate.usable_capacity_share = 0.5;
  CHECK(fleet_digest(one) != fleet_digest(other));
}

}  // namespace damaskthread::mesh
