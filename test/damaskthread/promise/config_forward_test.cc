#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "support/config_fleet.h"

namespace damaskthread::test {

// Bound of property P8.
constexpr core::Duration kMaxPropagationTime = std::chrono::seconds{12};

// Guards against a configuration that reverts, an accepted change that is lost, replicas that diverge, a deleted
// service that reappears and a repeated publish that is applied twice.
TEST_CASE("P8: an accepted configuration is in force everywhere within the bound and never reverts") {
  CHECK(rc::check("random schedules of publishes and faults", [] {
    const auto event = rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>());
    const auto schedule = *rc::gen::scale(4.0, rc::gen::container<std::vector<std::uint32_t>>(event));
    resource::StoreOptions options;
    // Small limits, so that short schedules cover eviction, snapshot rewrites and truncated logs.
    options.max_recent_bytes = 2'000;
    options.snapshot_record_interval = 12;
    options.snapshot_jitter = std::chrono::seconds{2};
    ConfigFleet fleet{4, options};
    for (const std::uint32_t event : schedule) fleet.step(event);
    fleet.heal_and_run(kMaxPropagationTime);
    const std::string broken = fleet.broken_promise();
    RC_LOG() << broken;
    RC_ASSERT(broken.empty());
  }));
}

}  // namespace damaskthread::test
