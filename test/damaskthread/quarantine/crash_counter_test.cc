#include "damaskthread/quarantine/crash_counter.h"

#include <doctest/doctest.h>

namespace damaskthread::quarantine {
namespace {

constexpr core::TimePoint kStart{std::chrono::seconds{100}};
constexpr std::uint64_t kPoison = 666;

}  // namespace

TEST_CASE("a request is held after its third crash, wherever the crashes were") {
  CrashCounter counter;
  CHECK(counter.add({1, {kPoison, 10, 11}}, kStart));
  CHECK(counter.add({2, {20, kPoison}}, kStart));
  CHECK(!counter.held(kPoison, kStart));
  CHECK(counter.add({3, {kPoison, 10}}, kStart));
  CHECK(counter.held(kPoison, kStart));
  CHECK(!counter.held(10, kStart));
}

TEST_CASE("duplicate reports of one crash count once") {
  CrashCounter counter;
  for (int i = 0; i < 5; ++i) (void)counter.add({1, {kPoison}}, kStart);
  CHECK(!counter.held(kPoison, kStart));
  CHECK(counter.recent(kStart).size() == 1);
}

TEST_CASE("old crashes are forgotten") {
  CrashCounter counter;
  for (std::uint64_t crash = 1; crash <= 3; ++crash) (void)counter.add({crash, {kPoison}}, kStart);
  counter.tick(kStart + std::chrono::minutes{11});
  CHECK(!counter.held(kPoison, kStart + std::chrono::minutes{11}));
}

}  // namespace damaskthread::quarantine
