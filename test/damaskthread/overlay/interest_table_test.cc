#include "damaskthread/overlay/interest_table.h"

#include <doctest/doctest.h>

#include <chrono>

namespace damaskthread::overlay {
namespace {

constexpr core::TimePoint kStart{std::chrono::seconds{100}};

}  // namespace

TEST_CASE("a service that is used and observed counts as used until it expires") {
  InterestTable table;
  table.record_observation("documents", kStart);
  CHECK(table.interests(kStart).at("documents") == Interest::kObserved);
  table.record_use("documents", kStart);
  CHECK(table.interests(kStart).at("documents") == Interest::kUsed);
  CHECK(table.interests(kStart + InterestTable::kExpiry).empty());
}

TEST_CASE("a service counts as saturated for a while after its servers were nearly full") {
  InterestTable table;
  table.record_use("stock", kStart);
  table.record_load("stock", {100, 84, 0, {}}, kStart);
  CHECK(table.interests(kStart).at("stock") == Interest::kUsed);
  table.record_load("stock", {100, 80, 10, {}}, kStart);
  CHECK(table.interests(kStart).at("stock") == Interest::kSaturated);
  CHECK(table.interests(kStart + InterestTable::kSaturationHold).at("stock") == Interest::kUsed);
}

}  // namespace damaskthread::overlay
