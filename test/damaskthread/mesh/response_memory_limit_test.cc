#include "damaskthread/mesh/response_memory_limit.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstddef>

namespace damaskthread::mesh {

TEST_CASE("unbounded responses are rejected while ordinary concurrent responses are accepted") {
  constexpr std::size_t kMaxBytes = std::size_t{4} << 20U;
  constexpr std::size_t kStepBytes = std::size_t{64} << 10U;
  constexpr std::size_t kOrdinaryBytes = std::size_t{30} << 10U;
  ResponseMemoryLimit limit(kMaxBytes);
  std::array<std::size_t, 8> unbounded_responses{};
  std::size_t rejected = 0;
  std::size_t max_used_bytes = 0;
  for (int round = 0; round < 1'000; ++round) {
    for (std::size_t& response_bytes : unbounded_responses) {
      const bool allowed = limit.grow(response_bytes, response_bytes + kStepBytes);
      response_bytes += kStepBytes;
      max_used_bytes = std::max(max_used_bytes, limit.used_bytes());
      if (allowed) continue;
      limit.release(response_bytes);
      response_bytes = 0;
      ++rejected;
    }
    CHECK(limit.grow(0, kOrdinaryBytes));
    limit.release(kOrdinaryBytes);
  }
  CHECK(rejected > 0);
  CHECK(max_used_bytes <= kMaxBytes + unbounded_responses.size() * kStepBytes + kOrdinaryBytes);
}

}  // namespace damaskthread::mesh
