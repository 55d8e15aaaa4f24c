#include "damaskthread/overlay/configuration_pull.h"

#include <doctest/doctest.h>

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace damaskthread::overlay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::TimePoint kStart{seconds{100}};

}  // namespace

TEST_CASE("no daemon is asked while none has a newer version") {
  ConfigurationPull pull(1);
  const std::vector<ConfigurationOffer> offers = {{"a", true, 3}, {"b", false, 2}};
  CHECK(!pull.next_source(offers, 3, kStart));
}

TEST_CASE("a daemon in the same failure domain is asked at once, one at a time") {
  ConfigurationPull pull(1);
  const std::vector<ConfigurationOffer> offers = {{"far", false, 4}, {"near", true, 4}, {"old", true, 3}};
  CHECK(pull.next_source(offers, 3, kStart) == "near");
  CHECK(!pull.next_source(offers, 3, kStart + ConfigurationPull::kRequestTimeout / 2));
}

TEST_CASE("if a daemon does not answer, the next one is asked until the version is in force") {
  ConfigurationPull pull(1);
  const std::vector<ConfigurationOffer> offers = {{"a", true, 4}, {"b", true, 4}, {"c", false, 4}};
  std::set<std::string> asked_endpoints;
  core::TimePoint now = kStart;
  for (int i = 0; i < 3; ++i, now += ConfigurationPull::kRequestTimeout) {
    const auto source = pull.next_source(offers, 3, now);
    REQUIRE(source);
    asked_endpoints.insert(*source);
  }
  CHECK(asked_endpoints.size() == 3);
  CHECK(!pull.next_source(offers, 4, now));
}

TEST_CASE("hundreds of daemons fetch a document once each, few of them from another failure domain") {
  constexpr std::size_t kZones = 5;
  constexpr std::size_t kSize = 200;
  constexpr milliseconds kStep{5};
  // Time to fetch and parse a document with many routes.
  constexpr milliseconds kFetch{40};
  struct Daemon {
    ConfigurationPull pull;
    std::uint64_t version = 1;
    std::optional<core::TimePoint> arrives_at;
  };
  std::vector<Daemon> fleet;
  for (std::size_t i = 0; i < kSize; ++i) fleet.push_back({ConfigurationPull(i), 1, std::nullopt});
  // Two watchers in two failure domains have the new version.
  fleet[0].version = 2;
  fleet[1].version = 2;
  int fetched = 0;
  int fetched_cross_zone = 0;
  core::TimePoint all_updated_at;
  for (core::TimePoint now = kStart; now < kStart + seconds{2}; now += kStep) {
    std::vector<std::uint64_t> versions;
    versions.reserve(kSize);
    for (const Daemon& daemon : fleet) versions.push_back(daemon.version);
    for (std::size_t i = 0; i < kSize; ++i) {
      Daemon& daemon = fleet[i];
      if (daemon.arrives_at && now >= *daemon.arrives_at && daemon.version < 2) {
        daemon.version = 2;
        all_updated_at = now;
      }
      std::vector<ConfigurationOffer> offers;
      for (std::size_t j = i % 3; j < kSize; j += 3) {
        if (j != i) offers.push_back({std::to_string(j), j % kZones == i % kZones, versions[j]});
      }
      const auto source = daemon.pull.next_source(offers, daemon.version, now);
      if (!source) continue;
      ++fetched;
      if (std::stoul(*source) % kZones != i % kZones) ++fetched_cross_zone;
      daemon.arrives_at = now + kFetch;
    }
  }
  CHECK(fetched <= static_cast<int>(kSize));
  CHECK(fetched_cross_zone <= static_cast<int>(kSize) / 3);
  // A change must be in force within two seconds; this leaves time for a daemon that does not answer.
  CHECK(all_updated_at <= kStart + milliseconds{600});
}

}  // namespace damaskthread::overlay
